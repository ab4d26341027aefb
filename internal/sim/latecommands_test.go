package sim

import (
	"testing"
	"time"
)

// Guards against a task that runs on two machines, and a cancelled task that runs again, since a copy of
// the command that started it reaches the machine after that was told to clear the attempt: a
// worker that has cleared an attempt starts it again. The copies carry the same session and token,
// and controllers and machines are back within a second. Copies of reports reach the controllers at
// the same times, and the responses to them the machines.
func TestCopiesOfStartsComeAfterTheClear(t *testing.T) {
	const from, faultFor = 20 * time.Second, 60 * time.Second
	for _, tc := range []struct {
		name        string
		restartProb float64
		inject      func(w *World)
	}{
		{"tasks complete", 0, func(*World) {}},
		{"tasks fail at once", 0, func(w *World) {
			for range 3 {
				Faults["faulty machine"](w)
			}
		}},
		{"jobs are cancelled", 0, func(w *World) { cancelUnfinished(w, w.now+faultFor) }},
		{"tasks move", 0, func(w *World) {
			Faults["faulty machine"](w)
			for i := range 6 {
				w.After(time.Duration(i)*10*time.Second, func() { Faults["spot reclaims"](w) })
			}
			submitSingleTaskGangs(w, 100)
		}},
		{"machines hang for less than a second", 0, func(w *World) {
			for i := range 300 {
				w.After(time.Duration(i)*200*time.Millisecond, func() {
					if m := w.randomMachine(); m != nil {
						m.Hang(time.Duration(w.uniform(50, 900)) * time.Millisecond)
					}
				})
			}
			cancelUnfinished(w, w.now+faultFor)
		}},
		{"machines lose the network for less than a second", 0, func(w *World) {
			for i := range 150 {
				w.After(time.Duration(i)*400*time.Millisecond, func() {
					if m := w.randomMachine(); m != nil {
						w.Partition(endpoint(m.addr), "", time.Duration(w.uniform(50, 900))*time.Millisecond, w.chance(0.5))
					}
				})
			}
			cancelUnfinished(w, w.now+faultFor)
		}},
		{"controllers are back within a second", 0.01, func(w *World) { cancelUnfinished(w, w.now+faultFor) }},
		{"controllers are back within a second, connections are reset", 0.01, func(w *World) {
			Faults["faulty machine"](w)
			Faults["reset connections"](w)
			Faults["repeated requests"](w)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(2) {
				w := NewWorld(Settings(3), 9300+seed, nil)
				w.Populate()
				at(w, 5, func() { w.BriefLoad(40) })
				w.At(from, func() {
					w.LateCopies = LateCopies{Active: true, Share: 1, RestartProb: tc.restartProb}
					tc.inject(w)
				})
				w.At(from+faultFor, func() { w.LateCopies.Active = false })
				playOut(t, w, seed, from+faultFor+10*time.Second)
				if c := w.LateCopies; c.Executed < 100 || c.Dropped < 100 || c.Reports < 100 {
					t.Fatalf("seed %d: too few copies to show anything: %+v", seed, c)
				}
			}
		})
	}
}
