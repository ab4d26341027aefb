package placement

import (
	"strings"
)

// besideReservation returns what a later job may use of a machine without delaying the reservation:
// all that is free if the job ends before the reserved start, else what the reservation leaves.
func (p *pass) besideReservation(j *Job) freeFunc {
	return func(m *Machine) Resources {
		free := m.Free()
		reserved, ok := p.result.ReservedResources[m.ID]
		if !ok || p.now.Add(j.Estimate) <= p.result.ReservedAt {
			return free
		}
		freeAtStart := m.freeAt(p.result.ReservedAt).Sub(reserved)
		return free.Min(freeAtStart)
	}
}

// backfill starts later jobs beside the reservation: gangs in their order, then arrays by the best
// pair of task and machine.
func (p *pass) backfill(jobs []*Job, firstGroup int) {
	for _, j := range jobs {
		if j.Gang && p.hasQuota(j, j.Waiting) {
			for _, m := range p.placeGang(p.candidates, j, p.besideReservation(j)) {
				p.start(j, m)
			}
		}
	}
	workEnd := p.work + maxPassWork
	groups, next := p.rankGroups(p.groupArrays(jobs), firstGroup)
	for p.work <= workEnd {
		best, m := p.bestPair(groups)
		if best == nil {
			p.result.Unfinished, p.result.NextGroup = next > 0, next
			return
		}
		p.start(best.jobs[0], m)
		for _, g := range groups {
			g.ranking.update(m)
		}
		if best.jobs[0].Waiting == 0 {
			p.nextJob(best)
		}
	}
	p.result.Unfinished, p.result.NextGroup = true, firstGroup
}

// rankGroups ranks the machines for the job groups from first on, as far as half of the work of a
// pass allows, and returns these groups. next is where to go on in another pass, 0 if no group is
// left out at the end.
func (p *pass) rankGroups(groups []*jobGroup, first int) (ranked []*jobGroup, next int) {
	if first >= len(groups) {
		first = 0
	}
	limit := p.work + maxPassWork/2
	for i, g := range groups {
		// The first job that its team's quota does not admit counts, also in groups that are skipped.
		if !p.hasQuota(g.jobs[0], 1) || i < first {
			continue
		}
		if p.work >= limit {
			return ranked, i
		}
		g.ranking = p.rankMachines(g.jobs[0], p.besideReservation(g.jobs[0]))
		if len(g.ranking.entries) > 0 {
			ranked = append(ranked, g)
		}
	}
	return ranked, 0
}

// bestPair returns the group and the machine of the best pair of a waiting task and a machine, or
// nil.
func (p *pass) bestPair(groups []*jobGroup) (best *jobGroup, on *Machine) {
	var top rating
	for _, g := range groups {
		if len(g.jobs) == 0 || !p.hasQuota(g.jobs[0], 1) {
			continue
		}
		m, r := g.ranking.best()
		if m == nil {
			continue
		}
		if best == nil || r.better(top) || r == top && g.positions[0] < best.positions[0] {
			best, on, top = g, m, r
		}
	}
	return best, on
}

// nextJob goes on to the next job of a group.
func (p *pass) nextJob(g *jobGroup) {
	previous := g.jobs[0]
	g.jobs, g.positions = g.jobs[1:], g.positions[1:]
	if len(g.jobs) == 0 {
		return
	}
	if next := g.jobs[0]; next.Starvation != NotStarving && next.Estimate != previous.Estimate {
		// Whether a task fits beside a gang depends on its estimate.
		g.ranking = p.rankMachines(next, p.besideReservation(next))
		return
	}
	g.ranking.job = g.jobs[0]
}

// jobGroup is a group of arrays, in queue order, whose tasks can use the same machines and rate
// them alike. Thousands of single-task jobs mostly form one group. When each was examined by
// itself, every start made all of them search for a machine again: 10 ms a pass with 2,000 jobs,
// which at a pass every 150 ms is all that a sixteenth of a core has.
type jobGroup struct {
	jobs      []*Job
	positions []int // of the jobs in the queue
	ranking   *ranking
}

// groupKey is what jobs of a group have in common. types holds the allowed types, joined.
type groupKey struct {
	team, image, zone, types           string
	need                               Resources
	spot, gangMachinesOnly, endsInTime bool // endsInTime: before the reserved start
	starvation                         Starvation
	unique                             int // set for jobs that share a group with no other
}

// groupArrays sorts waiting arrays into groups, in the order of their first jobs.
func (p *pass) groupArrays(jobs []*Job) (out []*jobGroup) {
	byKey := map[groupKey]*jobGroup{}
	for i, j := range jobs {
		if j.Gang || j.Waiting <= 0 {
			continue
		}
		key := groupKey{team: j.Team, image: j.Image, zone: j.Zone, need: j.Need, spot: j.Spot, gangMachinesOnly: j.GangMachinesOnly, starvation: j.Starvation, endsInTime: p.now.Add(j.Estimate) <= p.result.ReservedAt}
		if j.OneZone || j.SpreadZones || len(j.ExcludedMachines) > 0 {
			key.unique = i + 1
		}
		if j.Types != nil {
			key.types = "only " + strings.Join(j.Types, " ")
		}
		g := byKey[key]
		if g == nil {
			g = &jobGroup{}
			byKey[key] = g
			out = append(out, g)
		}
		g.jobs, g.positions = append(g.jobs, j), append(g.positions, i)
	}
	return out
}
