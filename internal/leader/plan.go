package leader

import (
	"slices"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
)

// plan collects the input for the capacity package and returns its plan.
func (l *Leader) plan(edit *state.Edit, now core.Time, wall core.WallTime) capacity.Plan {
	in := capacity.Input{Now: wall, Types: l.pricedTypes(), GangKinds: l.GangKinds(), TeamQuota: map[string]float64{}, UnavailableOffers: l.unavailableOffers(now), IdleTimeout: l.Config.Operator.IdleTimeout}
	for _, t := range l.Mirror.Teams(l.Config.Teams) {
		in.TeamQuota[t.Name] = t.CPUsMax
	}
	idle := l.IdleMachines()
	waiting := l.trackBoots(edit, now, wall, in.Types, idle)
	overdue, timedOut := l.evaluateBoots(edit, now, &in, waiting)
	in.Machines = append(l.pooledMachines(edit, now, overdue), l.blockMachines(edit, idle, overdue)...)
	in.Jobs = l.unfinishedJobs(wall)
	l.demandTrend.ObserveArrivals(now, slices.DeleteFunc(slices.Clone(in.Jobs), func(j *capacity.Job) bool { return j.ReadySoon }), in.GangKinds, in.Types)
	in.Forecast = l.demandTrend.Forecast()
	plan := capacity.MakePlan(in)
	for _, id := range timedOut {
		l.logWhenApplied("machine did not boot in time; returning it to the cloud", "machine", id, "age", waiting[id].Age.String())
	}
	plan.Return = append(plan.Return, timedOut...)
	l.demandTrend.Observe(now, plan.Demand)
	return plan
}

// unavailableOffers returns the offers that the cloud has recently refused.
func (l *Leader) unavailableOffers(now core.Time) map[capacity.Offer]bool {
	unavailable := map[capacity.Offer]bool{}
	for offer, until := range l.unavailableUntil {
		if until > now {
			unavailable[offer] = true
		} else {
			delete(l.unavailableUntil, offer)
		}
	}
	return unavailable
}

// evaluateBoots returns the machines whose boot is overdue and the machines of the pool
// whose boot has timed out, and marks offers as unavailable of which too many machines are
// overdue.
func (l *Leader) evaluateBoots(edit *state.Edit, now core.Time, in *capacity.Input, waiting map[core.MachineID]capacity.PendingMachine) (overdue map[core.MachineID]bool, timedOut []core.MachineID) {
	bootTime := func(typ string) time.Duration { return core.Seconds(in.Types[typ].BootS) }
	overdue = map[core.MachineID]bool{}
	var pending []capacity.PendingMachine
	for _, id := range core.SortedKeys(waiting) {
		boot := waiting[id]
		pending = append(pending, boot)
		overdue[id] = l.bootTimes.Overdue(now, boot, bootTime(boot.Type))
		if _, pooled := edit.Find(state.PoolInventory, id); pooled && l.bootTimes.TimedOut(now, boot, bootTime(boot.Type)) {
			timedOut = append(timedOut, id)
		}
	}
	for offer := range l.bootTimes.StalledOffers(now, pending, bootTime) {
		in.UnavailableOffers[offer] = true
	}
	return overdue, timedOut
}

// pooledMachines describes the machines of the pool that can be assigned, and tracks since
// when they have been free.
func (l *Leader) pooledMachines(edit *state.Edit, now core.Time, overdue map[core.MachineID]bool) (out []*capacity.Machine) {
	pooled := map[core.MachineID]bool{}
	for _, m := range edit.All(state.PoolInventory) {
		if m.PoolState != state.PoolFree {
			continue
		}
		pooled[m.ID] = true
		if l.freeSince[m.ID] == 0 {
			l.freeSince[m.ID] = now
		}
		machine := l.describe(&m, capacity.NoBlock, overdue)
		machine.FreeFor = now.Sub(l.freeSince[m.ID])
		out = append(out, machine)
	}
	for id := range l.freeSince {
		if !pooled[id] {
			delete(l.freeSince, id)
		}
	}
	return out
}

// blockMachines describes the machines of the blocks that can be counted on. A machine that
// is already being returned to the cloud can still be in the inventory of its block; it is
// left out.
func (l *Leader) blockMachines(edit *state.Edit, idle, overdue map[core.MachineID]bool) (out []*capacity.Machine) {
	leaving := map[core.MachineID]bool{}
	for _, m := range edit.All(state.PoolInventory) {
		leaving[m.ID] = m.PoolState != state.PoolFree
	}
	for _, n := range core.SortedKeys(l.Mirror.Blocks) {
		for m := range l.Mirror.Inventory(n).All() {
			if m.ReturnRequested || m.Expiring || leaving[m.ID] {
				continue
			}
			machine := l.describe(&m, n, overdue)
			machine.Draining, machine.Idle = m.Draining, idle[m.ID]
			out = append(out, machine)
		}
	}
	return out
}

