package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// A start is sent only in the response to a report, and the next report of a busy machine may be
// seconds away. A worker that sees a higher term reports at once, so a machine with a planned
// start is shown a higher term, without commands. These terms come from the single term
// counter and are allocated under the block's key: they are lower than the term of any later
// grant, and nobody else has them.

const (
	termBatch          = 500             // terms in one allocation
	allocationInterval = 2 * time.Second // least time between two allocations
	// responseTransit is how long a response may be in flight. If a higher term overtakes it,
	// the worker drops the response with its starts.
	responseTransit = 500 * time.Millisecond
	// minPromptGain is how far away the next report must be for a prompt to be worthwhile.
	minPromptGain = 600 * time.Millisecond
)

// allocateTerms allocates more terms in advance if a machine needs a higher one than are left.
func (h *Holder) allocateTerms() {
	if h.allocatingTerms || !h.reservedTerms.exhausted {
		return
	}
	b, ok := h.Mirror.Blocks[h.number]
	if !ok || b.Record.Term != h.term || b.Record.Holder != h.Host {
		return
	}
	h.allocatingTerms = true
	c := h.Mirror.Term
	t := api.Txn{
		If:   []api.Condition{{Key: state.KeyBlock(h.number), Version: uint64(b.Version)}, {Key: state.KeyTerm, Version: uint64(c.Version)}},
		Then: []api.Change{state.Put(state.KeyTerm, state.TermCounter{Last: c.Record.Last + termBatch})},
	}
	h.State.TxnLowPriority(t, func(r state.Result) {
		if r.Outcome == state.Applied {
			h.reservedTerms.next, h.reservedTerms.last, h.reservedTerms.exhausted = c.Record.Last+1, c.Record.Last+termBatch, false
		}
		// Otherwise the counter has changed, or may have: terms allocated by that write are
		// abandoned, and the mirror shows the new counter before the next attempt.
		h.Loop.After(allocationInterval, func() { h.allocatingTerms = false })
	})
}

// prompt shows a higher term to a machine with a planned start whose next report is far away.
// Workers act on this at most once per half a lease. They report again after 3/4 to 5/4 of the
// report interval.
func (h *Holder) prompt(m *machine) {
	now := h.Loop.Now()
	w := h.Config.Workers
	if m.heldReport != nil || m.queryInFlight || m.addr == "" || m.session == 0 || now.Sub(m.lastPrompt) < w.Lease/2 || now.Sub(m.lastResponse) < responseTransit ||
		m.lastReport.Add(w.Report*3/4).Sub(now) < minPromptGain || !h.hasSendableStart(m) {
		return
	}
	if h.reservedTerms.next > h.reservedTerms.last || h.reservedTerms.next <= h.commandTerm(m) {
		h.reservedTerms.exhausted = true
		return
	}
	m.lastPrompt, m.term = now, h.reservedTerms.next
	h.reservedTerms.next++
	m.queryInFlight = true
	h.Workers.Fence(m.addr, m.term, m.session, func(rep *api.Report) {
		m.queryInFlight = false
		if rep != nil && h.state != released && h.machines[m.id] == m && core.MachineID(rep.Machine) == m.id {
			h.applyMessage(m, rep, origin{fromResponse, now})
		}
	})
}

// hasSendableStart reports whether a start is planned on the machine and may be sent.
func (h *Holder) hasSendableStart(m *machine) bool {
	if !h.maySendStarts() || !h.acceptsStarts(m) {
		return false
	}
	for _, s := range m.slots {
		if s.state == planned {
			return true
		}
	}
	return false
}
