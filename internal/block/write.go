package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
)

// requestUp makes it durable that machines are in use before anything starts.
func (h *Holder) requestUp() {
	for _, m := range h.machines {
		if !m.up && !m.empty() {
			h.write()
			return
		}
	}
}

// write brings the records in line with what we know, one transaction at a time.
func (h *Holder) write() {
	if h.writing || h.state == released {
		return
	}
	b, ok := h.Mirror.Blocks[h.number]
	if !ok || b.Record.Term != h.term || b.Record.Holder != h.Host {
		return
	}
	t := api.Txn{If: []api.Condition{{Key: state.KeyBlock(h.number), Version: uint64(b.Version)}}}
	h.writeMachines(&t)
	h.writeDone(&t)
	if len(t.Then) == 0 {
		return
	}
	h.writing = true
	h.State.TxnLowPriority(t, func(r state.Result) {
		next := func(bool) {
			h.Loop.After(roundPause/2, func() {
				h.writing = false
				h.write()
			})
		}
		switch r.Outcome {
		case state.Applied:
			h.Mirror.WaitFor(r.Revision, next)
		case state.Refused:
			h.Loop.After(500*time.Millisecond, func() { next(false) })
		default:
			// It may have been carried out, or still be: look again before
			// deciding anything.
			h.Log.Info("write not confirmed", "outcome", r.Outcome.String(), "failed", r.Failed)
			h.Mirror.ConfirmFresh(next)
		}
	})
}

// batch is how many changes a transaction may have.
func (h *Holder) batch() int { return h.State.BatchSize(min(h.Config.StateLimits.TxnOps, maxBatch)) }

// writeMachines adds what is to change in the records of the block's machines.
func (h *Holder) writeMachines(t *api.Txn) {
	now := h.Loop.Now()
	own, pool := h.Mirror.Inventory(h.number), h.Mirror.Inventory(state.PoolInventory)
	edit := h.Mirror.Edit(h.Config.StateLimits, max(h.batch()/2, 2), h.number+1)
	for record := range own.All() {
		m := h.machines[record.ID]
		if m == nil {
			continue
		}
		version := own.VersionOf(record.ID)
		switch p, ok := pool.Find(record.ID); {
		case ok && p.PoolState == state.PoolGone && m.empty():
			edit.Remove(h.number, record.ID) // it is gone; the leader forgets it once no block lists it
		case h.mayLeave(m, version, now):
			h.release(edit, m, record, version)
		default:
			h.writeMachine(edit, m, record, version, now)
		}
	}
	edit.Apply(t)
}

// mayLeave tells whether a machine may go to the pool, or has been sent there by a write that
// may still be carried out.
func (h *Holder) mayLeave(m *machine, version core.Revision, now core.Time) bool {
	if h.state != placing || !m.fenced || m.lost || m.unreachable || m.state != live || !h.vacant(m) {
		return false
	}
	return m.leaving == version || h.releasable(m, now)
}

// release moves a machine's record to the pool.
func (h *Holder) release(edit *state.Edit, m *machine, record state.Machine, version core.Revision) {
	record.InUse, record.Draining, record.Expiring, record.Term = false, false, false, 0
	record.Addr, record.LastTerm = m.addr, h.termOf(m)
	if edit.Move(h.number, state.PoolInventory, record) {
		h.Log.Info("machine goes to the pool", "machine", m.id, "asked", m.asked)
		m.leaving = version
	}
}

// writeMachine brings the record of a machine that stays in line with what we know of it.
func (h *Holder) writeMachine(edit *state.Edit, m *machine, record state.Machine, version core.Revision, now core.Time) {
	was := record
	if !m.up && !m.empty() || m.up && m.addr != "" && record.Addr != m.addr {
		record.InUse, record.Addr = true, m.addr
	}
	if m.state == lapsed && m.empty() && record.InUse {
		// Nothing can be on it: a later holder need not wait for it.
		record.InUse = false
		m.lowering = version
	}
	record.ReturnRequested = record.ReturnRequested || h.shouldReturn(m, now)
	record.Expiring = m.notice != 0 || m.state == lapsed
	if record != was && edit.Set(h.number, record) && record.ReturnRequested != was.ReturnRequested {
		h.Log.Info("machine does not answer; it is to be returned", "machine", m.id, "state", m.state.String())
	}
}

// vacant tells whether nothing is booked on a machine and nothing is left on it
// that only this block could still write down.
func (h *Holder) vacant(m *machine) bool {
	for _, s := range m.slots {
		e := h.Mirror.Jobs[s.task.Job]
		if s.booked() || s.cause == api.CauseDone && e != nil && !e.Finished() && !e.Done.Has(s.task.Index) {
			return false
		}
	}
	return true
}

// releasable tells whether an empty machine should leave the block.
func (h *Holder) releasable(m *machine, now core.Time) bool {
	if m.asked {
		return true
	}
	if m.notice != 0 || m.idle == 0 || now.Sub(m.idle) < releaseIdle {
		return false
	}
	if now.Sub(m.idle) > h.Config.Operator.IdleTimeout {
		return true // whoever waits cannot use it as it is
	}
	for _, j := range h.jobs {
		if j.waiting() > 0 && h.allows(j, m) && h.underLimit(j) {
			return false
		}
	}
	return true
}

// underLimit tells whether the limit of a job's team leaves room for what would start of it.
// Machines stood idle in a block for the sake of a job whose team was at its limit. Before
// the first pass it is not known, and machines stay.
func (h *Holder) underLimit(j *job) bool {
	if h.teams == nil {
		return true
	}
	tasks := 1
	if j.gang() {
		tasks = j.spec.Tasks
	}
	team := h.teams[j.spec.Team]
	return team != nil && team.Allows(j.need.Scale(float64(tasks)))
}

func (h *Holder) allows(j *job, m *machine) bool {
	p := placement.NewJob(j.id, j.at, j.spec)
	return p.Allows(m.typ, m.zone, m.spot) && j.need.Fits(m.total)
}

// shouldReturn tells whether a machine that does not answer should be given up.
func (h *Holder) shouldReturn(m *machine, now core.Time) bool {
	w := h.Config.Workers
	if m.unreachable && now.Sub(m.unreachableSince) > 3*w.Lease {
		return m.empty()
	}
	switch m.state {
	case unsure:
		return m.heard == 0 && now.Sub(h.at) > w.Lease+margin
	case lapsed:
		return now.Sub(max(m.heard, m.joined)) > 3*w.Lease
	case booting:
		t, ok := h.Types()[m.typ]
		return ok && now.Sub(m.joined) > capacity.BootTimeout(core.Seconds(t.BootS))
	}
	return false
}