// describe describes a machine for the capacity package.
func (l *Leader) describe(m *state.Machine, block int, overdue map[core.MachineID]bool) *capacity.Machine {
	return &capacity.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Block: block, Ready: l.hasBooted(m), BootOverdue: overdue[m.ID]}
}

// unfinishedJobs describes the jobs that are ready and those that are ready soon, the
// oldest first.
func (l *Leader) unfinishedJobs(wall core.WallTime) (jobs []*capacity.Job) {
	failing, running := l.FailingJobs(), l.RunningTasks()
	l.Mirror.NoteRunning(running)
	for id, e := range l.Mirror.Jobs {
		if e.Finished() || e.Spec == nil {
			continue
		}
		if j := l.describeJob(id, e, wall, running); j != nil {
			j.Failing = failing[id]
			jobs = append(jobs, j)
		}
	}
	sort.Slice(jobs, func(a, b int) bool {
		if jobs[a].ReadyAt != jobs[b].ReadyAt {
			return jobs[a].ReadyAt < jobs[b].ReadyAt
		}
		return jobs[a].ID < jobs[b].ID
	})
	l.markGuaranteed(jobs)
	return jobs
}

// markGuaranteed marks the jobs that fit into their teams' guarantees, which also makes them
// time-sensitive: first those that are ready, then those that are ready soon.
func (l *Leader) markGuaranteed(jobs []*capacity.Job) {
	guarantees := capacity.NewGuarantees(l.Config.Teams)
	for _, readySoon := range []bool{false, true} {
		for _, j := range jobs {
			if j.ReadySoon != readySoon {
				continue
			}
			j.Guaranteed = guarantees.AddJob(j.Team, j.Need.CPUs*float64(j.Remaining))
			j.TimeSensitive = j.TimeSensitive || j.Guaranteed
		}
	}
}

// describeJob describes an unfinished job. It returns nil for a job that cannot start soon,
// so that no machine is kept or rented for it.
func (l *Leader) describeJob(id core.JobID, e *state.JobEntry, wall core.WallTime, running map[core.JobID]int) *capacity.Job {
	block, ok := l.Mirror.TeamBlock(e.Team)
	at, ready := e.ReadyAt()
	readySoon := !ready && e.ReadySoon()
	if !ok || !ready && !readySoon {
		return nil
	}
	if readySoon {
		at = wall
	}
	j := &capacity.Job{
		Job: placement.NewJob(id, at, e.Spec), Block: block, Remaining: e.Tasks - e.Done.Len(), Running: running[id],
		ReadySoon: readySoon, HasDependencies: e.HasDependencies(),
	}
	j.Overdue = capacity.Overdue(at, wall, j.Running > 0 || !e.Done.Empty())
	urgency := l.Mirror.Urgency(e)
	j.Rank = max(j.Rank, urgency.Rank)
	j.TimeSensitive = urgency.Deadline > 0 || capacity.TimeSensitive(l.Config.Objectives, e.Spec)
	if j.Running == 0 {
		j.Starvation = capacity.StarvationAfter(time.Duration(wall-at) * time.Millisecond)
	}
	if due := capacity.DueTimes(l.Config.Objectives, e.Spec, e.AcceptedAt, at, urgency.Deadline); len(due) > 0 {
		j.Deadline = due[0]
	}
	return j
}

// trackBoots returns the machines that have not booted yet, and records the boot times of
// those that have booted since the last plan.
func (l *Leader) trackBoots(edit *state.Edit, now core.Time, wall core.WallTime, types map[string]api.MachineType, idle map[core.MachineID]bool) map[core.MachineID]capacity.PendingMachine {
	waiting := map[core.MachineID]capacity.PendingMachine{}
	track := func(m *state.Machine) {
		age := time.Duration(wall-m.Since) * time.Millisecond
		switch up := l.hasBooted(m) || idle[m.ID]; {
		case !up && m.Since > 0 && m.PoolState == state.PoolFree && !m.ReturnRequested:
			waiting[m.ID] = capacity.PendingMachine{Offer: capacity.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}, Age: age}
		case up && l.booting[m.ID]:
			l.bootTimes.Record(now, m.Type, age, core.Seconds(types[m.Type].BootS))
		}
	}
	for _, m := range edit.All(state.PoolInventory) {
		track(&m)
	}
	for _, n := range core.SortedKeys(l.Mirror.Blocks) {
		for m := range l.Mirror.Inventory(n).All() {
			track(&m)
		}
	}
	l.booting = map[core.MachineID]bool{}
	for id := range waiting {
		l.booting[id] = true
	}
	return waiting
}

// hasBooted reports whether a machine has booted: it has been in use, or the cloud lists it
// as running.
func (l *Leader) hasBooted(m *state.Machine) bool {
	return m.InUse || m.LastTerm > 0 || l.listed[m.ID].Phase == api.MachineRunning
}
