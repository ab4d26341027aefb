package placement

import (
	"sort"
)

// gang finds machines for all waiting tasks at once, or nil.
func (p *pass) gang(machines []*Machine, j *Job, free freeOf) []*Machine {
	if !j.OneZone {
		return p.members(machines, j, free, "")
	}
	var top []*Machine
	var topScore float64
	tried := map[string]bool{}
	for _, m := range machines {
		if tried[m.Zone] {
			continue
		}
		tried[m.Zone] = true
		picks := p.members(machines, j, free, m.Zone)
		if picks == nil {
			continue
		}
		sum := 0.0
		for _, m := range picks {
			s, _ := Score(m, j.Need)
			sum += s
		}
		if top == nil || sum < topScore {
			top, topScore = picks, sum
		}
	}
	return top
}

func (p *pass) members(machines []*Machine, j *Job, free freeOf, zone string) []*Machine {
	type room struct {
		m    *Machine
		left Resources
		r    rating
	}
	var rooms []room
	for _, m := range machines {
		if zone != "" && m.Zone != zone || !j.Allows(m.Type, m.Zone, m.Spot) || j.ExcludedMachines[m.ID] || !j.gangMayUse(m) {
			continue
		}
		if f := free(m); j.Need.Fits(f) {
			rooms = append(rooms, room{m, f, rate(j, m)})
		}
	}
	sort.SliceStable(rooms, func(a, b int) bool { return rooms[a].r.better(rooms[b].r) })
	zones := map[string]int{}
	for z, n := range j.TasksByZone {
		zones[z] = n
	}
	var picks []*Machine
	for i := range rooms {
		n := 1
		for len(picks) < j.Waiting && !rooms[i].m.full(n) && j.Need.Fits(rooms[i].left) && j.AllowsZone(rooms[i].m.Zone, zones) {
			n++
			rooms[i].left = rooms[i].left.Sub(j.Need)
			zones[rooms[i].m.Zone]++
			picks = append(picks, rooms[i].m)
		}
	}
	if len(picks) < j.Waiting {
		return nil
	}
	return picks
}
