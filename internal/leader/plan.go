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

// plan asks the capacity package what should be where.
func (l *Leader) plan(edit *state.Edit, now core.Time, wall core.WallTime) capacity.Plan {
	in := capacity.Input{Now: wall, Types: l.priced(), GangKinds: l.GangKinds(), TeamQuota: map[string]float64{}, UnavailableOffers: l.closedOffers(now), IdleTimeout: l.Config.Operator.IdleTimeout}
	for _, t := range l.Mirror.Teams(l.Config.Teams) {
		in.TeamQuota[t.Name] = t.CPUsMax
	}
	idle := l.IdleMachines()
	waiting := l.watchBoots(edit, now, wall, in.Types, idle)
	doubtful, hopeless := l.judgeBoots(edit, now, &in, waiting)
	in.Machines = append(l.pooledMachines(edit, now, doubtful), l.blockMachines(edit, idle, doubtful)...)
	in.Jobs = l.unfinishedJobs(wall)
	l.trend.ObserveArrivals(now, slices.DeleteFunc(slices.Clone(in.Jobs), func(j *capacity.Job) bool { return j.ReadySoon }), in.GangKinds, in.Types)
	in.Forecast = l.trend.Forecast()
	plan := capacity.MakePlan(in)
	for _, id := range hopeless {
		l.note("machine has not come up; it is returned", "machine", id, "age", waiting[id].Age.String())
	}
	plan.Return = append(plan.Return, hopeless...)
	l.trend.Observe(now, plan.Demand)
	return plan
}

// closedOffers lists the kinds of machine that the cloud refused lately.
func (l *Leader) closedOffers(now core.Time) map[capacity.Offer]bool {
	closed := map[capacity.Offer]bool{}
	for offer, until := range l.closed {
		if until > now {
			closed[offer] = true
		} else {
			delete(l.closed, offer)
		}
	}
	return closed
}

// judgeBoots tells which machines should long have come up, and which of the pool never
// will, and closes the offers of which too many are overdue.
func (l *Leader) judgeBoots(edit *state.Edit, now core.Time, in *capacity.Input, waiting map[core.MachineID]capacity.PendingMachine) (doubtful map[core.MachineID]bool, hopeless []core.MachineID) {
	usual := func(typ string) time.Duration { return core.Seconds(in.Types[typ].BootS) }
	doubtful = map[core.MachineID]bool{}
	var pending []capacity.PendingMachine
	for _, id := range core.SortedKeys(waiting) {
		boot := waiting[id]
		pending = append(pending, boot)
		doubtful[id] = l.boots.Overdue(now, boot, usual(boot.Type))
		if _, pooled := edit.Find(state.PoolInventory, id); pooled && l.boots.TimedOut(now, boot, usual(boot.Type)) {
			hopeless = append(hopeless, id)
		}
	}
	for offer := range l.boots.StalledOffers(now, pending, usual) {
		in.UnavailableOffers[offer] = true
	}
	return doubtful, hopeless
}

// pooledMachines describes the machines of the pool that can be assigned, and follows since
// when they have been there.
func (l *Leader) pooledMachines(edit *state.Edit, now core.Time, doubtful map[core.MachineID]bool) (out []*capacity.Machine) {
	pooled := map[core.MachineID]bool{}
	for _, m := range edit.All(state.PoolInventory) {
		if m.PoolState != state.PoolFree {
			continue
		}
		pooled[m.ID] = true
		if l.free[m.ID] == 0 {
			l.free[m.ID] = now
		}
		machine := l.describe(&m, capacity.NoBlock, doubtful)
		machine.FreeFor = now.Sub(l.free[m.ID])
		out = append(out, machine)
	}
	for id := range l.free {
		if !pooled[id] {
			delete(l.free, id)
		}
	}
	return out
}

// blockMachines describes the machines of the blocks that can be counted on. One that is
// on its way back to the cloud can still stand in its block.
func (l *Leader) blockMachines(edit *state.Edit, idle, doubtful map[core.MachineID]bool) (out []*capacity.Machine) {
	leaving := map[core.MachineID]bool{}
	for _, m := range edit.All(state.PoolInventory) {
		leaving[m.ID] = m.PoolState != state.PoolFree
	}
	for _, n := range core.SortedKeys(l.Mirror.Blocks) {
		for m := range l.Mirror.Inventory(n).All() {
			if m.ReturnRequested || m.Expiring || leaving[m.ID] {
				continue
			}
			machine := l.describe(&m, n, doubtful)
			machine.Draining, machine.Idle = m.Draining, idle[m.ID]
			out = append(out, machine)
		}
	}
	return out
}

