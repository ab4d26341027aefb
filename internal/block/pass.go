package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// passSoon plans what can start, not too often.
func (h *Holder) passSoon() {
	now := h.Loop.Now()
	if !h.dirty || h.state != placing {
		return
	}
	if now.Sub(h.passAt) >= passPause {
		h.pass()
		return
	}
	if !h.passing {
		h.passing = true
		h.Loop.After(h.passAt.Add(passPause).Sub(now), func() {
			h.passing = false
			h.passSoon()
		})
	}
}

// cancelPlans drops plans for a machine that does not fetch them.
func (h *Holder) cancelPlans(m *machine) {
	for _, s := range m.list() {
		if s.state == planned {
			h.setOff(s, releasePlanDropped)
		}
	}
}

func (h *Holder) usable(m *machine) bool {
	return m.state == live && m.fenced && !m.unreachable && m.notice == 0 && !m.lost && m.total.CPUs > 0 &&
		!h.unsettled(m, m.lowering) && !h.unsettled(m, m.leaving)
}

// pass plans starts.
func (h *Holder) pass() {
	now := h.Loop.Now()
	h.passAt = now
	h.dirty = false
	types := h.Types()
	jobs := h.candidates(now)
	kept := h.keptNow(jobs, types)
	h.noteRoom(types)
	h.teams = h.teamsNow()
	machines := h.machinesNow(now, kept)
	h.deferArrays(jobs, machines, h.teams)
	for _, j := range jobs {
		j.GangMachinesOnly = capacity.GangMachinesOnly(j, types, kept)
	}
	result := placement.Schedule(now, machines, jobs, h.teams, h.Policy)
	h.preempt(now, jobs, machines, h.teams)
	for _, start := range result.Starts {
		h.plan(h.jobs[start.Job], h.machines[start.Machine])
	}
	if result.ReservedJob != "" {
		h.Log.Debug("oldest waiting job holds a reservation", "job", result.ReservedJob, "in", result.ReservedAt.Sub(now).String())
	}
	h.requestUp()
	h.flushReady()
}

// noteRoom takes in what the machines have, as far as their types are known.
func (h *Holder) noteRoom(types map[string]api.MachineType) {
	for _, m := range h.machines {
		if t, ok := types[m.typ]; ok {
			m.total = placement.CapacityOf(t)
		}
	}
}

// teamsNow tells what each team uses and may use. What may still be on a machine counts,
// whatever has become of its job.
func (h *Holder) teamsNow() map[string]*placement.Team {
	teams := map[string]*placement.Team{}
	for _, t := range h.Mirror.Teams(h.Config.Teams) {
		teams[t.Name] = &placement.Team{Quota: placement.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}}
	}
	for _, id := range core.SortedKeys(h.machines) {
		for _, s := range h.machines[id].list() {
			if team := teams[s.team]; team != nil && s.booked() {
				team.Used = team.Used.Add(s.need)
			}
		}
	}
	return teams
}

// machinesNow describes the machines on which something can be started.
func (h *Holder) machinesNow(now core.Time, kept capacity.GangKinds) (out []*placement.Machine) {
	for _, id := range core.SortedKeys(h.machines) {
		if m := h.machines[id]; h.usable(m) {
			out = append(out, h.describe(m, now, kept))
		}
	}
	return out
}

// describe describes a machine for the placement.
func (h *Holder) describe(m *machine, now core.Time, kept capacity.GangKinds) *placement.Machine {
	p := &placement.Machine{
		ID: m.id, Type: m.typ, Zone: m.zone, Spot: m.spot, Total: m.total, Booked: m.booked(), Images: m.images,
		Unreliable: m.unreliable > now, Draining: m.asked, Tasks: len(m.slots), MaxTasks: placement.MaxTasks,
	}
	m.room.note(now, p.Free())
	p.RecentMinFree = m.room.least()
	p.GangTaskSize, p.GangReserved = kept[capacity.MachineKind{Type: m.typ, Spot: m.spot}]
	for _, s := range m.slots {
		if !s.booked() {
			continue
		}
		ends := h.ends(s, now)
		p.Releases = append(p.Releases, placement.Release{At: ends, Resources: s.need})
		p.BusyFor = max(p.BusyFor, ends.Sub(now))
		if j := h.jobs[s.task.Job]; j == nil || !j.gang() {
			p.BookedByArrays = p.BookedByArrays.Add(s.need)
		}
	}
	return p
}

// ends is when a task ends by estimate; one that overruns is given more time,
// in growing steps, instead of being expected to end at any moment.
func (h *Holder) ends(s *slot, now core.Time) core.Time {
	if s.ends > now {
		return s.ends
	}
	over := now.Sub(s.ends)
	return now.Add(max(over/2, time.Second))
}

// plan books a task on a machine; the start goes out with its next report.
func (h *Holder) plan(j *job, m *machine) {
	i, ok := j.next()
	if !ok {
		h.Log.Error("no task waits though the placement counted one", "job", j.id)
		return
	}
	var attempt core.Attempt
	if j.gang() {
		attempt = j.attempts.newest() // of the members that this pass has planned already
	}
	if attempt == 0 {
		// The term makes it unique among holders, the count among our own.
		h.seq++
		attempt = core.Attempt(uint64(h.term)<<24 + h.seq)
	}
	s := &slot{slotKey: slotKey{core.TaskID{Job: j.id, Index: i}, attempt}, machine: m, team: j.spec.Team, need: j.need}
	s.ends = h.Loop.Now().Add(h.expected(s, m))
	h.book(s)
	m.idle = 0
}
