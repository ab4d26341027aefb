package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lichenstair/internal/core"
)

func newMachine(id string, cpus, mem float64) *Machine {
	return &Machine{ID: core.MachineID(id), Type: "t", Zone: "a", Total: Resources{CPUs: cpus, MemoryGB: mem}, Images: map[string]bool{}}
}

// The expected score is computed by hand: 4 of 8 CPUs and 8 of 32 GB give fractions 0.5 and 0.25,
// so (0.5/0.375 - 1) * (1 - 0.375).
func TestScore(t *testing.T) {
	s, mean := Score(newMachine("m", 8, 32), Resources{CPUs: 4, MemoryGB: 8})
	if math.Abs(s-(0.5/0.375-1)*0.625) > 1e-12 || math.Abs(mean-0.375) > 1e-12 {
		t.Fatal(s, mean)
	}
}

// The head job reserves the machine that becomes free soonest. A later job may use it only if it
// ends before the reserved start, or if the head job still fits beside it.
func TestReservation(t *testing.T) {
	teams := map[string]*Team{"red": {Quota: Resources{CPUs: 1000}}}
	m := newMachine("m", 8, 64)
	m.Booked = Resources{CPUs: 4, MemoryGB: 4}
	m.Releases = []Release{{core.Time(20 * time.Second), Resources{CPUs: 4, MemoryGB: 4}}}
	head := &Job{ID: "head", Team: "red", ReadyAt: 1, Need: Resources{CPUs: 7, MemoryGB: 4}, Tasks: 1, Waiting: 1, Estimate: time.Minute}
	long := &Job{ID: "long", Team: "red", ReadyAt: 2, Need: Resources{CPUs: 2, MemoryGB: 1}, Tasks: 1, Waiting: 1, Estimate: time.Minute}
	short := &Job{ID: "short", Team: "red", ReadyAt: 3, Need: Resources{CPUs: 2, MemoryGB: 1}, Tasks: 1, Waiting: 1, Estimate: 10 * time.Second}
	beside := &Job{ID: "beside", Team: "red", ReadyAt: 4, Need: Resources{CPUs: 1, MemoryGB: 1}, Tasks: 1, Waiting: 1, Estimate: time.Minute}
	r := Schedule(0, []*Machine{m}, []*Job{short, beside, long, head}, teams, Policy{}, 0)
	if r.ReservedJob != "head" || r.ReservedAt != core.Time(20*time.Second) {
		t.Fatalf("%+v", r)
	}
	got := fmt.Sprint(r.Starts)
	if len(r.Starts) != 2 || long.Waiting != 1 || short.Waiting != 0 || beside.Waiting != 0 {
		t.Fatal(got)
	}
}

// While a gang waits for its team's quota, smaller jobs of the same team must not use up, one by
// one, what becomes free of the quota.
func TestTeamQuotaIsWithheldForHeadJob(t *testing.T) {
	teams := map[string]*Team{"red": {Used: Resources{CPUs: 80}, Quota: Resources{CPUs: 100}}, "blue": {Quota: Resources{CPUs: 100}}}
	gang := &Job{ID: "gang", Team: "red", Rank: 2, Need: Resources{CPUs: 30}, Gang: true, Tasks: 1, Waiting: 1}
	small := &Job{ID: "small", Team: "red", Rank: 1, Need: Resources{CPUs: 1}, Tasks: 30, Waiting: 30}
	other := &Job{ID: "other", Team: "blue", Rank: 1, Need: Resources{CPUs: 1}, Tasks: 5, Waiting: 5}
	Schedule(0, []*Machine{newMachine("m", 64, 64)}, []*Job{gang, small, other}, teams, Policy{}, 0)
	if gang.Waiting != 1 || small.Waiting != 30 || other.Waiting != 0 {
		t.Fatal(gang.Waiting, small.Waiting, other.Waiting)
	}
	teams["red"] = &Team{Used: Resources{CPUs: 70}, Quota: Resources{CPUs: 100}}
	Schedule(0, []*Machine{newMachine("m", 64, 64)}, []*Job{gang, small}, teams, Policy{}, 0)
	if gang.Waiting != 0 {
		t.Fatal("the gang does not start although its team's quota has room")
	}
}

