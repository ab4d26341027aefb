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
	result := Schedule(0, machines, jobs, teams, Policy{})
	took := time.Since(begun)
	if result.ReservedJob != "gang" || len(result.Starts) == 0 {
		t.Fatalf("%q holds the reservation and %d tasks start, want a reservation of the gang and starts", result.ReservedJob, len(result.Starts))
	}
	t.Logf("%d starts in %s", len(result.Starts), took)
	if took > questionWaits {
		t.Errorf("a pass over %d machines and %d jobs took %s, want at most %s", len(machines), len(jobs), took, questionWaits)
	}
}
