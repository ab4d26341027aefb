package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// checker records what clients, workers and the cloud see, and checks the rules of the protocol page.
type checker struct {
	mu         sync.Mutex
	c          *cluster
	violations []string
	on         map[string]map[string]*worker // machines that a task is on
	done       map[string]bool
	final      map[string]string // last phase told, done or withdrawn
	finalAt    map[string]time.Duration
	accepted   map[string]bool
	wanted     map[string]bool // users asked to cancel
	cpus       map[string]float64
	places     map[string]map[string]bool // machines on which tasks of a job were started, by job
}

func newChecker(c *cluster) *checker {
	return &checker{c: c, on: map[string]map[string]*worker{}, done: map[string]bool{}, final: map[string]string{}, finalAt: map[string]time.Duration{}, accepted: map[string]bool{}, wanted: map[string]bool{}, cpus: map[string]float64{}, places: map[string]map[string]bool{}}
}

func (k *checker) broken(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fail(format, args...)
}

func (k *checker) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	k.violations = append(k.violations, fmt.Sprintf("%.3f %s", k.c.now().Seconds(), text))
	k.c.record("BROKEN %s", text)
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}

// commanded is called when a worker executes a start command in the answer to a report that it sent at a
// time. A controller that answers a report sent after a user was told of a cancellation sent the start
// after that, so the command was not in flight.
func (k *checker) commanded(task string, m *worker, from string, sent time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := jobOf(task)
	if k.final[id] == "withdrawn" && sent > k.finalAt[id] {
		k.fail("start after the cancellation: %s starts on %s by %s, in the answer to a report sent %.3f s after the user was told", task, m.id, from, (sent - k.finalAt[id]).Seconds())
	}
}

func (k *checker) unknownWork(task string, m *worker) {
	k.broken("worker %s is told to run %s, which nobody submitted", m.id, task)
}

func (k *checker) started(t *taskRun, m *worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := jobOf(t.task)
	if k.places[id] == nil {
		k.places[id] = map[string]bool{}
	}
	k.places[id][m.id] = true
	k.c.record("task %s attempt %d is on %s", t.task, t.sprout, m.id)
	for other := range k.on[t.task] {
		k.fail("ran_twice: %s starts on %s while it is on %s", t.task, m.id, other)
	}
	if k.final[id] == "withdrawn" && k.c.now() > k.finalAt[id]+k.c.cancelS {
		k.fail("ran_cancelled: %s starts on %s", t.task, m.id)
	}
	if k.on[t.task] == nil {
		k.on[t.task] = map[string]*worker{}
	}
	k.on[t.task][m.id] = m
	k.cpus[t.job.Crew] += t.job.CPUs
	for _, tm := range k.c.teams {
		if tm.name == t.job.Crew && tm.max > 0 && k.cpus[tm.name] > tm.max+1e-6 {
			k.fail("quota: team %s uses %g CPUs of %g", tm.name, k.cpus[tm.name], tm.max)
		}
	}
	for _, root := range t.job.Roots {
		if j := k.c.jobs.get(root); j != nil {
			for i := range j.Spores {
				if !k.done[fmt.Sprintf("%s/%d", root, i)] {
					k.fail("too_early: %s starts before %s is done", t.task, root)
					break
				}
			}
		}
	}
}

func (k *checker) removed(t *taskRun, m *worker, why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.on[t.task][m.id] == nil {
		return
	}
	delete(k.on[t.task], m.id)
	k.cpus[t.job.Crew] -= t.job.CPUs
	k.c.record("task %s attempt %d leaves %s: %s", t.task, t.sprout, m.id, why)
}

func (k *checker) completed(t *taskRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.done[t.task] = true
}

func (k *checker) isDone(task string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.done[task]
}

func (k *checker) cancelWanted(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wanted[id] = true
}

// told is called with each phase that a user is told.
func (k *checker) told(id, phase string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.accepted[id] = true
	if f := k.final[id]; f != "" && phase != f {
		k.fail("went_back: %s was called %s, then %s", id, f, phase)
	}
	if (phase == "done" || phase == "withdrawn") && k.final[id] == "" {
		k.final[id], k.finalAt[id] = phase, k.c.now()
	}
	if phase == "withdrawn" && !k.wanted[id] && len(k.c.jobs.get(id).Roots) == 0 {
		k.fail("went_back: %s is called withdrawn, but nobody cancelled it", id)
	}
	if phase == "done" {
		for i := range k.c.jobs.get(id).Spores {
			if !k.done[fmt.Sprintf("%s/%d", id, i)] {
				k.fail("not_done: %s is called done before its task %d", id, i)
				return
			}
		}
	}
}

// onMachines counts the tasks of a job that are on machines.
func (k *checker) onMachines(id string) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for task, places := range k.on {
		if jobOf(task) == id {
			n += len(places)
		}
	}
	return n
}

// begun reports whether a task of a job has been on a machine.
func (k *checker) begun(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.places[id]) > 0
}

// startedOn lists the machines on which tasks of a job were started.
func (k *checker) startedOn(id string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Sorted(maps.Keys(k.places[id]))
}

// machinesOf lists the machines that tasks of a job are on.
func (k *checker) machinesOf(id string) (out []*worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for task, places := range k.on {
		for _, m := range places {
			if jobOf(task) == id && !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	return out
}
