package block

import (
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
	return m.season > 0 && !core.Newer(core.Season(rep.Season), core.Tally(rep.Tally), m.season, m.tally) &&
		now > m.heard.Add(core.Stretch(answerDrop)+margin)
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

// unsettled tells whether a write about a machine, sent under a version of its
// part, may still be carried out. After one that calls it unused, a start would be
// unknown to a later holder; after one that releases it, so would all planned there.
func (h *Holder) unsettled(m *machine, sent core.Revision) bool {
	return sent != 0 && sent == h.Mirror.Inventory(h.number).VersionOf(m.id)
}
