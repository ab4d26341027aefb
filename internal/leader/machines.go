package leader

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/cloud"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
)

// machines brings the pool and the blocks' machines to what the cloud lists
// and what the plan wants.
func (l *Leader) machines(t *api.Txn) {
	now := l.Loop.Now()
	if wait := l.planAt.Add(planPause).Sub(now); l.planAt > 0 && wait > 0 {
		if !l.planDue {
			l.planDue = true
			l.Loop.After(wait, func() {
				l.planDue = false
				l.act()
			})
		}
		return
	}
	l.planAt = now
	// Beside the parts, the counters of terms and arrivals may be written.
	// A larger transaction than a second's worth of changes kept grants waiting for
	// seconds behind it.
	edit := l.Mirror.Edit(l.Config.StateLim, l.State.Batch(l.Config.StateLim.TxnOps-2), 0)
	l.noteGone(edit)
	l.lookAtList(edit)
	l.noteRented(edit)
	plan := l.plan(edit, now, l.Loop.Wall())
	under := map[int]bool{} // blocks whose machines are written
	// Each block takes its new machines under a fresh term: higher than any that
	// they have seen, so that they take commands, and seeing it they report at once.
	fresh := map[int]core.Term{}
	for _, n := range plan.Assign {
		fresh[n] = 0
	}
	for k, n := range core.Keys(fresh) {
		fresh[n] = l.Mirror.Term.Record.Last + 1 + core.Term(k)
	}
	allocated := false
	for _, id := range core.Keys(plan.Assign) {
		n := plan.Assign[id]
		m, ok := edit.Find(state.PoolInventory, id)
		b := l.Mirror.Blocks[n].Record
		if !ok || b == nil {
			continue
		}
		m.Term = fresh[n]
		m.Seen, m.Up, m.Asked, m.Lost, m.Doomed = 0, false, false, false, false
		if !edit.Move(state.PoolInventory, n, m) {
			break // the rest goes with the next transaction
		}
		under[n], allocated = true, true
		l.note("machine goes to a block", "machine", id, "type", m.Type, "block", n)
	}
	for _, id := range plan.Ask {
		n, ok := l.Mirror.MachineBlock(id)
		if !ok {
			continue
		}
		m, _ := edit.Find(n, id)
		m.Asked = true
		if edit.Set(n, m) {
			under[n] = true
			l.note("machine is asked back", "machine", id, "block", n)
		}
	}
	for _, id := range plan.Return {
		if m, ok := edit.Find(state.PoolInventory, id); ok && m.Fate == state.Free {
			m.Fate = state.Returning
			if edit.Set(state.PoolInventory, m) {
				l.note("machine is returned", "machine", id, "type", m.Type)
			}
		}
	}
	if allocated {
		l.allocateTerms(t, len(fresh))
	}
	for _, n := range core.Keys(under) {
		l.underBlock(t, n)
	}
	edit.Apply(t)
	l.returnMarked()
	l.rent(plan.Rent)
}

// noteGone writes down which returns the cloud has confirmed, and forgets
// machines that are gone once the list no longer can name them.
func (l *Leader) noteGone(edit *state.Edit) {
	wall := l.Loop.Wall()
	for _, id := range core.Keys(l.done) {
		m, pooled := edit.Find(state.PoolInventory, id)
		_, held := l.Mirror.MachineBlock(id)
		if !pooled && !held || pooled && m.Fate == state.Gone {
			delete(l.done, id)
			continue
		}
		m.ID, m.Fate, m.Since = id, state.Gone, wall
		if pooled {
			edit.Set(state.PoolInventory, m)
		} else {
			edit.Add(state.PoolInventory, m)
		}
	}
	listed := core.Wall(3*l.Config.CloudLim.ListLag.Milliseconds() + 20000)
	for m := range l.Mirror.Inventory(state.PoolInventory).All() {
		if _, held := l.Mirror.MachineBlock(m.ID); m.Fate == state.Gone && !held && wall-m.Since > listed {
			edit.Remove(state.PoolInventory, m.ID)
		}
	}
}

// lookAtList adopts machines that nobody knows of, and gives back failed ones.
func (l *Leader) lookAtList(edit *state.Edit) {
	for _, id := range core.Keys(l.list) {
		m := l.list[id]
		known, pooled := edit.Find(state.PoolInventory, id)
		if m.Phase == api.MachineFailed {
			if !pooled || known.Fate != state.Gone {
				l.sendBack(id)
			}
			continue
		}
		if _, held := l.Mirror.MachineBlock(id); held || pooled || l.done[id] || l.sending[id] || l.pendingRent(id) {
			continue
		}
		adopted := state.Machine{
			ID: id, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Since: l.Loop.Wall() - core.Wall(m.AgeS*1000), Seen: l.Mirror.Term.Record.Last,
		}
		if edit.Add(state.PoolInventory, adopted) {
			l.note("machine adopted", "machine", id, "type", m.Type, "phase", m.Phase)
		}
	}
}

