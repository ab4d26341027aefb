package sim

import (
	"slices"
	"testing"
	"time"

	"lichenstair/internal/placement"
)

// Compares the scheduler's placement policy with plain first fit and with no reservation, on
// the same generated load. The figures are for docs/results.md (run with -v); the test requires
// that each policy keeps the rules and completes the work.
func TestPolicies(t *testing.T) {
	for _, p := range []struct {
		name   string
		policy placement.Policy
	}{
		{"balanced, reservation", placement.Policy{}},
		{"first fit, reservation", placement.Policy{FirstFit: true}},
		{"balanced, no reservation", placement.Policy{NoReservation: true}},
		{"first fit, no reservation", placement.Policy{FirstFit: true, NoReservation: true}},
	} {
		var all, gangs []float64
		done := 0
		for seed := range seeds(2) {
			w := NewWorld(Settings(3), 9000+seed, nil)
			w.Policy = p.policy
			w.Populate()
			w.GenerateLoad(240*time.Second, 2500*time.Millisecond)
			w.Run(500 * time.Second)
			if len(w.Checker.Violations) > 0 {
				t.Fatalf("%s, seed %d: %v", p.name, seed, w.Checker.Violations)
			}
			for _, j := range w.Users.jobs {
				if j.final != "done" {
					continue
				}
				done++
				s := (j.endedAt - j.submittedAt).Seconds()
				all = append(all, s)
				if j.spec.Form == "group" {
					gangs = append(gangs, s)
				}
			}
		}
		if done < 100 {
			t.Fatalf("%s: %d jobs done", p.name, done)
		}
		slices.Sort(all)
		slices.Sort(gangs)
		q := func(v []float64, f float64) float64 { return v[int(f*float64(len(v)-1))] }
		mean := 0.0
		for _, s := range all {
			mean += s / float64(len(all))
		}
		t.Logf("%-26s %d jobs, mean %.1f s, p90 %.1f s; gangs p50 %.1f s, p90 %.1f s", p.name, done, mean, q(all, 0.9), q(gangs, 0.5), q(gangs, 0.9))
	}
}
