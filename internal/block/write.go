package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
)

// persistInUse starts a write if a machine with booked attempts is not yet durably marked as
// in use. This must be durable before anything starts on it: the next holder does not wait for
// machines that are not in use.
func (h *Holder) persistInUse() {
	for _, m := range h.machines {
		if !m.inUse && !m.empty() {
			h.writeRecords()
			return
		}
	}
}

// writeRecords brings the records in line with the holder's state, one transaction at a time.
func (h *Holder) writeRecords() {
	if h.writeInFlight || h.state == released {
		return
	}
	b, ok := h.Mirror.Blocks[h.number]
	if !ok || b.Record.Term != h.term || b.Record.Holder != h.Host {
		return
	}
	t := api.Txn{If: []api.Condition{{Key: state.KeyBlock(h.number), Version: uint64(b.Version)}}}
	h.writeMachines(&t)
	h.writeCompletions(&t)
	if len(t.Then) == 0 {
		return
	}
	h.writeInFlight = true
	h.State.TxnLowPriority(t, func(r state.Result) {
		next := func(bool) {
			h.Loop.After(writeInterval/2, func() {
				h.writeInFlight = false
				h.writeRecords()
			})
		}
		switch r.Outcome {
		case state.Applied:
			h.Mirror.WaitFor(r.Revision, next)
		case state.Refused:
			h.Loop.After(500*time.Millisecond, func() { next(false) })
		default:
			// The write may have been executed, or may still be: bring the mirror up to date
			// before deciding anything.
			h.Log.Info("write not confirmed", "outcome", r.Outcome.String(), "failed", r.Failed)
			h.Mirror.ConfirmFresh(next)
		}
	})
}

// maxChanges returns how many changes a transaction may have.
func (h *Holder) maxChanges() int {
	return h.State.BatchSize(min(h.Config.StateLimits.TxnOps, maxTxnChanges))
}

// writeMachines adds the changes to the records of the block's machines.
func (h *Holder) writeMachines(t *api.Txn) {
	now := h.Loop.Now()
	blockInventory, poolInventory := h.Mirror.Inventory(h.number), h.Mirror.Inventory(state.PoolInventory)
	edit := h.Mirror.Edit(h.Config.StateLimits, max(h.maxChanges()/2, 2), h.number+1) // stripe 0 is the leader's
	for record := range blockInventory.All() {
		m := h.machines[record.ID]
		if m == nil {
			continue
		}
		version := blockInventory.VersionOf(record.ID)
		switch p, ok := poolInventory.Find(record.ID); {
		case ok && p.PoolState == state.PoolGone && m.empty():
			edit.Remove(h.number, record.ID) // the leader forgets it once no block lists it
		case h.mayLeave(m, version, now):
			h.moveToPool(edit, m, record, version)
		default:
			h.writeMachine(edit, m, record, version, now)
		}
	}
	edit.Apply(t)
}

// mayLeave reports whether a machine may be moved to the pool, or has been moved by a write
// that may still take effect.
func (h *Holder) mayLeave(m *machine, version core.Revision, now core.Time) bool {
	if h.state != placing || !m.fenced || m.returnRequested || m.unreachable || m.state != live || !h.vacant(m) {
		return false
	}
	return m.poolMoveVersion == version || h.shouldLeave(m, now)
}

// moveToPool moves a machine's record to the pool.
func (h *Holder) moveToPool(edit *state.Edit, m *machine, record state.Machine, version core.Revision) {
	record.InUse, record.Draining, record.Expiring, record.Term = false, false, false, 0
	record.Addr, record.LastTerm = m.addr, h.commandTerm(m)
	if edit.Move(h.number, state.PoolInventory, record) {
		h.Log.Info("moving machine to the pool", "machine", m.id, "asked", m.draining)
		m.poolMoveVersion = version
	}
}

// writeMachine updates the record of a machine that stays in the block.
func (h *Holder) writeMachine(edit *state.Edit, m *machine, record state.Machine, version core.Revision, now core.Time) {
	was := record
	if !m.inUse && !m.empty() || m.inUse && m.addr != "" && record.Addr != m.addr {
		record.InUse, record.Addr = true, m.addr
	}
	if m.state == lapsed && m.empty() && record.InUse {
		// The lease has expired and nothing can be on the machine: a later holder need not
		// wait for it.
		record.InUse = false
		m.clearInUseVersion = version
	}
	record.ReturnRequested = record.ReturnRequested || h.shouldReturn(m, now)
	record.Expiring = m.reclaimAt != 0 || m.state == lapsed
	if record != was && edit.Set(h.number, record) && record.ReturnRequested != was.ReturnRequested {
		h.Log.Info("machine does not answer; requesting its return to the cloud", "machine", m.id, "state", m.state.String())
	}
}

// vacant reports whether nothing is booked on a machine, and no completion reported on it is
// still to be made durable by this holder.
func (h *Holder) vacant(m *machine) bool {
	for _, s := range m.slots {
		e := h.Mirror.Jobs[s.task.Job]
		if s.booked() || s.exitCause == api.CauseDone && e != nil && !e.Finished() && !e.Done.Has(s.task.Index) {
			return false
		}
	}
	return true
}

// shouldLeave reports whether an empty machine should leave the block.
func (h *Holder) shouldLeave(m *machine, now core.Time) bool {
	if m.draining {
		return true
	}
	if m.reclaimAt != 0 || m.idleSince == 0 || now.Sub(m.idleSince) < minIdleToLeave {
		return false
	}
	if now.Sub(m.idleSince) > h.Config.Operator.IdleTimeout {
		return true // the waiting jobs have not been able to use it
	}
	for _, j := range h.jobs {
		if j.waitingTasks() > 0 && h.machineSuits(j, m) && h.withinQuota(j) {
			return false
		}
	}
	return true
}

// withinQuota reports whether the quota of a job's team leaves room for what would start next
// of the job. Without this check machines stayed idle in a block for a job whose team had used
// up its quota. Before the first pass usage is not known, and the machines stay.
func (h *Holder) withinQuota(j *job) bool {
	if h.teams == nil {
		return true
	}
	tasks := 1
	if j.gang() {
		tasks = j.spec.Tasks
	}
	team := h.teams[j.spec.Team]
	return team != nil && team.Allows(j.resources.Scale(float64(tasks)))
}

// machineSuits reports whether a machine could run a task of a job if nothing else were on it.
func (h *Holder) machineSuits(j *job, m *machine) bool {
	p := placement.NewJob(j.id, j.readyAt, j.spec)
	return p.Allows(m.machineType, m.zone, m.spot) && j.resources.Fits(m.total)
}

// shouldReturn reports whether a machine that does not answer should be returned to the cloud.
// One that reports but is unreachable is not returned before it is empty.
func (h *Holder) shouldReturn(m *machine, now core.Time) bool {
	w := h.Config.Workers
	if m.unreachable && now.Sub(m.unreachableSince) > 3*w.Lease {
		return m.empty()
	}
	switch m.state {
	case unsure:
		return m.lastMessage == 0 && now.Sub(h.grantedAt) > w.Lease+timingMargin
	case lapsed:
		return now.Sub(max(m.lastMessage, m.joinedAt)) > 3*w.Lease
	case booting:
		t, ok := h.Types()[m.machineType]
		return ok && now.Sub(m.joinedAt) > capacity.BootTimeout(core.Seconds(t.BootS))
	}
	return false
}
