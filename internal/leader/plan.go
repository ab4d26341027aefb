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
func (l *Leader) plan(edit *state.Edit, now core.Time, wall core.Wall) capacity.Plan {
	in := capacity.Input{Now: wall, Types: l.priced(), Kept: l.Kept(), TeamMax: map[string]float64{}, Closed: map[capacity.Offer]bool{}, Idle: l.Config.Operator.Idle}
	for o, until := range l.closed {
		if until > now {
			in.Closed[o] = true
		} else {
			delete(l.closed, o)
		}
	}
	for _, t := range l.Mirror.Teams(l.Config.Teams) {
		in.TeamMax[t.Name] = t.CPUsMax
	}
	idle := l.Idle()
	waiting := l.watchBoots(edit, now, wall, in.Types, idle)
	usual := func(typ string) time.Duration { return core.Seconds(in.Types[typ].BootS) }
	doubtful := map[core.MachineID]bool{}
	var hopeless []core.MachineID
	var pending []capacity.Pending
	for _, id := range core.Keys(waiting) {
		p := waiting[id]
		pending = append(pending, p)
		doubtful[id] = l.boots.Doubtful(now, p, usual(p.Type))
		if _, pooled := edit.Find(state.PoolInventory, id); pooled && l.boots.Hopeless(now, p, usual(p.Type)) {
			hopeless = append(hopeless, id)
		}
	}
	for o := range l.boots.Troubled(now, pending, usual) {
		in.Closed[o] = true
	}
	inPool := map[core.MachineID]bool{}
	spoken := map[core.MachineID]bool{}
	for _, m := range edit.All(state.PoolInventory) {
		if m.Fate != state.Free {
			spoken[m.ID] = true
			continue
		}
		inPool[m.ID] = true
		if l.free[m.ID] == 0 {
			l.free[m.ID] = now
		}
		in.Machines = append(in.Machines, &capacity.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Block: capacity.NoBlock, Ready: l.ready(&m), Doubtful: doubtful[m.ID], Free: now.Sub(l.free[m.ID])})
	}
	for id := range l.free {
		if !inPool[id] {
			delete(l.free, id)
		}
	}
	for _, n := range core.Keys(l.Mirror.Blocks) {
		for m := range l.Mirror.Inventory(n).All() {
			if m.Lost || m.Doomed || spoken[m.ID] {
				continue
			}
			in.Machines = append(in.Machines, &capacity.Machine{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Block: n, Asked: m.Asked, Ready: l.ready(&m), Idle: idle[m.ID], Doubtful: doubtful[m.ID]})
		}
	}
	failing, running := l.Failing(), l.Running()
	var jobs []*capacity.Job
	for id, e := range l.Mirror.Jobs {
		if e.Over() || e.Spec == nil {
			continue
		}
		n, ok := l.Mirror.TeamBlock(e.Team)
		at, ready := l.Mirror.ReadyAt(e)
		soon := !ready && l.Mirror.ReadySoon(e, func(id core.JobID) bool { return running[id] > 0 })
		if !ok || !ready && !soon {
			continue // nothing is kept or rented for what cannot start
		}
		if soon {
			at = wall
		}
		j := &capacity.Job{Job: placement.JobOf(id, at, e.Spec), Block: n, Remaining: e.Tasks - e.Done.Len()}
		j.Probe, j.Running, j.Expected = failing[id], running[id], soon
		j.Overdue = capacity.Overdue(at, wall, j.Running > 0 || !e.Done.Empty())
		j.Rank = max(j.Rank, e.Urgency.Rank)
		j.Timed = e.Urgency.Due > 0 || capacity.Timed(l.Config.Aims, e.Spec)
		if j.Running == 0 {
			j.Starvation = capacity.StarvationAfter(time.Duration(wall-at) * time.Millisecond)
		}
		if due := capacity.Due(l.Config.Aims, e.Spec, e.At, at, e.Urgency.Due); len(due) > 0 {
			j.Deadline = due[0]
		}
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool {
		if jobs[a].At != jobs[b].At {
			return jobs[a].At < jobs[b].At
		}
		return jobs[a].ID < jobs[b].ID
	})
	guarantees := capacity.NewGuarantees(l.Config.Teams)
	for _, j := range jobs {
		if j.Expected {
			continue
		}
		j.Guaranteed = guarantees.Within(j.Team, j.Need.CPUs*float64(j.Remaining))
		j.Timed = j.Timed || j.Guaranteed
	}
	in.Jobs = jobs
	l.trend.Arrivals(now, slices.DeleteFunc(slices.Clone(jobs), func(j *capacity.Job) bool { return j.Expected }), in.Kept, in.Types)
	in.Keep = l.trend.Keep()
	plan := capacity.Make(in)
	for _, id := range hopeless {
		l.note("machine has not come up; it is returned", "machine", id, "age", waiting[id].Age.String())
	}
	plan.Return = append(plan.Return, hopeless...)
	l.trend.Note(now, plan.Want)
	return plan
}

// watchBoots follows which machines have not come up yet, and how long those took that
// have.
func (l *Leader) watchBoots(edit *state.Edit, now core.Time, wall core.Wall, types map[string]api.MachineType, idle map[core.MachineID]bool) map[core.MachineID]capacity.Pending {
	waiting := map[core.MachineID]capacity.Pending{}
	look := func(m *state.Machine) {
		age := time.Duration(wall-m.Since) * time.Millisecond
		switch up := l.ready(m) || idle[m.ID]; {
		case !up && m.Since > 0 && m.Fate == state.Free && !m.Lost:
			waiting[m.ID] = capacity.Pending{Offer: capacity.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}, Age: age}
		case up && l.booting[m.ID]:
			l.boots.Came(now, m.Type, age, core.Seconds(types[m.Type].BootS))
		}
	}
	for _, m := range edit.All(state.PoolInventory) {
		look(&m)
	}
	for _, n := range core.Keys(l.Mirror.Blocks) {
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
	return m.Up || m.Seen > 0 || l.list[m.ID].Phase == api.MachineRunning
}
