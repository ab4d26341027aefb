package sim

import (
	"testing"
	"time"

	"lichenstair/api"
)

// attemptsChange has every task of a gang started again after a copy of each machine's report
// was kept, and then blocks change hands; the copies reach the new holders before the
// machines' answers do.
const attemptsChange = "attempts change, old reports reach the next holders"

// gangsOfOne submits jobs of every team whose single task runs for minutes, as gangs: a
// machine that hangs ends them, and they are started again, often on the same machine.
func gangsOfOne(w *World, n int) {
	for i, team := range w.Cfg.Teams {
		for k := range 4 {
			j := plainJob(w, n+10*i+k)
			j.Team, j.DeadlineS, j.Form, j.Rank = team.Name, nil, api.FormGang, api.RankHigh
			j.Tasks, j.CPUs, j.EstimateS, j.ImageGB, j.Spot = 1, 5, 200, 0.1, false
			j.CheckpointS, j.SaveS = 10, 2
			w.Users.Submit(j)
		}
	}
}

// A task whose attempt was replaced is not started once more because a new holder first
// learns of the old attempt, from a report that comes late (docs/incidents/two-nodes.md).
func TestOldReportsReachNewHolders(t *testing.T) {
	for seed := range seeds(8) {
		w := NewWorld(Settings(3), 5200+seed, nil)
		w.Populate()
		at(w, 8, func() { gangsOfOne(w, 100) })
		fault(w, 60, attemptsChange)
		fault(w, 130, attemptsChange)
		playOut(t, w, seed, 200*time.Second)
	}
}
