package sim

import (
	"fmt"
	"testing"
	"time"

	"lichenstair/api"
)

// submitWaitingJobs submits jobs, 100 a second, far more than the machines can run.
func (w *World) submitWaitingJobs(count int) {
	for i := range count {
		j := api.Job{
			ID: fmt.Sprintf("req-%06d", i), Class: "counts", Team: w.Cfg.Teams[i%len(w.Cfg.Teams)].Name, Form: api.FormArray, Rank: api.RankStandard,
			Tasks: 30, CPUs: 1, MemoryGB: 2, Image: "img-1", ImageGB: 0.5, EstimateS: 30, Spot: true,
		}
		w.At(3*time.Second+time.Duration(i)*10*time.Millisecond, func() { w.Users.Submit(j) })
	}
}

// Health checks that fail while many questions wait for a slow state service take controllers out of
// the load balancer for up to a minute; the rest then get more questions than they can hold.
func TestControllersStayInServiceWhileManyQuestionsWait(t *testing.T) {
	t.Parallel()
	const slowFrom, slowFor = 50 * time.Second, 60 * time.Second
	w := fleet(5, 40, 40)
	w.Cfg.StateLimits.RPS = 40
	w.State.SetLimits(w.Cfg.StateLimits)
	w.UseBalancer()
	w.submitWaitingJobs(3000)
	w.At(slowFrom, func() {
		w.State.Slow(slowFor)
		w.Users.PollRateFactor = 6
	})
	w.At(slowFrom+slowFor, func() { w.Checker.FaultsEnded(w.Now()) })
	w.Run(slowFrom + slowFor + 80*time.Second)
	t.Logf("%d polls answered, %d not, %d requests without a healthy controller", w.Users.Answered, w.Users.Unanswered, w.Balancer.NoBackend)
	if len(w.Checker.Violations) > 0 {
		t.Fatalf("%d rules broken, the first: %s", len(w.Checker.Violations), w.Checker.Violations[0])
	}
}

// In a slow state service each controller alone lacks a proof now and then. Withdrawing each time
// left users without any controller in service.
func TestSlowStateServiceLeavesAControllerInService(t *testing.T) {
	t.Parallel()
	const slowFrom, slowFor = 20 * time.Second, 240 * time.Second
	for seed := range seeds(6) {
		w := NewWorld(Settings(3), 900+seed, nil)
		w.Populate()
		w.UseBalancer()
		w.GenerateLoad(slowFrom+slowFor, 4*time.Second)
		w.At(slowFrom, func() { w.State.Slow(slowFor) })
		w.Run(slowFrom)
		before := w.Balancer.NoBackend
		w.Run(slowFrom + slowFor)
		if n := w.Balancer.NoBackend - before; n > 0 {
			t.Errorf("seed %d: for %d requests no controller was in service", seed, n)
		}
	}
}
