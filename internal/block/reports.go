package block

import (
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// lateCopy reports whether a report is a copy that was delivered long after it was sent. A
// worker gives up on a report after responseTimeout, so a report that is not newer than a
// message received longer ago than that is a late copy. It must neither prove a machine alive
// nor count as answered: repeated copies postponed the proven expiry of a dead machine's lease.
func (h *Holder) lateCopy(m *machine, rep *api.Report, now core.Time) bool {
	return m.session > 0 && !core.Newer(core.Session(rep.Session), core.Sequence(rep.Sequence), m.session, m.sequence) &&
		now > m.lastMessage.Add(core.WithDrift(responseTimeout)+timingMargin)
}

// expectedDuration estimates how long a task will be on a machine, fetching its image
// included.
func (h *Holder) expectedDuration(s *slot, m *machine) time.Duration {
	j := h.jobs[s.task.Job]
	if j == nil {
		return 0
	}
	d := j.estimate()
	if !m.images[j.spec.Image] {
		if t, ok := h.Types()[m.machineType]; ok && t.FetchGBPerS > 0 {
			d += core.Seconds(j.spec.ImageGB / t.FetchGBPerS)
		}
	}
	return d
}

// applyMessage updates the state of a machine from a message of its worker. It reports whether
// the message was newer than what was known.
func (h *Holder) applyMessage(m *machine, rep *api.Report, from origin) bool {
	now := h.Loop.Now()
	session, sequence := core.Session(rep.Session), core.Sequence(rep.Sequence)
	if session <= m.ignoredThrough || !core.Newer(session, sequence, m.session, m.sequence) {
		h.noteMessage(m, from.source, messageStale, session, sequence)
		return false
	}
	h.noteMessage(m, from.source, messageTaken, session, sequence)
	if session > m.session {
		h.applyNewSession(m)
	}
	m.session, m.sequence, m.lastMessage = session, sequence, now
	if from.source == fromResponse && (m.lastReport == 0 || now.Sub(m.lastReport) < h.silenceTimeout()) {
		// The machine answered a command. A machine whose reports arrive nowhere stays
		// unreachable: starts are sent in responses to reports, and it was planned for again and
		// again without a way to start anything.
		h.setUnreachable(m, false)
	}
	h.applyReclaimNotice(m, rep.NoticeS)
	h.applyTasks(m, rep, from)
	if core.Term(rep.Term) >= h.term && !m.fenced {
		// The worker has seen our term, so commands of earlier holders no longer have an
		// effect.
		m.fenced = true
		m.termUnseenSince = 0
		m.lastRenewal = now
		h.dirty = true
		h.Log.Debug("machine accounted for", "machine", m.id)
	}
	if m.fenced {
		h.setMachineState(m, live)
	} else if m.state == booting || m.state == lapsed {
		h.setMachineState(m, unsure)
	}
	return true
}

// applyNewSession handles the start of a new worker session: the worker has killed and
// forgotten everything of earlier sessions, and drops responses to their reports.
func (h *Holder) applyNewSession(m *machine) {
	answered := h.Loop.Now().Sub(m.lastRenewal) < h.Config.Workers.Lease/2
	if m.fenced && m.session > 0 && m.state == live && answered {
		// The lease expired although we answered the machine's reports.
		h.setUnreachable(m, true)
	}
	for _, s := range m.orderedSlots() {
		if s.state != planned {
			h.releaseAttempt(s, releaseNewSession)
		}
	}
	m.images = map[string]bool{}
	m.recentImages = nil
}

// applyReclaimNotice records that the cloud takes the machine back in the given number of
// seconds (nil: it does not). The 1 ns added keeps reclaimAt from being 0, which means no
// notice.
func (h *Holder) applyReclaimNotice(m *machine, seconds *float64) {
	if seconds == nil {
		return
	}
	if m.reclaimAt == 0 {
		h.Log.Info("cloud reclaims machine", "machine", m.id, "in_s", *seconds)
		h.dirty = true
	}
	m.reclaimAt = h.Loop.Now().Add(core.Seconds(max(*seconds, 0))) + 1
}

// applyTasks handles the tasks of a report: those that it shows, and those proven to be off
// the machine because it does not show them.
func (h *Holder) applyTasks(m *machine, rep *api.Report, from origin) {
	shown := map[slotKey]bool{}
	// Attempts on the machine are handled before those that have exited, so that no task
	// appears to be without an attempt in between.
	for _, exited := range []bool{false, true} {
		for _, status := range rep.Tasks {
			if (status.State == api.TaskExited) != exited {
				continue
			}
			id, err := core.ParseTaskID(status.Task)
			if err != nil {
				continue
			}
			key := slotKey{id, core.Attempt(status.Attempt)}
			shown[key] = true
			h.applyTask(m, key, status, from)
		}
	}
	for _, s := range m.orderedSlots() {
		switch {
		case shown[s.slotKey] || s.state == planned:
		case s.state != starting:
			h.releaseAttempt(s, releaseNotShown)
		case h.startNotExecuted(s, rep, from):
			if from.source == fromReport {
				h.setUnreachable(m, true)
			}
			h.releaseAttempt(s, releaseNotExecuted)
		}
	}
}

// startNotExecuted reports whether a message that does not show a start proves that the start
// was not executed. A start sent in a response is decided by the next report, since a worker
// has one report in flight at a time; a response to a direct query proves it only if it was
// requested after the worker would have dropped our response.
func (h *Holder) startNotExecuted(s *slot, rep *api.Report, from origin) bool {
	if from.source == fromReport && core.Newer(core.Session(rep.Session), core.Sequence(rep.Sequence), s.sentSession, s.sentSequence) {
		return true
	}
	return from.asOf > s.sentAt.Add(core.WithDrift(responseTimeout)+timingMargin)
}

// setUnreachable records whether our responses reach a machine. A machine that reports but does
// not act on the responses gets no work until it has answered a command; otherwise start after
// start was lost on it, each for the length of a lease.
func (h *Holder) setUnreachable(m *machine, unreachable bool) {
	if m.unreachable == unreachable {
		return
	}
	h.Log.Info("machine reachability changed", "machine", m.id, "reachable", !unreachable)
	m.unreachable, m.unreachableSince = unreachable, h.Loop.Now()
	h.dirty = true
	if unreachable {
		h.dropPlans(m.orderedSlots())
		h.fence(m)
	}
}

// applyTask handles one task of a report.
func (h *Holder) applyTask(m *machine, key slotKey, status api.TaskStatus, from origin) {
	j := h.jobs[key.task.Job]
	if j != nil && key.task.Index >= j.spec.Tasks {
		j = nil
	}
	s := m.slots[key]
	switch {
	case s == nil:
		s = h.discover(m, key, status, j, from)
	case s.state == exited:
		return
	}
	s.reportedState = status.State
	if j != nil {
		h.noteProgress(s, j)
	}
	if status.State == api.TaskExited {
		h.applyExit(s, j, status)
		return
	}
	h.setSlotState(s, present)
	if j != nil {
		j.reported = true
	}
}

// discover books an attempt that a report shows and that this holder did not start.
func (h *Holder) discover(m *machine, key slotKey, status api.TaskStatus, j *job, from origin) *slot {
	now := h.Loop.Now()
	s := &slot{slotKey: key, machine: m, state: present, expectedEnd: now}
	if e := h.Mirror.Jobs[key.task.Job]; e != nil {
		s.team, s.resources = e.Team, placement.Resources{CPUs: e.CPUs, GPUs: e.GPUs, MemoryGB: e.MemoryGB}
	}
	if j != nil {
		s.expectedEnd = now.Add(h.expectedDuration(s, m))
	}
	if status.State == api.TaskExited {
		s.state = exited
	}
	var others []*slot
	if j != nil {
		others = slices.Clone(j.attempts.byTask[key.task.Index])
	}
	h.book(s)
	h.dirty = true
	h.noteDiscovered(s, from, others)
	if j != nil && s.booked() {
		h.dropPlans(j.attempts.byTask[key.task.Index])
	}
	return s
}

// noteProgress records that an attempt has its image, and when it was first seen running.
func (h *Holder) noteProgress(s *slot, j *job) {
	if s.reportedState != api.TaskRunning && s.reportedState != api.TaskGathering && s.reportedState != api.TaskSaving {
		return
	}
	s.machine.noteImage(j.spec.Image)
	if s.runningSince == 0 && s.reportedState == api.TaskRunning {
		h.Log.Debug("task running", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id)
		s.runningSince = h.Loop.Now()
		s.expectedEnd = s.runningSince.Add(j.estimate())
	}
}

// applyExit handles an attempt that has ended. j is nil if its job is not placed by this
// holder.
func (h *Holder) applyExit(s *slot, j *job, status api.TaskStatus) {
	s.exitCause = status.Cause
	h.dirty = true
	if j != nil && status.Cause == api.CauseDone {
		h.applyCompletion(s, j)
	}
	// The completion is recorded first, so that the task does not wait again.
	h.setSlotState(s, exited)
	if j != nil && status.Cause != api.CauseDone {
		h.Log.Info("task ended without completing", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "cause", status.Cause, "saved", status.Saved)
		h.recordFailure(s.machine, j, status.Cause)
	}
}

// applyCompletion handles an attempt that has completed its task.
func (h *Holder) applyCompletion(s *slot, j *job) {
	s.machine.failures = 0
	h.clearFailures(j)
	h.markDone(j, s.task.Index)
	if j.gang() {
		// A gang completes together: if one task is done, all are.
		for i := range j.spec.Tasks {
			h.markDone(j, i)
		}
	}
}

// writePending reports whether a write about a machine that was based on the given version of
// its inventory part may still take effect. After a write that marks the machine as unused, a
// later holder would not know of a start; after one that moves the machine to the pool, it
// would not know of anything planned there.
func (h *Holder) writePending(m *machine, version core.Revision) bool {
	return version != 0 && version == h.Mirror.Inventory(h.number).VersionOf(m.id)
}
