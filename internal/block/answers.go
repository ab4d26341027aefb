package block

import (
	"cmp"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// HandleReport answers a worker's report. If there are no commands for the worker, the response
// is held back for up to responseDelay so that a start can still be sent with it. done(_, false)
// means that this holder must not answer for the machine.
func (h *Holder) HandleReport(rep *api.Report, done func(api.ReportResponse, bool)) {
	m := h.machines[core.MachineID(rep.Machine)]
	if m == nil || m.ignoredThrough == ^core.Session(0) {
		done(api.ReportResponse{}, false)
		return
	}
	now := h.Loop.Now()
	if refusal := h.refusal(m, rep, now); refusal != "" {
		h.noteMessage(m, fromReport, refusal, core.Session(rep.Session), core.Sequence(rep.Sequence))
		done(api.ReportResponse{}, false)
		return
	}
	h.answerHeldReport(m)
	m.addr = rep.Addr
	m.lastReport = now
	fresh := h.applyMessage(m, rep, origin{fromReport, now})
	if !m.fenced {
		h.fence(m)
		if m.termUnseenSince == 0 {
			m.termUnseenSince = now
		}
		if now.Sub(m.termUnseenSince) > h.Config.Workers.Lease/2 {
			// The machine's reports still do not carry our term after half a lease, so our
			// responses do not reach it. Counting them as lease renewals would postpone the
			// proven expiry of its lease indefinitely, and recovery of the whole block would
			// wait for it.
			h.noteMessage(m, fromReport, messageTermUnseen, m.session, m.sequence)
			done(api.ReportResponse{}, false)
			return
		}
	}
	m.lastRenewal, m.lastResponse = max(m.lastRenewal, now), now
	if !fresh {
		done(api.ReportResponse{Term: uint64(h.commandTerm(m)), Commands: []api.Command{}}, true)
		return
	}
	h.schedulePass()
	if h.hasUrgentCommands(m) {
		done(api.ReportResponse{Term: uint64(h.commandTerm(m)), Commands: h.commands(m)}, true)
		return
	}
	held := &heldReport{done}
	m.heldReport = held
	h.Loop.After(h.responseDelay(m), func() {
		if m.heldReport == held {
			h.answerHeldReport(m)
		}
	})
	if m.draining {
		h.writeRecords()
	}
}

// refusal returns the reason for which a report is neither processed nor answered, or an empty
// result if it is accepted.
func (h *Holder) refusal(m *machine, rep *api.Report, now core.Time) messageResult {
	switch {
	case !h.MayAnswerWorkers():
		return messageNotEntitled
	case core.Term(rep.Term) > h.commandTerm(m):
		return messageHigherTerm
	case h.lateCopy(m, rep, now):
		return messageLateCopy
	}
	return ""
}

// responseDelay returns how long the response to a report may be held back. The worker's lease
// counts from the sending of the report, and the worker drops the response after four seconds. A
// busy machine may not report again before minReportInterval has passed; holding its response
// until just before then lets the next pass send starts at once instead of with a report that
// may be seconds away.
func (h *Holder) responseDelay(m *machine) time.Duration {
	if !m.empty() && !m.onlyPlanned() {
		return minReportInterval - 50*time.Millisecond
	}
	return h.Config.Workers.MaxReportHold()
}

// answerHeldReport answers the machine's held report, if it has one.
func (h *Holder) answerHeldReport(m *machine) {
	held := m.heldReport
	if held == nil {
		return
	}
	m.heldReport = nil
	if h.state == released || h.machines[m.id] != m || !h.MayAnswerWorkers() {
		held.done(api.ReportResponse{}, false)
		return
	}
	m.lastResponse = h.Loop.Now()
	held.done(api.ReportResponse{Term: uint64(h.commandTerm(m)), Commands: h.commands(m)}, true)
}

// answerHeldReports answers the held reports of machines for which there are commands, and
// prompts machines with planned starts whose next report is far away.
func (h *Holder) answerHeldReports() {
	for _, m := range h.orderedMachines() {
		if m.heldReport == nil {
			h.prompt(m)
		} else if h.hasUrgentCommands(m) {
			h.answerHeldReport(m)
		}
	}
}

// hasUrgentCommands reports whether a machine should be answered at once: a start may be sent
// to it, or one of its tasks has to stop and has not been told so.
func (h *Holder) hasUrgentCommands(m *machine) bool {
	for _, s := range m.slots {
		if s.state == planned && h.maySendStarts() && h.acceptsStarts(m) || s.state == present && s.stopSentAt == 0 && h.stopReason(s) != "" {
			return true
		}
	}
	return false
}

// unwantedReason returns why a task should not be on a machine: its job is finished, unknown,
// cancelled or not placed by this block, or has no use for this attempt. It is empty if the
// task should be there.
func (h *Holder) unwantedReason(s *slot) stopReason {
	e, j := h.Mirror.Jobs[s.task.Job], h.jobs[s.task.Job]
	switch {
	case e == nil:
		return stopUnknownJob
	case e.Finished():
		return stopJobFinished
	case j == nil:
		return stopOtherBlock
	case j.cancelled:
		return stopCancelled
	}
	return h.redundancy(j, s)
}

// stopReason returns why an attempt on a machine has to stop, or an empty reason if it may go
// on.
func (h *Holder) stopReason(s *slot) stopReason { return cmp.Or(h.unwantedReason(s), s.stopRequest) }

// acceptsStarts reports whether starts may be sent to a machine.
func (h *Holder) acceptsStarts(m *machine) bool {
	return h.state == placing && m.inUse && m.fenced && !m.unreachable && m.state == live && !h.writePending(m, m.clearInUseVersion)
}
