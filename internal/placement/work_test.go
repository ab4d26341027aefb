package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lichenstair/internal/core"
)

// takenOverBlock makes a block that has most of a fleet and has just been recovered: machines with
// room for half of their tasks, and arrays that all differ in the size of their tasks.
func takenOverBlock(machineCount, arrays int) ([]*Machine, []*Job, map[string]*Team) {
	r := rand.New(rand.NewPCG(1, 1))
	machines := benchMachines(r, machineCount, 0.5)
	jobs := []*Job{{ID: "gang", Team: "red", Rank: 2, ReadyAt: 1, Need: Resources{CPUs: 32, MemoryGB: 100}, Gang: true, Tasks: 1, Waiting: 1, Estimate: time.Minute}}
	for i := range arrays {
		tasks := 50 + r.IntN(150)
		jobs = append(jobs, &Job{
			ID: core.JobID(fmt.Sprint("req-", i)), Team: "red", ReadyAt: core.WallTime(2 + i), Need: Resources{CPUs: 0.5 + r.Float64(), MemoryGB: 1 + r.Float64()},
			Tasks: tasks, Waiting: tasks, Estimate: time.Duration(20+r.IntN(60)) * time.Second, Image: fmt.Sprint(i % 14),
		})
	}
	return machines, jobs, map[string]*Team{"red": {Quota: Resources{CPUs: 1e6}}}
}

// A pass runs on the event loop, which answers nobody meanwhile: with a gang that holds a reservation
// and a hundred arrays of different sizes it must not take longer than a question waits.
func TestPassBesideAReservationEndsBeforeQuestionsExpire(t *testing.T) {
	const questionWaits = 1900 * time.Millisecond
	machines, jobs, teams := takenOverBlock(300, 100)
	begun := time.Now()
	result := Schedule(0, machines, jobs, teams, Policy{}, 0)
	took := time.Since(begun)
	if result.ReservedJob != "gang" || len(result.Starts) == 0 {
		t.Fatalf("%q holds the reservation and %d tasks start, want a reservation of the gang and starts", result.ReservedJob, len(result.Starts))
	}
	t.Logf("%d starts in %s", len(result.Starts), took)
	if took > questionWaits {
		t.Errorf("a pass over %d machines and %d jobs took %s, want at most %s", len(machines), len(jobs), took, questionWaits)
	}
}

// A pass that ends early goes on where it stopped: in the end nothing waits that fits, and groups that
// find no room do not keep later ones from being examined.
func TestUnfinishedPassesStartAllThatFits(t *testing.T) {
	machines, jobs, teams := takenOverBlock(1200, 600)
	for i, j := range jobs[1:400] {
		j.Types = []string{fmt.Sprint("missing type ", i)}
	}
	firstGroup, passes, starts := 0, 0, 0
	for unfinished := true; unfinished; passes++ {
		if passes == 100 {
			t.Fatal("100 passes did not finish")
		}
		result := Schedule(0, machines, jobs, teams, Policy{}, firstGroup)
		firstGroup, unfinished = result.NextGroup, result.Unfinished
		starts += len(result.Starts)
	}
	unreserved := func(m *Machine) Resources {
		if m.Total.CPUs >= jobs[0].Need.CPUs {
			return Resources{} // the gang may have it reserved
		}
		return m.Free()
	}
	waiting := 0
	for _, j := range jobs {
		if j.Gang || j.Waiting == 0 {
			continue
		}
		waiting++
		p := &pass{machines: machines}
		if m, _ := p.bestOf(machines, j, unreserved); m != nil {
			t.Fatalf("job %s waits although machine %s has room", j.ID, m.ID)
		}
	}
	t.Logf("%d starts in %d passes, %d jobs wait", starts, passes, waiting)
	if passes < 3 || starts < 5000 || waiting < 399 {
		t.Fatalf("%d starts in %d passes, %d jobs wait: the run does not test what it should", starts, passes, waiting)
	}
}

// Jobs of one group may differ in their estimates: a long task must not follow a short one onto a
// machine that is reserved for gangs and free of them before the long one ends.
func TestNextJobOfAGroupIsCheckedByItsOwnEstimate(t *testing.T) {
	m := newMachine("n-1", 8, 32)
	m.GangReserved, m.GangTaskSize, m.BusyFor = true, Resources{CPUs: 2, MemoryGB: 2}, 50*time.Second
	head := &Job{ID: "head", Team: "red", Rank: 1, ReadyAt: 1, Need: Resources{CPUs: 64}, Gang: true, Tasks: 1, Waiting: 1}
	job := func(id core.JobID, estimate time.Duration) *Job {
		return &Job{ID: id, Team: "red", ReadyAt: 2, Need: Resources{CPUs: 1, MemoryGB: 1}, Tasks: 1, Waiting: 1, Estimate: estimate, Starvation: Starving}
	}
	large := newMachine("n-2", 64, 64)
	large.Booked, large.Releases = Resources{CPUs: 64, MemoryGB: 64}, []Release{{core.Time(time.Second), Resources{CPUs: 64, MemoryGB: 64}}}
	result := Schedule(0, []*Machine{m, large}, []*Job{head, job("req-1", 10*time.Second), job("req-2", 100*time.Second)}, map[string]*Team{"red": {Quota: Resources{CPUs: 1000}}}, Policy{}, 0)
	if len(result.Starts) != 1 || result.Starts[0].Job != "req-1" {
		t.Fatalf("%v start, want only the short task", result.Starts)
	}
}
