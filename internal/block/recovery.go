package block

import (
	"lichenstair/api"
	"lichenstair/internal/core"
)

// fence shows our term to a machine and asks what is on it.
func (h *Holder) fence(m *machine) {
	if m.asking || m.fenced && !m.unreachable || m.addr == "" || h.state == released {
		return
	}
	m.asking = true
	asked := h.Loop.Now()
	var done func(rep *api.Report, again bool)
	done = func(rep *api.Report, again bool) {
		m.asking = false
		if h.state == released || h.machines[m.id] != m {
			return
		}
		if rep == nil || core.MachineID(rep.Machine) != m.id {
			// A question to a machine that is gone hangs for seconds. Asked
			// without a pause, a zone of them took up every call there is, and
			// recovery waited for machines that would have answered at once.
			m.askNext = h.Loop.Now().Add(min(askPause<<min(m.unheeded, 8), maxAskPause))
			m.unheeded++
			return
		}
		m.unheeded = 0
		h.take(m, rep, evidence{fromAnswer, asked})
		if again && core.Session(rep.Session) > m.floor && core.Term(rep.Term) < h.termOf(m) {
			// A worker that sees a higher term reports at once, and so comes to
			// us, instead of with its next report some seconds later.
			h.show(m, done)
		}
		h.checkRecovered()
	}
	if m.season == 0 {
		h.Workers.Inspect(m.addr, func(rep *api.Report) { done(rep, true) })
		return
	}
	h.show(m, done)
}

// show shows a machine the term under which it is commanded.
func (h *Holder) show(m *machine, done func(rep *api.Report, again bool)) {
	m.asking = true
	h.Workers.Fence(m.addr, h.termOf(m), m.season, func(rep *api.Report) { done(rep, false) })
}

// checkRecovered starts to place once every machine is accounted for.
func (h *Holder) checkRecovered() {
	if h.state != recovering {
		return
	}
	for _, m := range h.machines {
		if m.up && !m.fenced && m.state != lapsed {
			return
		}
	}
	h.become(placing)
}
