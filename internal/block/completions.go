package block

import (
	"encoding/json"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

const (
	// valueMargin is the number of bytes left free in a value of the state service.
	valueMargin = 256
	// entryOverhead is the size in bytes of an entry of a completion batch, beside its job's
	// id and its tasks.
	entryOverhead = 8
	// maxRangeBytes is the largest encoded size of a range of task numbers.
	maxRangeBytes = 16
	// minBatchesToPrune is the number of completion batches below which none are pruned.
	minBatchesToPrune = 8
	// maxPruned bounds the completion batches that are removed in one transaction.
	maxPruned = 12
	// minPruneChanges is how many changes must be left in a transaction for pruning.
	minPruneChanges = 4
)

// writeCompletions adds the completed tasks to a transaction: one completion batch for the
// tasks, and the final phase of jobs whose tasks are all done.
func (h *Holder) writeCompletions(t *api.Txn) {
	changesLeft := h.maxChanges() - len(t.Then)
	size := 0
	batch := state.CompletionBatch{Done: map[core.JobID]core.IndexSet{}}
	limit := h.Config.StateLimits.ValueBytes - valueMargin
	for _, j := range h.jobsThat((*job).hasUnrecordedEnd) {
		id, e := j.id, h.Mirror.Jobs[j.id]
		if e == nil || e.Finished() {
			continue
		}
		if j.done.Len() >= j.spec.Tasks {
			if changesLeft > 2 {
				h.writeJobEnd(t, id, e)
				changesLeft--
			}
			continue
		}
		entry := entrySize(id, j.pending)
		if size+entry > limit {
			if size == 0 {
				// The set is too fragmented for one record: write as many ranges as fit.
				batch.Done[id] = j.pending.Split(limit / maxRangeBytes)[0]
				size = limit
			}
			continue
		}
		size += entry
		batch.Done[id] = j.pending.Clone()
	}
	if len(batch.Done) > 0 && changesLeft > 0 {
		h.writeCompletionBatch(t, batch)
		changesLeft--
	}
	h.prune(t, changesLeft)
}

// writeJobEnd adds the final phase of a completed job.
func (h *Holder) writeJobEnd(t *api.Txn, id core.JobID, e *state.JobEntry) {
	t.If = append(t.If, api.Condition{Key: state.KeyJob(id), Version: uint64(e.Version)})
	t.Then = append(t.Then, state.Put(state.KeyJob(id), e.Job.End(state.JobDone, h.Loop.WallNow())))
}

// writeCompletionBatch adds a completion batch under a key that is never used again.
func (h *Holder) writeCompletionBatch(t *api.Txn, batch state.CompletionBatch) {
	h.batchSeq++
	t.Then = append(t.Then, state.Put(state.KeyCompletionBatch(h.number, h.term, h.batchSeq), batch))
}

// entrySize estimates the encoded size in bytes of a job's tasks in a completion batch.
func entrySize(id core.JobID, tasks core.IndexSet) int {
	raw, _ := json.Marshal(tasks)
	return len(raw) + len(id) + entryOverhead
}

// prune removes completion batches that only concern finished jobs, and merges many small
// ones into one.
func (h *Holder) prune(t *api.Txn, changesLeft int) {
	batches := h.Mirror.CompletionBatches[h.number]
	if len(batches) < minBatchesToPrune || changesLeft < minPruneChanges {
		return
	}
	removed, size := 0, 0
	limit := h.Config.StateLimits.ValueBytes - valueMargin
	merged := state.CompletionBatch{Done: map[core.JobID]core.IndexSet{}}
	for _, key := range core.SortedKeys(batches) {
		if removed >= min(changesLeft-1, maxPruned) {
			break
		}
		unfinished := h.unfinishedEntries(batches[key])
		added := 0
		for id, tasks := range unfinished {
			added += entrySize(id, tasks)
		}
		if added > 0 && (len(batches) < maxCompletionBatches || size+added > limit) {
			continue
		}
		for id, tasks := range unfinished {
			union := merged.Done[id].Clone()
			union.Union(tasks)
			merged.Done[id] = union
		}
		size += added
		t.Then = append(t.Then, api.Change{Remove: key})
		removed++
	}
	if len(merged.Done) > 0 {
		h.writeCompletionBatch(t, merged)
	}
}

// unfinishedEntries returns the entries of a completion batch whose jobs are not finished.
func (h *Holder) unfinishedEntries(batch *state.CompletionBatch) map[core.JobID]core.IndexSet {
	unfinished := map[core.JobID]core.IndexSet{}
	for id, tasks := range batch.Done {
		if e := h.Mirror.Jobs[id]; e != nil && !e.Finished() {
			unfinished[id] = tasks
		}
	}
	return unfinished
}
