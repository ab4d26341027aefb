package sim

import (
	"testing"
	"time"

	"lichenstair/api"
)

// attemptsReplaced names the fault that records a report of each machine, restarts every gang
// task with a new attempt and then moves blocks between controllers. Copies of the recorded
// reports reach the new holders before the machines' responses do.
const attemptsReplaced = "attempts replaced, old reports reach the new holders"

// submitSingleTaskGangs submits, for every team, gangs of one task that runs for minutes. A
// machine that hangs ends them, and they are started again as a new attempt, often on the same
// machine.
func submitSingleTaskGangs(w *World, n int) {
	for i, team := range w.Cfg.Teams {
		for k := range 4 {
			j := unconstrainedJob(w, n+10*i+k)
			j.Team, j.DeadlineS, j.Form, j.Rank = team.Name, nil, api.FormGang, api.RankHigh
			j.Tasks, j.CPUs, j.EstimateS, j.ImageGB, j.Spot = 1, 5, 200, 0.1, false
			j.CheckpointS, j.SaveS = 10, 2
			w.Users.Submit(j)
		}
	}
}

// A new holder that first learns of a replaced attempt, from a report that arrives late, must
// not start the task a second time (docs/incidents/two-nodes.md).
func TestOldReportsReachNewHolders(t *testing.T) {
	for seed := range seeds(8) {
		w := NewWorld(Settings(3), 5200+seed, nil)
		w.Populate()
		at(w, 8, func() { submitSingleTaskGangs(w, 100) })
		injectAt(w, 60, attemptsReplaced)
		injectAt(w, 130, attemptsReplaced)
		playOut(t, w, seed, 200*time.Second)
	}
}
