package sim

import (
	"fmt"
	"testing"
	"time"

	"lichenstair/api"
)

// submitShortTasks submits arrays of short tasks for every team, more than its quota lets run at a
// time, so that tasks start all the time.
func submitShortTasks(w *World) {
	for i, team := range w.Cfg.Teams {
		for k := range 40 {
			j := unconstrainedJob(w, 1000*(i+1)+k)
			j.Team, j.DeadlineS, j.Spot, j.Rank = team.Name, nil, false, api.RankStandard
			j.Tasks, j.CPUs, j.MemoryGB, j.EstimateS, j.Image, j.ImageGB = 20, 1, 1, 6, "short", 0.1
			w.Users.Submit(j)
		}
	}
}

// cancelUnfinished cancels a random unfinished job every 100 ms until a time.
func cancelUnfinished(w *World, until SimTime) {
	if w.now >= until {
		return
	}
	var ids []string
	for i := range w.Cfg.Teams {
		for k := range 40 {
			id := fmt.Sprintf("req-%06d", 1000*(i+1)+k)
			if j := w.Checker.jobs[id]; j != nil && j.accepted && j.final == "" && !j.cancelRequested {
				ids = append(ids, id)
			}
		}
	}
	if len(ids) > 0 {
		w.Users.Cancel(ids[w.Rand.IntN(len(ids))])
	}
	w.After(100*time.Millisecond, func() { cancelUnfinished(w, until) })
}

// Guards against starts of a job's tasks by a holder that cannot know of a cancellation, after the
// job's user was told that it is cancelled.
func TestNoStartAfterConfirmedCancellation(t *testing.T) {
	const faultFor = 15 * time.Second
	for _, tc := range []struct {
		name   string
		inject func(w *World, h *Host)
	}{
		{"without a fault", func(*World, *Host) {}},
		{"a holder reaches only its workers", func(w *World, h *Host) { w.IsolateWithWorkers(h, faultFor) }},
		{"a holder reaches only its workers, messages are held", func(w *World, h *Host) {
			w.Partition(endpoint(h.name), "state", faultFor, true)
			w.partitionFromPeers(h, faultFor, true)
		}},
		{"the state service rejects a holder, messages of its peers are lost", func(w *World, h *Host) {
			w.State.RejectRequestsFrom(h.name, faultFor)
			w.partitionFromPeers(h, faultFor, false)
		}},
		{"the state service rejects a holder", func(w *World, h *Host) { w.State.RejectRequestsFrom(h.name, faultFor) }},
		{"a holder reaches the state service but not its peers", func(w *World, h *Host) { w.partitionFromPeers(h, faultFor, false) }},
		{"a holder is paused", func(_ *World, h *Host) { h.Stall(faultFor) }},
		{"a holder is cut off and then paused", func(w *World, h *Host) {
			w.IsolateWithWorkers(h, faultFor)
			w.After(3*time.Second, func() { h.Stall(4 * time.Second) })
		}},
		{"a holder restarts", func(_ *World, h *Host) { h.Restart(500 * time.Millisecond) }},
		{"all controllers restart", func(w *World, _ *Host) { w.crashAll() }},
		{"a holder is cut off and the others restart", func(w *World, h *Host) {
			w.IsolateWithWorkers(h, faultFor)
			for _, o := range w.Hosts {
				if o != h {
					o.Restart(300 * time.Millisecond)
				}
			}
		}},
		{"the state service is slow and a holder is cut off", func(w *World, h *Host) {
			w.State.Slow(faultFor)
			w.Partition(endpoint(h.name), "state", faultFor, true)
			w.partitionFromPeers(h, faultFor, true)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(2) {
				w := NewWorld(Settings(3), 7100+seed, nil)
				w.Populate()
				at(w, 5, func() { submitShortTasks(w) })
				at(w, 60, func() { cancelUnfinished(w, w.now+20*time.Second) })
				at(w, 62, func() { tc.inject(w, w.Hosts[int(seed)%len(w.Hosts)]) })
				confirmed := 0
				at(w, 90, func() { confirmed = cancelledJobs(w) })
				playOut(t, w, seed, 100*time.Second)
				if confirmed < 20 {
					t.Fatalf("seed %d: only %d cancellations were confirmed", seed, confirmed)
				}
			}
		})
	}
}

// cancelledJobs counts the jobs whose users were told that they are cancelled.
func cancelledJobs(w *World) (n int) {
	for _, j := range w.Checker.jobs {
		if j.final == api.PhaseCancelled {
			n++
		}
	}
	return n
}
