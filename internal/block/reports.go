package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// Report answers a worker's report, now or, if it has nothing to do, a little
// later; done(_, false) means that the machine is not ours to answer.
func (h *Holder) Report(rep *api.Report, done func(api.ReportAnswer, bool)) {
	m := h.machines[core.MachineID(rep.Machine)]
	if m == nil || !h.Entitled() || core.Term(rep.Term) > h.termOf(m) || m.floor == ^core.Season(0) {
		done(api.ReportAnswer{}, false)
		return
	}
	now := h.Loop.Now()
	if h.lateCopy(m, rep, now) {
		done(api.ReportAnswer{}, false)
		return
	}
	h.flush(m)
	m.addr = rep.Addr
	m.reported = now
	fresh := h.take(m, rep, true, now)
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
			done(api.ReportAnswer{}, false)
			return
		}
	}
	m.answer, m.answered = max(m.answer, now), now
	if !fresh {
		done(api.ReportAnswer{Term: uint64(h.termOf(m)), Orders: []api.Order{}}, true)
		return
	}
	h.passSoon()
	if h.urgent(m) {
		done(api.ReportAnswer{Term: uint64(h.termOf(m)), Orders: h.orders(m)}, true)
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

// lateCopy tells whether a report was sent long ago. A worker gives a report up
// after a while, so one that is in flight can be older only than a message that
// we have had since. A late copy must neither show a machine alive nor count as
// answered: copies that kept coming put off the time at which the lease of a
// dead machine had surely run out.
func (h *Holder) lateCopy(m *machine, rep *api.Report, now core.Time) bool {
	return m.season > 0 && !core.Newer(core.Season(rep.Season), core.Tally(rep.Tally), m.season, m.tally) &&
		now > m.heard.Add(core.Stretch(answerDrop)+margin)
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
	return h.Config.Workers.Hold()
}

// flush answers a report that was kept back.
func (h *Holder) flush(m *machine) {
	x := m.held
	if x == nil {
		return
	}
	m.held = nil
	if h.state == released || h.machines[m.id] != m || !h.Entitled() {
		x.done(api.ReportAnswer{}, false)
		return
	}
	m.answered = h.Loop.Now()
	x.done(api.ReportAnswer{Term: uint64(h.termOf(m)), Orders: h.orders(m)}, true)
}

// flushReady answers the reports for which there is something to say by now, and
// asks for those that are far away.
func (h *Holder) flushReady() {
	for _, id := range core.Keys(h.machines) {
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
		if s.state == planned && h.ready(m) || s.state == present && s.stopped == 0 && (s.stop || h.unwanted(s)) {
			return true
		}
	}
	return false
}

// unwanted tells whether a task on a machine should not be there: its job is
// over, or unknown to us, or has the task elsewhere.
func (h *Holder) unwanted(s *slot) bool {
	e, j := h.Mirror.Jobs[s.task.Job], h.jobs[s.task.Job]
	return e == nil || e.Over() || j == nil || j.cancelled || j.slots[s.task.Index] != s
}

// ready tells whether starts may be sent to a machine.
func (h *Holder) ready(m *machine) bool {
	return h.state == placing && m.up && m.fenced && !m.unreachable && m.state == live && !h.unsettled(m, m.lowering)
}

// orders composes the commands for a machine that has just reported.
func (h *Holder) orders(m *machine) []api.Order {
	now := h.Loop.Now()
	var kills, clears, runs []api.Order
	for _, s := range m.list() {
		order := api.Order{Task: s.task.String(), Attempt: uint64(s.attempt)}
		e := h.Mirror.Jobs[s.task.Job]
		switch s.state {
		case exited:
			if s.cause != api.CauseDone || e == nil || e.Over() || e.Done.Has(s.task.Index) {
				order.Verb = api.VerbClear
				clears = append(clears, order)
			}
		case present:
			if unwanted := h.unwanted(s); unwanted || s.stop {
				grace := s.grace
				if unwanted {
					grace = 0
				}
				if s.stopped == 0 {
					s.stopped = now
				}
				order.Verb, order.GraceS = api.VerbKill, &grace
				kills = append(kills, order)
			}
		case planned:
			if h.ready(m) && len(runs) < maxOrders {
				h.moveSlot(s, starting)
				s.sentAt, s.sentSeason, s.sentTally = now, m.season, m.tally
				s.ends = now.Add(h.expected(s, m))
				order.Verb = api.VerbRun
				runs = append(runs, order)
			}
		}
	}
	out := append(append(kills, clears...), runs...)
	if out == nil {
		out = []api.Order{}
	}
	return out
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

// take brings what we know of a machine in line with a report. asked is when
// the message was requested (direct) or received (report). It tells whether
// the report was news.
func (h *Holder) take(m *machine, rep *api.Report, viaReport bool, asked core.Time) bool {
	now := h.Loop.Now()
	season, tally := core.Season(rep.Season), core.Tally(rep.Tally)
	if season <= m.floor || !core.Newer(season, tally, m.season, m.tally) {
		return false
	}
	if season > m.season {
		if m.fenced && m.season > 0 && m.state == live && now.Sub(m.answer) < h.Config.Workers.Lease/2 {
			// Its lease ran out though we answered its reports.
			h.setUnreachable(m, true)
		}
		// The worker has killed and forgotten everything of earlier seasons,
		// and drops answers to reports of those.
		for _, s := range m.list() {
			if s.state != planned {
				h.setOff(s, "worker's lease ran out")
			}
		}
		m.images = map[string]bool{}
		m.recent = nil
	}
	m.season, m.tally, m.heard = season, tally, now
	if !viaReport && (m.reported == 0 || now.Sub(m.reported) < h.quiet()) {
		// It answered a command. One whose reports reach nobody gets no work either: it
		// cannot be told to start it, and was planned for again and again.
		h.setUnreachable(m, false)
	}
	if rep.NoticeS != nil {
		if m.notice == 0 {
			h.Log.Info("the cloud takes a machine back", "machine", m.id, "in_s", *rep.NoticeS)
			h.dirty = true
		}
		m.notice = now.Add(core.Seconds(max(*rep.NoticeS, 0))) + 1
	}
	seen := map[slotKey]bool{}
	for _, v := range rep.Tasks {
		id, err := core.ParseTask(v.Task)
		if err != nil {
			continue
		}
		k := slotKey{id, core.Attempt(v.Attempt)}
		seen[k] = true
		h.see(m, k, v)
	}
	for _, s := range m.list() {
		if seen[s.slotKey] || s.state == planned {
			continue
		}
		if s.state == starting {
			// A start sent in an answer is settled by the next report, since a
			// worker has one report in flight; a direct message says so only
			// once the answer would have been dropped.
			settled := viaReport && core.Newer(season, tally, s.sentSeason, s.sentTally) ||
				asked > s.sentAt.Add(core.Stretch(answerDrop)+margin)
			if !settled {
				continue
			}
			if viaReport {
				h.setUnreachable(m, true)
			}
			h.setOff(s, "start was not executed")
			continue
		}
		h.setOff(s, "")
	}
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
func (h *Holder) see(m *machine, k slotKey, v api.TaskView) {
	now := h.Loop.Now()
	s := m.slots[k]
	j := h.jobs[k.task.Job]
	if j != nil && k.task.Index >= j.spec.Tasks {
		j = nil
	}
	if s == nil {
		s = &slot{slotKey: k, machine: m, state: present, ends: now}
		if e := h.Mirror.Jobs[k.task.Job]; e != nil {
			s.team, s.need = e.Team, placement.Need{CPUs: e.CPUs, GPUs: e.GPUs, MemoryGB: e.MemoryGB}
		}
		if j != nil {
			s.ends = now.Add(h.expected(s, m))
		}
		m.add(s)
		if j != nil && v.State != api.TaskExited && !j.done.Has(k.task.Index) {
			if other := j.slots[k.task.Index]; other == nil {
				j.slots[k.task.Index] = s
			} else if other.state == planned {
				// It already runs here; the plan is dropped.
				other.machine.drop(other)
				h.moveSlot(other, off)
				j.slots[k.task.Index] = s
			}
		}
		h.dirty = true
	}
	if s.state == exited {
		return
	}
	s.view = v.State
	if j != nil && (v.State == api.TaskRunning || v.State == api.TaskGathering || v.State == api.TaskSaving) {
		m.sawImage(j.spec.Image)
		if s.since == 0 && v.State == api.TaskRunning {
			h.Log.Debug("task runs", "task", k.task.String(), "attempt", k.attempt, "machine", m.id)
			s.since = now
			s.ends = now.Add(j.estimate())
		}
	}
	if v.State != api.TaskExited {
		h.moveSlot(s, present)
		if j != nil {
			j.seen = true
		}
		return
	}
	h.moveSlot(s, exited)
	s.cause = v.Cause
	h.dirty = true
	if j == nil {
		return
	}
	if v.Cause == api.CauseDone {
		m.fails = 0
		h.acquit(j)
		h.finish(j, k.task.Index)
		if j.gang() {
			// A gang completes together: if one task is done, all are.
			for i := range j.spec.Tasks {
				h.finish(j, i)
			}
		}
	} else {
		h.Log.Info("task ended without completing", "task", k.task.String(), "attempt", k.attempt, "machine", m.id, "cause", v.Cause, "saved", v.Saved)
		h.blame(m, j, v.Cause)
	}
	h.unplace(s)
}

// blame tells bad machines from jobs submitted with a mistake by who else succeeds
// where. A failure counts against its machine once the job has completed a task
// elsewhere, not before: jobs with a mistake fail on every machine, and the machines
// that met two of them were unreliable. A job that has failed on two machines and
// completed nothing is tried one task at a time, ever more seldom, until one
// completes: each of its tasks took its turn on machines, and its gangs held a
// reservation, until its user cancelled it.
func (h *Holder) blame(m *machine, j *job, cause string) {
	now := h.Loop.Now()
	switch cause {
	case api.CauseError:
		j.avoid[m.id] = now.Add(avoidTime)
		if !j.done.Empty() {
			h.failed(m)
			if j.fails++; j.fails >= manyFails {
				// Some of its tasks may have a mistake though others had none.
				j.holdoff = now.Add(min(time.Second<<min((j.fails-manyFails)/4, 5), 30*time.Second))
			}
			return
		}
		was := j.probing()
		j.failed[m.id] = true
		switch {
		case was:
			j.fails++
			j.holdoff = now.Add(min(time.Second<<min(j.fails, 5), 30*time.Second))
		case j.probing():
			h.Log.Info("job has failed wherever it ran; it is tried one task at a time", "job", j.id, "machines", len(j.failed))
			j.holdoff = now.Add(time.Second)
		}
	case api.CauseNoSuch:
		j.fails++
		j.holdoff = now.Add(min(time.Second<<min(j.fails, 4), 15*time.Second))
	case api.CauseNoRoom, api.CauseInUse:
		j.avoid[m.id] = now.Add(3 * time.Second)
	}
}

// failed counts a failure against a machine.
func (h *Holder) failed(m *machine) {
	if m.fails++; m.fails >= 2 {
		m.unreliable = h.Loop.Now().Add(unreliableTime)
	}
}

// acquit notes that a job has completed its first task: where it failed, the machine
// was to blame.
func (h *Holder) acquit(j *job) {
	for _, id := range core.Keys(j.failed) {
		if m := h.machines[id]; m != nil {
			h.failed(m)
		}
	}
	j.failed, j.fails, j.holdoff = map[core.MachineID]bool{}, 0, 0
}

// unsettled tells whether a write about a machine, sent under a version of its
// part, may still be carried out. After one that calls it unused, a start would be
// unknown to a later holder; after one that releases it, so would all planned there.
func (h *Holder) unsettled(m *machine, sent core.Revision) bool {
	return sent != 0 && sent == h.Mirror.Inventory(h.number).VersionOf(m.id)
}