// noteRented writes down the machines that were rented. They stay on the list
// until the records show them.
func (l *Leader) noteRented(edit *state.Edit) {
	still := l.rented[:0]
	for _, m := range l.rented {
		_, held := l.Mirror.MachineBlock(m.ID)
		if l.Mirror.Inventory(state.PoolInventory).VersionOf(m.ID) != 0 || held {
			continue
		}
		still = append(still, m)
		edit.Add(state.PoolInventory, m)
	}
	l.rented = still
}

func (l *Leader) pendingRent(id core.MachineID) bool {
	for _, m := range l.rented {
		if m.ID == id {
			return true
		}
	}
	return false
}

// returnMarked sends back machines whose return is durable: those of the pool
// marked so, and those that a holder has given up.
func (l *Leader) returnMarked() {
	pool := l.Mirror.Inventory(state.PoolInventory)
	for m := range pool.All() {
		if m.Fate == state.Returning {
			l.sendBack(m.ID)
		}
	}
	for _, n := range core.Keys(l.Mirror.Blocks) {
		for m := range l.Mirror.Inventory(n).All() {
			if known, ok := pool.Find(m.ID); m.Lost && (!ok || known.Fate != state.Gone) {
				l.sendBack(m.ID)
			}
		}
	}
}

// sendBack returns a machine to the cloud, with others that are due.
func (l *Leader) sendBack(id core.MachineID) {
	if l.sending[id] || l.done[id] || len(l.due) >= maxReturns {
		return
	}
	l.sending[id] = true
	l.due = append(l.due, string(id))
	if !l.returning {
		l.returning = true
		l.Loop.After(200*time.Millisecond, l.returnDue)
	}
}

// returnDue sends what is due in one request. What becomes due while that is
// on its way must not wait for ever: it goes with the next one.
func (l *Leader) returnDue() {
	names := l.due
	l.due = nil
	if l.ended || len(names) == 0 {
		l.returning = false
		return
	}
	sort.Strings(names)
	l.Cloud.Return(names, func(ok bool) {
		for _, id := range names {
			delete(l.sending, core.MachineID(id))
			if ok {
				l.done[core.MachineID(id)] = true
			}
		}
		pause := 200 * time.Millisecond
		if !ok {
			pause = time.Second
		}
		l.Loop.After(pause, l.returnDue)
		l.act()
	})
}

// Saw notes a machine that reports though no block has it.
func (l *Leader) Saw(rep *api.Report) {
	id := core.MachineID(rep.Machine)
	if _, known := l.list[id]; known || l.ended {
		return
	}
	// The report may be a late copy from a machine that is gone: only an answer
	// to a question shows that it is there.
	l.unknown.Ask(rep, func() {
		if _, known := l.list[id]; known || l.ended {
			return
		}
		l.list[id] = api.ListedMachine{ID: rep.Machine, Addr: rep.Addr, Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot, Phase: api.MachineRunning}
		l.act()
	})
}

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

// rent sends the rentals of a plan; until they are answered, no more are sent.
func (l *Leader) rent(rentals []capacity.Rental) {
	// Nothing else that the cloud is asked for hangs on the moment: what is returned is
	// marked so first. After a halt somebody else may lead, and rent the same.
	if l.rentals > 0 || len(l.rented) > 0 || l.types == nil || !l.Sure() {
		return
	}
	for _, r := range rentals {
		if l.rentals >= 3 {
			return
		}
		l.seq++
		l.send(api.Rental{
			Request: fmt.Sprintf("t%d-%d", l.record.Record.Term, l.seq), Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: min(r.Count, 50),
		}, r, 0)
	}
}

func (l *Leader) send(req api.Rental, r capacity.Rental, tries int) {
	if tries == 0 {
		l.rentals++
	}
	l.Cloud.Rent(req, func(ids []string, out cloud.RentOutcome) {
		if out == cloud.Unanswered && tries < 3 && !l.ended {
			l.send(req, r, tries+1) // the same request again brings the same answer
			return
		}
		l.rentals--
		l.Log.Info("rental answered", "request", req.Request, "type", req.Type, "zone", req.Zone, "spot", req.Spot, "wanted", req.Count, "got", len(ids), "outcome", int(out))
		if out != cloud.Rented || len(ids) < req.Count {
			l.closed[r.Offer] = l.Loop.Now().Add(closedFor)
		}
		for _, id := range ids {
			l.rented = append(l.rented, state.Machine{ID: core.MachineID(id), Type: req.Type, Zone: req.Zone, Spot: req.Spot, Since: l.Loop.Wall()})
		}
		l.act()
	})
}