func (l *Leader) describe(m *state.Machine, block int, doubtful map[core.MachineID]bool) *capacity.Machine {
	return &capacity.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Block: block, Ready: l.ready(m), BootOverdue: doubtful[m.ID]}
}

// unfinishedJobs describes the jobs that may run, and those that are expected to before
// long, the oldest first.
func (l *Leader) unfinishedJobs(wall core.WallTime) (jobs []*capacity.Job) {
	failing, running := l.FailingJobs(), l.RunningTasks()
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

// markGuaranteed marks the jobs that fit into their teams' guarantees: first those that may
// run, then those that are expected to.
func (l *Leader) markGuaranteed(jobs []*capacity.Job) {
	guarantees := capacity.NewGuarantees(l.Config.Teams)
	for _, expected := range []bool{false, true} {
		for _, j := range jobs {
			if j.ReadySoon != expected {
				continue
			}
			j.Guaranteed = guarantees.AddJob(j.Team, j.Need.CPUs*float64(j.Remaining))
			j.TimeSensitive = j.TimeSensitive || j.Guaranteed
		}
	}
}

// describeJob describes an unfinished job, or nothing: no machine is kept or rented for what
// cannot start.
func (l *Leader) describeJob(id core.JobID, e *state.JobEntry, wall core.WallTime, running map[core.JobID]int) *capacity.Job {
	block, ok := l.Mirror.TeamBlock(e.Team)
	at, ready := l.Mirror.ReadyAt(e)
	expected := !ready && l.Mirror.ReadySoon(e, func(id core.JobID) bool { return running[id] > 0 })
	if !ok || !ready && !expected {
		return nil
	}
	if expected {
		at = wall
	}
	j := &capacity.Job{
		Job: placement.NewJob(id, at, e.Spec), Block: block, Remaining: e.Tasks - e.Done.Len(), Running: running[id],
		ReadySoon: expected, HasDependencies: len(e.Spec.Dependencies) > 0,
	}
	j.Overdue = capacity.Overdue(at, wall, j.Running > 0 || !e.Done.Empty())
	j.Rank = max(j.Rank, e.Urgency.Rank)
	j.TimeSensitive = e.Urgency.Deadline > 0 || capacity.TimeSensitive(l.Config.Objectives, e.Spec)
	if j.Running == 0 {
		j.Starvation = capacity.StarvationAfter(time.Duration(wall-at) * time.Millisecond)
	}
	if due := capacity.DueTimes(l.Config.Objectives, e.Spec, e.AcceptedAt, at, e.Urgency.Deadline); len(due) > 0 {
		j.Deadline = due[0]
	}
	return j
}

// watchBoots follows which machines have not come up yet, and how long those took that
// have.
func (l *Leader) watchBoots(edit *state.Edit, now core.Time, wall core.WallTime, types map[string]api.MachineType, idle map[core.MachineID]bool) map[core.MachineID]capacity.PendingMachine {
	waiting := map[core.MachineID]capacity.PendingMachine{}
	look := func(m *state.Machine) {
		age := time.Duration(wall-m.Since) * time.Millisecond
		switch up := l.ready(m) || idle[m.ID]; {
		case !up && m.Since > 0 && m.PoolState == state.PoolFree && !m.ReturnRequested:
			waiting[m.ID] = capacity.PendingMachine{Offer: capacity.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}, Age: age}
		case up && l.booting[m.ID]:
			l.boots.Record(now, m.Type, age, core.Seconds(types[m.Type].BootS))
		}
	}
	for _, m := range edit.All(state.PoolInventory) {
		look(&m)
	}
	for _, n := range core.SortedKeys(l.Mirror.Blocks) {
		for m := range l.Mirror.Inventory(n).All() {
			look(&m)
		}
	}
	l.booting = map[core.MachineID]bool{}
	for id := range waiting {
		l.booting[id] = true
	}
	return waiting
}

// ready tells whether a machine has booted: it was in use, or the list says so.
func (l *Leader) ready(m *state.Machine) bool {
	return m.InUse || m.LastTerm > 0 || l.list[m.ID].Phase == api.MachineRunning
}
