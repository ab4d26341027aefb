package state

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// jobHistory writes job records and keeps them in the order in which they were written.
type jobHistory struct {
	m        *Mirror
	revision uint64
	all      []api.Event
}

func (h *jobHistory) put(id string, j Job) {
	h.m.applyEvents([]api.Event{h.record(id, j)})
}

// write writes the record of an accepted job, which the mirror does not see yet.
func (h *jobHistory) write(j Job) { h.record(j.Spec.ID, j) }

// record adds a job record to the history and returns its event.
func (h *jobHistory) record(id string, j Job) api.Event {
	h.revision++
	e := api.Event{Set: KeyJob(core.JobID(id)), Value: Put("", j).Value, Version: h.revision}
	h.all = append(h.all, e)
	return e
}

func acceptedJob(id, rank string, deadline float64, dependencies ...string) Job {
	spec := &api.Job{ID: id, Team: "red", Form: api.FormArray, Rank: rank, Tasks: 1, EstimateS: 10, Dependencies: dependencies}
	if deadline > 0 {
		spec.DeadlineS = &deadline
	}
	return Job{Phase: JobAccepted, Tasks: 1, AcceptedAt: 1000, Team: "red", Spec: spec}
}

// The states derived from job records do not depend on whether the records arrive one by one or are
// loaded in key order, and equal those of a plain search along all dependency paths.
func TestDerivedStatesDoNotDependOnOrder(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 9))
		h := &jobHistory{m: newTestMirror(0)}
		type plain struct {
			dependencies []string
			phase        JobPhase
		}
		jobs, ids := map[string]*plain{}, []string{}
		var cancelled func(id string) bool
		cancelled = func(id string) bool {
			j := jobs[id]
			out := j.phase == JobCancelled
			for _, n := range j.dependencies {
				out = out || j.phase != JobDone && cancelled(n)
			}
			return out
		}
		ready := func(id string) bool {
			for _, n := range jobs[id].dependencies {
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
					p.dependencies = append(p.dependencies, ids[len(ids)-1-r.IntN(min(len(ids), 6))])
				}
				jobs[name], ids = p, append(ids, name)
				h.put(name, acceptedJob(name, api.RankStandard, 0, p.dependencies...))
			case cancelled(id) || jobs[id].phase != JobAccepted:
			case r.IntN(4) == 0:
				jobs[id].phase = JobCancelled
				h.put(id, acceptedJob(id, api.RankStandard, 0).End(JobCancelled, 0))
			case ready(id):
				jobs[id].phase = JobDone
				h.put(id, acceptedJob(id, api.RankStandard, 0).End(JobDone, core.WallTime(h.revision)))
			}
			checkLinks(t, h.m)
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
		loaded.applyEvents(page)
		for _, m := range []*Mirror{h.m, loaded} {
			checkLinks(t, m)
			for _, id := range ids {
				e := m.Jobs[core.JobID(id)]
				_, mayRun := e.ReadyAt()
				if e.Cancelled() != cancelled(id) || !e.Finished() && mayRun != ready(id) || (e.Phase == JobDone) != (jobs[id].phase == JobDone) {
					t.Fatalf("seed %d: %s: cancelled %v, ready %v; want %v, %v", seed, id, e.Cancelled(), mayRun, cancelled(id), ready(id))
				}
			}
		}
	}
}

// checkLinks checks that the links of all jobs agree with each other and with the jobs' states.
func checkLinks(t *testing.T, m *Mirror) {
	t.Helper()
	links := 0
	defer func() {
		if m.Links() != links {
			t.Fatalf("%d links counted, want %d", m.Links(), links)
		}
	}()
	for id, e := range m.Jobs {
		if e.node == nil {
			continue
		}
		n := e.node
		links += n.unfinished
		unfinished, finished := 0, 0
		for _, dependency := range n.dependencies {
			if !dependency.done() {
				unfinished++
				if !slices.Contains(dependency.dependents, n) {
					t.Fatalf("%s is missing from the dependents of %s", id, dependency.id)
				}
			}
		}
		for _, dependent := range n.dependents {
			if dependent.dropped {
				finished++
			} else if !slices.Contains(dependent.dependencies, n) {
				t.Fatalf("%s is missing from the dependencies of %s", id, dependent.id)
			}
		}
		if e.Finished() || n.entry != e || n.unfinished != unfinished || n.finishedDependents != finished || finished > len(n.dependents)/2 || len(n.dependencies) > 2*unfinished+1 {
			t.Fatalf("%s: finished %v, %d dependencies of which %d are unfinished and %d counted, %d dependents of which %d are finished and %d counted",
				id, e.Finished(), len(n.dependencies), unfinished, n.unfinished, len(n.dependents), finished, n.finishedDependents)
		}
	}
}

