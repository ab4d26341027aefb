package block

import (
	"encoding/json"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

const (
	// valueMargin is left free in a value of the state service.
	valueMargin = 256
	// entryOverhead is what an entry of a round takes beside its job's id and its tasks.
	entryOverhead = 8
	// rangeBytes is what a range of task numbers takes at most.
	rangeBytes = 16
	// fewRounds are left as they are.
	fewRounds = 8
	// maxPruned bounds the rounds that are removed in one transaction.
	maxPruned = 12
	// roomForPruning is how many changes a transaction must have left for it.
	roomForPruning = 4
)

// writeDone adds what has been completed: one record for the tasks of a round,
// and the final phase of jobs that are complete.
func (h *Holder) writeDone(t *api.Txn) {
	room := h.batch() - len(t.Then)
	size := 0
	round := state.CompletionBatch{Done: map[core.JobID]core.IndexSet{}}
	limit := h.Config.StateLimits.ValueBytes - valueMargin
	for _, id := range core.SortedKeys(h.jobs) {
		j, e := h.jobs[id], h.Mirror.Jobs[id]
		if e == nil || e.Finished() || j.pending.Empty() && j.done.Len() < j.spec.Tasks {
			continue
		}
		if j.done.Len() >= j.spec.Tasks {
			if room > 2 {
				h.writeEnd(t, id, e)
				room--
			}
			continue
		}
		entry := entrySize(id, j.pending)
		if size+entry > limit {
			if size == 0 {
				// Too scattered for one record: as many ranges as fit go first.
				round.Done[id] = j.pending.Split(limit / rangeBytes)[0]
				size = limit
			}
			continue
		}
		size += entry
		round.Done[id] = j.pending.Clone()
	}
	if len(round.Done) > 0 && room > 0 {
		h.writeRound(t, round)
		room--
	}
	h.prune(t, room)
}

// writeEnd adds the final phase of a job that is complete.
func (h *Holder) writeEnd(t *api.Txn, id core.JobID, e *state.JobEntry) {
	t.If = append(t.If, api.Condition{Key: state.KeyJob(id), Version: uint64(e.Version)})
	t.Then = append(t.Then, state.Put(state.KeyJob(id), e.Job.End(state.JobDone, h.Loop.WallNow())))
}

// writeRound adds a round under a name that is not used again.
func (h *Holder) writeRound(t *api.Txn, round state.CompletionBatch) {
	h.round++
	t.Then = append(t.Then, state.Put(state.KeyCompletionBatch(h.number, h.term, h.round), round))
}

// entrySize is about what a job's tasks take in a round.
func entrySize(id core.JobID, tasks core.IndexSet) int {
	raw, _ := json.Marshal(tasks)
	return len(raw) + len(id) + entryOverhead
}

// prune removes rounds that speak only of jobs that are over, and melts many
// small ones into one.
func (h *Holder) prune(t *api.Txn, room int) {
	rounds := h.Mirror.CompletionBatches[h.number]
	if len(rounds) < fewRounds || room < roomForPruning {
		return
	}
	removed, size := 0, 0
	limit := h.Config.StateLimits.ValueBytes - valueMargin
	merged := state.CompletionBatch{Done: map[core.JobID]core.IndexSet{}}
	for _, key := range core.SortedKeys(rounds) {
		if removed >= min(room-1, maxPruned) {
			break
		}
		open := h.openEntries(rounds[key])
		added := 0
		for id, tasks := range open {
			added += entrySize(id, tasks)
		}
		if added > 0 && (len(rounds) < maxRounds || size+added > limit) {
			continue
		}
		for id, tasks := range open {
			union := merged.Done[id].Clone()
			union.Union(tasks)
			merged.Done[id] = union
		}
		size += added
		t.Then = append(t.Then, api.Change{Remove: key})
		removed++
	}
	if len(merged.Done) > 0 {
		h.writeRound(t, merged)
	}
}

// openEntries returns what a round says of jobs that are not over.
func (h *Holder) openEntries(round *state.CompletionBatch) map[core.JobID]core.IndexSet {
	open := map[core.JobID]core.IndexSet{}
	for id, tasks := range round.Done {
		if e := h.Mirror.Jobs[id]; e != nil && !e.Finished() {
			open[id] = tasks
		}
	}
	return open
}
