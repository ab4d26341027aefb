package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"lichenstair/internal/core"
)

// As many jobs as possible must be in time: the choice is compared with every
// subset of made-up jobs. By age alone a burst made nearly all of them late.
func TestStandBackKeepsAsManyAsCanBe(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		cpus := float64(1 + r.IntN(20))
		var jobs []*Job
		for range 1 + r.IntN(8) {
			due := core.Wall(4000 + r.IntN(100_000))
			jobs = append(jobs, &Job{Estimate: time.Millisecond, Haste: Haste{Due: []core.Wall{due}, Work: float64(1 + r.IntN(800))}})
		}
		inTime := func(set int) bool {
			for i, j := range jobs {
				work := 0.0
				for k, o := range jobs {
					if set>>k&1 == 1 && o.Haste.Due[0] <= j.Haste.Due[0] {
						work += o.Haste.Work
					}
				}
				if set>>i&1 == 1 && work > float64(j.Haste.Due[0])/1000*cpus {
					return false
				}
			}
			return true
		}
		most := 0
		for set := range 1 << len(jobs) {
			n := 0
			for i := range jobs {
				n += set >> i & 1
			}
			if n > most && inTime(set) {
				most = n
			}
		}
		StandBack(0, cpus, 0, jobs)
		chosen, n := 0, 0
		for i, j := range jobs {
			if j.Late == 0 {
				chosen |= 1 << i
				n++
			}
		}
		if n != most || !inTime(chosen) {
			t.Fatalf("seed %d: %d of %d jobs kept, %d could be in time", seed, n, len(jobs), most)
		}
	}
}

// Whoever has waited long without having begun goes first, however late it is:
// the largest jobs stood back behind a stream of small ones for 15 minutes.
func TestOverdueGoesFirst(t *testing.T) {
	large := &Job{ID: "large", At: 5, Late: 2, Overdue: true}
	jobs := []*Job{{ID: "small", At: 1, Guaranteed: true}, large, {ID: "high", At: 9, Rank: 2}}
	Sort(jobs)
	if jobs[0].ID != "high" || jobs[1] != large {
		t.Fatal(jobs[0].ID, jobs[1].ID)
	}
}
