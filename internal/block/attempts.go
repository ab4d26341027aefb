package block

import (
	"slices"

	"lichenstair/internal/core"
)

// book adds an attempt to its machine and to its job. No other function does so.
func (h *Holder) book(s *slot) {
	s.machine.addSlot(s)
	if j := h.jobs[s.task.Job]; j != nil {
		j.addAttempt(s)
		return
	}
	if h.attemptsWithoutJob == nil {
		h.attemptsWithoutJob = map[core.JobID][]*slot{}
	}
	h.attemptsWithoutJob[s.task.Job] = append(h.attemptsWithoutJob[s.task.Job], s)
}

// forget removes an attempt that is no longer on its machine from those without a job.
func (h *Holder) forget(s *slot) {
	attempts := h.attemptsWithoutJob[s.task.Job]
	i := slices.Index(attempts, s)
	switch {
	case i < 0:
	case len(attempts) == 1:
		delete(h.attemptsWithoutJob, s.task.Job)
	default:
		h.attemptsWithoutJob[s.task.Job] = slices.Delete(attempts, i, i+1)
	}
}

// addAttempt adds an attempt to the job's set if it is booked and of one of the job's tasks.
func (j *job) addAttempt(s *slot) {
	if s.booked() && s.task.Index < j.spec.Tasks {
		j.attempts.add(s)
	}
}

// setSlotState changes the state of a slot that has been booked, and removes the attempt from
// its job once it is no longer booked. No other function does so.
func (h *Holder) setSlotState(s *slot, to slotState) {
	if s.state == to {
		return
	}
	h.Log.Debug("attempt state changed", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "from", s.state.String(), "to", to.String())
	was := s.booked()
	s.state = to
	if was && !s.booked() {
		h.unbook(s)
	}
}

// releaseAttempt records that an attempt is proven not to be on its machine.
func (h *Holder) releaseAttempt(s *slot, reason releaseReason) {
	was := s.state
	s.machine.removeSlot(s)
	h.forget(s)
	h.setSlotState(s, off)
	h.Metrics.Releases.WithLabelValues(string(reason)).Inc()
	if was != planned && was != exited && reason.mayLoseWork() {
		h.Log.Info("attempt released from its machine", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "was", was.String(), "why", reason)
	}
	h.dirty = true
}

// unbook removes an attempt that is no longer on its machine from its job. The task is queued
// again; it counts as waiting if it is not done and no other attempt of it is booked.
func (h *Holder) unbook(s *slot) {
	j := h.jobs[s.task.Job]
	if j == nil || !j.attempts.remove(s) || j.done.Has(s.task.Index) {
		return
	}
	j.requeued = append(j.requeued, s.task.Index)
	h.checkGang(j)
}

// checkGang stops the remaining members of a gang that is incomplete. A recovering holder does
// not do so before it has heard from all machines, since until then it may not know of members
// that are running.
func (h *Holder) checkGang(j *job) {
	switch {
	case !j.gang() || h.state != placing:
		return
	case j.attempts.empty():
		j.broken = false
		return
	case !j.broken && j.gangComplete():
		return
	}
	j.broken = true
	for _, s := range j.attempts.all() {
		if s.state == planned {
			h.releaseAttempt(s, releasePlanDropped)
		} else {
			s.stopRequest = stopGangBroken
		}
	}
}

// checkGangs stops the remaining members of gangs of which recovery found only a part.
func (h *Holder) checkGangs() {
	for _, j := range h.jobsThat((*job).gang) {
		h.checkGang(j)
	}
}

// redundancy returns why a job has no use for an attempt: its task is done, or a newer attempt
// of the task is on a machine as well. It is empty if the attempt is needed. While the holder
// recovers, no attempt is stopped in favour of another, since an attempt that it has been
// shown may have left its machine already.
func (h *Holder) redundancy(j *job, s *slot) stopReason {
	switch {
	case s.task.Index >= j.spec.Tasks:
		return stopUnknownTask
	case j.done.Has(s.task.Index) && j.gang():
		return "" // the members of a gang report their completion themselves
	case j.done.Has(s.task.Index):
		return stopTaskDone
	case h.state != placing:
		return ""
	}
	if current := j.attempts.current(s.task.Index); current != nil && current != s && current.state == present {
		return stopSuperseded
	}
	return ""
}

// markDone records that a task has completed.
func (h *Holder) markDone(j *job, index int) {
	if j.done.Has(index) {
		return
	}
	j.done.Add(index)
	j.pending.Add(index)
	h.dirty = true
}
