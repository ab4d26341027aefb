package placement

import (
	"strings"
)

// beside returns what a later job may use of a machine without delaying the
// reservation: all that is free if it ends in time, else what the head leaves.
func (p *pass) beside(j *Job) freeOf {
	return func(m *Machine) Resources {
		free := m.Free()
		hold, held := p.out.ReservedResources[m.ID]
		if !held || p.now.Add(j.Estimate) <= p.out.ReservedAt {
			return free
		}
		at := m.freeAt(p.out.ReservedAt).Sub(hold)
		return free.Min(at)
	}
}

// backfill starts later jobs beside the reservation, best pair first.
func (p *pass) backfill(jobs []*Job) {
	for _, j := range jobs {
		if j.Gang && p.teamHasRoom(j, j.Waiting) {
			for _, m := range p.gang(p.open, j, p.beside(j)) {
				p.start(j, m)
			}
		}
	}
	kinds := p.kinds(jobs)
	for {
		var top *kind
		for _, k := range kinds {
			if k.stale {
				p.look(k)
			}
			if len(k.jobs) == 0 || !p.teamHasRoom(k.jobs[0], 1) || k.m == nil {
				continue
			}
			if top == nil || p.policy.FirstFit && k.places[0] < top.places[0] ||
				!p.policy.FirstFit && (k.r.better(top.r) || !top.r.better(k.r) && k.places[0] < top.places[0]) {
				top = k
			}
		}
		if top == nil {
			return
		}
		m := top.m
		p.start(top.jobs[0], m)
		if top.jobs[0].Waiting == 0 {
			top.jobs, top.places = top.jobs[1:], top.places[1:]
		}
		for _, k := range kinds {
			// A start changes its machine for all; an option on another machine
			// stands unless this one has now become better.
			switch {
			case k == top || k.m == m:
				k.stale = true
			case k.m != nil:
				j := k.jobs[0]
				if j.takes(m, p.beside(j)(m)) && j.AllowsZone(m.Zone, j.TasksByZone) {
					// Equal ones are taken in the order of the machines, as a full look does.
					if r := rate(j, m); r.better(k.r) || !k.r.better(r) && m.ID < k.m.ID {
						k.m, k.r = m, r
					}
				}
			}
		}
	}
}

// kind is arrays whose tasks could take the same machines and rate them alike, in
// their order. Thousands of jobs of one task each are mostly one kind; looked at one
// by one, each start made all of them look for their machine anew: 10 ms a pass with
// 2,000 of them, all that a sixteenth of a core has.
type kind struct {
	jobs   []*Job
	places []int // of the jobs in the line
	m      *Machine
	r      rating
	stale  bool
}

// kindKey is what makes jobs alike to machines. Allowed types are joined.
type kindKey struct {
	team, image, zone, types string
	need                     Resources
	spot, noChoice, in       bool
	starvation               Starvation
	own                      int // set for jobs that are like no others
}

// kinds sorts waiting arrays by kind, the first in line first.
func (p *pass) kinds(jobs []*Job) (out []*kind) {
	byKey := map[kindKey]*kind{}
	for i, j := range jobs {
		if j.Gang || j.Waiting <= 0 {
			continue
		}
		key := kindKey{team: j.Team, image: j.Image, zone: j.Zone, need: j.Need, spot: j.Spot, noChoice: j.GangMachinesOnly, starvation: j.Starvation, in: p.now.Add(j.Estimate) <= p.out.ReservedAt}
		if j.OneZone || j.SpreadZones || len(j.ExcludedMachines) > 0 {
			key.own = i + 1
		}
		if j.Types != nil {
			key.types = "only " + strings.Join(j.Types, " ")
		}
		k := byKey[key]
		if k == nil {
			k = &kind{stale: true}
			byKey[key] = k
			out = append(out, k)
		}
		k.jobs, k.places = append(k.jobs, j), append(k.places, i)
	}
	return out
}

// look finds the best machine for a kind's next task.
func (p *pass) look(k *kind) {
	k.m, k.r, k.stale = nil, rating{}, false
	if len(k.jobs) > 0 && p.teamHasRoom(k.jobs[0], 1) {
		k.m, k.r = p.best(k.jobs[0], p.beside(k.jobs[0]))
	}
}
