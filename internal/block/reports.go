package block

import (
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// lateCopy tells whether a report was sent long ago. A worker gives a report up
// after a while, so one that is in flight can be older only than a message that
// we have had since. A late copy must neither show a machine alive nor count as
// answered: copies that kept coming put off the time at which the lease of a
// dead machine had surely run out.
func (h *Holder) lateCopy(m *machine, rep *api.Report, now core.Time) bool {
	return m.season > 0 && !core.Newer(core.Session(rep.Session), core.Sequence(rep.Sequence), m.season, m.tally) &&
		now > m.heard.Add(core.WithDrift(answerDrop)+margin)
}

// expected estimates how long a task will be on a machine.
func (h *Holder) expected(s *slot, m *machine) time.Duration {
	j := h.jobs[s.task.Job]
	if j == nil {
		return 0
	}
	d := j.estimate()
	if !m.images[j.spec.Image] {
		if t, ok := h.Types()[m.typ]; ok && t.FetchGBPerS > 0 {
			d += core.Seconds(j.spec.ImageGB / t.FetchGBPerS)
		}
	}
	return d
}

// take brings what we know of a machine in line with a message of its worker. It tells
// whether the message was news.
func (h *Holder) take(m *machine, rep *api.Report, from evidence) bool {
	now := h.Loop.Now()
	season, tally := core.Session(rep.Session), core.Sequence(rep.Sequence)
	if season <= m.floor || !core.Newer(season, tally, m.season, m.tally) {
		h.noteMessage(m, from.source, messageOld, season, tally)
		return false
	}
	h.noteMessage(m, from.source, messageTaken, season, tally)
	if season > m.season {
		h.takeNewSeason(m)
	}
	m.season, m.tally, m.heard = season, tally, now
	if from.source == fromAnswer && (m.reported == 0 || now.Sub(m.reported) < h.quiet()) {
		// It answered a command. One whose reports reach nobody gets no work either: it
		// cannot be told to start it, and was planned for again and again.
		h.setUnreachable(m, false)
	}
	h.takeNotice(m, rep.NoticeS)
	h.takeTasks(m, rep, from)
	if core.Term(rep.Term) >= h.term && !m.fenced {
		// It has seen our term: no command of an earlier holder counts any more.
		m.fenced = true
		m.unheard = 0
		m.answer = now
		h.dirty = true
		h.Log.Debug("machine accounted for", "machine", m.id)
	}
	if m.fenced {
		h.moveMachine(m, live)
	} else if m.state == booting || m.state == lapsed {
		h.moveMachine(m, unsure)
	}
	return true
}

// takeNewSeason takes in that the worker has begun a new session: it has killed and
// forgotten everything of earlier ones, and drops answers to reports of those.
func (h *Holder) takeNewSeason(m *machine) {
	answered := h.Loop.Now().Sub(m.answer) < h.Config.Workers.Lease/2
	if m.fenced && m.season > 0 && m.state == live && answered {
		// Its lease ran out though we answered its reports.
		h.setUnreachable(m, true)
	}
	for _, s := range m.list() {
		if s.state != planned {
			h.setOff(s, releaseNewSession)
		}
	}
	m.images = map[string]bool{}
	m.recent = nil
}

// takeNotice takes in that the cloud takes the machine back in so many seconds (nil: no).
func (h *Holder) takeNotice(m *machine, seconds *float64) {
	if seconds == nil {
		return
	}
	if m.notice == 0 {
		h.Log.Info("the cloud takes a machine back", "machine", m.id, "in_s", *seconds)
		h.dirty = true
	}
	m.notice = h.Loop.Now().Add(core.Seconds(max(*seconds, 0))) + 1
}

// takeTasks takes in the tasks of a report: what it shows, and what it proves to be off the
// machine by not showing it.
func (h *Holder) takeTasks(m *machine, rep *api.Report, from evidence) {
	shown := map[slotKey]bool{}
	// What is on the machine is taken in before what has left it, so that nothing is missing
	// from the picture in between.
	for _, exited := range []bool{false, true} {
		for _, view := range rep.Tasks {
			if (view.State == api.TaskExited) != exited {
				continue
			}
			id, err := core.ParseTaskID(view.Task)
			if err != nil {
				continue
			}
			key := slotKey{id, core.Attempt(view.Attempt)}
			shown[key] = true
			h.see(m, key, view, from)
		}
	}
	for _, s := range m.list() {
		switch {
		case shown[s.slotKey] || s.state == planned:
		case s.state != starting:
			h.setOff(s, releaseNotShown)
		case h.startSettled(s, rep, from):
			if from.source == fromReport {
				h.setUnreachable(m, true)
			}
			h.setOff(s, releaseNotExecuted)
		}
	}
}

// startSettled tells whether a message that does not show a start proves that it was not
// executed. A start sent in an answer is settled by the next report, since a worker has one
// report in flight; a direct message says so only once the answer would have been dropped.
func (h *Holder) startSettled(s *slot, rep *api.Report, from evidence) bool {
	if from.source == fromReport && core.Newer(core.Session(rep.Session), core.Sequence(rep.Sequence), s.sentSeason, s.sentTally) {
		return true
	}
	return from.asked > s.sentAt.Add(core.WithDrift(answerDrop)+margin)
}

// setUnreachable notes whether what we say reaches a machine. One that reports but does
// not act on the answers gets no work until it has answered a command; else its
// starts were lost again and again, each with a lease.
func (h *Holder) setUnreachable(m *machine, unreachable bool) {
	if m.unreachable == unreachable {
		return
	}
	h.Log.Info("machine hears us", "machine", m.id, "hears", !unreachable)
	m.unreachable, m.unreachableSince = unreachable, h.Loop.Now()
	h.dirty = true
	if unreachable {
		h.cancelPlans(m)
		h.fence(m)
	}
}

// see takes in one task of a report.
func (h *Holder) see(m *machine, key slotKey, view api.TaskStatus, from evidence) {
	j := h.jobs[key.task.Job]
	if j != nil && key.task.Index >= j.spec.Tasks {
		j = nil
	}
	s := m.slots[key]
	switch {
	case s == nil:
		s = h.discover(m, key, view, j, from)
	case s.state == exited:
		return
	}
	s.view = view.State
	if j != nil {
		h.noteRun(s, j)
	}
	if view.State == api.TaskExited {
		h.takeExit(s, j, view)
		return
	}
	h.moveSlot(s, present)
	if j != nil {
		j.seen = true
	}
}

// discover books an attempt that a report shows and nobody told us of.
func (h *Holder) discover(m *machine, key slotKey, view api.TaskStatus, j *job, from evidence) *slot {
	now := h.Loop.Now()
	s := &slot{slotKey: key, machine: m, state: present, ends: now}
	if e := h.Mirror.Jobs[key.task.Job]; e != nil {
		s.team, s.need = e.Team, placement.Resources{CPUs: e.CPUs, GPUs: e.GPUs, MemoryGB: e.MemoryGB}
	}
	if j != nil {
		s.ends = now.Add(h.expected(s, m))
	}
	if view.State == api.TaskExited {
		s.state = exited
	}
	var others []*slot
	if j != nil {
		others = slices.Clone(j.attempts.byTask[key.task.Index])
	}
	h.book(s)
	h.dirty = true
	h.noteLearnt(s, from, others)
	if j != nil && s.booked() {
		h.dropPlansFor(j, key.task.Index)
	}
	return s
}

// dropPlansFor drops the plans for a task that already runs somewhere.
func (h *Holder) dropPlansFor(j *job, task int) {
	for _, s := range slices.Clone(j.attempts.byTask[task]) {
		if s.state == planned {
			h.setOff(s, releasePlanDropped)
		}
	}
}

// noteRun follows that an attempt has its image, and since when it runs.
func (h *Holder) noteRun(s *slot, j *job) {
	if s.view != api.TaskRunning && s.view != api.TaskGathering && s.view != api.TaskSaving {
		return
	}
	s.machine.sawImage(j.spec.Image)
	if s.since == 0 && s.view == api.TaskRunning {
		h.Log.Debug("task runs", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id)
		s.since = h.Loop.Now()
		s.ends = s.since.Add(j.estimate())
	}
}

// takeExit takes in that an attempt has ended. j is nil if its job is not ours to finish.
func (h *Holder) takeExit(s *slot, j *job, view api.TaskStatus) {
	s.cause = view.Cause
	h.dirty = true
	if j != nil && view.Cause == api.CauseDone {
		h.takeDone(s, j)
	}
	// What is done is noted before: its task must not wait again.
	h.moveSlot(s, exited)
	if j != nil && view.Cause != api.CauseDone {
		h.Log.Info("task ended without completing", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "cause", view.Cause, "saved", view.Saved)
		h.blame(s.machine, j, view.Cause)
	}
}

// takeDone takes in that an attempt has completed its task.
func (h *Holder) takeDone(s *slot, j *job) {
	s.machine.fails = 0
	h.acquit(j)
	h.finish(j, s.task.Index)
	if j.gang() {
		// A gang completes together: if one task is done, all are.
		for i := range j.spec.Tasks {
			h.finish(j, i)
		}
	}
}

// unsettled tells whether a write about a machine, sent under a version of its
// part, may still be carried out. After one that calls it unused, a start would be
// unknown to a later holder; after one that releases it, so would all planned there.
func (h *Holder) unsettled(m *machine, sent core.Revision) bool {
	return sent != 0 && sent == h.Mirror.Inventory(h.number).VersionOf(m.id)
}
