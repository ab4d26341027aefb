package leader

import (
	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// updateMachines updates the records of the pool and of the blocks' machines according to
// the cloud's list and the plan.
func (l *Leader) updateMachines(t *api.Txn) {
	now := l.Loop.Now()
	if !l.planIsDue(now) {
		return
	}
	l.lastPlan = now
	// Two changes are left for the counters of terms and of added machines. A transaction
	// larger than one second's worth of changes delayed the grants queued behind it by
	// seconds.
	edit := l.Mirror.Edit(l.Config.StateLimits, l.State.BatchSize(l.Config.StateLimits.TxnOps-2), 0)
	l.recordReturned(edit)
	l.reconcileList(edit)
	l.recordRented(edit)
	plan := l.plan(edit, now, l.Loop.WallNow())
	changed := map[int]bool{} // blocks whose machines are written
	l.assign(t, edit, plan.Assign, changed)
	l.markDraining(edit, plan.Drain, changed)
	l.markForReturn(edit, plan.Return)
	for _, n := range core.SortedKeys(changed) {
		l.requireGrant(t, n)
	}
	edit.Apply(t)
	l.queueMarkedReturns()
	l.requestRentals(plan.Rent)
}

// planIsDue reports whether it is time for the next plan, and otherwise schedules it.
func (l *Leader) planIsDue(now core.Time) bool {
	wait := l.lastPlan.Add(minPlanInterval).Sub(now)
	if l.lastPlan == 0 || wait <= 0 {
		return true
	}
	if !l.planScheduled {
		l.planScheduled = true
		l.Loop.After(wait, func() {
			l.planScheduled = false
			l.commitNext()
		})
	}
	return false
}

// assign moves machines of the pool to blocks. Each block receives its new machines under a
// new term. It is higher than any that the machines have seen, so they accept its commands
// and report at once when they see it.
func (l *Leader) assign(t *api.Txn, edit *state.Edit, blocks map[core.MachineID]int, changed map[int]bool) {
	terms := map[int]core.Term{}
	for _, n := range blocks {
		terms[n] = 0
	}
	for i, n := range core.SortedKeys(terms) {
		terms[n] = l.Mirror.Term.Record.Last + 1 + core.Term(i)
	}
	moved := false
	for _, id := range core.SortedKeys(blocks) {
		n := blocks[id]
		m, ok := edit.Find(state.PoolInventory, id)
		if !ok || l.Mirror.Blocks[n].Record == nil {
			continue
		}
		m.Term = terms[n]
		m.LastTerm, m.InUse, m.Draining, m.ReturnRequested, m.Expiring = 0, false, false, false, false
		if !edit.Move(state.PoolInventory, n, m) {
			break // the remaining machines go with the next transaction
		}
		changed[n], moved = true, true
		l.logWhenApplied("machine assigned to a block", "machine", id, "type", m.Type, "block", n)
	}
	if moved {
		l.allocateTerms(t, len(terms))
	}
}

// markDraining marks machines as draining: their holders move them to the pool once they are
// empty.
func (l *Leader) markDraining(edit *state.Edit, ids []core.MachineID, changed map[int]bool) {
	for _, id := range ids {
		n, ok := l.Mirror.MachineBlock(id)
		if !ok {
			continue
		}
		m, _ := edit.Find(n, id)
		m.Draining = true
		if edit.Set(n, m) {
			changed[n] = true
			l.logWhenApplied("machine marked as draining", "machine", id, "block", n)
		}
	}
}

// markForReturn marks machines of the pool for return to the cloud. They are returned once
// the mark is durable.
func (l *Leader) markForReturn(edit *state.Edit, ids []core.MachineID) {
	for _, id := range ids {
		m, ok := edit.Find(state.PoolInventory, id)
		if !ok || m.PoolState != state.PoolFree {
			continue
		}
		m.PoolState = state.PoolReturning
		if edit.Set(state.PoolInventory, m) {
			l.logWhenApplied("machine marked for return to the cloud", "machine", id, "type", m.Type)
		}
	}
}

// recordReturned records the returns that the cloud has confirmed, and removes machines
// that are gone once the cloud's list can no longer contain them.
func (l *Leader) recordReturned(edit *state.Edit) {
	wall := l.Loop.WallNow()
	for _, id := range core.SortedKeys(l.returned) {
		m, pooled := edit.Find(state.PoolInventory, id)
		_, inBlock := l.Mirror.MachineBlock(id)
		if !pooled && !inBlock || pooled && m.PoolState == state.PoolGone {
			delete(l.returned, id)
			continue
		}
		m.ID, m.PoolState, m.Since = id, state.PoolGone, wall
		if pooled {
			edit.Set(state.PoolInventory, m)
		} else {
			edit.Add(state.PoolInventory, m)
		}
	}
	// How long the cloud's list may still contain a machine after its return, in ms.
	listRetention := core.WallTime(3*l.Config.CloudLimits.ListLag.Milliseconds() + 20000)
	for m := range l.Mirror.Inventory(state.PoolInventory).All() {
		if _, inBlock := l.Mirror.MachineBlock(m.ID); m.PoolState == state.PoolGone && !inBlock && wall-m.Since > listRetention {
			edit.Remove(state.PoolInventory, m.ID)
		}
	}
}

// reconcileList adopts listed machines that no record contains, and returns failed ones.
func (l *Leader) reconcileList(edit *state.Edit) {
	for _, id := range core.SortedKeys(l.listed) {
		m := l.listed[id]
		known, pooled := edit.Find(state.PoolInventory, id)
		if m.Phase == api.MachineFailed {
			if !pooled || known.PoolState != state.PoolGone {
				l.queueReturn(id)
			}
			continue
		}
		if _, inBlock := l.Mirror.MachineBlock(id); inBlock || pooled || l.returned[id] || l.returnPending[id] || l.pendingRent(id) {
			continue
		}
		adopted := state.Machine{
			ID: id, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Since: l.Loop.WallNow() - core.WallTime(m.AgeS*1000), LastTerm: l.Mirror.Term.Record.Last,
		}
		if edit.Add(state.PoolInventory, adopted) {
			l.logWhenApplied("unrecorded machine adopted", "machine", id, "type", m.Type, "phase", m.Phase)
		}
	}
}

// recordRented records the machines that were rented. They are kept here until the mirror
// shows them.
func (l *Leader) recordRented(edit *state.Edit) {
	unrecorded := l.rented[:0]
	for _, m := range l.rented {
		_, inBlock := l.Mirror.MachineBlock(m.ID)
		if l.Mirror.Inventory(state.PoolInventory).VersionOf(m.ID) != 0 || inBlock {
			continue
		}
		unrecorded = append(unrecorded, m)
		edit.Add(state.PoolInventory, m)
	}
	l.rented = unrecorded
}

// pendingRent reports whether a machine has been rented but is not yet shown by the mirror.
func (l *Leader) pendingRent(id core.MachineID) bool {
	for _, m := range l.rented {
		if m.ID == id {
			return true
		}
	}
	return false
}

// NoteUnassigned handles a report from a machine that belongs to no block. A machine that is
// not listed is added to the list once it has answered a probe.
func (l *Leader) NoteUnassigned(rep *api.Report) {
	id := core.MachineID(rep.Machine)
	if _, known := l.listed[id]; known || l.stopped {
		return
	}
	// The report may be a late copy from a machine that is gone: only the response to a
	// probe shows that it exists.
	l.prober.Probe(rep, func() {
		if _, known := l.listed[id]; known || l.stopped {
			return
		}
		l.listed[id] = api.ListedMachine{ID: rep.Machine, Addr: rep.Addr, Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot, Phase: api.MachineRunning}
		l.commitNext()
	})
}
