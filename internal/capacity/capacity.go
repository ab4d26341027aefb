// Package capacity decides where machines belong and how many there should be:
// which block a free machine goes to, which machines are asked back, and what
// is rented and returned. It is pure: the time is handed in.
package capacity

import (
	"slices"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// Job is an unfinished job, as far as capacity is concerned.
type Job struct {
	placement.Job
	Block     int
	Remaining int
	Running   int           // of these, as far as is known
	Deadline  core.WallTime // 0: none
	// ReadySoon: it waits for jobs that run. It claims what is free once all others have, and
	// is rented for, so that machines are up when it may run; none is given to its block
	// before.
	ReadySoon bool
	// HasDependencies: it waited for others, so it was expected before it could run.
	HasDependencies bool
}

// Machine is a machine of a block or of the pool.
type Machine struct {
	ID       core.MachineID
	Type     string
	Zone     string
	Spot     bool
	Block    int // NoBlock: in the pool
	Draining bool
	Ready    bool // it is known to have booted
	Idle     bool // its holder has nothing on it, as far as is known
	// BootOverdue: it should long have booted. It claims none of the waiting work, which
	// goes to others; if it comes, it takes its part.
	BootOverdue bool
	FreeFor     time.Duration // how long it has been in the pool
}

// NoBlock stands for the pool.
const NoBlock = -1

// Offer is a kind of machine that can be rented.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// Input is what a plan is made from.
type Input struct {
	Now               core.WallTime
	Jobs              []*Job
	Machines          []*Machine
	Types             map[string]api.MachineType
	TeamQuota         map[string]float64
	GangKinds         GangKinds
	UnavailableOffers map[Offer]bool // kinds that were refused lately
	IdleTimeout       time.Duration
	// Forecast is how much should stay although nobody claims it now, since so
	// much was wanted lately.
	Forecast Demand
}

// Rental is machines to be rented for a block.
type Rental struct {
	Offer
	Block int
	Count int
}

// Plan is what should be done.
type Plan struct {
	Assign map[core.MachineID]int // pool machines to blocks
	Drain  []core.MachineID       // machines to be asked back from their blocks
	Rent   []Rental
	Return []core.MachineID
	Demand Demand
}

type machineClaims struct {
	machine      *Machine
	free         placement.Resources
	block        int // for whom it is claimed
	claimed      bool
	tasks        int
	gangCPUs     float64 // CPUs claimed by gangs
	gangReserved bool    // of a kind that is kept for gangs
}

// arrayCPUs is what a machine has for arrays. Large machines that gangs are to take are
// no room for what may arrive: counted as such, they made up the whole level that
// is kept ready, and small ones went back just before the next burst.
func (p *planner) arrayCPUs(r *machineClaims) float64 {
	return p.input.Types[r.machine.Type].CPUs - r.gangCPUs
}

type planner struct {
	input       Input
	machines    []*machineClaims
	plan        Plan
	claimedCPUs map[string]float64
	// onDemandCPUs counts the CPUs of onDemandCPUs machines to be rented for work that
	// may use spot machines.
	onDemandCPUs float64
}

// MakePlan makes a plan: the unfinished jobs, oldest first, claim room on the
// machines; what is left over or missing decides.
func MakePlan(in Input) Plan {
	p := &planner{input: in, plan: Plan{Assign: map[core.MachineID]int{}}, claimedCPUs: map[string]float64{}, machines: claimableMachines(in)}
	readySoon := filter(sortForClaims(in.Jobs), func(j *Job) bool { return j.ReadySoon })
	ready := filter(sortForClaims(in.Jobs), func(j *Job) bool { return !j.ReadySoon })
	unmet := p.claimAll(ready)
	p.plan.Demand.MissingCPUs = p.missingCPUs(filter(in.Jobs, func(j *Job) bool { return !j.ReadySoon }))
	for _, u := range unmet {
		// Nothing is rented for a job that fails wherever it runs.
		if u.count > 0 && !u.job.Failing {
			p.rent(u.job, u.count)
		}
	}
	p.claimForReadySoon(readySoon)
	p.moveMachines()
	p.returnIdle()
	return p.plan
}

// claimableMachines lists the machines that can be claimed, the smallest first; of those that are
// alike, the ones that are up. One that still boots must not be given to a gang while one
// that is up stands idle.
func claimableMachines(in Input) (rooms []*machineClaims) {
	for _, m := range in.Machines {
		t, ok := in.Types[m.Type]
		if !ok || m.BootOverdue {
			continue
		}
		rooms = append(rooms, &machineClaims{machine: m, free: placement.CapacityOf(t), block: m.Block, gangReserved: in.GangKinds.Has(MachineKind{m.Type, m.Spot})})
	}
	sort.SliceStable(rooms, func(a, b int) bool {
		x, y := rooms[a], rooms[b]
		if x.free.CPUs != y.free.CPUs {
			return x.free.CPUs < y.free.CPUs
		}
		return x.machine.Ready && !y.machine.Ready
	})
	return rooms
}

// sortForClaims sorts jobs in the order in which they claim: gangs first, then by rank, those with
// a time, and age.
func sortForClaims(unsorted []*Job) []*Job {
	jobs := slices.Clone(unsorted)
	sort.SliceStable(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		switch {
		case x.Gang != y.Gang:
			return x.Gang
		case x.Rank != y.Rank:
			return x.Rank > y.Rank
		case x.TimeSensitive != y.TimeSensitive:
			return x.TimeSensitive
		case x.ReadyAt != y.ReadyAt:
			return x.ReadyAt < y.ReadyAt
		}
		return x.ID < y.ID
	})
	return jobs
}

// claimAll lets the jobs that may run claim room, and lists what found none: what has not
// begun for too long, gangs, arrays by rank, and idle-time work. That has what is left over,
// also in its own block: what it used there was no room for others, and they waited until it
// ended by itself.
func (p *planner) claimAll(jobs []*Job) []unmetTasks {
	starts := overdueStarts(jobs)
	jobs = mergeSimilar(jobs)
	unmet := p.claimForJobs(starts)
	unmet = append(unmet, p.claimForJobs(filter(jobs, func(j *Job) bool { return !j.Opportunistic() && j.Gang }))...)
	for rank := placement.TopRank; rank >= 0; rank-- {
		p.claimForRunning(filter(jobs, func(j *Job) bool { return j.Opportunistic() && !j.Gang && j.Rank == rank }))
		unmet = append(unmet, p.claimForJobs(filter(jobs, func(j *Job) bool { return !j.Opportunistic() && !j.Gang && j.Rank == rank }))...)
	}
	return append(unmet, p.claimForJobs(filter(jobs, func(j *Job) bool { return j.Opportunistic() }))...)
}

// moveMachines assigns claimed machines of the pool, and asks those back that another block claims.
func (p *planner) moveMachines() {
	for _, r := range p.machines {
		switch {
		case r.machine.Block == NoBlock && r.claimed && r.block != NoBlock:
			p.plan.Assign[r.machine.ID] = r.block
		case r.machine.Block != NoBlock && r.claimed && r.block != r.machine.Block && !r.machine.Draining:
			p.plan.Drain = append(p.plan.Drain, r.machine.ID)
		}
	}
}
