package state

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// history makes records of jobs, in the order in which they were written.
type history struct {
	m    *Mirror
	ring uint64
	all  []api.Event
}

func (h *history) put(id string, j Job) {
	h.ring++
	e := api.Event{Set: KeyJob(core.JobID(id)), Value: Put("", j).Value, Version: h.ring}
	h.all = append(h.all, e)
	h.m.take([]api.Event{e})
}

func accepted(id, rank string, deadline float64, needs ...string) Job {
	spec := &api.Job{ID: id, Team: "red", Form: api.FormArray, Rank: rank, Tasks: 1, EstimateS: 10, Dependencies: needs}
	if deadline > 0 {
		spec.DeadlineS = &deadline
	}
	return Job{Phase: JobAccepted, Tasks: 1, AcceptedAt: 1000, Team: "red", Spec: spec}
}

// What follows from the records is the same however they come: one by one, or loaded in
// the order of their keys; and it is what a plain look along all paths says.
func TestDerivedStatesAreTheRecords(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 9))
		h := &history{m: newTestMirror(0)}
		type plain struct {
			needs []string
			phase JobPhase
		}
		jobs, ids := map[string]*plain{}, []string{}
		var cancelled func(id string) bool
		cancelled = func(id string) bool {
			j := jobs[id]
			out := j.phase == JobCancelled
			for _, n := range j.needs {
				out = out || j.phase != JobDone && cancelled(n)
			}
			return out
		}
		ready := func(id string) bool {
			for _, n := range jobs[id].needs {
				if jobs[n].phase != JobDone {
					return false
				}
			}
			return true
		}
		for range 60 {
			id := ""
			if len(ids) > 0 {
				id = ids[r.IntN(len(ids))]
			}
			switch {
			case id == "" || r.IntN(2) == 0:
				name := fmt.Sprintf("req-%06d", r.IntN(900000)) // in no order
				if jobs[name] != nil {
					continue
				}
				p := &plain{phase: JobAccepted}
				for range min(r.IntN(4), len(ids)) {
					p.needs = append(p.needs, ids[len(ids)-1-r.IntN(min(len(ids), 6))])
				}
				jobs[name], ids = p, append(ids, name)
				h.put(name, accepted(name, api.RankStandard, 0, p.needs...))
			case cancelled(id) || jobs[id].phase != JobAccepted:
			case r.IntN(4) == 0:
				jobs[id].phase = JobCancelled
				h.put(id, accepted(id, api.RankStandard, 0).End(JobCancelled, 0))
			case ready(id):
				jobs[id].phase = JobDone
				h.put(id, accepted(id, api.RankStandard, 0).End(JobDone, core.WallTime(h.ring)))
			}
		}
		loaded := newTestMirror(0)
		last := map[string]api.Event{}
		for _, e := range h.all {
			last[e.Set] = e
		}
		var page []api.Event
		for _, key := range core.SortedKeys(last) {
			page = append(page, last[key])
		}
		loaded.take(page)
		for _, m := range []*Mirror{h.m, loaded} {
			for _, id := range ids {
				e := m.Jobs[core.JobID(id)]
				_, begins := m.ReadyAt(e)
				if e.Cancelled() != cancelled(id) || !e.Finished() && begins != ready(id) || (e.Phase == JobDone) != (jobs[id].phase == JobDone) {
					t.Fatalf("seed %d: %s: cancelled %v, may run %v; want %v, %v", seed, id, e.Cancelled(), begins, cancelled(id), ready(id))
				}
			}
		}
	}
}

// A chain of any length costs what is changed, and no stack.
func TestLongChainAndWideFan(t *testing.T) {
	const n = 30_000
	for _, wide := range []bool{false, true} {
		h := &history{m: newTestMirror(0)}
		began := time.Now()
		for i := range n {
			id := fmt.Sprintf("req-%06d", i)
			needs := []string{}
			switch {
			case i > 0 && wide:
				needs = []string{"req-000000"}
			case i > 0:
				needs = []string{fmt.Sprintf("req-%06d", i-1)}
			}
			h.put(id, accepted(id, api.RankStandard, 0, needs...))
		}
		h.put("req-000000", accepted("req-000000", api.RankStandard, 0).End(JobCancelled, 0))
		for i := range n {
			if !h.m.Jobs[core.JobID(fmt.Sprintf("req-%06d", i))].Cancelled() {
				t.Fatalf("wide %v: job %d is not cancelled", wide, i)
			}
		}
		if len(h.m.dependents) > 0 {
			t.Fatalf("wide %v: %d jobs that are over are still waited for", wide, len(h.m.dependents))
		}
		if d := time.Since(began); d > 20*time.Second {
			t.Fatalf("wide %v: took %s", wide, d)
		}
	}
}

// A job counts with the highest rank of the jobs that need it, and has to be done as long
// before the deadline of the last as those between take.
func TestUrgencyIsInherited(t *testing.T) {
	h := &history{m: newTestMirror(0)}
	h.put("req-1", accepted("req-1", api.RankBestEffort, 0))
	h.put("req-2", accepted("req-2", api.RankStandard, 0, "req-1"))
	h.put("req-3", accepted("req-3", api.RankHigh, 100, "req-2"))
	h.put("req-4", accepted("req-4", api.RankProduction, 500, "req-2"))
	first, second := h.m.Jobs["req-1"].Urgency, h.m.Jobs["req-2"].Urgency
	if second.Rank != 3 || first.Rank != 3 || second.Deadline != 1000+100_000-10_000-changeOver || first.Deadline != second.Deadline-10_000-changeOver {
		t.Fatalf("%+v, %+v", first, second)
	}
}
