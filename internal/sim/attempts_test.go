package sim

import (
	"testing"
	"time"

	"lichenstair/api"
)

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

// attemptsChange has every task of a gang started again after a copy of each machine's report
// was kept, and then blocks change hands; the copies reach the new holders before the
// machines' answers do.
func attemptsChange(w *World) {
	w.KeepReportsForHolders(60 * time.Second)
	w.In(4*time.Second, func() {
		for _, m := range w.Cloud.Up() {
			m.Hang(w.Cfg.Workers.GangPeer + time.Second)
		}
	})
	w.In(25*time.Second, func() { w.anyHost().Restart(3 * time.Second) })
	w.In(40*time.Second, func() { Faults["crash all"](w) })
}

// A task whose attempt was replaced is not started once more because a new holder first
// learns of the old attempt, from a report that comes late (docs/incidents/two-nodes.md).
func TestOldReportsReachNewHolders(t *testing.T) {
	for seed := range seeds(8) {
		w := NewWorld(Settings(3), 5200+seed, nil)
		w.Populate()
		at(w, 8, func() { gangsOfOne(w, 100) })
		at(w, 60, func() { attemptsChange(w) })
		at(w, 130, func() { attemptsChange(w) })
		playOut(t, w, seed, 200*time.Second)
	}
}
