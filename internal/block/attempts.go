package block

import (
	"lichenstair/internal/core"
)

// book is the one place where an attempt comes into the picture of its machine and its job.
func (h *Holder) book(s *slot) {
	s.machine.add(s)
	j := h.jobs[s.task.Job]
	if j != nil && s.booked() && s.task.Index < j.spec.Tasks {
		j.attempts.add(s)
	}
}

// moveSlot is the one place where a slot's state changes, and with it the one where an
// attempt leaves its job's picture.
func (h *Holder) moveSlot(s *slot, to slotState) {
	if s.state == to {
		return
	}
	h.Log.Debug("task changes state", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "from", s.state.String(), "to", to.String())
	was := s.booked()
	s.state = to
	if was && !s.booked() {
		h.unbook(s)
	}
}

// setOff notes that a slot's attempt is proven not to be on its machine.
func (h *Holder) setOff(s *slot, why releaseReason) {
	was := s.state
	s.machine.drop(s)
	h.moveSlot(s, off)
	h.Metrics.Releases.WithLabelValues(string(why)).Inc()
	if was != planned && was != exited && why.lost() {
		h.Log.Info("task is off its machine", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "was", was.String(), "why", why)
	}
	h.dirty = true
}

// unbook takes an attempt that is not on its machine out of its job's picture. Its task
// is in line again, and waits if it is not done and no other attempt of it is booked.
func (h *Holder) unbook(s *slot) {
	j := h.jobs[s.task.Job]
	if j == nil || !j.attempts.remove(s) || j.done.Has(s.task.Index) {
		return
	}
	j.again = append(j.again, s.task.Index)
	h.checkGang(j)
}

// checkGang stops what is left of a gang that is not whole. A holder that recovers does so
// once it has heard of all machines; before, its picture may lack members that run.
func (h *Holder) checkGang(j *job) {
	switch {
	case !j.gang() || h.state != placing:
		return
	case j.attempts.empty():
		j.broken = false
		return
	case !j.broken && j.whole():
		return
	}
	j.broken = true
	for _, s := range j.attempts.all() {
		if s.state == planned {
			h.setOff(s, releasePlanDropped)
		} else {
			s.stop = stopGangBroken
		}
	}
}

// checkGangs stops what is left of gangs of which recovery found only a part.
func (h *Holder) checkGangs() {
	for _, id := range core.SortedKeys(h.jobs) {
		h.checkGang(h.jobs[id])
	}
}

// useless tells why an attempt is of no use to its job: its task is done, or a newer attempt
// of it is on a machine as well. Empty: it is of use. While a holder recovers, an attempt that
// it was shown may be gone already, so none is stopped for the sake of another.
func (h *Holder) useless(j *job, s *slot) stopReason {
	switch {
	case s.task.Index >= j.spec.Tasks:
		return stopUnknownTask
	case j.done.Has(s.task.Index) && j.gang():
		return "" // a gang's members report by themselves that they are done
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

// finish notes that a task has completed.
func (h *Holder) finish(j *job, index int) {
	if j.done.Has(index) {
		return
	}
	j.done.Add(index)
	j.pending.Add(index)
	h.dirty = true
}
