package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"lichenstair/internal/core"
)

// Defer must keep as many jobs in time as possible: its choice is compared with every subset of
// random jobs. Served by age alone, a burst made nearly all jobs late.
func TestDeferMaximizesJobsInTime(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		cpus := float64(1 + r.IntN(20))
		var jobs []*Job
		for range 1 + r.IntN(8) {
			due := core.WallTime(4000 + r.IntN(100_000))
			jobs = append(jobs, &Job{Estimate: time.Millisecond, Timing: Timing{Due: []core.WallTime{due}, Work: float64(1 + r.IntN(800))}})
		}
		inTime := func(set int) bool {
			for i, j := range jobs {
				work := 0.0
				for k, o := range jobs {
					if set>>k&1 == 1 && o.Timing.Due[0] <= j.Timing.Due[0] {
						work += o.Timing.Work
					}
				}
				if set>>i&1 == 1 && work > float64(j.Timing.Due[0])/1000*cpus {
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
		Defer(0, cpus, 0, jobs)
		chosen, n := 0, 0
		for i, j := range jobs {
			if j.MissedDueTimes == 0 {
				chosen |= 1 << i
				n++
			}
		}
		if n != most || !inTime(chosen) {
			t.Fatalf("seed %d: %d of %d jobs kept in time, %d could be in time", seed, n, len(jobs), most)
		}
	}
}

// A job that has waited too long without a start is scheduled first within its rank, however late
// it is. Otherwise the largest job was deferred behind a stream of small ones for 15 minutes.
func TestOverdueJobIsFirstInItsRank(t *testing.T) {
	large := &Job{ID: "large", ReadyAt: 5, MissedDueTimes: 2, Overdue: true}
	jobs := []*Job{{ID: "small", ReadyAt: 1, Guaranteed: true}, large, {ID: "high", ReadyAt: 9, Rank: 2}}
	Sort(jobs)
	if jobs[0].ID != "high" || jobs[1] != large {
		t.Fatal(jobs[0].ID, jobs[1].ID)
	}
}

// countLate counts the jobs that end after their due time when a team with so many CPUs serves them
// in the order of Sort, one after the other.
func countLate(cpus float64, jobs []*Job) (n int) {
	Sort(jobs)
	used := 0.0
	for _, j := range jobs {
		if used += j.Timing.Work; used > float64(j.Timing.Due[0])/1000*cpus {
			n++
		}
	}
	return n
}

// Where serving the oldest first makes arrays late, due times decide. In an overload each array
// waited as long as the oldest, and arrays with little time were late behind others with time to
// spare. Where there is time for all, age decides. The queue positions of the team stay the same,
// so other teams are not affected.
func TestOrderByDue(t *testing.T) {
	before, after := 0, 0
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 9))
		const cpus = 10.0
		newJobs := func(load float64) (jobs []*Job) {
			for i := range 12 {
				jobs = append(jobs, &Job{
					ID: core.JobID(rune('a' + i)), ReadyAt: core.WallTime(i + 1), Guaranteed: i < 4, Estimate: time.Millisecond,
					Timing: Timing{Due: []core.WallTime{core.WallTime(60_000 + r.IntN(120_000))}, Work: load * float64(1+r.IntN(200))},
				})
			}
			return jobs
		}
		light := newJobs(0.1)
		OrderByDue(0, cpus, 0, light)
		Sort(light)
		for i, j := range light {
			if j.ReadyAt != core.WallTime(i+1) || j.QueueTime != 0 {
				t.Fatalf("seed %d: the order changed although all jobs have time", seed)
			}
		}
		overloaded := newJobs(1)
		Defer(0, cpus, 0, overloaded)
		before += countLate(cpus, overloaded)
		guaranteed, queueTimes := 0, map[core.WallTime]bool{}
		OrderByDue(0, cpus, 0, overloaded)
		after += countLate(cpus, overloaded)
		for _, j := range overloaded {
			if j.Guaranteed {
				guaranteed++
			}
			queueTimes[j.queueTime()] = true
		}
		if guaranteed != 4 || len(queueTimes) != len(overloaded) {
			t.Fatalf("seed %d: the team's queue positions changed", seed)
		}
	}
	if after*4 > before*3 {
		t.Fatalf("%d arrays late in order of due times, %d in order of age", after, before)
	}
}
