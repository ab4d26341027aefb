// Package placement decides which waiting tasks start on which machines. It is pure: it does no
// input or output, and the time is an argument.
//
// It follows Backfill Balanced (Leinberger, Karypis, Kumar, TR 99-025), as adapted in
// docs/design.md: the task at the head of the queue takes the machine with the best balance or
// reserves one, as in EASY; later tasks are backfilled, the best pair of task and machine first.
package placement

import (
	"slices"
	"sort"
	"time"

	"lichenstair/internal/core"
)

// MaxTasks bounds the tasks on a machine, exited ones included: a worker's report lists all of them
// and must not exceed the maximum size of a request body.
const MaxTasks = 450

// Release is an amount of resources that is expected to become free at a time.
type Release struct {
	At        core.Time
	Resources Resources
}

// Machine is a machine on which tasks can be started.
type Machine struct {
	ID       core.MachineID
	Type     string
	Zone     string
	Spot     bool
	Total    Resources
	Booked   Resources       // by tasks that run or are to start
	Releases []Release       // of what is booked, in no order
	Images   map[string]bool // present on the machine
	// Tasks counts the tasks on the machine, exited ones included; MaxTasks is its bound (0: no
	// bound).
	Tasks    int
	MaxTasks int
	// GangReserved is set if the machine is reserved for gangs that do not fit elsewhere.
	GangReserved bool
	// GangTaskSize is the need of the largest task of those gangs; BookedByArrays is what tasks of
	// arrays have booked.
	GangTaskSize, BookedByArrays Resources
	// RecentMinFree is the minimum of what has been free on the machine over a recent window.
	RecentMinFree Resources
	// BusyFor is the estimated time until the last task that runs on the machine now ends.
	BusyFor time.Duration
	// Draining is set if the machine leaves its block once it is empty.
	Draining bool
	// Unreliable is set if tasks have failed on the machine recently; it is used last.
	Unreliable bool

	index int32 // among the candidates of a pass
}

// full reports whether n more tasks would exceed the machine's bound on tasks.
func (m *Machine) full(n int) bool { return m.MaxTasks > 0 && m.Tasks+n > m.MaxTasks }

// leavesGangRoom reports whether a task of an array takes nothing from the gangs for which the
// machine is reserved: their largest task still fits beside all arrays, and the task ends before
// the machine could be empty and go to another block that has such a gang.
func (m *Machine) leavesGangRoom(j *Job) bool {
	return j.Estimate <= m.BusyFor && j.Need.Add(m.BookedByArrays).Add(m.GangTaskSize).Fits(m.Total)
}

// Free returns the resources that are not booked.
func (m *Machine) Free() Resources { return m.Total.Sub(m.Booked) }

// Team is a team's use of resources and its quota.
type Team struct {
	Used, Quota Resources
	// quotaWaiter is the first job that was skipped because of the quota. The rest of the quota is
	// withheld for it; otherwise smaller later jobs would use it up bit by bit.
	quotaWaiter *Job
}

// Allows reports whether a need fits into what remains of the team's quota.
func (t *Team) Allows(need Resources) bool { return t.Used.Add(need).FitsQuota(t.Quota) }

// WithholdsFrom reports whether the rest of the team's quota is withheld from a job because a
// larger one is next.
func (t *Team) WithholdsFrom(j *Job) bool {
	return t.quotaWaiter != nil && t.quotaWaiter != j && !j.mayBypass(t.quotaWaiter)
}

// Start is the decision to start one task of a job on a machine.
type Start struct {
	Job     core.JobID
	Machine core.MachineID
}

// Result holds the decisions of one scheduling pass.
type Result struct {
	Starts []Start
	// ReservedJob is the job that has the reservation, if any; ReservedAt is its estimated start
	// and ReservedResources what it reserves by machine.
	ReservedJob       core.JobID
	ReservedAt        core.Time
	ReservedResources map[core.MachineID]Resources
	// Unfinished is set if the pass ended early, since it had done enough work for a pass. Another
	// one should follow, which backfills from the job group NextGroup on.
	Unfinished bool
	NextGroup  int
}

// maxPassWork bounds the work of a pass, in ratings of a machine for a job. The caller's event loop
// stands still meanwhile.
const maxPassWork = 200_000

// Policy switches parts of the algorithm off, for comparison in tests and simulations.
type Policy struct {
	// FirstFit starts arrays in queue order, each task on the first machine that has room.
	FirstFit bool
	// NoReservation lets later jobs delay the job at the head of the queue.
	NoReservation bool
}

// pass is the state of one scheduling pass.
type pass struct {
	now      core.Time
	policy   Policy
	machines []*Machine
	// candidates are the machines with room for the smallest need of any job.
	candidates []*Machine
	teams      map[string]*Team
	result     Result
	work       int // ratings so far, see maxPassWork
}

// findCandidates leaves out the machines on which nothing can start in this pass. In a busy block
// these are nearly all, and otherwise every job would examine them again.
func (p *pass) findCandidates(jobs []*Job) {
	if len(jobs) == 0 {
		return
	}
	least := jobs[0].Need
	for _, j := range jobs {
		least = least.Min(j.Need)
	}
	for _, m := range p.machines {
		if !m.full(1) && least.Fits(m.Free()) {
			m.index = int32(len(p.candidates))
			p.candidates = append(p.candidates, m)
		}
	}
}

