package block

import (
	"context"
	"log/slog"

	"lichenstair/internal/core"
)

// source is the kind of message by which a holder learns what is on a machine.
type source string

const (
	// fromReport is a worker's report, kept back for its answer or not.
	fromReport source = "report"
	// fromAnswer is a worker's answer to a question or to a direct command.
	fromAnswer source = "answer"
)

// evidence is where knowledge about a machine comes from, and of when it is at least.
type evidence struct {
	source source
	// asked is when the message was asked for (answer) or received (report).
	asked core.Time
}

// messageResult is what became of a worker's message.
type messageResult string

const (
	messageTaken       messageResult = "taken"
	messageOld         messageResult = "older than what is known"
	messageLateCopy    messageResult = "late copy"
	messageNotEntitled messageResult = "not entitled to answer"
	messageOverruled   messageResult = "under a higher term"
	messageUnheard     messageResult = "machine does not hear us"
)

// stopReason is why an attempt is told to stop; empty: it is not.
type stopReason string

const (
	stopUnknownJob  stopReason = "job unknown"
	stopJobOver     stopReason = "job over"
	stopCancelled   stopReason = "job cancelled"
	stopNotOurs     stopReason = "job of another block"
	stopUnknownTask stopReason = "task unknown"
	// stopTaskDone is mostly said of an attempt that an old report showed and that is gone.
	stopTaskDone   stopReason = "task done"
	stopSuperseded stopReason = "superseded"
	stopGangBroken stopReason = "gang not whole"
	stopForHigher  stopReason = "work of a higher rank"
	stopMachineDue stopReason = "machine asked back"
	stopMachineEnd stopReason = "machine taken by the cloud"
)

// releaseReason is why an attempt counts as off its machine.
type releaseReason string

const (
	releaseNotShown    releaseReason = "not shown any more"
	releaseNotExecuted releaseReason = "start was not executed"
	releaseNewSession  releaseReason = "worker's lease ran out"
	releaseLapsed      releaseReason = "lease surely ran out"
	releaseReturned    releaseReason = "returned to the cloud"
	releaseLeft        releaseReason = "machine left the block"
	releasePlanDropped releaseReason = "plan dropped"
)

// lost tells whether a release for this reason may have cost a task its work.
func (r releaseReason) lost() bool { return r != releaseNotShown && r != releasePlanDropped }

// noteMessage counts a worker's message and logs what became of it.
func (h *Holder) noteMessage(m *machine, from source, result messageResult, season core.Session, tally core.Sequence) {
	h.Metrics.WorkerMessages.WithLabelValues(string(from), string(result)).Inc()
	if result != messageTaken {
		h.Log.Debug("message of a worker is not taken in", "machine", m.id, "source", from, "result", result, "season", season, "tally", tally, "known_season", m.season, "known_tally", m.tally)
	}
}

// noteLearnt counts and logs an attempt that a message showed and nobody told us of. Two
// attempts of a task at a time are worth a line at any level: one of them is gone already,
// or a rule is broken.
func (h *Holder) noteLearnt(s *slot, from evidence, others []*slot) {
	h.Metrics.Discovered.WithLabelValues(string(from.source)).Inc()
	attributes := []any{
		"task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "state", s.state.String(),
		"source", from.source, "season", s.machine.season, "tally", s.machine.tally, "fenced", s.machine.fenced,
	}
	if !s.booked() || len(others) == 0 {
		h.Log.Debug("attempt is learnt", attributes...)
		return
	}
	h.Metrics.Duplicates.Inc()
	h.Log.Info("two attempts of a task are known", append(attributes, "other_attempt", others[0].attempt, "other_machine", others[0].machine.id, "other_state", others[0].state.String())...)
}

// noteStop counts and logs that an attempt is told to stop.
func (h *Holder) noteStop(s *slot, reason stopReason) {
	h.Metrics.Stops.WithLabelValues(string(reason)).Inc()
	level := slog.LevelDebug
	if reason == stopSuperseded || reason == stopGangBroken {
		level = slog.LevelInfo
	}
	h.Log.Log(context.Background(), level, "task is told to stop", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "reason", reason, "grace_s", s.grace)
}

// noteStart counts and logs a start, with what it rests on.
func (h *Holder) noteStart(s *slot) {
	h.Metrics.Starts.Inc()
	h.Log.Debug("start is sent", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "term", h.termOf(s.machine), "season", s.sentSeason, "tally", s.sentTally, "revision", h.Mirror.Revision())
}
