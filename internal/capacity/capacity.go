// Package capacity decides where machines belong and how many there should be: which block a free
// machine is assigned to, which machines are drained, and what is rented and returned. It is pure:
// the time is an argument.
//
// A block is the jobs of some teams and the machines assigned to them. One controller, the holder of
// the block, schedules it. The pool has the machines that are assigned to no block.
package capacity

import (
	"slices"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// Job is an unfinished job as capacity planning sees it.
type Job struct {
	placement.Job
	Block     int           // of the job's team
	Remaining int           // tasks that are not done
	Running   int           // those of them that run, as far as is known
	Deadline  core.WallTime // the earliest due time (0: none)
	// ReadySoon is set while the job waits for jobs that run. It claims what is left once all ready
	// jobs have claimed, and machines are rented for it, so that they have booted when it may run;
	// until then none is assigned to its block.
	ReadySoon bool
	// HasDependencies is set if the job waited for others, so it was known before it could run.
	HasDependencies bool
}

// Machine is a machine of a block or of the pool.
type Machine struct {
	ID       core.MachineID
	Type     string
	Zone     string
	Spot     bool
	Block    int  // NoBlock: in the pool
	Draining bool // leaves its block once it is empty
	Ready    bool // known to have booted
	Idle     bool // nothing is booked on it, as far as its block's holder knows
	// BootOverdue is set if the machine should have booted long ago. It claims no waiting work,
	// which goes to others; once it has booted it is planned on again.
	BootOverdue bool
	FreeFor     time.Duration // how long it has been in the pool
}

// NoBlock is the block number of the pool.
const NoBlock = -1

// Offer is a kind of machine (see MachineKind) in a zone, as the cloud rents it out.
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
	TeamQuota         map[string]float64 // CPUs
	GangKinds         GangKinds
	UnavailableOffers map[Offer]bool // refused recently, or with stalled boots
	IdleTimeout       time.Duration  // in the pool, before a machine is returned
	// Forecast is the demand for which machines are kept ready although no job claims them now,
	// because as much was needed recently.
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
	Drain  []core.MachineID       // to be drained from their blocks
	Rent   []Rental
	Return []core.MachineID // to the cloud
	Demand Demand           // at present; DemandTrend makes the forecast from it
}

// machineClaims is a machine and what jobs have claimed of it.
type machineClaims struct {
	machine      *Machine
	free         placement.Resources
	block        int // of the job that claims it, else its own
	claimed      bool
	tasks        int
	gangCPUs     float64 // claimed by gangs
	gangReserved bool    // of a kind that is reserved for gangs
}

// arrayCPUs is what a machine has for arrays. Large machines that gangs are to use are no room for
// arrays to come: counted as such, they covered the whole forecast, and small machines were returned
// just before the next burst.
func (p *planner) arrayCPUs(r *machineClaims) float64 {
	return p.input.Types[r.machine.Type].CPUs - r.gangCPUs
}

// planner is the state while a plan is made.
type planner struct {
	input       Input
	machines    []*machineClaims
	plan        Plan
	claimedCPUs map[string]float64 // by team
	// onDemandCPUs counts the CPUs of on-demand machines to be rented for work that may use spot
	// machines.
	onDemandCPUs float64
}

// MakePlan makes a plan. The unfinished jobs claim room on the machines in the order of claimAll.
// Machines are rented for tasks without room, and those of the pool that stay unclaimed are
// returned unless the forecast needs them.
func MakePlan(in Input) Plan {
	p := &planner{input: in, plan: Plan{Assign: map[core.MachineID]int{}}, claimedCPUs: map[string]float64{}, machines: claimableMachines(in)}
	readySoon := filter(sortForClaims(in.Jobs), func(j *Job) bool { return j.ReadySoon })
	ready := filter(sortForClaims(in.Jobs), func(j *Job) bool { return !j.ReadySoon })
	unmet := p.claimAll(ready)
	p.plan.Demand.MissingCPUs = p.missingCPUs(filter(in.Jobs, func(j *Job) bool { return !j.ReadySoon }))
	for _, u := range unmet {
		// Nothing is rented for a job that fails on every machine.
		if u.count > 0 && !u.job.Failing {
			p.rent(u.job, u.count)
		}
	}
	p.claimForReadySoon(readySoon)
	p.moveMachines()
	p.returnIdle()
	return p.plan
}

// claimableMachines lists the machines that can be claimed, the smallest first, and among equal
// ones those that have booted. A gang must not get a machine that still boots while one that has
// booted is idle.
func claimableMachines(in Input) (claimable []*machineClaims) {
	for _, m := range in.Machines {
		t, ok := in.Types[m.Type]
		if !ok || m.BootOverdue {
			continue
		}
		claimable = append(claimable, &machineClaims{machine: m, free: placement.CapacityOf(t), block: m.Block, gangReserved: in.GangKinds.Has(MachineKind{m.Type, m.Spot})})
	}
	sort.SliceStable(claimable, func(a, b int) bool {
		x, y := claimable[a], claimable[b]
		if x.free.CPUs != y.free.CPUs {
			return x.free.CPUs < y.free.CPUs
		}
		return x.machine.Ready && !y.machine.Ready
	})
	return claimable
}

// sortForClaims sorts jobs in the order in which they claim room: gangs first, then by rank,
// time-sensitive jobs first, then by age.
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

// claimAll lets the ready jobs claim room, and lists the tasks that found none. The order is:
// overdue jobs that have not started, gangs, arrays by rank, opportunistic work. Opportunistic work
// gets what is left, in its own block too: when the machines that it used there did not count as
// room for other work, that work waited until it ended by itself.
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

// moveMachines assigns claimed machines of the pool, and drains those of a block that another block
// claims.
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
