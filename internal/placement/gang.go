package placement

import (
	"sort"
)

// placeGang finds machines for all waiting tasks of a gang at once, or returns nil. For a gang that
// must stay in one zone it chooses the zone with the lowest total score.
func (p *pass) placeGang(machines []*Machine, j *Job, free freeFunc) []*Machine {
	if !j.OneZone {
		return p.placeGangIn(machines, j, free, "")
	}
	var best []*Machine
	var bestScore float64
	tried := map[string]bool{}
	for _, m := range machines {
		if tried[m.Zone] {
			continue
		}
		tried[m.Zone] = true
		picks := p.placeGangIn(machines, j, free, m.Zone)
		if picks == nil {
			continue
		}
		score := 0.0
		for _, m := range picks {
			s, _ := Score(m, j.Need)
			score += s
		}
		if best == nil || score < bestScore {
			best, bestScore = picks, score
		}
	}
	return best
}

// placeGangIn finds machines for all waiting tasks of a gang in one zone, or in any zone if zone is
// empty. It returns nil unless all of them fit.
func (p *pass) placeGangIn(machines []*Machine, j *Job, free freeFunc, zone string) []*Machine {
	type option struct {
		machine *Machine
		left    Resources
		rating  rating
	}
	var options []option
	for _, m := range machines {
		if zone != "" && m.Zone != zone || !j.Allows(m.Type, m.Zone, m.Spot) || j.ExcludedMachines[m.ID] || !j.gangMayUse(m) {
			continue
		}
		if f := free(m); j.Need.Fits(f) {
			options = append(options, option{m, f, rate(j, m)})
		}
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].rating.better(options[b].rating) })
	zones := map[string]int{}
	for z, n := range j.TasksByZone {
		zones[z] = n
	}
	var picks []*Machine
	for i := range options {
		n := 1 // tasks of the gang on this machine, with the next one
		for len(picks) < j.Waiting && !options[i].machine.full(n) && j.Need.Fits(options[i].left) && j.AllowsZone(options[i].machine.Zone, zones) {
			n++
			options[i].left = options[i].left.Sub(j.Need)
			zones[options[i].machine.Zone]++
			picks = append(picks, options[i].machine)
		}
	}
	if len(picks) < j.Waiting {
		return nil
	}
	return picks
}
