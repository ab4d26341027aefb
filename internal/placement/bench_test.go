package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lichenstair/internal/core"
)

// BenchmarkPass schedules a block of a large deployment: 88 machines of three sizes, ten arrays of
// up to 900 tasks, most of which have to wait.
func BenchmarkPass(b *testing.B) {
	build := func() ([]*Machine, []*Job, map[string]*Team) {
		r := rand.New(rand.NewPCG(1, 1))
		machines, jobs := benchMachines(r, 88, 0.5), benchArrays(r, 10, 850)
		return machines, jobs, map[string]*Team{"red": {Quota: Resources{CPUs: 5000}}}
	}
	for b.Loop() {
		b.StopTimer()
		machines, jobs, teams := build()
		b.StartTimer()
		Schedule(0, machines, jobs, teams, Policy{}, 0)
	}
}

// BenchmarkRecovered schedules a block of a fleet that has just been recovered: 470 machines, empty
// or nearly full, and forty arrays with 15,000 waiting tasks.
func BenchmarkRecovered(b *testing.B) {
	for _, c := range []struct {
		name string
		used float64
	}{{"empty", 0}, {"full", 0.97}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				r := rand.New(rand.NewPCG(1, 1))
				machines, jobs := benchMachines(r, 470, c.used), benchArrays(r, 40, 650)
				jobs = append(jobs, &Job{ID: "gang", Team: "red", Rank: 2, ReadyAt: 1, Need: Resources{CPUs: 60, MemoryGB: 100}, Gang: true, OneZone: true, Tasks: 3, Waiting: 3, Estimate: time.Minute})
				teams := map[string]*Team{"red": {Quota: Resources{CPUs: 50000}}}
				b.StartTimer()
				Schedule(0, machines, jobs, teams, Policy{}, 0)
			}
		})
	}
}

// benchMachines makes n machines of three sizes. used is the booked share of their CPUs.
func benchMachines(r *rand.Rand, n int, used float64) (machines []*Machine) {
	one := Resources{CPUs: 1, MemoryGB: 2}
	for i := range n {
		m := newMachine(fmt.Sprintf("n-%03d", i), []float64{4, 32, 64}[i%8/6], 128)
		m.MaxTasks = MaxTasks
		for range int(m.Total.CPUs * used) {
			m.Booked = m.Booked.Add(one)
			m.Releases = append(m.Releases, Release{core.Time(r.Int64N(int64(time.Minute))), one})
		}
		machines = append(machines, m)
	}
	return machines
}

// benchArrays makes n arrays with 50 waiting tasks each and a random number, below extra, of
// additional ones.
func benchArrays(r *rand.Rand, n, extra int) (jobs []*Job) {
	for i := range n {
		tasks := 50 + r.IntN(extra)
		jobs = append(jobs, &Job{ID: core.JobID(fmt.Sprint("req-", i)), Team: "red", ReadyAt: core.WallTime(i), Need: Resources{CPUs: 1, MemoryGB: 2}, Tasks: tasks, Waiting: tasks, Estimate: 30 * time.Second, Image: fmt.Sprint(i)})
	}
	return jobs
}

// BenchmarkSingleTaskJobs schedules a block that has just received thousands of single-task jobs
// while little room is left.
func BenchmarkSingleTaskJobs(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		r := rand.New(rand.NewPCG(1, 1))
		machines, jobs := benchMachines(r, 130, 0.9), benchArrays(r, 10, 300)
		for i := range 2000 {
			jobs = append(jobs, &Job{
				ID: core.JobID(fmt.Sprint("single-", i)), Team: "red", ReadyAt: core.WallTime(100 + i), Need: Resources{CPUs: 0.25, MemoryGB: 0.9}, Tasks: 1, Waiting: 1,
				Estimate: time.Duration(100+r.IntN(100)) * time.Second, Image: "single",
			})
		}
		teams := map[string]*Team{"red": {Quota: Resources{CPUs: 5000}}}
		b.StartTimer()
		Schedule(0, machines, jobs, teams, Policy{}, 0)
	}
}

// BenchmarkTakenOver schedules a block that has most of a fleet and has just been recovered: 1,500
// machines with room, and 500 arrays that all differ in size.
func BenchmarkTakenOver(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		machines, jobs, teams := takenOverBlock(1500, 500)
		b.StartTimer()
		Schedule(0, machines, jobs, teams, Policy{}, 0)
	}
}