// The cost of a change is proportional to the jobs that it affects, and long dependency chains do
// not overflow the stack.
func TestLongChainAndManyDependents(t *testing.T) {
	const n = 30_000
	for _, wide := range []bool{false, true} {
		h := &jobHistory{m: newTestMirror(0)}
		began := time.Now()
		for i := range n {
			id := fmt.Sprintf("req-%06d", i)
			dependencies := []string{}
			switch {
			case i > 0 && wide:
				dependencies = []string{"req-000000"}
			case i > 0:
				dependencies = []string{fmt.Sprintf("req-%06d", i-1)}
			}
			h.put(id, acceptedJob(id, api.RankStandard, 0, dependencies...))
		}
		h.put("req-000000", acceptedJob("req-000000", api.RankStandard, 0).End(JobCancelled, 0))
		for i := range n {
			if !h.m.Jobs[core.JobID(fmt.Sprintf("req-%06d", i))].Cancelled() {
				t.Fatalf("wide %v: job %d is not cancelled", wide, i)
			}
		}
		if n := linkedJobs(h.m); n > 0 {
			t.Fatalf("wide %v: %d finished jobs are still linked", wide, n)
		}
		if d := time.Since(began); d > 20*time.Second {
			t.Fatalf("wide %v: took %s, want at most 20s", wide, d)
		}
	}
}

// linkedJobs counts the jobs that the mirror holds as unfinished dependencies or dependents.
func linkedJobs(m *Mirror) (n int) {
	for _, e := range m.Jobs {
		if e.node != nil {
			n++
		}
	}
	return n + len(m.awaited)
}

// A job is ready soon while each of its dependencies is done, is running or has completed a task. What runs
// counts until it is noted anew.
func TestReadySoon(t *testing.T) {
	h := &jobHistory{m: newTestMirror(0)}
	for _, id := range []string{"req-1", "req-2", "req-3"} {
		j := acceptedJob(id, api.RankStandard, 0)
		j.Tasks = 2
		h.put(id, j)
	}
	h.put("req-4", acceptedJob("req-4", api.RankStandard, 0, "req-1", "req-2", "req-3"))
	e := h.m.Jobs["req-4"]
	expect := func(want bool, when string) {
		t.Helper()
		if e.ReadySoon() != want {
			t.Fatalf("%s: ready soon is %v", when, !want)
		}
	}
	expect(false, "nothing has started")
	h.m.NoteRunning(map[core.JobID]int{"req-1": 1, "req-2": 2, "req-3": 0, "req-9": 1})
	expect(false, "the third job has no running task")
	h.m.NoteRunning(map[core.JobID]int{"req-1": 1, "req-2": 2, "req-3": 1})
	expect(true, "all are running")
	h.m.NoteRunning(map[core.JobID]int{"req-2": 2, "req-3": 1})
	expect(false, "the first job runs no longer")
	h.put("req-1", acceptedJob("req-1", api.RankStandard, 0).End(JobDone, 2000))
	expect(true, "the first job is done")
	h.m.Jobs["req-2"].Done.Add(0)
	h.m.NoteRunning(map[core.JobID]int{"req-3": 1})
	expect(true, "the second job has completed a task")
	if _, ready := e.ReadyAt(); ready {
		t.Fatal("the job is ready while two dependencies are not done")
	}
}

// A job inherits the highest rank of its dependents, and its deadline is theirs less the estimates
// of the jobs between.
func TestUrgencyIsInherited(t *testing.T) {
	h := &jobHistory{m: newTestMirror(0)}
	h.put("req-1", acceptedJob("req-1", api.RankBestEffort, 0))
	h.put("req-2", acceptedJob("req-2", api.RankStandard, 0, "req-1"))
	h.put("req-3", acceptedJob("req-3", api.RankHigh, 100, "req-2"))
	h.put("req-4", acceptedJob("req-4", api.RankProduction, 500, "req-2"))
	first, second := h.m.Urgency(h.m.Jobs["req-1"]), h.m.Urgency(h.m.Jobs["req-2"])
	if second.Rank != 3 || first.Rank != 3 || second.Deadline != 1000+100_000-10_000-jobTransitionMS || first.Deadline != second.Deadline-10_000-jobTransitionMS {
		t.Fatalf("inherited urgencies: %+v, %+v", first, second)
	}
}
