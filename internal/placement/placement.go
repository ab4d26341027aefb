// Package placement decides which waiting tasks start on which machines. It is
// pure: no input or output, and the time is handed in.
//
// It follows Backfill Balanced (Leinberger, Karypis, Kumar, TR 99-025), as
// adapted in docs/design.md: the oldest task takes the machine with the best
// balance or reserves one, as in EASY; later tasks fill in, best pair first.
package placement

import (
	"slices"
	"sort"
	"time"

	"lichenstair/internal/core"
)

// MaxTasks bounds the tasks on a machine, exited ones included: a worker's
// report names them all and may not be longer than a request body.
const MaxTasks = 450

// Release is an amount that is expected to become free.
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
	Booked   Resources
	Releases []Release
	Images   map[string]bool
	// Tasks counts what is on the machine, MaxTasks bounds it (0: no bound).
	Tasks    int
	MaxTasks int
	// GangReserved: the machine is kept for gangs, which do not fit elsewhere.
	GangReserved bool
	// GangTaskSize is what the largest task of those gangs needs, and BookedByArrays what is booked
	// by tasks of arrays.
	GangTaskSize, BookedByArrays Resources
	// RecentMinFree is what has been free on it for a while.
	RecentMinFree Resources
	// BusyFor is how long what runs on it now will last by estimate.
	BusyFor time.Duration
	// Draining: the machine is asked back and goes once it is empty.
	Draining bool
	// Unreliable: the machine has failed tasks lately; it is taken last.
	Unreliable bool
}

// full tells whether n more tasks are too many for the machine.
func (m *Machine) full(n int) bool { return m.MaxTasks > 0 && m.Tasks+n > m.MaxTasks }

// leavesGangRoom tells whether a task of an array takes nothing from the gangs for which the
// machine is kept: it leaves them room, and has ended by the time at which the machine
// could go to another block that has such a gang.
func (m *Machine) leavesGangRoom(j *Job) bool {
	return j.Estimate <= m.BusyFor && j.Need.Add(m.BookedByArrays).Add(m.GangTaskSize).Fits(m.Total)
}

// Free returns what is not booked.
func (m *Machine) Free() Resources { return m.Total.Sub(m.Booked) }

// Team is what a team uses and may use.
type Team struct {
	Used, Quota Resources
	// waitsForQuota was skipped because of the limit. What the team has left is for that job;
	// later ones must not take it away bit by bit.
	waitsForQuota *Job
}

// Allows tells whether the team's limit leaves room for a need.
func (t *Team) Allows(need Resources) bool { return t.Used.Add(need).FitsQuota(t.Quota) }

// WithholdsFrom tells whether what the team has left is not for a job, since a larger one is next.
func (t *Team) WithholdsFrom(j *Job) bool {
	return t.waitsForQuota != nil && t.waitsForQuota != j && !j.mayBypass(t.waitsForQuota)
}

// Start is a task of a job to be started on a machine.
type Start struct {
	Job     core.JobID
	Machine core.MachineID
}

// Result is what a pass decided.
type Result struct {
	Starts []Start
	// ReservedJob is the job that holds the reservation, if any.
	ReservedJob       core.JobID
	ReservedAt        core.Time
	ReservedResources map[core.MachineID]Resources
}

// Policy chooses between the ordinary path and what it is compared with.
type Policy struct {
	FirstFit      bool
	NoReservation bool
}

type pass struct {
	now        core.Time
	policy     Policy
	machines   []*Machine
	candidates []*Machine // those with room for the smallest need of any job
	teams      map[string]*Team
	result     Result
}

// findCandidates leaves out the machines on which nothing can start in this pass: in a
// busy block those are nearly all, and each job would look at them again.
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
			p.candidates = append(p.candidates, m)
		}
	}
}

// Schedule decides what can start now. It changes machines, jobs and teams as if
// the tasks had been started.
func Schedule(now core.Time, machines []*Machine, jobs []*Job, teams map[string]*Team, policy Policy) Result {
	p := &pass{now: now, policy: policy, machines: machines, teams: teams}
	Sort(jobs)
	p.findCandidates(jobs)
	rest := jobs
	for len(rest) > 0 && p.result.ReservedJob == "" {
		p.scheduleHead(rest[0])
		rest = rest[1:]
	}
	p.backfill(rest)
	return p.result
}

// scheduleHead starts what it can of the oldest job, and reserves for the rest of it.
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

// startArrayTasks starts tasks of the oldest array, each on its best machine, as long as
// machines have room. It tells false if the team's limit was met first.
func (p *pass) startArrayTasks(j *Job) bool {
	var ranked *ranking
	if !j.OneZone && !j.SpreadZones && !p.policy.FirstFit {
		ranked = p.rank(j)
	}
	for j.Waiting > 0 {
		if !p.hasQuota(j, 1) {
			return false
		}
		var m *Machine
		if ranked != nil {
			m = ranked.best(p)
		} else {
			m, _ = p.best(j, p.free)
		}
		if m == nil {
			break
		}
		p.start(j, m)
	}
	return true
}

func (p *pass) hasQuota(j *Job, tasks int) bool {
	t := p.teams[j.Team]
	if t == nil {
		return false
	}
	if t.WithholdsFrom(j) {
		return false
	}
	if !t.Allows(j.Need.Scale(float64(tasks))) {
		if t.waitsForQuota == nil {
			t.waitsForQuota = j
		}
		return false
	}
	return true
}

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

type freeFunc func(m *Machine) Resources

func (p *pass) free(m *Machine) Resources { return m.Free() }

// freeAt estimates what is free at a time.
func (m *Machine) freeAt(at core.Time) Resources {
	free := m.Free()
	for _, r := range m.Releases {
		if r.At <= at {
			free = free.Add(r.Resources)
		}
	}
	return free
}

// reserve holds the machines that can take the head job soonest by estimate. What
// is free only grows with time, so the first time at which it fits is found by
// halving.
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