// Random passes: no machine is overbooked, no placement constraint is violated, gangs start
// completely, and the cached choice of backfill is as good as a full search.
func TestScheduleKeepsConstraints(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 3))
		var machines []*Machine
		for i := range 1 + r.IntN(10) {
			m := newMachine(fmt.Sprint("m", i), float64(4+r.IntN(30)), float64(16+r.IntN(100)))
			m.Zone, m.Spot, m.Type = []string{"a", "b"}[r.IntN(2)], r.IntN(3) == 0, []string{"t", "u"}[r.IntN(2)]
			machines = append(machines, m)
		}
		teams := map[string]*Team{"red": {Quota: Resources{CPUs: 40}}, "blue": {Quota: Resources{CPUs: 15}}}
		byID := map[core.JobID]*Job{}
		var jobs []*Job
		for i := range 1 + r.IntN(12) {
			n := 1 + r.IntN(8)
			j := &Job{
				ID: core.JobID(fmt.Sprint("j", i)), Team: []string{"red", "blue"}[r.IntN(2)], Rank: r.IntN(3), ReadyAt: core.WallTime(r.IntN(100)),
				Need: Resources{CPUs: 0.5 + 4*r.Float64(), MemoryGB: 10 * r.Float64()}, Gang: r.IntN(3) == 0, Tasks: n, Waiting: n, Spot: r.IntN(2) == 0,
				OneZone: r.IntN(4) == 0, Estimate: time.Duration(r.IntN(100)) * time.Second,
			}
			j.SpreadZones = !j.OneZone && r.IntN(4) == 0
			if r.IntN(4) == 0 {
				j.Types = []string{"t"}
			}
			jobs, byID[j.ID] = append(jobs, j), j
		}
		res := Schedule(0, machines, jobs, teams, Policy{}, 0)
		count := map[core.JobID]int{}
		at := map[core.MachineID]*Machine{}
		for _, m := range machines {
			at[m.ID] = m
			if !m.Booked.Fits(m.Total) {
				t.Fatalf("seed %d: %s is overbooked", seed, m.ID)
			}
		}
		zones := map[core.JobID]map[string]int{}
		for _, s := range res.Starts {
			j, m := byID[s.Job], at[s.Machine]
			count[j.ID]++
			if zones[j.ID] == nil {
				zones[j.ID] = map[string]int{}
			}
			zones[j.ID][m.Zone]++
			if !j.Allows(m.Type, m.Zone, m.Spot) {
				t.Fatalf("seed %d: %s started on %s, which it does not allow", seed, j.ID, m.ID)
			}
		}
		for id, n := range count {
			j := byID[id]
			if j.Gang && n != j.Tasks {
				t.Fatalf("seed %d: gang %s started only partly", seed, id)
			}
			if j.OneZone && len(zones[id]) > 1 {
				t.Fatalf("seed %d: one-zone job %s started in two zones", seed, id)
			}
			for z, k := range zones[id] {
				if j.SpreadZones && k > (j.Tasks+1)/2 {
					t.Fatalf("seed %d: spread job %s has %d tasks in zone %s", seed, id, k, z)
				}
			}
		}
		for name, team := range teams {
			if team.Used.CPUs > team.Quota.CPUs+1e-6 {
				t.Fatalf("seed %d: team %s uses %g CPUs, more than its quota", seed, name, team.Used.CPUs)
			}
		}
		if res.ReservedJob == "" {
			for _, j := range jobs {
				for _, m := range machines {
					u := teams[j.Team]
					if !j.Gang && !u.WithholdsFrom(j) && j.Waiting > 0 && j.Need.Fits(m.Free()) && j.Allows(m.Type, m.Zone, m.Spot) && j.AllowsZone(m.Zone, j.TasksByZone) && u.Used.CPUs+j.Need.CPUs <= u.Quota.CPUs {
						t.Fatalf("seed %d: %s waits although %s has room", seed, j.ID, m.ID)
					}
				}
			}
		}
	}
}

