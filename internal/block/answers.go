package block

import (
	"cmp"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// HandleReport answers a worker's report, now or, if it has nothing to do, a little
// later; done(_, false) means that the machine is not ours to answer.
func (h *Holder) HandleReport(rep *api.Report, done func(api.ReportResponse, bool)) {
	m := h.machines[core.MachineID(rep.Machine)]
	if m == nil || m.floor == ^core.Session(0) {
		done(api.ReportResponse{}, false)
		return
	}
	now := h.Loop.Now()
	if refusal := h.refusal(m, rep, now); refusal != "" {
		h.noteMessage(m, fromReport, refusal, core.Session(rep.Session), core.Sequence(rep.Sequence))
		done(api.ReportResponse{}, false)
		return
	}
	h.flush(m)
	m.addr = rep.Addr
	m.reported = now
	fresh := h.take(m, rep, evidence{fromReport, now})
	if !m.fenced {
		h.fence(m)
		if m.unheard == 0 {
			m.unheard = now
		}
		if now.Sub(m.unheard) > h.Config.Workers.Lease/2 {
			// Whatever we answer, its reports do not show our term: nothing
			// reaches it. An answer held to renew its lease would put off for
			// ever the time at which that has surely run out, and the whole
			// block would wait for it.
			h.noteMessage(m, fromReport, messageUnheard, m.season, m.tally)
			done(api.ReportResponse{}, false)
			return
		}
	}
	m.answer, m.answered = max(m.answer, now), now
	if !fresh {
		done(api.ReportResponse{Term: uint64(h.termOf(m)), Commands: []api.Command{}}, true)
		return
	}
	h.passSoon()
	if h.urgent(m) {
		done(api.ReportResponse{Term: uint64(h.termOf(m)), Commands: h.orders(m)}, true)
		return
	}
	x := &held{done}
	m.held = x
	h.Loop.After(h.holdTime(m), func() {
		if m.held == x {
			h.flush(m)
		}
	})
	if m.asked {
		h.write()
	}
}

// refusal tells why a report is neither taken in nor answered; empty: it is.
func (h *Holder) refusal(m *machine, rep *api.Report, now core.Time) messageResult {
	switch {
	case !h.MayAnswerWorkers():
		return messageNotEntitled
	case core.Term(rep.Term) > h.termOf(m):
		return messageOverruled
	case h.lateCopy(m, rep, now):
		return messageLateCopy
	}
	return ""
}

// holdTime is how long the answer to a worker may be kept back. Its lease counts
// from the sending of the report, and it gives up after four seconds. One that
// is busy may soon have something to tell, but not before its next report is
// allowed: until then, what the next pass plans on it goes out at once instead
// of with a report that may be seconds away.
func (h *Holder) holdTime(m *machine) time.Duration {
	if !m.empty() && !m.planned() {
		return reportPause - 50*time.Millisecond
	}
	return h.Config.Workers.MaxReportHold()
}

// flush answers a report that was kept back.
func (h *Holder) flush(m *machine) {
	x := m.held
	if x == nil {
		return
	}
	m.held = nil
	if h.state == released || h.machines[m.id] != m || !h.MayAnswerWorkers() {
		x.done(api.ReportResponse{}, false)
		return
	}
	m.answered = h.Loop.Now()
	x.done(api.ReportResponse{Term: uint64(h.termOf(m)), Commands: h.orders(m)}, true)
}

// flushReady answers the reports for which there is something to say by now, and
// asks for those that are far away.
func (h *Holder) flushReady() {
	for _, id := range core.SortedKeys(h.machines) {
		m := h.machines[id]
		if m.held == nil {
			h.prompt(m)
		} else if h.urgent(m) {
			h.flush(m)
		}
	}
}

// urgent tells whether a machine should hear of something at once: a start, or
// a task that has to stop.
func (h *Holder) urgent(m *machine) bool {
	for _, s := range m.slots {
		if s.state == planned && h.ready(m) || s.state == present && s.stopped == 0 && h.stopReason(s) != "" {
			return true
		}
	}
	return false
}

// unwanted tells why a task on a machine should not be there: its job is over, or unknown
// to us, or has no use for this attempt. Empty: it should.
func (h *Holder) unwanted(s *slot) stopReason {
	e, j := h.Mirror.Jobs[s.task.Job], h.jobs[s.task.Job]
	switch {
	case e == nil:
		return stopUnknownJob
	case e.Finished():
		return stopJobOver
	case j == nil:
		return stopNotOurs
	case j.cancelled:
		return stopCancelled
	}
	return h.useless(j, s)
}

// stopReason tells why an attempt on a machine has to stop; empty: it goes on.
func (h *Holder) stopReason(s *slot) stopReason { return cmp.Or(h.unwanted(s), s.stop) }

// ready tells whether starts may be sent to a machine.
func (h *Holder) ready(m *machine) bool {
	return h.state == placing && m.up && m.fenced && !m.unreachable && m.state == live && !h.unsettled(m, m.lowering)
}

// orders composes the commands for a machine that has just reported.
func (h *Holder) orders(m *machine) []api.Command {
	now := h.Loop.Now()
	var kills, clears, runs []api.Command
	for _, s := range m.list() {
		order := api.Command{Task: s.task.String(), Attempt: uint64(s.attempt)}
		e := h.Mirror.Jobs[s.task.Job]
		switch s.state {
		case exited:
			if s.cause != api.CauseDone || e == nil || e.Finished() || e.Done.Has(s.task.Index) {
				order.Verb = api.VerbClear
				clears = append(clears, order)
			}
		case present:
			if reason := h.stopReason(s); reason != "" {
				grace := s.grace
				if h.unwanted(s) != "" {
					grace = 0
				}
				if reason == stopSuperseded {
					s.stop = reason // for good, also if the attempt that it gave way to ends
				}
				if s.stopped == 0 {
					s.stopped = now
					h.noteStop(s, reason)
				}
				order.Verb, order.GraceS = api.VerbKill, &grace
				kills = append(kills, order)
			}
		case planned:
			if h.ready(m) && len(runs) < maxOrders {
				h.moveSlot(s, starting)
				s.sentAt, s.sentSeason, s.sentTally = now, m.season, m.tally
				h.noteStart(s)
				s.ends = now.Add(h.expected(s, m))
				order.Verb = api.VerbRun
				runs = append(runs, order)
			}
		}
	}
	out := append(append(kills, clears...), runs...)
	if out == nil {
		out = []api.Command{}
	}
	return out
}