// Schedule decides what can start now. It sorts the jobs, and updates machines, jobs and teams as if
// the tasks had been started. firstGroup is the NextGroup of the pass before if that was unfinished,
// else 0.
func Schedule(now core.Time, machines []*Machine, jobs []*Job, teams map[string]*Team, policy Policy, firstGroup int) Result {
	p := &pass{now: now, policy: policy, machines: machines, teams: teams}
	Sort(jobs)
	p.findCandidates(jobs)
	rest := jobs
	for len(rest) > 0 && p.result.ReservedJob == "" {
		p.scheduleHead(rest[0])
		rest = rest[1:]
		if p.work > maxPassWork && len(p.result.Starts) > 0 {
			p.result.Unfinished, p.result.NextGroup = true, firstGroup
			return p.result
		}
	}
	p.backfill(rest, firstGroup)
	return p.result
}

// scheduleHead starts what it can of the job at the head of the queue, and makes a reservation for
// the rest of it.
func (p *pass) scheduleHead(j *Job) {
	if j.Gang {
		if !p.hasQuota(j, j.Waiting) {
			return
		}
		if picks := p.placeGang(p.candidates, j, p.free); picks != nil {
			for _, m := range picks {
				p.start(j, m)
			}
			return
		}
	} else {
		if !p.startArrayTasks(j) || j.Waiting == 0 {
			return
		}
	}
	if !p.policy.NoReservation && !j.Failing {
		p.reserve(j)
	}
}

// startArrayTasks starts tasks of an array at the head of the queue, each on its best machine, as
// long as machines have room. It returns false if the team's quota was exhausted first.
func (p *pass) startArrayTasks(j *Job) bool {
	if j.Waiting > 0 && !p.hasQuota(j, 1) {
		return false
	}
	ranked := p.rankMachines(j, p.free)
	for j.Waiting > 0 {
		if !p.hasQuota(j, 1) {
			return false
		}
		m, _ := ranked.best()
		if m == nil {
			break
		}
		p.start(j, m)
		ranked.update(m)
	}
	return true
}

// hasQuota reports whether the quota of the job's team admits so many tasks now. The first job that
// does not fit becomes the one for which the rest of the quota is withheld.
func (p *pass) hasQuota(j *Job, tasks int) bool {
	t := p.teams[j.Team]
	if t == nil {
		return false
	}
	if t.WithholdsFrom(j) {
		return false
	}
	if !t.Allows(j.Need.Scale(float64(tasks))) {
		if t.quotaWaiter == nil {
			t.quotaWaiter = j
		}
		return false
	}
	return true
}

// start books one task of a job on a machine and records the decision.
func (p *pass) start(j *Job, m *Machine) {
	m.Booked = m.Booked.Add(j.Need)
	if !j.Gang {
		m.BookedByArrays = m.BookedByArrays.Add(j.Need)
	}
	m.Tasks++
	m.Releases = append(m.Releases, Release{p.now.Add(j.Estimate), j.Need})
	if j.TasksByZone == nil {
		j.TasksByZone = map[string]int{}
	}
	j.TasksByZone[m.Zone]++
	j.Waiting--
	if t := p.teams[j.Team]; t != nil {
		t.Used = t.Used.Add(j.Need)
	}
	p.result.Starts = append(p.result.Starts, Start{j.ID, m.ID})
}

// freeFunc returns the resources of a machine that a job may use.
type freeFunc func(m *Machine) Resources

func (p *pass) free(m *Machine) Resources { return m.Free() }

// freeAt estimates what is free on the machine at a time.
func (m *Machine) freeAt(at core.Time) Resources {
	free := m.Free()
	for _, r := range m.Releases {
		if r.At <= at {
			free = free.Add(r.Resources)
		}
	}
	return free
}

// reserve reserves the machines on which the head job can start soonest by estimate. Free resources
// only grow with time, so the earliest release at which the job fits is found by binary search.
func (p *pass) reserve(j *Job) {
	var machines []*Machine
	var times []core.Time
	for _, m := range p.machines {
		if !j.Allows(m.Type, m.Zone, m.Spot) || !j.Need.Fits(m.Total) {
			continue
		}
		machines = append(machines, m)
		for _, r := range m.Releases {
			times = append(times, max(r.At, p.now))
		}
	}
	slices.Sort(times)
	times = slices.Compact(times)
	at := func(i int) []*Machine {
		free := func(m *Machine) Resources { return m.freeAt(times[i]) }
		if j.Gang {
			return p.placeGang(machines, j, free)
		}
		if m, _ := p.bestOf(machines, j, free); m != nil {
			return []*Machine{m}
		}
		return nil
	}
	i := sort.Search(len(times), func(i int) bool { return at(i) != nil })
	if i == len(times) {
		return
	}
	p.result.ReservedJob, p.result.ReservedAt, p.result.ReservedResources = j.ID, times[i], map[core.MachineID]Resources{}
	for _, m := range at(i) {
		p.result.ReservedResources[m.ID] = p.result.ReservedResources[m.ID].Add(j.Need)
	}
}
