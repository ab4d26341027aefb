package block

import (
	"slices"

	"lichenstair/internal/core"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
)

// ApplyChanges takes in what has changed in the mirror.
func (h *Holder) ApplyChanges(t state.ChangeSet) {
	if h.state == released {
		return
	}
	if t.Blocks || slices.Contains(t.Inventories, h.number) || slices.Contains(t.Inventories, state.PoolInventory) {
		if b, ok := h.Mirror.Blocks[h.number]; ok {
			h.follow(b.Record)
			h.write()
		}
	}
	for _, id := range t.Jobs {
		h.followJob(id)
	}
	if len(t.Jobs) > 0 {
		h.dirty = true
	}
	h.passSoon()
	h.flushReady()
}

// follow brings the machines in line with the block's record.
func (h *Holder) follow(rec *state.Block) {
	now := h.Loop.Now()
	listed := map[core.MachineID]bool{}
	for r := range h.Mirror.Inventory(h.number).All() {
		listed[r.ID] = true
		m := h.machines[r.ID]
		if m == nil {
			m = h.addMachine(r, now)
		}
		m.up, m.asked, m.lost, m.term = r.InUse, r.Draining, r.ReturnRequested, max(m.term, r.Term)
	}
	for _, id := range core.SortedKeys(h.machines) {
		m := h.machines[id]
		if !listed[id] {
			if !m.empty() {
				h.Log.Error("a machine left the block while something was booked on it", "machine", id)
			}
			h.clearMachine(m, releaseLeft)
			delete(h.machines, id)
			h.flush(m)
		}
	}
	for p := range h.Mirror.Inventory(state.PoolInventory).All() {
		if m := h.machines[p.ID]; m != nil && p.PoolState == state.PoolGone && m.state != lapsed {
			// The cloud has answered 200 to its return: it and all on it are gone.
			h.clearMachine(m, releaseReturned)
			h.moveMachine(m, lapsed)
			m.floor = ^core.Session(0)
		}
	}
}

// addMachine takes up a machine that has come into the block, and asks what is on it.
func (h *Holder) addMachine(r state.Machine, now core.Time) *machine {
	m := &machine{
		id:       r.ID,
		addr:     r.Addr,
		typ:      r.Type,
		zone:     r.Zone,
		spot:     r.Spot,
		up:       r.InUse,
		term:     r.Term,
		joined:   now,
		idle:     now,
		prompted: now,
		images:   map[string]bool{},
		slots:    map[slotKey]*slot{},
	}
	if r.InUse {
		m.state = unsure
		// Any holder before us may have answered it until its own time without contact
		// was over.
		m.answer = now.Add(maxSilence(h.Config.Workers))
	}
	h.machines[r.ID] = m
	h.dirty = true
	h.fence(m)
	return m
}

// clearMachine takes everything off a machine of which that has been proven.
func (h *Holder) clearMachine(m *machine, why releaseReason) {
	for _, s := range m.list() {
		h.setOff(s, why)
	}
}

func (h *Holder) followJob(id core.JobID) {
	e := h.Mirror.Jobs[id]
	if e == nil {
		return
	}
	j := h.jobs[id]
	if e.Finished() {
		if j != nil {
			h.dropPlans(j)
			delete(h.jobs, id)
			h.Log.Info("job is over", "job", id, "phase", e.Phase)
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
	// done is final, so the mirror can only be late in showing that the job may run.
	if at, ok := h.Mirror.ReadyAt(e); ok && j.blocked {
		j.at, j.blocked = at, false
		h.dirty = true
		if len(j.spec.Dependencies) > 0 {
			h.Log.Info("all jobs before it are done", "job", id, "waited_ms", at-j.sent)
		}
	}
	j.rank, j.due = max(j.rank, e.Urgency.Rank), e.Urgency.Deadline
	j.done.Union(e.Done)
	if !j.pending.Empty() {
		j.pending = without(j.pending, e.Done)
	}
}

// addJob begins to place a job, with what is known of its attempts.
func (h *Holder) addJob(id core.JobID, e *state.JobEntry) *job {
	j := &job{
		id:        id,
		at:        e.AcceptedAt,
		sent:      e.AcceptedAt,
		blocked:   true,
		spec:      e.Spec,
		rank:      placement.Rank(e.Spec.Rank),
		need:      placement.Resources{CPUs: e.CPUs, GPUs: e.GPUs, MemoryGB: e.MemoryGB},
		avoid:     map[core.MachineID]core.Time{},
		failed:    map[core.MachineID]bool{},
		inherited: h.state == recovering,
	}
	h.jobs[id] = j
	h.Log.Info("job to place",
		"job", id, "class", j.spec.Class, "team", j.spec.Team, "form", j.spec.Form, "tasks", j.spec.Tasks, "cpus", j.spec.CPUs, "memory_gb", j.spec.MemoryGB,
		"spot", j.spec.Spot, "image", j.spec.Image, "estimate_s", j.spec.EstimateS, "age_ms", h.Loop.WallNow()-j.at)
	for _, machineID := range core.SortedKeys(h.machines) {
		for _, s := range h.machines[machineID].list() {
			if s.task.Job == id && s.booked() && s.task.Index < j.spec.Tasks {
				j.attempts.add(s)
			}
		}
	}
	return j
}

// without returns the task numbers of a set that are not in another.
func without(set, other core.IndexSet) (out core.IndexSet) {
	for i := set.NextIn(0); i >= 0; i = set.NextIn(i + 1) {
		if !other.Has(i) {
			out.Add(i)
		}
	}
	return out
}

// ApplyCancellation takes in that a job is durably cancelled, before the mirror shows it.
func (h *Holder) ApplyCancellation(id core.JobID) {
	j := h.jobs[id]
	if h.state == released || j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	h.dropPlans(j)
	h.dirty = true
	h.flushReady()
}

// dropPlans takes back what is planned of a job that is over.
func (h *Holder) dropPlans(j *job) {
	for _, s := range j.attempts.all() {
		if s.state == planned {
			h.setOff(s, releasePlanDropped)
		}
	}
}
