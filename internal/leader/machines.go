package leader

import (
	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// machines brings the pool and the blocks' machines to what the cloud lists
// and what the plan wants.
func (l *Leader) machines(t *api.Txn) {
	now := l.Loop.Now()
	if !l.planIsDue(now) {
		return
	}
	l.planAt = now
	// Beside the parts, the counters of terms and arrivals may be written.
	// A larger transaction than a second's worth of changes kept grants waiting for
	// seconds behind it.
	edit := l.Mirror.Edit(l.Config.StateLimits, l.State.BatchSize(l.Config.StateLimits.TxnOps-2), 0)
	l.noteGone(edit)
	l.lookAtList(edit)
	l.noteRented(edit)
	plan := l.plan(edit, now, l.Loop.WallNow())
	changed := map[int]bool{} // blocks whose machines are written
	l.assign(t, edit, plan.Assign, changed)
	l.askBack(edit, plan.Drain, changed)
	l.markReturned(edit, plan.Return)
	for _, n := range core.SortedKeys(changed) {
		l.underBlock(t, n)
	}
	edit.Apply(t)
	l.returnMarked()
	l.rent(plan.Rent)
}

// planIsDue tells whether it is time for the next plan, and sees to it that one is made
// when it is.
func (l *Leader) planIsDue(now core.Time) bool {
	wait := l.planAt.Add(planPause).Sub(now)
	if l.planAt == 0 || wait <= 0 {
		return true
	}
	if !l.planDue {
		l.planDue = true
		l.Loop.After(wait, func() {
			l.planDue = false
			l.act()
		})
	}
	return false
}

// assign moves machines of the pool to blocks. Each block takes its new machines under a
// fresh term: higher than any that they have seen, so that they take commands, and seeing
// it they report at once.
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
			break // the rest goes with the next transaction
		}
		changed[n], moved = true, true
		l.note("machine goes to a block", "machine", id, "type", m.Type, "block", n)
	}
	if moved {
		l.allocateTerms(t, len(terms))
	}
}

// askBack asks holders to let machines go once they are empty.
func (l *Leader) askBack(edit *state.Edit, ids []core.MachineID, changed map[int]bool) {
	for _, id := range ids {
		n, ok := l.Mirror.MachineBlock(id)
		if !ok {
			continue
		}
		m, _ := edit.Find(n, id)
		m.Draining = true
		if edit.Set(n, m) {
			changed[n] = true
			l.note("machine is asked back", "machine", id, "block", n)
		}
	}
}

// markReturned marks machines of the pool that are to go back to the cloud. They go once
// the mark is durable.
func (l *Leader) markReturned(edit *state.Edit, ids []core.MachineID) {
	for _, id := range ids {
		m, ok := edit.Find(state.PoolInventory, id)
		if !ok || m.PoolState != state.PoolFree {
			continue
		}
		m.PoolState = state.PoolReturning
		if edit.Set(state.PoolInventory, m) {
			l.note("machine is returned", "machine", id, "type", m.Type)
		}
	}
}

// noteGone writes down which returns the cloud has confirmed, and forgets
// machines that are gone once the list no longer can name them.
func (l *Leader) noteGone(edit *state.Edit) {
	wall := l.Loop.WallNow()
	for _, id := range core.SortedKeys(l.done) {
		m, pooled := edit.Find(state.PoolInventory, id)
		_, held := l.Mirror.MachineBlock(id)
		if !pooled && !held || pooled && m.PoolState == state.PoolGone {
			delete(l.done, id)
			continue
		}
		m.ID, m.PoolState, m.Since = id, state.PoolGone, wall
		if pooled {
			edit.Set(state.PoolInventory, m)
		} else {
			edit.Add(state.PoolInventory, m)
		}
	}
	listed := core.WallTime(3*l.Config.CloudLimits.ListLag.Milliseconds() + 20000)
	for m := range l.Mirror.Inventory(state.PoolInventory).All() {
		if _, held := l.Mirror.MachineBlock(m.ID); m.PoolState == state.PoolGone && !held && wall-m.Since > listed {
			edit.Remove(state.PoolInventory, m.ID)
		}
	}
}

// lookAtList adopts machines that nobody knows of, and gives back failed ones.
func (l *Leader) lookAtList(edit *state.Edit) {
	for _, id := range core.SortedKeys(l.list) {
		m := l.list[id]
		known, pooled := edit.Find(state.PoolInventory, id)
		if m.Phase == api.MachineFailed {
			if !pooled || known.PoolState != state.PoolGone {
				l.sendBack(id)
			}
			continue
		}
		if _, held := l.Mirror.MachineBlock(id); held || pooled || l.done[id] || l.sending[id] || l.pendingRent(id) {
			continue
		}
		adopted := state.Machine{
			ID: id, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Since: l.Loop.WallNow() - core.WallTime(m.AgeS*1000), LastTerm: l.Mirror.Term.Record.Last,
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

// NoteUnassigned notes a machine that reports though no block has it.
func (l *Leader) NoteUnassigned(rep *api.Report) {
	id := core.MachineID(rep.Machine)
	if _, known := l.list[id]; known || l.ended {
		return
	}
	// The report may be a late copy from a machine that is gone: only an answer
	// to a question shows that it is there.
	l.unknown.Probe(rep, func() {
		if _, known := l.list[id]; known || l.ended {
			return
		}
		l.list[id] = api.ListedMachine{ID: rep.Machine, Addr: rep.Addr, Type: rep.Type, Zone: rep.Zone, Spot: rep.Spot, Phase: api.MachineRunning}
		l.act()
	})
}
