package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// A start goes out only in the answer to a report, and the next report of a busy
// machine may be seconds away. A worker that sees a higher term reports at once,
// so a machine with a start planned is shown one, without orders. The terms come
// from the one counter, allocated under the block's key: they are below that of any
// later grant, and nobody else has them.

const (
	termStock       = 500
	allocationPause = 2 * time.Second
	// answerFlight is how long an answer may be on its way. Overtaken by a higher
	// term, it is dropped by the worker, starts and all.
	answerFlight = 500 * time.Millisecond
	// worthPrompt is how far away a report must be to be worth asking for.
	worthPrompt = 600 * time.Millisecond
)

// allocateTerms fills the stock, if there is a machine for which none is high enough.
func (h *Holder) allocateTerms() {
	if h.allocating || !h.reservedTerms.short {
		return
	}
	b, ok := h.Mirror.Blocks[h.number]
	if !ok || b.Record.Term != h.term || b.Record.Holder != h.Host {
		return
	}
	h.allocating = true
	c := h.Mirror.Term
	t := api.Txn{
		If:   []api.Condition{{Key: state.KeyBlock(h.number), Version: uint64(b.Version)}, {Key: state.KeyTerm, Version: uint64(c.Version)}},
		Then: []api.Change{state.Put(state.KeyTerm, state.TermCounter{Last: c.Record.Last + termStock})},
	}
	h.State.TxnLowPriority(t, func(r state.Result) {
		if r.Outcome == state.Applied {
			h.reservedTerms.next, h.reservedTerms.last, h.reservedTerms.short = c.Record.Last+1, c.Record.Last+termStock, false
		}
		// Otherwise the counter has moved on, or may have: what was allocated then is
		// given up, and the mirror shows it before the next try.
		h.Loop.After(allocationPause, func() { h.allocating = false })
	})
}

// prompt shows a machine for which a start is planned a higher term, if its next
// report is far away. Workers heed that once in half a lease.
func (h *Holder) prompt(m *machine) {
	now := h.Loop.Now()
	w := h.Config.Workers
	if m.held != nil || m.asking || m.addr == "" || m.season == 0 || now.Sub(m.prompted) < w.Lease/2 || now.Sub(m.answered) < answerFlight ||
		m.reported.Add(w.Report*3/4).Sub(now) < worthPrompt || !h.startable(m) {
		return
	}
	if h.reservedTerms.next > h.reservedTerms.last || h.reservedTerms.next <= h.termOf(m) {
		h.reservedTerms.short = true
		return
	}
	m.prompted, m.term = now, h.reservedTerms.next
	h.reservedTerms.next++
	m.asking = true
	h.Workers.Fence(m.addr, m.term, m.season, func(rep *api.Report) {
		m.asking = false
		if rep != nil && h.state != released && h.machines[m.id] == m && core.MachineID(rep.Machine) == m.id {
			h.take(m, rep, evidence{fromAnswer, now})
		}
	})
}

// startable tells whether a start is planned that may be sent.
func (h *Holder) startable(m *machine) bool {
	if !h.ready(m) {
		return false
	}
	for _, s := range m.slots {
		if s.state == planned {
			return true
		}
	}
	return false
}
