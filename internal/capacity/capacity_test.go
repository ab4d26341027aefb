package capacity

import (
	"fmt"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

func types() map[string]api.MachineType {
	return map[string]api.MachineType{
		"small": {Name: "small", CPUs: 8, MemoryGB: 32, Price: 1, SpotPrice: 0.3, Zones: []string{"a", "b"}},
		"large": {Name: "large", CPUs: 32, MemoryGB: 256, Price: 5, SpotPrice: 2, Zones: []string{"a"}},
	}
}

func gangOf(id string, tasks int, cpus float64) *Job {
	j := &Job{Remaining: tasks}
	j.ID, j.Team, j.Gang, j.Tasks, j.Need = core.JobID(id), "red", true, tasks, placement.Resources{CPUs: cpus, MemoryGB: 1}
	j.Estimate = time.Minute
	return j
}

func plan(jobs []*Job, machines []*Machine) Plan {
	return MakePlan(Input{Jobs: jobs, Machines: machines, Types: types(), TeamQuota: map[string]float64{"red": 100}, IdleTimeout: time.Minute})
}

// A gang whose tasks must be spread over zones needs machines in two zones. When machines were
// rented in one zone only, the gang waited forever.
func TestSpreadGangRentsInTwoZones(t *testing.T) {
	j := gangOf("req-1", 3, 8)
	j.SpreadZones = true
	zones := map[string]int{}
	for _, r := range plan([]*Job{j}, nil).Rent {
		zones[r.Zone] += r.Count
	}
	if zones["a"] == 0 || zones["b"] == 0 || zones["a"]+zones["b"] != 3 {
		t.Fatal(zones)
	}
}

// For a job that is ready soon, since its dependencies run, machines are rented and kept in the
// pool. None is assigned to its block, drained for it, or taken from others.
func TestMachinesAreRentedForJobsReadySoon(t *testing.T) {
	step := func(readySoon bool) *Job {
		j := gangOf("req-2", 16, 1)
		j.Gang, j.Spot, j.TimeSensitive, j.Block, j.ReadySoon = false, true, true, 1, readySoon
		return j
	}
	idle := &Machine{ID: "n-1", Type: "small", Zone: "a", Spot: true, Block: NoBlock, Ready: true, FreeFor: time.Hour}
	p := plan([]*Job{step(true)}, []*Machine{idle})
	if len(p.Assign) > 0 || len(p.Return) > 0 || len(p.Rent) != 1 || p.Rent[0].Block != NoBlock || p.Rent[0].Count != 1 {
		t.Fatalf("job ready soon: %+v", p)
	}
	if p := plan([]*Job{step(false)}, []*Machine{idle}); p.Assign["n-1"] != 1 || len(p.Rent) != 1 {
		t.Fatalf("job ready now: %+v", p)
	}
	other := gangOf("req-1", 1, 8)
	other.Block = 0
	held := &Machine{ID: "n-2", Type: "small", Zone: "a", Block: 0, Ready: true, Idle: true}
	p = plan([]*Job{step(true), other}, []*Machine{idle, held})
	if len(p.Drain) > 0 || len(p.Rent) != 1 {
		t.Fatalf("job ready soon beside a job that is ready: %+v", p)
	}
}

// A gang that must stay in one zone must not count as fitting on machines of two zones.
func TestOneZoneGangRentsInItsZone(t *testing.T) {
	j := gangOf("req-1", 3, 8)
	j.OneZone = true
	p := plan([]*Job{j}, []*Machine{{ID: "n-1", Type: "small", Zone: "b"}, {ID: "n-2", Type: "small", Zone: "a"}, {ID: "n-3", Type: "small", Zone: "b"}})
	if len(p.Rent) != 1 || p.Rent[0].Zone != "b" || p.Rent[0].Count != 1 {
		t.Fatalf("%+v", p)
	}
}

// A job misses its objectives only when all of them are missed. After 15 minutes it is not deferred
// any more.
func TestMissesObjectives(t *testing.T) {
	deadline := 100.0
	objectives := []config.Objective{
		{Kind: "deadline", Class: "x", DeadlineFactor: 1}, {Kind: "deadline", Class: "x", DeadlineFactor: 1.5},
		{Kind: "wait", Class: "y", Within: 20 * time.Second}, {Kind: "finished", Class: "y", Within: 90 * time.Second},
	}
	x := &api.Job{Class: "x", DeadlineS: &deadline, EstimateS: 30}
	y := &api.Job{Class: "y", EstimateS: 30}
	z := &api.Job{Class: "z", EstimateS: 30}
	for _, tc := range []struct {
		job  *api.Job
		age  core.WallTime
		late bool
	}{{x, 110_000, false}, {x, 121_000, true}, {y, 10_000, false}, {y, 59_000, false}, {y, 61_000, true}, {y, 901_000, false}, {z, 500_000, false}} {
		if got := MissesObjectives(objectives, tc.job, 0, 0, tc.age); got != tc.late {
			t.Errorf("class %s at age %d ms: got %v", tc.job.Class, tc.age, got)
		}
	}
}

// Work that may use spot machines gets on-demand machines only when demand is far higher than what
// is available. Otherwise the money would be spent on machines that boot too late.
func TestOnDemandMachinesOnlyWhenScarce(t *testing.T) {
	j := &Job{Remaining: 40}
	j.ID, j.Team, j.Tasks, j.Spot, j.TimeSensitive, j.Need, j.Estimate = "req-1", "red", 40, true, true, placement.Resources{CPUs: 1, MemoryGB: 1}, time.Minute
	in := Input{Jobs: []*Job{j}, Types: types(), TeamQuota: map[string]float64{"red": 100}, UnavailableOffers: map[Offer]bool{}}
	for _, o := range []Offer{{"small", "a", true}, {"small", "b", true}, {"large", "a", true}} {
		in.UnavailableOffers[o] = true // no spot machine is available
	}
	if p := MakePlan(in); len(p.Rent) != 1 || p.Rent[0].Spot {
		t.Fatalf("no machine is available: want one on-demand rental, got %+v", p.Rent)
	}
	for range 2 {
		in.Machines = append(in.Machines, &Machine{ID: core.MachineID(rune('a' + len(in.Machines))), Type: "small", Zone: "a"})
	}
	if p := MakePlan(in); len(p.Rent) != 0 {
		t.Fatalf("16 CPUs for 40 tasks: want no rental, got %+v", p.Rent)
	}
	// Within a guarantee it gets all that it needs, also when it is only ready soon: the steps of
	// pipelines waited for spot machines that were unavailable.
	for _, readySoon := range []bool{false, true} {
		j.Guaranteed, j.ReadySoon = true, readySoon
		if p := MakePlan(in); len(p.Rent) != 1 || p.Rent[0].Spot || p.Rent[0].Count != 3 {
			t.Fatalf("24 CPUs are missing within a guarantee, ready soon %v: want 3 on-demand machines, got %+v", readySoon, p.Rent)
		}
	}
	j.Guaranteed, j.ReadySoon = false, false
	// What is rented within a guarantee does not count against the CPUs that are missing for
	// others: an array of a team without a guarantee was left with a third of it done.
	own := *j
	own.ID, own.Team, own.Guaranteed = "req-0", "blue", true
	short := in
	short.Jobs, short.Forecast, short.TeamQuota = []*Job{&own, j}, Demand{MissingCPUs: 40}, map[string]float64{"red": 100, "blue": 100}
	rented := 0.0
	for _, r := range MakePlan(short).Rent {
		rented += float64(r.Count) * in.Types[r.Type].CPUs
	}
	if rented < 64 {
		t.Fatalf("%v CPUs are rented for 80 tasks, with 16 CPUs available; want at least 64", rented)
	}
	// Work that is not time-sensitive gets no on-demand machines, however much of it there is,
	// except for a few where it has no machine at all. A borrowing team's 2,600 CPUs of such work
	// took 60 CPUs of them at three times the price (docs/incidents/inc-b616.md).
	j.TimeSensitive, j.Remaining, j.Tasks = false, 90, 90
	if p := MakePlan(in); len(p.Rent) != 0 || p.Demand.SpotCPUs != 0 {
		t.Fatalf("%+v", p)
	}
	in.Machines = nil
	if p := MakePlan(in); len(p.Rent) != 1 || p.Rent[0].Spot || p.Rent[0].Count != 1 {
		t.Fatalf("%+v", p.Rent)
	}
}

// Similar single-task jobs claim room together, and as much as each by itself.
func TestSimilarSingleTaskJobsAreMerged(t *testing.T) {
	var jobs []*Job
	for i := range 50 {
		j := &Job{Remaining: 1, Deadline: core.WallTime(100_000 + i)}
		j.ID, j.Team, j.Tasks, j.Spot, j.TimeSensitive, j.ReadyAt, j.Need, j.Estimate = core.JobID(fmt.Sprint("req-", 100+i)), "red", 1, true, true, core.WallTime(i), placement.Resources{CPUs: 0.5, MemoryGB: 1}, time.Minute
		jobs = append(jobs, j)
	}
	if n := len(mergeSimilar(jobs)); n != 1 {
		t.Fatalf("%d arrays after merging, want 1", n)
	}
	if p := plan(jobs, nil); len(p.Rent) != 1 || p.Rent[0].Count != 4 {
		t.Fatalf("%+v for 25 CPUs on machines of 8", p.Rent)
	}
	jobs[30].Remaining = 2 // has a deadline and more than one task, so it is not merged
	if n := len(mergeSimilar(jobs)); n != 3 {
		t.Fatalf("%d arrays after merging, want 3", n)
	}
}

// The oldest gang that needs a rare machine type gets the machine, also from another block.
// Machines that no job claims are returned after the idle time-out, and not before.
func TestGangGetsRareMachineAndIdleOnesAreReturned(t *testing.T) {
	j := gangOf("req-1", 1, 30)
	j.Block = 1
	p := plan([]*Job{j}, []*Machine{{ID: "n-1", Type: "large", Zone: "a", Block: 0}, {ID: "n-2", Type: "small", Zone: "a", Block: NoBlock, FreeFor: time.Hour}, {ID: "n-3", Type: "small", Zone: "a", Block: NoBlock}})
	if len(p.Drain) != 1 || p.Drain[0] != "n-1" || len(p.Rent) != 0 || len(p.Return) != 1 || p.Return[0] != "n-2" {
		t.Fatalf("%+v", p)
	}
	p = plan([]*Job{j}, []*Machine{{ID: "n-1", Type: "large", Zone: "a", Block: NoBlock}, {ID: "n-2", Type: "large", Zone: "a", Block: NoBlock, Ready: true}})
	if p.Assign["n-2"] != 1 || len(p.Assign) != 1 {
		t.Fatalf("want the booted machine n-2 assigned: %+v", p)
	}
	p = plan([]*Job{j}, []*Machine{{ID: "n-1", Type: "large", Zone: "a", Block: NoBlock}})
	if p.Assign["n-1"] != 1 || len(p.Assign) != 1 {
		t.Fatalf("%+v", p)
	}
}

// Large machines that gangs fill are no room for arrays to come. When they counted as such, they
// made up the whole forecast, and the small spot machines were returned just before the next burst.
func TestGangMachinesAreNoStandbyForArrays(t *testing.T) {
	var machines []*Machine
	var jobs []*Job
	for i := range 4 {
		machines = append(machines, &Machine{ID: core.MachineID('a' + rune(i)), Type: "large", Zone: "a", Block: 0, Ready: true})
		jobs = append(jobs, gangOf(string(rune('a'+i)), 1, 20))
	}
	for i := range 6 {
		machines = append(machines, &Machine{ID: core.MachineID('k' + rune(i)), Type: "small", Zone: "a", Spot: true, Block: NoBlock, Ready: true, FreeFor: time.Hour})
	}
	p := MakePlan(Input{Jobs: jobs, Machines: machines, Types: types(), TeamQuota: map[string]float64{"red": 1000}, IdleTimeout: time.Minute, Forecast: Demand{SpotCPUs: 80}})
	// The gangs leave 48 CPUs; with 32 CPUs of the small machines that is the forecast of 80.
	if len(p.Return) != 2 {
		t.Fatalf("%d of 6 small machines are returned, want 2", len(p.Return))
	}
}

// Jobs that waited for their dependencies do not predict arrivals that are not known in advance.
// When they counted as arrivals, each step of the last pipelines had spot machines rented ahead for
// half of its size after the last arrival, while nothing else was left to run.
func TestJobsWithDependenciesAreNoArrivals(t *testing.T) {
	for _, hasDependencies := range []bool{false, true} {
		j := &Job{Remaining: 100, HasDependencies: hasDependencies}
		j.ID, j.Team, j.Tasks, j.Spot, j.Guaranteed, j.Need = "req-1", "red", 100, true, true, placement.Resources{CPUs: 1, MemoryGB: 1}
		var trend DemandTrend
		trend.Observe(0, Demand{})
		trend.ObserveArrivals(core.Time(time.Second), []*Job{j}, nil, types())
		trend.Observe(core.Time(time.Second), Demand{})
		if ahead := trend.Forecast().SpotCPUs; (ahead > 0) == hasDependencies {
			t.Errorf("has dependencies %v: %v CPUs are kept ready", hasDependencies, ahead)
		}
	}
}
