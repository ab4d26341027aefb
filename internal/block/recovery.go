package block

import (
	"lichenstair/api"
	"lichenstair/internal/core"
)

// fence shows our term to a machine and queries what is running on it. A machine whose session
// is not known yet is queried first, since a term is shown to a given session.
func (h *Holder) fence(m *machine) {
	if m.queryInFlight || m.fenced && !m.unreachable || m.addr == "" || h.state == released {
		return
	}
	m.queryInFlight = true
	askedAt := h.Loop.Now()
	var done func(rep *api.Report, inspected bool)
	done = func(rep *api.Report, inspected bool) {
		m.queryInFlight = false
		if h.state == released || h.machines[m.id] != m {
			return
		}
		if rep == nil || core.MachineID(rep.Machine) != m.id {
			// A query to a machine that is gone hangs for seconds. Without a pause between
			// queries, a zone of such machines used up all concurrent calls, and recovery
			// waited for machines that would have answered at once.
			m.nextQuery = h.Loop.Now().Add(min(queryBackoff<<min(m.failedQueries, 8), maxQueryBackoff))
			m.failedQueries++
			return
		}
		m.failedQueries = 0
		h.applyMessage(m, rep, origin{fromResponse, askedAt})
		if inspected && core.Session(rep.Session) > m.ignoredThrough && core.Term(rep.Term) < h.commandTerm(m) {
			// A worker that sees a higher term reports at once, and so reaches this holder now
			// instead of with its next report some seconds later.
			h.showTerm(m, done)
		}
		h.checkRecovered()
	}
	if m.session == 0 {
		h.Workers.Inspect(m.addr, func(rep *api.Report) { done(rep, true) })
		return
	}
	h.showTerm(m, done)
}

// showTerm shows a machine the term under which it is commanded.
func (h *Holder) showTerm(m *machine, done func(rep *api.Report, inspected bool)) {
	m.queryInFlight = true
	h.Workers.Fence(m.addr, h.commandTerm(m), m.session, func(rep *api.Report) { done(rep, false) })
}

// checkRecovered starts the placement once every machine in use is accounted for or lapsed.
func (h *Holder) checkRecovered() {
	if h.state != recovering {
		return
	}
	for _, m := range h.machines {
		if m.inUse && !m.fenced && m.state != lapsed {
			return
		}
	}
	h.setState(placing)
}
