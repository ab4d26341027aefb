package block

import (
	"context"
	"log/slog"

	"lichenstair/internal/core"
)

// source is the kind of message from which a holder learns what is on a machine.
type source string

const (
	// fromReport is a report that the worker sent by itself, whether or not its response is
	// held back.
	fromReport source = "report"
	// fromResponse is a worker's response to a query or to a direct command.
	fromResponse source = "answer"
)

// origin tells where a message came from and how old its content can be at most.
type origin struct {
	source source
	// asOf is when the message was requested (response) or received (report).
	asOf core.Time
}

// messageResult is the outcome of handling a worker's message.
type messageResult string

const (
	messageTaken       messageResult = "taken"
	messageStale       messageResult = "older than what is known"
	messageLateCopy    messageResult = "late copy"
	messageNotEntitled messageResult = "not entitled to answer" // see MayAnswerWorkers
	messageHigherTerm  messageResult = "under a higher term"
	messageTermUnseen  messageResult = "machine does not hear us" // its reports do not carry our term
)

// stopReason is why an attempt is told to stop; empty if it is not.
type stopReason string

const (
	stopUnknownJob  stopReason = "job unknown"
	stopJobFinished stopReason = "job over"
	stopCancelled   stopReason = "job cancelled"
	stopOtherBlock  stopReason = "job of another block"
	stopUnknownTask stopReason = "task unknown"
	// stopTaskDone mostly concerns an attempt that an old report showed and that has ended
	// since.
	stopTaskDone         stopReason = "task done"
	stopSuperseded       stopReason = "superseded"
	stopGangBroken       stopReason = "gang not whole"
	stopPreempted        stopReason = "work of a higher rank"
	stopMachineDraining  stopReason = "machine asked back"
	stopMachineReclaimed stopReason = "machine taken by the cloud"
)

// releaseReason is why an attempt counts as off its machine.
type releaseReason string

const (
	releaseNotShown        releaseReason = "not shown any more"
	releaseNotExecuted     releaseReason = "start was not executed"
	releaseNewSession      releaseReason = "worker's lease ran out" // a worker begins a new session then
	releaseLeaseExpired    releaseReason = "lease surely ran out"
	releaseMachineReturned releaseReason = "returned to the cloud"
	releaseMachineLeft     releaseReason = "machine left the block"
	releasePlanDropped     releaseReason = "plan dropped"
)

// mayLoseWork reports whether a release for this reason may have cost a task its progress.
func (r releaseReason) mayLoseWork() bool { return r != releaseNotShown && r != releasePlanDropped }

// noteMessage counts a worker's message and logs it if it was not accepted.
func (h *Holder) noteMessage(m *machine, from source, result messageResult, session core.Session, sequence core.Sequence) {
	h.Metrics.WorkerMessages.WithLabelValues(string(from), string(result)).Inc()
	if result != messageTaken {
		h.Log.Debug("worker message ignored", "machine", m.id, "source", from, "result", result, "session", session, "sequence", sequence, "known_session", m.session, "known_sequence", m.sequence)
	}
}

// noteDiscovered counts and logs an attempt that the holder did not start and learnt of from a
// message. Two booked attempts of one task are logged at info level: either one of them has
// already ended, or an invariant is violated.
func (h *Holder) noteDiscovered(s *slot, from origin, others []*slot) {
	h.Metrics.Discovered.WithLabelValues(string(from.source)).Inc()
	attributes := []any{
		"task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "state", s.state.String(),
		"source", from.source, "session", s.machine.session, "sequence", s.machine.sequence, "fenced", s.machine.fenced,
	}
	if !s.booked() || len(others) == 0 {
		h.Log.Debug("attempt discovered", attributes...)
		return
	}
	h.Metrics.Duplicates.Inc()
	h.Log.Info("task has two attempts", append(attributes, "other_attempt", others[0].attempt, "other_machine", others[0].machine.id, "other_state", others[0].state.String())...)
}

// noteStop counts and logs the first stop command for an attempt, when it is added to a response
// to the machine, with the time that the attempt has to save, in seconds.
func (h *Holder) noteStop(s *slot, reason stopReason, graceS float64) {
	h.Metrics.Stops.WithLabelValues(string(reason)).Inc()
	level := slog.LevelDebug
	if reason == stopSuperseded || reason == stopGangBroken {
		level = slog.LevelInfo
	}
	h.Log.Log(context.Background(), level, "stop command added to response", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "reason", reason, "grace_s", graceS)
}

// noteStart counts and logs a start command that is added to a response to the machine, with the
// state on which the decision was based.
func (h *Holder) noteStart(s *slot) {
	h.Metrics.Starts.Inc()
	h.Metrics.StartProofAges.Observe(h.Mirror.Staleness().Seconds())
	h.Log.Debug("start command added to response", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "term", h.commandTerm(s.machine), "session", s.sentSession, "sequence", s.sentSequence, "revision", h.Mirror.Revision(), "proven_ago", h.Mirror.Staleness().String())
}
