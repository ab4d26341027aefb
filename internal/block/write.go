package block

import (
	"encoding/json"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
)

// requestUp makes it durable that machines are in use before anything starts.
func (h *Holder) requestUp() {
	for _, m := range h.machines {
		if !m.up && !m.empty() {
			h.write()
			return
		}
	}
}

// write brings the records in line with what we know, one transaction at a time.
func (h *Holder) write() {
	if h.writing || h.state == released {
		return
	}
	b, ok := h.Mirror.Blocks[h.number]
	if !ok || b.Record.Term != h.term || b.Record.Holder != h.Host {
		return
	}
	t := api.Txn{If: []api.Condition{{Key: state.KeyBlock(h.number), Version: uint64(b.Version)}}}
	h.writeMachines(&t)
	h.writeDone(&t)
	if len(t.Then) == 0 {
		return
	}
	h.writing = true
	h.State.TxnLater(t, func(r state.Result) {
		next := func(bool) {
			h.Loop.After(roundPause/2, func() {
				h.writing = false
				h.write()
			})
		}
		switch r.Outcome {
		case state.Applied:
			h.Mirror.Await(r.Revision, next)
		case state.Refused:
			h.Loop.After(500*time.Millisecond, func() { next(false) })
		default:
			// It may have been carried out, or still be: look again before
			// deciding anything.
			h.Log.Info("write not confirmed", "outcome", r.Outcome.String(), "failed", r.Failed)
			h.Mirror.Fresh(next)
		}
	})
}

// batch is how many changes a transaction may have.
func (h *Holder) batch() int { return h.State.Batch(min(h.Config.StateLim.TxnOps, maxBatch)) }

// writeMachines adds what is to change in the records of the block's machines.
func (h *Holder) writeMachines(t *api.Txn) {
	now := h.Loop.Now()
	own, pool := h.Mirror.Inventory(h.number), h.Mirror.Inventory(state.PoolInventory)
	edit := h.Mirror.Edit(h.Config.StateLim, max(h.batch()/2, 2), h.number+1)
	for r := range own.All() {
		m := h.machines[r.ID]
		if m == nil {
			continue
		}
		if p, ok := pool.Find(r.ID); ok && p.Fate == state.Gone && m.empty() {
			edit.Remove(h.number, r.ID) // it is gone; the leader forgets it once no block lists it
			continue
		}
		version := own.VersionOf(r.ID)
		if h.state == placing && m.fenced && h.vacant(m) && !m.lost && !m.unreachable && m.state == live && (m.leaving == version || h.releasable(m, now)) {
			free := r
			free.Up, free.Asked, free.Doomed, free.Addr, free.Seen, free.Term = false, false, false, m.addr, h.termOf(m), 0
			if edit.Move(h.number, state.PoolInventory, free) {
				h.Log.Info("machine goes to the pool", "machine", m.id, "asked", m.asked)
				m.leaving = version
			}
			continue
		}
		was := r
		if !m.up && !m.empty() || m.up && m.addr != "" && r.Addr != m.addr {
			r.Up, r.Addr = true, m.addr
		}
		if m.state == lapsed && m.empty() && r.Up {
			// Nothing can be on it: a later holder need not wait for it.
			r.Up = false
			m.lowering = version
		}
		r.Lost = r.Lost || h.shouldReturn(m, now)
		r.Doomed = m.notice != 0 || m.state == lapsed
		if r != was && edit.Set(h.number, r) && r.Lost != was.Lost {
			h.Log.Info("machine does not answer; it is to be returned", "machine", m.id, "state", m.state.String())
		}
	}
	edit.Apply(t)
}

// vacant tells whether nothing is booked on a machine and nothing is left on it
// that only this block could still write down.
func (h *Holder) vacant(m *machine) bool {
	for _, s := range m.slots {
		e := h.Mirror.Jobs[s.task.Job]
		if s.booked() || s.cause == api.CauseDone && e != nil && !e.Over() && !e.Done.Has(s.task.Index) {
			return false
		}
	}
	return true
}

// releasable tells whether an empty machine should leave the block.
func (h *Holder) releasable(m *machine, now core.Time) bool {
	if m.asked {
		return true
	}
	if m.notice != 0 || m.idle == 0 || now.Sub(m.idle) < releaseIdle {
		return false
	}
	if now.Sub(m.idle) > h.Config.Operator.Idle {
		return true // whoever waits cannot use it as it is
	}
	for _, j := range h.jobs {
		if j.waiting() > 0 && h.allows(j, m) && h.underLimit(j) {
			return false
		}
	}
	return true
}

