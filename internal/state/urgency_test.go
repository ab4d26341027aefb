package state

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// allocatedBytes returns how many bytes f allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// inherited returns the urgency of a job, 0 if it is not known.
func inherited(m *Mirror, id string) Urgency {
	if e := m.Jobs[core.JobID(id)]; e != nil {
		return m.Urgency(e)
	}
	return Urgency{}
}

// withEstimate returns a job's record with another estimate.
func withEstimate(j Job, seconds float64) Job {
	j.Spec.EstimateS = seconds
	return j
}

// forksAndJoins returns the records of a pipeline that forks and joins n times, in the order of
// their submission. Only the last job has a deadline.
func forksAndJoins(n int, estimate func(fork, branch int) float64) (records []Job) {
	add := func(seconds, deadline float64, dependencies ...string) string {
		id := fmt.Sprintf("req-%06d", len(records))
		records = append(records, withEstimate(acceptedJob(id, api.RankStandard, deadline, dependencies...), seconds))
		return id
	}
	join := add(1, 0)
	for fork := range n {
		first := add(estimate(fork, 0), 0, join)
		second := add(estimate(fork, 1), 0, join)
		join = add(1, 0, first, second)
	}
	add(1, 1e6, join)
	return records
}

// With one accepted pipeline of 65 jobs all controllers ran out of memory: urgency was passed on
// along every path, and the paths double with each fork. Estimates that differ by more than all
// those before together make each path count; estimates that lead to a time before the epoch
// made every job look as if it had inherited nothing yet.
func TestUrgencyCostsAreLinearWithManyPaths(t *testing.T) {
	const forks, bytesPerRecord = 21, 16 << 10
	estimates := map[string]func(fork, branch int) float64{
		"growing":          func(fork, branch int) float64 { return 1 + float64(1-branch)*math.Pow(2, float64(fork))/1000 },
		"before the epoch": func(int, int) float64 { return 1e9 },
	}
	for name, estimate := range estimates {
		records := forksAndJoins(forks, estimate)
		limit := uint64(bytesPerRecord * len(records))
		for order, shuffle := range loadOrders {
			h := &jobHistory{m: newTestMirror(0)}
			for _, j := range records {
				h.write(j)
			}
			shuffle(h.all)
			var urgency Urgency
			allocated := allocatedBytes(func() {
				h.m.applyEvents(h.all)
				urgency = inherited(h.m, records[0].Spec.ID)
			})
			if allocated > limit || urgency.Deadline <= 0 {
				t.Fatalf("%s, loaded %s: %d bytes allocated for %d jobs, want at most %d; deadline %d", name, order, allocated, len(records), limit, urgency.Deadline)
			}
		}
		h := &jobHistory{m: newTestMirror(0)}
		allocated := allocatedBytes(func() {
			for _, j := range records {
				h.put(j.Spec.ID, j)
				inherited(h.m, records[0].Spec.ID)
			}
		})
		if allocated > limit {
			t.Fatalf("%s, submitted: %d bytes allocated for %d jobs, want at most %d", name, allocated, len(records), limit)
		}
	}
}

// loadOrders are orders in which all keys may be loaded: job ids come in no order.
var loadOrders = map[string]func([]api.Event){
	"dependencies first": func([]api.Event) {},
	"dependents first":   func(events []api.Event) { slices.Reverse(events) },
	"in no order": func(events []api.Event) {
		rand.New(rand.NewPCG(4, 1)).Shuffle(len(events), func(a, b int) { events[a], events[b] = events[b], events[a] })
	},
}

// Urgencies do not depend on the order in which records arrive nor on how often they are asked
// for, and equal those of a plain search along all paths.
func TestUrgencyEqualsPlainSearch(t *testing.T) {
	ranks := []string{api.RankBestEffort, api.RankStandard, api.RankHigh, api.RankProduction}
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 51))
		var records []Job
		submitted := &jobHistory{m: newTestMirror(0)}
		for range 2 + r.IntN(30) {
			var dependencies []string
			for range min(r.IntN(4), len(records)) {
				if id := records[len(records)-1-r.IntN(min(len(records), 6))].Spec.ID; !slices.Contains(dependencies, id) {
					dependencies = append(dependencies, id)
				}
			}
			deadline := 0.0
			if r.IntN(3) == 0 {
				deadline = 1 + 1000*r.Float64()
			}
			id := fmt.Sprintf("req-%06d", r.IntN(900_000_000))
			estimate := []float64{1, 100, 1e9}[r.IntN(3)] * r.Float64()
			records = append(records, withEstimate(acceptedJob(id, ranks[r.IntN(4)], deadline, dependencies...), estimate))
			submitted.put(id, records[len(records)-1])
			if r.IntN(2) == 0 {
				inherited(submitted.m, id)
			}
		}
		want := plainUrgencies(records)
		mirrors := map[string]*Mirror{"submitted": submitted.m}
		for order, shuffle := range loadOrders {
			mirrors[order] = newTestMirror(0)
			events := slices.Clone(submitted.all)
			shuffle(events)
			cut := r.IntN(len(events))
			mirrors[order].applyEvents(events[:cut])
			inherited(mirrors[order], records[0].Spec.ID)
			mirrors[order].applyEvents(events[cut:])
		}
		for order, m := range mirrors {
			for _, j := range records {
				if got := inherited(m, j.Spec.ID); got != want[j.Spec.ID] {
					t.Fatalf("seed %d, %s: urgency of %s: got %+v, want %+v", seed, order, j.Spec.ID, got, want[j.Spec.ID])
				}
			}
		}
	}
}

// plainUrgencies returns what each job inherits, from the last submitted to the first.
func plainUrgencies(records []Job) map[string]Urgency {
	urgencies := map[string]Urgency{}
	for _, j := range slices.Backward(records) {
		own := urgencies[j.Spec.ID]
		deadlines := []core.WallTime{}
		if own.Deadline > 0 {
			deadlines = append(deadlines, own.Deadline)
		}
		if j.Spec.DeadlineS != nil {
			deadlines = append(deadlines, j.AcceptedAt+core.WallTime(*j.Spec.DeadlineS*1000))
		}
		for _, id := range j.Spec.Dependencies {
			u := urgencies[id]
			u.Rank = max(u.Rank, own.Rank, placement.Rank(j.Spec.Rank))
			if len(deadlines) > 0 {
				deadline := max(1, slices.Min(deadlines)-core.WallTime(j.Spec.EstimateS*1000)-2000)
				if u.Deadline == 0 || deadline < u.Deadline {
					u.Deadline = deadline
				}
			}
			urgencies[id] = u
		}
	}
	return urgencies
}

// Records that depend on each other, which no controller writes, do not end in an endless loop.
func TestUrgencyEndsWithMutualDependencies(t *testing.T) {
	h := &jobHistory{m: newTestMirror(0)}
	h.put("req-1", acceptedJob("req-1", api.RankHigh, 50, "req-2"))
	h.put("req-2", acceptedJob("req-2", api.RankStandard, 0, "req-1"))
	if u := inherited(h.m, "req-1"); u.Rank != 1 {
		t.Fatalf("urgency of the first job: %+v, want the rank of the second", u)
	}
}
