package state

import (
	"runtime"
	"testing"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// submitted returns a mirror that was shown the records one after the other, and their history.
func submitted(records []Job) *jobHistory {
	h := &jobHistory{m: newTestMirror(0)}
	for _, j := range records {
		h.put(j.Spec.ID, j)
	}
	return h
}

// listedJobs returns the lists of changed jobs that f causes, one after the other.
func (h *jobHistory) listedJobs(f func()) (listed []core.JobID) {
	h.m.OnChange = func(t ChangeSet) { listed = append(listed, t.Jobs...) }
	f()
	h.m.OnChange = nil
	return listed
}

// The end of a job lists those dependents that became ready, and not all of them: the cost of a
// pipeline's ends grew with the square of its links.
func TestEndsListOnlyJobsThatBecameReady(t *testing.T) {
	records := layers(5, 60)
	h := submitted(records)
	listed := h.listedJobs(func() {
		for _, j := range records {
			h.put(j.Spec.ID, j.End(JobDone, core.WallTime(h.revision)))
		}
	})
	// Each job is listed when it ends, and all but those of the first layer when they become ready.
	if want := 2*len(records) - 60; len(listed) != want {
		t.Fatalf("%d jobs listed by the ends of %d jobs, want %d", len(listed), len(records), want)
	}
}

// A cancellation lists each job once and needs memory for the jobs that it cancels, not for the
// links between them.
func TestCancellationCostsAreLinearInJobs(t *testing.T) {
	const bytesPerJob = 512
	records := layers(8, 400)
	h := submitted(records)
	first := records[0]
	var listed []core.JobID
	allocated := allocatedBytes(func() {
		listed = h.listedJobs(func() { h.put(first.Spec.ID, first.End(JobCancelled, 0)) })
	})
	cancelled := map[core.JobID]bool{}
	for _, id := range listed {
		cancelled[id] = h.m.Jobs[id].Cancelled()
	}
	want := len(records) - 399 // the others of the first layer need nothing
	if len(listed) != want || len(cancelled) != want {
		t.Errorf("%d jobs listed, %d of them different, want %d", len(listed), len(cancelled), want)
	}
	if limit := uint64(want * bytesPerJob); allocated > limit {
		t.Errorf("%d bytes allocated to cancel %d jobs, want at most %d", allocated, want, limit)
	}
}

// Completed tasks of many jobs in one record list each job once, also if several batches arrive
// together.
func TestCompletionsListEachJobOnce(t *testing.T) {
	records := layers(1, 100)
	h := submitted(records)
	batch := CompletionBatch{Done: map[core.JobID]core.IndexSet{}}
	for _, j := range records {
		var done core.IndexSet
		done.Add(0)
		batch.Done[core.JobID(j.Spec.ID)] = done
	}
	var events []api.Event
	for seq := range 3 {
		h.revision++
		key := KeyCompletionBatch(0, 1, seq)
		events = append(events, api.Event{Set: key, Value: Put(key, batch).Value, Version: h.revision})
	}
	if listed := h.listedJobs(func() { h.m.applyEvents(events) }); len(listed) != len(records) {
		t.Fatalf("%d jobs listed, want %d", len(listed), len(records))
	}
}

// A controller with 70 MB, half of which are free, holds the links of 1,000 jobs whose records of 16 KiB
// are full of dependencies, 1,200 each.
func TestLinksNeedLittleMemory(t *testing.T) {
	const bytesPerLink = 35 << 20 / (1000 * 1200)
	records := layers(4, 500)
	events := submitted(records).all
	links := 3 * 500 * 500
	records = nil
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := newTestMirror(0)
	m.applyEvents(events)
	inherited(m, "req-000000")
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	if limit := int64(links * bytesPerLink); held > limit {
		t.Fatalf("%d bytes held for %d links, want at most %d", held, links, limit)
	}
	runtime.KeepAlive(m)
}
