package soak

import (
	"os"
	"testing"
	"time"

	"lichenstair/internal/sim"
)

// Guards against a task that runs twice, or after its cancellation, because a copy of the command
// that started it reaches a machine after the clear of the attempt. The controllers are real
// processes, some of which are back within a second. SOAK_PROGRAM plays another version.
func TestCopiesOfStartsFromRealProcesses(t *testing.T) {
	t.Parallel()
	const from, to, end = 10 * time.Second, 40 * time.Second, 45 * time.Second
	program := os.Getenv("SOAK_PROGRAM")
	if program == "" {
		program = buildProgram(t)
	}
	w := sim.NewWorld(sim.Settings(3), 9400, nil)
	real, err := sim.NewRealWorld(w, program, t.TempDir(), reservedInstance)
	if err != nil {
		t.Fatal(err)
	}
	defer real.Close()
	w.Populate()
	w.At(5*time.Second, func() { w.BriefLoad(40) })
	w.At(from, func() {
		w.LateCopies = sim.LateCopies{Active: true, Share: 0.2, RestartProb: 0.02}
		sim.Faults["faulty machine"](w)
		w.CancelSome(to, 200*time.Millisecond)
	})
	w.At(to, w.EndFaults)
	if err := real.Run(end); err != nil {
		t.Fatal(err)
	}
	if len(w.Checker.Violations) > 0 {
		t.Fatalf("broken: %s, %d rules in all; copies: %+v", w.Checker.Violations[0], len(w.Checker.Violations), w.LateCopies)
	}
	if c := w.LateCopies; c.Executed < 20 || c.Dropped < 20 || c.Reports < 100 {
		t.Fatalf("too few copies to show anything: %+v", c)
	}
	t.Logf("copies: %+v; the test ran late by %s at most", w.LateCopies, real.MaxLag.Round(time.Millisecond))
}
