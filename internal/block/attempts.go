package block

import (
	"lichenstair/internal/core"
)

// moveSlot is the one place where a slot's state changes.
func (h *Holder) moveSlot(s *slot, to slotState) {
	if s.state == to {
		return
	}
	h.Log.Debug("task changes state", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "from", s.state.String(), "to", to.String())
	s.state = to
}

// setOff notes that a slot's attempt is proven not to be on its machine.
func (h *Holder) setOff(s *slot, why string) {
	was := s.state
	h.moveSlot(s, off)
	s.machine.drop(s)
	if was != planned && was != exited && why != "" {
		h.Log.Info("task is off its machine", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "was", was.String(), "why", why)
	}
	h.unplace(s)
}

// unplace lets a slot's task wait again, unless it is done.
func (h *Holder) unplace(s *slot) {
	h.dirty = true
	j := h.jobs[s.task.Job]
	if j == nil || j.slots[s.task.Index] != s {
		return
	}
	delete(j.slots, s.task.Index)
	if j.done.Has(s.task.Index) {
		return
	}
	j.again = append(j.again, s.task.Index)
	if j.gang() {
		h.breakGang(j)
	}
}

// breakGang stops what is left of a gang that lost a member.
func (h *Holder) breakGang(j *job) {
	if len(j.slots) == 0 {
		j.broken = false
		return
	}
	j.broken = true
	for _, i := range core.Keys(j.slots) {
		if s := j.slots[i]; s != nil && s.state == planned {
			s.machine.drop(s)
			h.moveSlot(s, off)
			delete(j.slots, s.task.Index)
			j.again = append(j.again, s.task.Index)
		} else if s != nil {
			s.stop = true
		}
	}
	if len(j.slots) == 0 {
		j.broken = false
	}
}

// checkGangs breaks gangs of which recovery found only a part.
func (h *Holder) checkGangs() {
	for _, id := range core.Keys(h.jobs) {
		if j := h.jobs[id]; j.gang() && len(j.slots) > 0 && j.waiting() > 0 {
			h.breakGang(j)
		}
	}
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
