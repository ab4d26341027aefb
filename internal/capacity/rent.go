package capacity

import (
	"math"
	"slices"
	"sort"

	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// returnIdle returns machines that have been in the pool for longer than the idle time-out, the
// most expensive first, as long as enough remain, and rents machines to be kept ready.
func (p *planner) returnIdle() {
	available := struct{ GangMachines, CPUs float64 }{}
	var idle []*machineClaims
	cost := func(r *machineClaims) float64 {
		t := p.input.Types[r.machine.Type]
		if r.machine.Spot {
			return t.SpotPrice / t.CPUs
		}
		return t.Price / t.CPUs
	}
	for _, r := range p.machines {
		if r.gangReserved {
			available.GangMachines++
			if r.claimed {
				p.plan.Demand.GangMachines++
			}
		} else {
			available.CPUs += p.arrayCPUs(r)
		}
		if r.machine.Block == NoBlock && !r.claimed && r.machine.FreeFor >= p.input.IdleTimeout {
			idle = append(idle, r)
		}
	}
	sort.SliceStable(idle, func(a, b int) bool { return cost(idle[a]) > cost(idle[b]) })
	for _, r := range idle {
		if p.input.GangKinds.Has(MachineKind{r.machine.Type, r.machine.Spot}) {
			if available.GangMachines-1 < p.plan.Demand.GangMachines+p.gangStandby(r.machine.Type) {
				continue
			}
			available.GangMachines--
		} else {
			cpus := p.input.Types[r.machine.Type].CPUs
			// The forecast decays but never reaches zero: half a machine counts as none.
			if r.machine.Spot && available.CPUs-cpus < p.input.Forecast.SpotCPUs-cpus/2 {
				continue
			}
			available.CPUs -= cpus
		}
		p.plan.Return = append(p.plan.Return, r.machine.ID)
	}
	p.rentSpotStandby(available.CPUs)
	p.rentGangStandby(available.GangMachines)
}

// gangStandby is how many gang-reserved machines of a type should be ready beyond those that are
// needed now: as many as arriving gangs probably need while one boots.
func (p *planner) gangStandby(typ string) float64 {
	return math.Round(p.input.Forecast.GangRate * (1.2*p.input.Types[typ].BootS + 3))
}

// rentGangStandby rents the cheapest gang-reserved machines, so that enough are ready.
func (p *planner) rentGangStandby(available float64) {
	var best Offer
	cost := math.Inf(1)
	for kind := range p.input.GangKinds {
		t := p.input.Types[kind.Type]
		price := t.Price
		if kind.Spot {
			price = t.SpotPrice
		}
		for _, zone := range t.Zones {
			o := Offer{kind.Type, zone, kind.Spot}
			if p.input.UnavailableOffers[o] || p.plan.Demand.GangMachines+p.gangStandby(kind.Type) <= available {
				continue
			}
			if price < cost-1e-9 || price < cost+1e-9 && kind.Type+zone < best.Type+best.Zone {
				best, cost = o, price
			}
		}
	}
	if best.Type != "" {
		p.plan.Rent = append(p.plan.Rent, Rental{best, NoBlock, int(min(p.plan.Demand.GangMachines+p.gangStandby(best.Type)-available, 5))})
	}
}

// rentSpotStandby rents the spot machines that are cheapest by CPU, up to the forecast.
func (p *planner) rentSpotStandby(available float64) {
	var best Offer
	cost := math.Inf(1)
	for _, name := range core.SortedKeys(p.input.Types) {
		t := p.input.Types[name]
		for _, zone := range t.Zones {
			o := Offer{name, zone, true}
			if c := t.SpotPrice / t.CPUs; c < cost-1e-9 && !p.input.UnavailableOffers[o] && !p.input.GangKinds.Has(MachineKind{name, true}) && available+t.CPUs/2 < p.input.Forecast.SpotCPUs {
				best, cost = o, c
			}
		}
	}
	if best.Type == "" || len(p.plan.Rent) > 0 {
		return
	}
	n := int(math.Ceil((p.input.Forecast.SpotCPUs - available) / p.input.Types[best.Type].CPUs))
	p.plan.Rent = append(p.plan.Rent, Rental{best, NoBlock, min(n, 10)})
}

// scarcityFactor is how many times the available CPUs must be in demand before on-demand machines
// are rented without limit for work that may use spot machines.
const scarcityFactor = 3

// timeInsensitiveShare limits the on-demand machines for work that is not time-sensitive, whatever
// its rank: they may be rented for one in timeInsensitiveShare of its tasks.
const timeInsensitiveShare = 8

// onDemandBudget returns how many CPUs of on-demand machines may be rented for a job. For work that
// may use spot machines they cost about three times as much, and the tasks that wait for them are
// mostly done before one has booted. Therefore, unless hardly any CPUs are available, they are
// rented only as far as CPUs have been missing for a while for arrays to be complete in time. Work
// within a guarantee gets what it needs: users count on it at once, and pipeline steps waited for
// spot machines that were unavailable.
func (p *planner) onDemandBudget(j *Job) float64 {
	if j.Gang || !j.Spot || j.Guaranteed {
		return math.Inf(1)
	}
	available := 0.0
	for _, r := range p.machines {
		if (!r.gangReserved || j.GangMachinesOnly) && j.Allows(r.machine.Type, r.machine.Zone, r.machine.Spot) {
			available += p.arrayCPUs(r)
		}
	}
	if !j.TimeSensitive {
		// No user waits for the job: it uses idle and cheap machines. Only where these have next to
		// no CPUs it gets a few on-demand machines, so that it is served at all.
		return float64(j.Remaining)*j.Need.CPUs/timeInsensitiveShare - available - p.onDemandCPUs
	}
	if p.plan.Demand.SpotCPUs > scarcityFactor*available {
		return math.Inf(1)
	}
	return p.input.Forecast.MissingCPUs - p.onDemandCPUs
}

// missingCPUs estimates how many more CPUs would bring those arrays in time that cannot be with the
// available machines although their teams' quotas would allow it.
func (p *planner) missingCPUs(jobs []*Job) (cpus float64) {
	byTeam := map[string][]*placement.Job{}
	for _, j := range jobs {
		if !j.Gang && j.Spot && j.Deadline > 0 && j.Remaining > 0 && !j.Failing {
			j.MissedDueTimes = 0
			j.Timing = placement.Timing{Due: []core.WallTime{j.Deadline}, Work: float64(j.Remaining) * j.Need.CPUs * j.Estimate.Seconds()}
			byTeam[j.Team] = append(byTeam[j.Team], &j.Job)
		}
	}
	var feasible []*placement.Job
	for _, team := range core.SortedKeys(byTeam) {
		placement.Defer(p.input.Now, p.input.TeamQuota[team], 0, byTeam[team])
		for _, j := range byTeam[team] {
			if j.MissedDueTimes == 0 {
				feasible = append(feasible, j)
			}
		}
	}
	available := 0.0
	for _, r := range p.machines {
		if !r.gangReserved {
			available += p.arrayCPUs(r)
		}
	}
	for _, j := range jobs {
		// CPUs that opportunistic work uses for minutes are no room for time-sensitive jobs: an
		// array with a target of 400 s waited 280 s behind it.
		if j.Opportunistic() && !j.Gang {
			available -= float64(j.Running) * j.Need.CPUs
		}
	}
	for rank := placement.TopRank; rank >= 0; rank-- {
		queue := slices.DeleteFunc(slices.Clone(feasible), func(j *placement.Job) bool { return j.Rank != rank })
		placement.Defer(p.input.Now, max(available, 0), 0, queue)
		for _, j := range queue {
			secondsLeft := float64(j.Timing.Due[0]-p.input.Now) / 1000
			switch {
			case secondsLeft <= 0:
			case j.MissedDueTimes > 0:
				cpus += j.Timing.Work / secondsLeft
			default:
				// CPUs that jobs of a higher rank use are not available to others, however much
				// time all of them have.
				available -= min(j.Timing.Work/secondsLeft/usableTimeShare, float64(j.Tasks)*j.Need.CPUs)
			}
		}
	}
	return cpus
}

// rentalOption is an offer that could be rented for a job.
type rentalOption struct {
	offer           Offer
	tasksPerMachine int     // of the job
	costPerTask     float64 // per hour
}

// cheaperThan reports whether an option costs less than another; equal ones are ordered by name.
func (c rentalOption) cheaperThan(than rentalOption) bool {
	const same = 1e-9
	if c.costPerTask < than.costPerTask-same {
		return true
	}
	return c.costPerTask < than.costPerTask+same && c.offer.Type+c.offer.Zone < than.offer.Type+than.offer.Zone
}

// rent adds the cheapest machines that take n tasks of a job to the plan, and claims them. For a
// job whose tasks must be spread it rents in as many zones as needed.
func (p *planner) rent(j *Job, n int) {
	budget := p.onDemandBudget(j)
	best, ok := p.cheapest(j, n, budget)
	if !ok {
		return
	}
	t := p.input.Types[best.offer.Type]
	count := min((n+best.tasksPerMachine-1)/best.tasksPerMachine, maxRental)
	if !best.offer.Spot && !j.Gang && j.Spot && !j.Guaranteed {
		count = int(min(float64(count), budget/t.CPUs))
		p.onDemandCPUs += float64(count) * t.CPUs
	}
	if j.SpreadZones {
		count = min(count, (j.Tasks+1)/2)
	}
	for i := range count {
		// The ID is a placeholder: the cloud gives IDs when it rents the machines out.
		p.machines = append(p.machines, &machineClaims{
			machine: &Machine{ID: core.MachineID("rented" + string(rune('0'+i))), Type: best.offer.Type, Zone: best.offer.Zone, Spot: best.offer.Spot, Block: j.Block},
			free:    placement.CapacityOf(t), block: j.Block, gangReserved: p.input.GangKinds.Has(MachineKind{best.offer.Type, best.offer.Spot}),
		})
	}
	p.addRental(Rental{best.offer, j.Block, count})
	left := n - p.claim(j, n, func(r *machineClaims) bool { return r.block == j.Block })
	if j.SpreadZones && left > 0 && left < n {
		p.rent(j, left) // the remaining tasks have to go to another zone
	}
}

// maxRental bounds the machines of one rental. The next plan can rent more, once it is known what
// the cloud has.
const maxRental = 10

// cheapest finds the offer that takes up to n tasks of a job at the lowest cost per task. budget is
// how many CPUs of on-demand machines may be rented for it.
func (p *planner) cheapest(j *Job, n int, budget float64) (best rentalOption, found bool) {
	for _, name := range core.SortedKeys(p.input.Types) {
		t := p.input.Types[name]
		fit := tasksThatFit(j.Need, placement.CapacityOf(t), min(n, placement.MaxTasks))
		if fit == 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				offer := Offer{name, zone, spot}
				if !spot && budget < t.CPUs || !p.rentable(j, offer) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				c := rentalOption{offer, fit, price / float64(fit)}
				if !found || c.cheaperThan(best) {
					best, found = c, true
				}
			}
		}
	}
	return best, found
}

// tasksThatFit returns how many tasks that need so much each fit into room, at most most.
func tasksThatFit(need, room placement.Resources, most int) (n int) {
	for n < most && need.Fits(room) {
		room = room.Sub(need)
		n++
	}
	return n
}

// rentable reports whether an offer is available and suits a job.
func (p *planner) rentable(j *Job, o Offer) bool {
	return !p.input.UnavailableOffers[o] && !p.reservedFrom(j, o.Type, o.Spot) && j.Allows(o.Type, o.Zone, o.Spot) && j.AllowsZone(o.Zone, j.TasksByZone)
}

// addRental adds machines to the rental of the same offer for the same block, if there is one, else
// adds a rental.
func (p *planner) addRental(rental Rental) {
	for i, r := range p.plan.Rent {
		if r.Offer == rental.Offer && r.Block == rental.Block {
			p.plan.Rent[i].Count += rental.Count
			return
		}
	}
	p.plan.Rent = append(p.plan.Rent, rental)
}
