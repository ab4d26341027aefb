package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sort"
	"testing"
	"time"

	"lichenstair/internal/core"
)

// referenceSchedule is the algorithm without optimizations: each task examines every machine, and
// each time of release is tried in turn.
func referenceSchedule(now core.Time, machines []*Machine, jobs []*Job, teams map[string]*Team) Result {
	p := &pass{now: now, machines: machines, candidates: machines, teams: teams}
	Sort(jobs)
	rest := jobs
	for len(rest) > 0 && p.result.ReservedJob == "" {
		referenceHead(p, rest[0])
		rest = rest[1:]
	}
	referenceBackfill(p, rest)
	return p.result
}

// referenceBackfill examines every pair of a job and a machine before each start.
func referenceBackfill(p *pass, jobs []*Job) {
	for _, j := range jobs {
		if j.Gang && p.hasQuota(j, j.Waiting) {
			for _, m := range p.placeGang(p.machines, j, p.besideReservation(j)) {
				p.start(j, m)
			}
		}
	}
	for {
		var job *Job
		var on *Machine
		var top rating
		for _, j := range jobs {
			if j.Gang || j.Waiting <= 0 || !p.hasQuota(j, 1) {
				continue
			}
			if m, r := p.bestOf(p.machines, j, p.besideReservation(j)); m != nil && (job == nil || r.better(top)) {
				job, on, top = j, m, r
			}
		}
		if job == nil {
			return
		}
		p.start(job, on)
	}
}

func referenceHead(p *pass, j *Job) {
	if j.Gang {
		if !p.hasQuota(j, j.Waiting) {
			return
		}
		if picks := p.placeGang(p.machines, j, p.free); picks != nil {
			for _, m := range picks {
				p.start(j, m)
			}
			return
		}
	}
	for !j.Gang && j.Waiting > 0 {
		if !p.hasQuota(j, 1) {
			return
		}
		m, _ := p.bestOf(p.machines, j, p.free)
		if m == nil {
			break
		}
		p.start(j, m)
	}
	if j.Waiting == 0 {
		return
	}
	var times []core.Time
	for _, m := range p.machines {
		for _, r := range m.Releases {
			times = append(times, max(r.At, p.now))
		}
	}
	sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
	for _, at := range times {
		free := func(m *Machine) Resources { return m.freeAt(at) }
		var picks []*Machine
		if j.Gang {
			picks = p.placeGang(p.machines, j, free)
		} else if m, _ := p.bestOf(p.machines, j, free); m != nil {
			picks = []*Machine{m}
		}
		if picks != nil {
			p.result.ReservedJob, p.result.ReservedAt, p.result.ReservedResources = j.ID, at, map[core.MachineID]Resources{}
			for _, m := range picks {
				p.result.ReservedResources[m.ID] = p.result.ReservedResources[m.ID].Add(j.Need)
			}
			return
		}
	}
}

// The cost of a pass over hundreds of machines and thousands of tasks must not grow with their
// product. The optimized pass decides as the reference does: the same starts in the same order, and
// the same reservation.
func TestScheduleMatchesReference(t *testing.T) {
	started, reserved := 0, 0
	for seed := range uint64(300) {
		build := func() ([]*Machine, []*Job, map[string]*Team) {
			r := rand.New(rand.NewPCG(seed, 3))
			var machines []*Machine
			for i := range 2 + r.IntN(30) {
				m := newMachine(fmt.Sprintf("n-%03d", i), []float64{4, 16, 64}[r.IntN(3)], 64)
				m.Zone, m.Spot, m.Unreliable, m.GangReserved = []string{"a", "b"}[r.IntN(2)], r.IntN(2) == 0, r.IntN(15) == 0, r.IntN(6) == 0
				m.Draining = r.IntN(8) == 0
				m.MaxTasks = []int{0, 5, 40}[r.IntN(3)]
				for range r.IntN(int(m.Total.CPUs) + 1) {
					m.Booked = m.Booked.Add(Resources{CPUs: 1, MemoryGB: 1})
					m.Releases = append(m.Releases, Release{core.Time(r.Int64N(int64(time.Minute))), Resources{CPUs: 1, MemoryGB: 1}})
				}
				m.BookedByArrays, m.GangTaskSize = m.Booked, Resources{CPUs: float64(r.IntN(5)), MemoryGB: 1}
				m.RecentMinFree, m.BusyFor = Resources{CPUs: float64(r.IntN(6)), MemoryGB: 64}, time.Duration(r.IntN(60))*time.Second
				m.Images[fmt.Sprint(r.IntN(3))] = true
				machines = append(machines, m)
			}
			var jobs []*Job
			for i := range 1 + r.IntN(9) {
				n := 1 + r.IntN(60)
				j := &Job{
					ID: core.JobID(fmt.Sprint("req-", i)), Team: []string{"red", "blue"}[r.IntN(2)], Rank: r.IntN(2), ReadyAt: core.WallTime(1 + r.IntN(9)), Need: Resources{CPUs: float64(1 + r.IntN(3)), MemoryGB: 1.3},
					Tasks: n, Waiting: n, Estimate: time.Duration(1+r.IntN(60)) * time.Second, Image: fmt.Sprint(r.IntN(3)), Spot: r.IntN(2) == 0,
					SpreadZones: r.IntN(5) == 0, GangMachinesOnly: r.IntN(5) == 0, Starvation: Starvation(max(0, r.IntN(9)-6)), Overdue: r.IntN(9) == 0, ExcludedMachines: map[core.MachineID]bool{"n-001": r.IntN(3) == 0},
				}
				if r.IntN(4) == 0 {
					j.Gang, j.Tasks, j.Waiting, j.Need.CPUs, j.SpreadZones, j.OneZone = true, 1+n%3, 1+n%3, float64(3+r.IntN(40)), false, r.IntN(2) == 0
				}
				jobs = append(jobs, j)
			}
			for i := range r.IntN(3) * 15 { // single-task jobs
				jobs = append(jobs, &Job{
					ID: core.JobID(fmt.Sprint("single-", i)), Team: "blue", ReadyAt: core.WallTime(2 + r.IntN(9)), Need: Resources{CPUs: 0.5, MemoryGB: float64(1 + seed%3)},
					Tasks: 1, Waiting: 1, Estimate: time.Duration(1+r.IntN(60)) * time.Second, Image: fmt.Sprint(r.IntN(2)), Spot: true, TimeSensitive: r.IntN(2) == 0,
				})
			}
			return machines, jobs, map[string]*Team{"red": {Quota: Resources{CPUs: float64(10 + r.IntN(500))}}, "blue": {Quota: Resources{CPUs: 1000}}}
		}
		m1, j1, t1 := build()
		m2, j2, t2 := build()
		got, want := Schedule(0, m1, j1, t1, Policy{}, 0), referenceSchedule(0, m2, j2, t2)
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d:\n%+v\n%+v", seed, got, want)
		}
		started += len(got.Starts)
		if got.ReservedJob != "" {
			reserved++
		}
	}
	if started < 3000 || reserved < 50 {
		t.Fatalf("only %d starts and %d reservations were compared", started, reserved)
	}
}
