package block

import (
	"slices"

	"lichenstair/internal/core"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
)

// ApplyChanges updates the holder after a batch of changes in the mirror.
func (h *Holder) ApplyChanges(t state.ChangeSet) {
	if h.state == released {
		return
	}
	if t.Blocks || slices.Contains(t.Inventories, h.number) || slices.Contains(t.Inventories, state.PoolInventory) {
		if b, ok := h.Mirror.Blocks[h.number]; ok {
			h.syncMachines(b.Record)
			h.writeRecords()
		}
	}
	for _, id := range t.Jobs {
		h.syncJob(id)
	}
	if len(t.Jobs) > 0 {
		h.dirty = true
	}
	h.schedulePass()
	h.answerHeldReports()
}

// syncMachines updates the machines from the block's inventory.
func (h *Holder) syncMachines(rec *state.Block) {
	now := h.Loop.Now()
	listed := map[core.MachineID]bool{}
	for r := range h.Mirror.Inventory(h.number).All() {
		listed[r.ID] = true
		m := h.machines[r.ID]
		if m == nil {
			m = h.addMachine(r, now)
		}
		m.inUse, m.draining, m.returnRequested, m.term = r.InUse, r.Draining, r.ReturnRequested, max(m.term, r.Term)
	}
	for _, m := range h.orderedMachines() {
		if !listed[m.id] {
			if !m.empty() {
				h.Metrics.Violated(h.Log, "machine left the block with attempts booked on it", "machine", m.id, "attempts", len(m.slots))
			}
			h.releaseAllAttempts(m, releaseMachineLeft)
			delete(h.machines, m.id)
			h.sortedMachines = nil
			h.answerHeldReport(m)
		}
	}
	for p := range h.Mirror.Inventory(state.PoolInventory).All() {
		if m := h.machines[p.ID]; m != nil && p.PoolState == state.PoolGone && m.state != lapsed {
			// The cloud has confirmed its return with status 200: the machine and everything on
			// it are gone.
			h.releaseAllAttempts(m, releaseMachineReturned)
			h.setMachineState(m, lapsed)
			m.ignoredThrough = ^core.Session(0)
		}
	}
}

// addMachine adds a machine that has joined the block, and queries what is running on it.
func (h *Holder) addMachine(r state.Machine, now core.Time) *machine {
	m := &machine{
		id:          r.ID,
		addr:        r.Addr,
		machineType: r.Type,
		zone:        r.Zone,
		spot:        r.Spot,
		inUse:       r.InUse,
		term:        r.Term,
		joinedAt:    now,
		idleSince:   now,
		lastPrompt:  now,
		images:      map[string]bool{},
		slots:       map[slotKey]*slot{},
	}
	if r.InUse {
		m.state = unsure
		// An earlier holder without contact to the state service may go on renewing the
		// machine's lease for up to maxContactAge.
		m.lastRenewal = now.Add(maxContactAge(h.Config.Workers))
	}
	h.machines[r.ID] = m
	h.sortedMachines = nil
	h.dirty = true
	h.fence(m)
	return m
}

// releaseAllAttempts releases all attempts on a machine that is proven to run none of them.
func (h *Holder) releaseAllAttempts(m *machine, reason releaseReason) {
	for _, s := range m.orderedSlots() {
		h.releaseAttempt(s, reason)
	}
}

// syncJob updates a job from the mirror: it adds a job of the block's teams, and removes one
// that is finished.
func (h *Holder) syncJob(id core.JobID) {
	e := h.Mirror.Jobs[id]
	if e == nil {
		return
	}
	j := h.jobs[id]
	if e.Finished() {
		if j != nil {
			h.dropPlans(j.attempts.all())
			delete(h.jobs, id)
			h.Log.Info("job finished", "job", id, "phase", e.Phase)
			h.dirty = true
		}
		return
	}
	if j == nil {
		if n, ok := h.Mirror.TeamBlock(e.Team); !ok || n != h.number || e.Spec == nil {
			return
		}
		j = h.addJob(id, e)
	}
	// Completion is final, so the mirror can only be late in showing that the job may run.
	if at, ok := e.ReadyAt(); ok && j.blocked {
		j.readyAt, j.blocked = at, false
		h.dirty = true
		if e.HasDependencies() {
			h.Log.Info("all dependencies of job are done", "job", id, "waited_ms", at-j.submittedAt)
		}
	}
	j.done.Union(e.Done)
	if !j.pending.Empty() {
		j.pending = difference(j.pending, e.Done)
	}
}

// addJob starts to place a job, with the attempts of it that are already booked.
func (h *Holder) addJob(id core.JobID, e *state.JobEntry) *job {
	j := &job{
		id:             id,
		readyAt:        e.AcceptedAt,
		submittedAt:    e.AcceptedAt,
		blocked:        true,
		spec:           e.Spec,
		rank:           placement.Rank(e.Spec.Rank),
		resources:      placement.Resources{CPUs: e.CPUs, GPUs: e.GPUs, MemoryGB: e.MemoryGB},
		excludedUntil:  map[core.MachineID]core.Time{},
		failedMachines: map[core.MachineID]bool{},
		waitInherited:  h.state == recovering,
	}
	h.jobs[id] = j
	h.Log.Info("job added for placement",
		"job", id, "class", j.spec.Class, "team", j.spec.Team, "form", j.spec.Form, "tasks", j.spec.Tasks, "cpus", j.spec.CPUs, "memory_gb", j.spec.MemoryGB,
		"spot", j.spec.Spot, "image", j.spec.Image, "estimate_s", j.spec.EstimateS, "age_ms", h.Loop.WallNow()-j.readyAt)
	for _, s := range h.attemptsWithoutJob[id] {
		j.addAttempt(s)
	}
	delete(h.attemptsWithoutJob, id)
	return j
}

// difference returns the members of set that are not in other.
func difference(set, other core.IndexSet) (out core.IndexSet) {
	for i := set.NextIn(0); i >= 0; i = set.NextIn(i + 1) {
		if !other.Has(i) {
			out.Add(i)
		}
	}
	return out
}

// ApplyCancellation handles a cancellation that is durable but not shown by the mirror yet.
func (h *Holder) ApplyCancellation(id core.JobID) {
	j := h.jobs[id]
	if h.state == released || j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	h.dropPlans(j.attempts.all())
	h.dirty = true
	h.answerHeldReports()
}