// underLimit tells whether the limit of a job's team leaves room for what would start of it.
// Machines stood idle in a block for the sake of a job whose team was at its limit. Before
// the first pass it is not known, and machines stay.
func (h *Holder) underLimit(j *job) bool {
	if h.teams == nil {
		return true
	}
	tasks := 1
	if j.gang() {
		tasks = j.spec.Tasks
	}
	team := h.teams[j.spec.Team]
	return team != nil && team.Allows(j.need.Times(float64(tasks)))
}

func (h *Holder) allows(j *job, m *machine) bool {
	p := placement.JobOf(j.id, j.at, j.spec)
	return p.Allows(m.typ, m.zone, m.spot) && j.need.Fits(m.total)
}

// shouldReturn tells whether a machine that does not answer should be given up.
func (h *Holder) shouldReturn(m *machine, now core.Time) bool {
	w := h.Config.Workers
	if m.unreachable && now.Sub(m.unreachableSince) > 3*w.Lease {
		return m.empty()
	}
	switch m.state {
	case unsure:
		return m.heard == 0 && now.Sub(h.at) > w.Lease+margin
	case lapsed:
		return now.Sub(max(m.heard, m.joined)) > 3*w.Lease
	case booting:
		t, ok := h.Types()[m.typ]
		return ok && now.Sub(m.joined) > capacity.GiveUp(core.Seconds(t.BootS))
	}
	return false
}

// writeDone adds what has been completed: one record for the tasks of a round,
// and the final phase of jobs that are complete.
func (h *Holder) writeDone(t *api.Txn) {
	room := h.batch() - len(t.Then)
	size := 0
	round := state.Round{Done: map[core.JobID]core.Set{}}
	limit := h.Config.StateLim.ValueBytes - 256
	for _, id := range core.Keys(h.jobs) {
		j, e := h.jobs[id], h.Mirror.Jobs[id]
		if e == nil || e.Over() || j.pending.Empty() && j.done.Len() < j.spec.Tasks {
			continue
		}
		if j.done.Len() >= j.spec.Tasks {
			if room > 2 {
				t.If = append(t.If, api.Condition{Key: state.KeyJob(id), Version: uint64(e.Version)})
				t.Then = append(t.Then, state.Put(state.KeyJob(id), e.Job.End(state.JobDone, h.Loop.Wall())))
				room--
			}
			continue
		}
		raw, _ := json.Marshal(j.pending)
		if size+len(raw)+len(id)+8 > limit {
			if size == 0 {
				// Too scattered for one record: as many ranges as fit go first.
				part := j.pending.Split(limit / 16)[0]
				round.Done[id] = part
				size = limit
			}
			continue
		}
		size += len(raw) + len(id) + 8
		round.Done[id] = j.pending.Clone()
	}
	if len(round.Done) > 0 && room > 0 {
		h.round++
		t.Then = append(t.Then, state.Put(state.KeyRound(h.number, h.term, h.round), round))
		room--
	}
	h.prune(t, room)
}

// prune removes rounds that speak only of jobs that are over, and melts many
// small ones into one.
func (h *Holder) prune(t *api.Txn, room int) {
	rounds := h.Mirror.Rounds[h.number]
	if len(rounds) < 8 || room < 4 {
		return
	}
	removed := 0
	merged := state.Round{Done: map[core.JobID]core.Set{}}
	size := 0
	for _, k := range core.Keys(rounds) {
		if removed >= min(room-1, 12) {
			break
		}
		fits := true
		add := 0
		for id, s := range rounds[k].Done {
			if e := h.Mirror.Jobs[id]; e != nil && !e.Over() {
				raw, _ := json.Marshal(s)
				add += len(raw) + len(id) + 8
			}
		}
		if add > 0 && (len(rounds) < maxRounds || size+add > h.Config.StateLim.ValueBytes-256) {
			fits = false
		}
		if !fits {
			continue
		}
		for id, s := range rounds[k].Done {
			if e := h.Mirror.Jobs[id]; e != nil && !e.Over() {
				u := merged.Done[id].Clone()
				u.Union(s)
				merged.Done[id] = u
			}
		}
		size += add
		t.Then = append(t.Then, api.Change{Remove: k})
		removed++
	}
	if len(merged.Done) > 0 {
		h.round++
		t.Then = append(t.Then, state.Put(state.KeyRound(h.number, h.term, h.round), merged))
	}
}
