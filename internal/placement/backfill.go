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
func (p *pass) backfill(jobs []*Job) {
	for _, j := range jobs {
		if j.Gang && p.hasQuota(j, j.Waiting) {
			for _, m := range p.placeGang(p.candidates, j, p.besideReservation(j)) {
				p.start(j, m)
			}
		}
	}
	groups := p.groupArrays(jobs)
	for {
		var best *jobGroup
		for _, g := range groups {
			if g.stale {
				p.findMachine(g)
			}
			if len(g.jobs) == 0 || !p.hasQuota(g.jobs[0], 1) || g.machine == nil {
				continue
			}
			if best == nil || p.policy.FirstFit && g.positions[0] < best.positions[0] ||
				!p.policy.FirstFit && (g.rating.better(best.rating) || !best.rating.better(g.rating) && g.positions[0] < best.positions[0]) {
				best = g
			}
		}
		if best == nil {
			return
		}
		m := best.machine
		p.start(best.jobs[0], m)
		if best.jobs[0].Waiting == 0 {
			best.jobs, best.positions = best.jobs[1:], best.positions[1:]
		}
		for _, g := range groups {
			// A start changes its machine for all groups. A choice of another machine stands unless
			// this machine has become better.
			switch {
			case g == best || g.machine == m:
				g.stale = true
			case g.machine != nil:
				j := g.jobs[0]
				if j.canRunOn(m, p.besideReservation(j)(m)) && j.AllowsZone(m.Zone, j.TasksByZone) {
					// Equal ratings are decided by the order of the machines, as in a full search.
					if r := rate(j, m); r.better(g.rating) || !g.rating.better(r) && m.ID < g.machine.ID {
						g.machine, g.rating = m, r
					}
				}
			}
		}
	}
}

// jobGroup is a group of arrays, in queue order, whose tasks can use the same machines and rate
// them alike. Thousands of single-task jobs mostly form one group. When each was examined by
// itself, every start made all of them search for a machine again: 10 ms a pass with 2,000 jobs,
// which at a pass every 150 ms is all that a sixteenth of a core has.
type jobGroup struct {
	jobs      []*Job
	positions []int // of the jobs in the queue
	machine   *Machine
	rating    rating
	stale     bool // the machine has to be searched for again
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
			g = &jobGroup{stale: true}
			byKey[key] = g
			out = append(out, g)
		}
		g.jobs, g.positions = append(g.jobs, j), append(g.positions, i)
	}
	return out
}

// findMachine finds the best machine for a group's next task.
func (p *pass) findMachine(g *jobGroup) {
	g.machine, g.rating, g.stale = nil, rating{}, false
	if len(g.jobs) > 0 && p.hasQuota(g.jobs[0], 1) {
		g.machine, g.rating = p.best(g.jobs[0], p.besideReservation(g.jobs[0]))
	}
}
