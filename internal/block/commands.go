package block

import (
	"lichenstair/api"
	"lichenstair/internal/core"
)

// commands returns the commands for a machine that has just reported, and updates the state of
// the attempts concerned. Stops come first, since they make room for starts.
func (h *Holder) commands(m *machine) []api.Command {
	now := h.Loop.Now()
	maySendStarts := h.maySendStarts() && h.acceptsStarts(m)
	var stops, clears, starts []api.Command
	for _, s := range m.orderedSlots() {
		switch s.state {
		case exited:
			if s.startExpired(now) && h.endRecorded(s) {
				clears = append(clears, s.command(api.VerbClear))
			}
		case present:
			if reason := h.unwantedReason(s); reason != "" {
				stops = append(stops, h.stop(s, reason, 0))
			} else if s.stopRequest != "" {
				stops = append(stops, h.stop(s, s.stopRequest, s.graceS))
			}
		case planned:
			if maySendStarts && len(starts) < maxStartsPerResponse {
				starts = append(starts, h.start(s))
			}
		}
	}
	return append(append(append([]api.Command{}, stops...), clears...), starts...)
}

// command returns a command for an attempt.
func (s *slot) command(verb string) api.Command {
	return api.Command{Verb: verb, Task: s.task.String(), Attempt: uint64(s.attempt)}
}

// stop returns the command to stop an attempt, with the time that it has to save, in seconds.
func (h *Holder) stop(s *slot, reason stopReason, graceS float64) api.Command {
	if reason == stopSuperseded {
		s.stopRequest = reason // permanent, even if the newer attempt ends
	}
	if s.stopSentAt == 0 {
		s.stopSentAt = h.Loop.Now()
		h.noteStop(s, reason, graceS)
	}
	command := s.command(api.VerbKill)
	command.GraceS = &graceS
	return command
}

// start returns the command to start a planned attempt, which may be executed from now on.
func (h *Holder) start(s *slot) api.Command {
	h.setSlotState(s, starting)
	s.sentAt, s.sentSession, s.sentSequence = h.Loop.Now(), s.machine.session, s.machine.sequence
	h.noteStart(s)
	s.expectedEnd = s.sentAt.Add(h.expectedDuration(s, s.machine))
	return s.command(api.VerbRun)
}

// startExpired reports whether no copy of the response that started an attempt can be executed any
// more. A worker that has cleared an attempt no longer knows it: a late copy of the start would run
// the task again, on a second machine if it was moved, or after its job was cancelled. The
// worker drops what reaches it longer than responseTimeout after its report, which it sent before
// our response, and a start that an earlier holder sent carries a lower token.
func (s *slot) startExpired(now core.Time) bool {
	return s.sentAt == 0 || now > s.sentAt.Add(core.WithDrift(responseTimeout)+timingMargin)
}

// endRecorded reports whether nothing is lost if the worker forgets an attempt that has ended: it did not
// complete its task, or the completion is durable or of no use.
func (h *Holder) endRecorded(s *slot) bool {
	e := h.Mirror.Jobs[s.task.Job]
	return s.exitCause != api.CauseDone || e == nil || e.Finished() || e.Done.Has(s.task.Index)
}
