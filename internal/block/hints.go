package block

import (
	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/peer"
)

// BlockHint returns the state of the block as it is sent to the other controllers.
func (h *Holder) BlockHint() peer.BlockHint {
	hint := peer.BlockHint{Number: h.number, Term: h.term, Placing: h.state == placing}
	for _, j := range h.jobs {
		hint.WaitingTasks += max(j.waitingTasks(), 0)
	}
	for _, m := range h.orderedMachines() {
		switch {
		case m.state == live:
			hint.LiveMachines++
			if m.empty() {
				hint.IdleMachines = append(hint.IdleMachines, m.id)
			}
		case m.state == silent || m.state == unsure || m.state == lapsed && m.inUse:
			hint.SilentMachines++
		}
	}
	return hint
}

// RunningHints returns how many tasks of each job are running, as RunningCount counts them,
// for display by other controllers.
func (h *Holder) RunningHints() (out []peer.RunningHint) {
	for _, j := range h.jobsThat(func(j *job) bool { return !j.attempts.empty() }) {
		if n := h.RunningCount(j.id); n > 0 {
			out = append(out, peer.RunningHint{Job: j.id, Tasks: n})
		}
	}
	return out
}

// FailingJobs returns the jobs that have only failed so far and are tried one task at a time.
func (h *Holder) FailingJobs() (out []core.JobID) {
	for _, j := range h.jobsThat((*job).failing) {
		out = append(out, j.id)
	}
	return out
}

// RunningCount returns how many tasks of a job are on machines and not fetching their image,
// for display.
func (h *Holder) RunningCount(id core.JobID) int {
	j := h.jobs[id]
	if j == nil {
		return 0
	}
	return j.attempts.count(func(s *slot) bool { return s.state == present && s.reportedState != api.TaskFetching })
}
