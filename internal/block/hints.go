package block

import (
	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/peer"
)

// BlockHint tells the other controllers how the block stands.
func (h *Holder) BlockHint() peer.BlockHint {
	hint := peer.BlockHint{Number: h.number, Term: h.term, Placing: h.state == placing}
	for _, j := range h.jobs {
		hint.WaitingTasks += max(j.waiting(), 0)
	}
	for _, id := range core.SortedKeys(h.machines) {
		switch m := h.machines[id]; {
		case m.state == live:
			hint.LiveMachines++
			if m.empty() {
				hint.IdleMachines = append(hint.IdleMachines, id)
			}
		case m.state == silent || m.state == unsure || m.state == lapsed && m.up:
			hint.SilentMachines++
		}
	}
	return hint
}

// RunningHints tells the other controllers what runs in the block, for display.
func (h *Holder) RunningHints() (out []peer.RunningHint) {
	for _, id := range core.SortedKeys(h.jobs) {
		if n := h.RunningCount(id); n > 0 {
			out = append(out, peer.RunningHint{Job: id, Tasks: n})
		}
	}
	return out
}

// FailingJobs lists the jobs that are tried one task at a time.
func (h *Holder) FailingJobs() (out []core.JobID) {
	for _, id := range core.SortedKeys(h.jobs) {
		if h.jobs[id].probing() {
			out = append(out, id)
		}
	}
	return out
}

// RunningCount counts the tasks of a job that run, for display.
func (h *Holder) RunningCount(id core.JobID) int {
	j := h.jobs[id]
	if j == nil {
		return 0
	}
	return j.attempts.count(func(s *slot) bool { return s.state == present && s.view != api.TaskFetching })
}
