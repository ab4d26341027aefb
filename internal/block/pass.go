package block

import (
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// schedulePass runs a pass if something has changed, at most once per passInterval. A holder that
// may not send starts plans none and preempts nothing for them.
func (h *Holder) schedulePass() {
	now := h.Loop.Now()
	if !h.dirty || !h.maySendStarts() {
		return
	}
	interval := max(h.passInterval, minPassInterval)
	if now.Sub(h.lastPass) >= interval {
		h.runPass()
		return
	}
	if !h.passScheduled {
		h.passScheduled = true
		h.Loop.After(h.lastPass.Add(interval).Sub(now), func() {
			h.passScheduled = false
			h.schedulePass()
		})
	}
}

// dropPlans drops those attempts that are planned, whose starts have not been sent.
func (h *Holder) dropPlans(attempts []*slot) {
	for _, s := range slices.Clone(attempts) {
		if s.state == planned {
			h.releaseAttempt(s, releasePlanDropped)
		}
	}
}

// usable reports whether tasks can be planned on a machine.
func (h *Holder) usable(m *machine) bool {
	return m.state == live && m.fenced && !m.unreachable && m.reclaimAt == 0 && !m.returnRequested && m.total.CPUs > 0 &&
		!h.writePending(m, m.clearInUseVersion) && !h.writePending(m, m.poolMoveVersion)
}

// runPass runs the placement and books the starts that it decided on.
func (h *Holder) runPass() {
	now := h.Loop.Now()
	h.lastPass = now
	h.dirty = false
	types := h.Types()
	jobs := h.candidates(now)
	gangKinds := h.gangKindsNow(jobs, types)
	h.updateTotals(types)
	h.teams = h.teamUsage()
	machines := h.usableMachines(now, gangKinds)
	h.deferArrays(jobs, machines, h.teams)
	for _, j := range jobs {
		j.GangMachinesOnly = capacity.GangMachinesOnly(j, types, gangKinds)
	}
	result := placement.Schedule(now, machines, jobs, h.teams, h.Policy, h.nextGroup)
	h.nextGroup, h.dirty = result.NextGroup, h.dirty || result.Unfinished
	h.preempt(now, jobs, machines, h.teams)
	for _, start := range result.Starts {
		h.plan(h.jobs[start.Job], h.machines[start.Machine])
	}
	if result.ReservedJob != "" {
		h.Log.Debug("oldest waiting job holds a reservation", "job", result.ReservedJob, "in", result.ReservedAt.Sub(now).String())
	}
	h.persistInUse()
	h.answerHeldReports()
	// A slow processor has to serve others between two passes.
	h.passInterval = passSpacing * h.Loop.Now().Sub(now)
	h.Metrics.Passes.Observe(h.Loop.Now().Sub(now).Seconds())
	h.schedulePass()
}

// updateTotals sets the machines' resources from their types, as far as those are known.
func (h *Holder) updateTotals(types map[string]api.MachineType) {
	for _, m := range h.machines {
		if t, ok := types[m.machineType]; ok {
			m.total = placement.CapacityOf(t)
		}
	}
}

// teamUsage returns the usage and quota of each team. An attempt that may still be on a
// machine counts, whatever has become of its job.
func (h *Holder) teamUsage() map[string]*placement.Team {
	teams := map[string]*placement.Team{}
	for _, t := range h.Mirror.Teams(h.Config.Teams) {
		teams[t.Name] = &placement.Team{Quota: placement.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax}}
	}
	for _, m := range h.orderedMachines() {
		for _, s := range m.orderedSlots() {
			if team := teams[s.team]; team != nil && s.booked() {
				team.Used = team.Used.Add(s.resources)
			}
		}
	}
	return teams
}

// usableMachines describes, for the placement, the machines on which tasks can be started.
func (h *Holder) usableMachines(now core.Time, gangKinds capacity.GangKinds) (out []*placement.Machine) {
	for _, m := range h.orderedMachines() {
		if h.usable(m) {
			out = append(out, h.describeMachine(m, now, gangKinds))
		}
	}
	return out
}

// describeMachine describes a machine for the placement.
func (h *Holder) describeMachine(m *machine, now core.Time, gangKinds capacity.GangKinds) *placement.Machine {
	p := &placement.Machine{
		ID: m.id, Type: m.machineType, Zone: m.zone, Spot: m.spot, Total: m.total, Booked: m.bookedResources(), Images: m.images,
		Unreliable: m.unreliableUntil > now, Draining: m.draining, Tasks: len(m.slots), MaxTasks: placement.MaxTasks,
	}
	m.freeWindow.record(now, p.Free())
	p.RecentMinFree = m.freeWindow.minimum()
	p.GangTaskSize, p.GangReserved = gangKinds[capacity.MachineKind{Type: m.machineType, Spot: m.spot}]
	for _, s := range m.slots {
		if !s.booked() {
			continue
		}
		end := h.expectedEnd(s, now)
		p.Releases = append(p.Releases, placement.Release{At: end, Resources: s.resources})
		p.BusyFor = max(p.BusyFor, end.Sub(now))
		if j := h.jobs[s.task.Job]; j == nil || !j.gang() {
			p.BookedByArrays = p.BookedByArrays.Add(s.resources)
		}
	}
	return p
}

// expectedEnd returns when an attempt is estimated to end. One that overruns its estimate gets
// more time, in growing steps, instead of being expected to end at any moment.
func (h *Holder) expectedEnd(s *slot, now core.Time) core.Time {
	if s.expectedEnd > now {
		return s.expectedEnd
	}
	overrun := now.Sub(s.expectedEnd)
	return now.Add(max(overrun/2, time.Second))
}

// plan books the next waiting task of a job on a machine; the start is sent in the response to
// the machine's next report.
func (h *Holder) plan(j *job, m *machine) {
	i, ok := j.nextWaiting()
	if !ok {
		h.Metrics.Violated(h.Log, "placement started a job without a waiting task", "job", j.id)
		return
	}
	var attempt core.Attempt
	if j.gang() {
		attempt = j.attempts.newest() // shared with the members planned earlier in this pass
	}
	if attempt == 0 {
		// The term makes the number unique among holders, the counter among our own attempts.
		h.attemptSeq++
		attempt = core.Attempt(uint64(h.term)<<24 + h.attemptSeq)
	}
	s := &slot{slotKey: slotKey{core.TaskID{Job: j.id, Index: i}, attempt}, machine: m, team: j.spec.Team, resources: j.resources}
	s.expectedEnd = h.Loop.Now().Add(h.expectedDuration(s, m))
	h.book(s)
	m.idleSince = 0
}
