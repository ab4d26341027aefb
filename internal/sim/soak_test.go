package sim

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// soakRun is a run of a fleet in which attempts are replaced and blocks change hands while old
// reports arrive late, among other faults drawn at random.
type soakRun struct {
	controllers, machines int
	arrays, gangs         float64 // submitted per second
}

// soakRuns are the fleet sizes that the soak test plays in turn.
var soakRuns = []soakRun{
	{3, 40, 0.06, 0.15},
	{5, 200, 0.2, 0.4},
	{5, 900, 0.6, 0.6},
	{5, 4000, 2, 1.5},
}

// play plays the run and returns the violations.
func (r soakRun) play(seed uint64) []string {
	w := fleet(r.controllers, r.machines, seed)
	w.FleetLoad(100*time.Second, r.arrays, r.gangs)
	names := faultNames()
	fault := func(at float64, name string) {
		w.At(time.Duration(at*float64(time.Second)), func() { Faults[name](w) })
	}
	fault(40, attemptsReplaced)
	fault(w.uniform(45, 70), names[w.Rand.IntN(len(names))])
	fault(w.uniform(70, 100), names[w.Rand.IntN(len(names))])
	fault(105, attemptsReplaced)
	w.Run(190 * time.Second)
	w.Checker.Finish()
	return w.Checker.Violations
}

// Plays fleets with different seeds and checks each rule after each step. By default it takes
// about a minute; SIM_SOAK=1h also plays larger fleets, for that long, from the seed
// SIM_SOAK_SEED on.
func TestSoak(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("SIM_SOAK_SEED"), 10, 64)
	length, err := time.ParseDuration(os.Getenv("SIM_SOAK"))
	if err != nil {
		for seed := range uint64(24) {
			if broken := soakRuns[seed%2].play(8000 + seed); len(broken) > 0 {
				t.Errorf("seed %d, %+v: %v", seed, soakRuns[seed%2], broken)
			}
		}
		return
	}
	began := time.Now()
	for seed := first; time.Since(began) < length; seed++ {
		run := soakRuns[seed%uint64(len(soakRuns))]
		broken := run.play(seed)
		t.Logf("seed %d, %d machines: %d rules broken, %s since the start", seed, run.machines, len(broken), time.Since(began).Round(time.Second))
		if len(broken) > 0 {
			t.Errorf("seed %d, %+v: %v", seed, run, broken)
		}
	}
}
