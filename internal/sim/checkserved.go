package sim

import (
	"slices"

	"lichenstair/internal/core"
)

// CheckStarvation checks that no class, no team and no class's largest jobs were starved:
// at least half of each must have begun, the largest within four minutes of
// their acceptance or of the end of the troubles.
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
	size := func(j *watched) float64 { return float64(j.spec.Tasks) * j.spec.CPUs }
	since := func(j *watched) SimTime {
		at, _ := c.mayRun(j)
		return max(j.told, c.calm, at)
	}
	due := func(j *watched) bool {
		_, may := c.mayRun(j)
		return j.accepted && !c.cancelWanted(j.spec.ID) && !j.hopeless && may && c.now-since(j) > beginWithin
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
			c.fail("starved: of %s only %d of %d were served", group, k.served, k.all)
		}
	}
}

// FreeMachines tells which machines have room for a task of a job that its team may still start.
// It is told every few seconds once all troubles are over. A machine counts if it has had
// room for the job all the time.
func (c *Checker) FreeMachines(id string, machines []string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	if _, may := c.mayRun(j); !may || !j.accepted || c.cancelWanted(id) || j.hopeless || j.final != "" || j.on > 0 || len(j.done) == j.spec.Tasks {
		machines = nil
	}
	beside := map[string]SimTime{}
	for _, m := range machines {
		beside[m] = c.now
		if since, ok := j.beside[m]; ok {
			beside[m] = since
		}
		if c.now-beside[m] > idleWithin {
			c.fail("waits: %s has waited for %s beside free capacity for it on %s", id, idleWithin, m)
		}
	}
	j.beside = beside
}
