package capacity

import (
	"math"
	"slices"
	"sort"

	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// giveBack returns machines that have been free for a while, the dearest first,
// as long as enough stays.
func (p *planner) giveBack() {
	have := struct{ Kept, CPUs float64 }{}
	var idle []*room
	cost := func(r *room) float64 {
		t := p.in.Types[r.m.Type]
		if r.m.Spot {
			return t.SpotPrice / t.CPUs
		}
		return t.Price / t.CPUs
	}
	for _, r := range p.rooms {
		if r.kept {
			have.Kept++
			if r.used {
				p.plan.Demand.GangMachines++
			}
		} else {
			have.CPUs += p.cpus(r)
		}
		if r.m.Block == NoBlock && !r.used && r.m.FreeFor >= p.in.IdleTimeout {
			idle = append(idle, r)
		}
	}
	sort.SliceStable(idle, func(a, b int) bool { return cost(idle[a]) > cost(idle[b]) })
	for _, r := range idle {
		if p.in.GangKinds.Has(MachineKind{r.m.Type, r.m.Spot}) {
			if have.Kept-1 < p.plan.Demand.GangMachines+p.spare(r.m.Type) {
				continue
			}
			have.Kept--
		} else {
			cpus := p.in.Types[r.m.Type].CPUs
			// A level fades but never quite ends: half a machine counts as none.
			if r.m.Spot && have.CPUs-cpus < p.in.Forecast.SpotCPUs-cpus/2 {
				continue
			}
			have.CPUs -= cpus
		}
		p.plan.Return = append(p.plan.Return, r.m.ID)
	}
	p.rentAhead(have.CPUs)
	p.rentSpare(have.Kept)
}

// spare is how many kept machines of a type should be ready beyond those that
// are wanted now: as many as arriving gangs probably want while one boots.
func (p *planner) spare(typ string) float64 {
	return math.Round(p.in.Forecast.GangRate * (1.2*p.in.Types[typ].BootS + 3))
}

// rentSpare rents kept machines, the cheapest, so that enough are ready.
func (p *planner) rentSpare(have float64) {
	var best Offer
	cost := math.Inf(1)
	for kind := range p.in.GangKinds {
		t := p.in.Types[kind.Type]
		price := t.Price
		if kind.Spot {
			price = t.SpotPrice
		}
		for _, zone := range t.Zones {
			o := Offer{kind.Type, zone, kind.Spot}
			if p.in.UnavailableOffers[o] || p.plan.Demand.GangMachines+p.spare(kind.Type) <= have {
				continue
			}
			if price < cost-1e-9 || price < cost+1e-9 && kind.Type+zone < best.Type+best.Zone {
				best, cost = o, price
			}
		}
	}
	if best.Type != "" {
		p.plan.Rent = append(p.plan.Rent, Rental{best, NoBlock, int(min(p.plan.Demand.GangMachines+p.spare(best.Type)-have, 5))})
	}
}

// rentAhead rents spot machines, the cheapest by CPU, up to the level that is
// to be kept ready.
func (p *planner) rentAhead(have float64) {
	var best Offer
	cost := math.Inf(1)
	for _, name := range core.SortedKeys(p.in.Types) {
		t := p.in.Types[name]
		for _, zone := range t.Zones {
			o := Offer{name, zone, true}
			if c := t.SpotPrice / t.CPUs; c < cost-1e-9 && !p.in.UnavailableOffers[o] && !p.in.GangKinds.Has(MachineKind{name, true}) && have+t.CPUs/2 < p.in.Forecast.SpotCPUs {
				best, cost = o, c
			}
		}
	}
	if best.Type == "" || len(p.plan.Rent) > 0 {
		return
	}
	n := int(math.Ceil((p.in.Forecast.SpotCPUs - have) / p.in.Types[best.Type].CPUs))
	p.plan.Rent = append(p.plan.Rent, Rental{best, NoBlock, min(n, 10)})
}

// scarce is how many times more than what is there must be wanted before
// ordinary machines are rented freely for work that may use spot machines.
const scarce = 3

// idleShare is the part of work without a time for which ordinary machines may be
// rented, one over this.
const idleShare = 8

// worthwhile tells how many CPUs of ordinary machines may be rented for a job.
// For work that may use spot machines they cost about three times as much, and
// what waits for those mostly is done before one has booted: unless hardly
// anything is there, they are rented only as far as CPUs have been missing for a
// while to be in time. Work within a guarantee gets what it needs: users count on it at
// once, and steps of pipelines waited for spot machines that nobody had left.
func (p *planner) worthwhile(j *Job) float64 {
	if j.Gang || !j.Spot || j.Guaranteed {
		return math.Inf(1)
	}
	have := 0.0
	for _, r := range p.rooms {
		if (!r.kept || j.GangMachinesOnly) && j.Allows(r.m.Type, r.m.Zone, r.m.Spot) {
			have += p.cpus(r)
		}
	}
	if !j.TimeSensitive {
		// Nobody waits for it: it takes what is idle and what is cheap. Only where
		// that is next to nothing it gets a little of its own, so that it is served.
		return float64(j.Remaining)*j.Need.CPUs/idleShare - have - p.ordinary
	}
	if p.plan.Demand.SpotCPUs > scarce*have {
		return math.Inf(1)
	}
	return p.in.Forecast.MissingCPUs - p.ordinary
}

// missing estimates how many CPUs more would bring arrays in time that cannot be
// with what is there, though their teams' limits would let them.
func (p *planner) missing(jobs []*Job) (cpus float64) {
	byTeam := map[string][]*placement.Job{}
	for _, j := range jobs {
		if !j.Gang && j.Spot && j.Deadline > 0 && j.Remaining > 0 && !j.Failing {
			j.MissedDueTimes = 0
			j.Timing = placement.Timing{Due: []core.WallTime{j.Deadline}, Work: float64(j.Remaining) * j.Need.CPUs * j.Estimate.Seconds()}
			byTeam[j.Team] = append(byTeam[j.Team], &j.Job)
		}
	}
	var possible []*placement.Job
	for _, team := range core.SortedKeys(byTeam) {
		placement.Defer(p.in.Now, p.in.TeamQuota[team], 0, byTeam[team])
		for _, j := range byTeam[team] {
			if j.MissedDueTimes == 0 {
				possible = append(possible, j)
			}
		}
	}
	have := 0.0
	for _, r := range p.rooms {
		if !r.kept {
			have += p.cpus(r)
		}
	}
	for _, j := range jobs {
		// What runs for nobody in particular, for minutes, is no room for those who
		// have a time: an array stated to be done in 400 s waited 280 behind it.
		if j.Opportunistic() && !j.Gang {
			have -= float64(j.Running) * j.Need.CPUs
		}
	}
	for rank := placement.TopRank; rank >= 0; rank-- {
		line := slices.DeleteFunc(slices.Clone(possible), func(j *placement.Job) bool { return j.Rank != rank })
		placement.Defer(p.in.Now, max(have, 0), 0, line)
		for _, j := range line {
			left := float64(j.Timing.Due[0]-p.in.Now) / 1000
			switch {
			case left <= 0:
			case j.MissedDueTimes > 0:
				cpus += j.Timing.Work / left
			default:
				// What those of a higher rank take is not there for others, however
				// much time all of them have.
				have -= min(j.Timing.Work/left/pace, float64(j.Tasks)*j.Need.CPUs)
			}
		}
	}
	return cpus
}

// choice is a kind of machine that could be rented for a job.
type choice struct {
	offer Offer
	fit   int     // tasks that a machine takes
	cost  float64 // of a task, an hour
}

// better tells whether a choice is cheaper than another; of equal ones the first by name is.
func (c choice) better(than choice) bool {
	const same = 1e-9
	if c.cost < than.cost-same {
		return true
	}
	return c.cost < than.cost+same && c.offer.Type+c.offer.Zone < than.offer.Type+than.offer.Zone
}

// rent adds the cheapest machines that take n tasks of a job, and claims them. What has to
// be spread goes to as many zones as it takes.
func (p *planner) rent(j *Job, n int) {
	ordinary := p.worthwhile(j)
	best, ok := p.cheapest(j, n, ordinary)
	if !ok {
		return
	}
	t := p.in.Types[best.offer.Type]
	count := min((n+best.fit-1)/best.fit, maxRental)
	if !best.offer.Spot && !j.Gang && j.Spot && !j.Guaranteed {
		count = int(min(float64(count), ordinary/t.CPUs))
		p.ordinary += float64(count) * t.CPUs
	}
	if j.SpreadZones {
		count = min(count, (j.Tasks+1)/2)
	}
	for i := range count {
		p.rooms = append(p.rooms, &room{
			m:    &Machine{ID: core.MachineID("rented" + string(rune('0'+i))), Type: best.offer.Type, Zone: best.offer.Zone, Spot: best.offer.Spot, Block: j.Block},
			free: placement.CapacityOf(t), block: j.Block, kept: p.in.GangKinds.Has(MachineKind{best.offer.Type, best.offer.Spot}),
		})
	}
	p.addRental(Rental{best.offer, j.Block, count})
	left := n - p.claim(j, n, func(r *room) bool { return r.block == j.Block })
	if j.SpreadZones && left > 0 && left < n {
		p.rent(j, left) // the rest has to go to another zone
	}
}

// maxRental bounds the machines of one rental: more can follow with the next plan, when it
// is known what the cloud has.
const maxRental = 10

// cheapest finds the kind of machine that takes up to n tasks of a job at the least cost;
// ordinary is how many CPUs of ordinary machines may be rented for it.
func (p *planner) cheapest(j *Job, n int, ordinary float64) (best choice, found bool) {
	for _, name := range core.SortedKeys(p.in.Types) {
		t := p.in.Types[name]
		fit := fitting(j.Need, placement.CapacityOf(t), min(n, placement.MaxTasks))
		if fit == 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				offer := Offer{name, zone, spot}
				if !spot && ordinary < t.CPUs || !p.rentable(j, offer) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				c := choice{offer, fit, price / float64(fit)}
				if !found || c.better(best) {
					best, found = c, true
				}
			}
		}
	}
	return best, found
}

// fitting is how many tasks of a need a room takes, most at the most.
func fitting(need, room placement.Resources, most int) (n int) {
	for n < most && need.Fits(room) {
		room = room.Sub(need)
		n++
	}
	return n
}

// rentable tells whether machines of a kind can be had and suit a job.
func (p *planner) rentable(j *Job, o Offer) bool {
	return !p.in.UnavailableOffers[o] && !p.keeps(j, o.Type, o.Spot) && j.Allows(o.Type, o.Zone, o.Spot) && j.AllowsZone(o.Zone, j.TasksByZone)
}

// addRental adds machines to a rental of the same kind for the same block, if there is one.
func (p *planner) addRental(rental Rental) {
	for i, r := range p.plan.Rent {
		if r.Offer == rental.Offer && r.Block == rental.Block {
			p.plan.Rent[i].Count += rental.Count
			return
		}
	}
	p.plan.Rent = append(p.plan.Rent, rental)
}