// A job that has waited long with nothing running starts one task: first where it takes nothing
// from the gangs for which a machine is reserved, then also on a machine that is reserved or
// draining, and although a larger job of its team is next. Users take it as a fault if a job waits
// for 90 s beside a machine with room. Without this rule the job waited as long as a gang that
// needed nearly all of the team's quota. A starving gang does not bypass an overdue job.
func TestStarvingJobsStart(t *testing.T) {
	reserved := func(gang, arrays float64) func(*Machine, *Team) {
		return func(m *Machine, _ *Team) {
			m.GangReserved, m.GangTaskSize, m.BookedByArrays = true, Resources{CPUs: gang, MemoryGB: 1}, Resources{CPUs: arrays, MemoryGB: 1}
			m.BusyFor = time.Minute
		}
	}
	freeSoon := func(m *Machine, t *Team) {
		reserved(7, 0)(m, t)
		m.BusyFor = time.Second
	}
	recentlyBusy := func(m *Machine, _ *Team) {
		m.GangReserved, m.GangTaskSize, m.RecentMinFree = true, m.Total, Resources{CPUs: 0.5, MemoryGB: 64}
	}
	draining := func(m *Machine, _ *Team) { m.Draining = true }
	quota := func(_ *Machine, t *Team) { t.Used.CPUs = 6 }
	for _, tc := range []struct {
		name       string
		starvation Starvation // of the job
		overdue    bool       // the larger job before it
		gang       bool       // the job
		change     func(m *Machine, team *Team)
		starts     bool
	}{
		{"reserved", NotStarving, false, false, reserved(7, 0), false},
		{"reserved, starving", Starving, false, false, reserved(7, 0), true},
		{"reserved, starving, not enough room for the gang's task", Starving, false, false, reserved(7.5, 0), false},
		{"reserved, starving, other arrays beside the gang", Starving, false, false, reserved(7, 1), false},
		{"reserved, starving, the machine is empty sooner", Starving, false, false, freeSoon, false},
		{"reserved, starved", Starved, false, false, reserved(8, 0), true},
		{"reserved and in use until now, starved", Starved, false, false, recentlyBusy, false},
		{"draining", NotStarving, false, false, draining, false},
		{"draining, starving", Starving, false, false, draining, false},
		{"draining, starved", Starved, false, false, draining, true},
		{"quota", NotStarving, false, false, quota, false},
		{"quota, starving", Starving, false, false, quota, false},
		{"quota, starved", Starved, false, false, quota, true},
		{"quota, larger job overdue", Starved, true, false, quota, true},
		{"quota, gang", Starved, false, true, quota, true},
		{"quota, gang, larger job overdue", Starved, true, true, quota, false},
	} {
		m, team := newMachine("m", 8, 64), &Team{Quota: Resources{CPUs: 30}}
		m.RecentMinFree = m.Total
		tc.change(m, team)
		large := &Job{ID: "large", Team: "red", ReadyAt: 1, Gang: true, Tasks: 4, Waiting: 4, Need: Resources{CPUs: 7, MemoryGB: 1}, Overdue: tc.overdue, Rank: 1}
		small := &Job{ID: "small", Team: "red", ReadyAt: 2, Tasks: 9, Waiting: 1, Need: Resources{CPUs: 1, MemoryGB: 1}, Starvation: tc.starvation, Gang: tc.gang, Estimate: 5 * time.Second}
		if tc.gang {
			small.Tasks = 2
		}
		res := Schedule(0, []*Machine{m}, []*Job{large, small}, map[string]*Team{"red": team}, Policy{}, 0)
		if (len(res.Starts) == 1 && res.Starts[0].Job == "small") != tc.starts || len(res.Starts) > 1 {
			t.Errorf("%s: %v", tc.name, res.Starts)
		}
	}
}
