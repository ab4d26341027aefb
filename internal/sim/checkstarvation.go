package sim

import (
	"slices"

	"lichenstair/internal/core"
)

// CheckStarvation checks that no class, no team and none of the classes' largest jobs were
// starved: at least half of each group must have begun, the largest within four minutes of
// their acceptance, of the completion of their dependencies or of the end of the last fault. The
// largest jobs are the tenth of a class with the most CPUs. Only jobs that could have
// started more than four minutes ago count, without those that are to be cancelled or always
// fail.
func (c *Checker) CheckStarvation() {
	type count struct{ all, served int }
	counts := map[string]*count{}
	add := func(group string, served bool) {
		if counts[group] == nil {
			counts[group] = &count{}
		}
		counts[group].all++
		if served {
			counts[group].served++
		}
	}
	sizes := map[string][]float64{}
	size := func(j *jobState) float64 { return float64(j.spec.Tasks) * j.spec.CPUs }
	since := func(j *jobState) SimTime {
		at, _ := c.dependenciesDone(j)
		return max(j.acceptedAt, c.faultsEndedAt, at)
	}
	due := func(j *jobState) bool {
		_, ready := c.dependenciesDone(j)
		return j.accepted && !c.cancelWanted(j.spec.ID) && !j.failsAlways && ready && c.now-since(j) > beginWithin
	}
	for _, j := range c.jobs {
		if due(j) {
			sizes[j.spec.Class] = append(sizes[j.spec.Class], size(j))
		}
	}
	for _, s := range sizes {
		slices.Sort(s)
	}
	for _, j := range c.jobs {
		if !due(j) {
			continue
		}
		add("class "+j.spec.Class, j.begun)
		add("team "+j.spec.Team, j.begun)
		if s := sizes[j.spec.Class]; size(j) >= s[len(s)*9/10] {
			add("largest of class "+j.spec.Class, j.begun && j.begunAt-since(j) <= beginWithin)
		}
	}
	for _, group := range core.SortedKeys(counts) {
		if k := counts[group]; 2*k.served < k.all {
			c.fail("starved: of %s only %d of %d jobs were served", group, k.served, k.all)
		}
	}
}

// FreeMachines records which machines have free capacity for a task of a job whose team may
// still start one. It is called every few seconds once no fault is active. A machine counts
// only while it has had capacity for the job at each of these calls.
func (c *Checker) FreeMachines(id string, machines []string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	if _, ready := c.dependenciesDone(j); !ready || !j.accepted || c.cancelWanted(id) || j.failsAlways || j.final != "" || j.placed > 0 || len(j.done) == j.spec.Tasks {
		machines = nil
	}
	freeSince := map[string]SimTime{}
	for _, m := range machines {
		freeSince[m] = c.now
		if since, ok := j.freeSince[m]; ok {
			freeSince[m] = since
		}
		if c.now-freeSince[m] > idleWithin {
			c.fail("waits: job %s has waited for more than %s with free capacity for it on machine %s", id, idleWithin, m)
		}
	}
	j.freeSince = freeSince
}
