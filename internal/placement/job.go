package placement

import (
	"cmp"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// Starvation tells how far the wait of a job that has no task on a machine has gone.
type Starvation int

const (
	// NotStarving: the job waits as jobs do.
	NotStarving Starvation = iota
	// Starving: one of its tasks may take what gangs leave of the machines that are
	// reserved for them.
	Starving
	// Starved: one of its tasks may take any machine that has had room for a while, also
	// one that a gang could use or that another block asks for, and what its team has left
	// although a larger job is next.
	Starved
)

// Job is a job with waiting tasks.
type Job struct {
	ID          core.JobID
	Team        string
	Rank        int // higher goes first
	ReadyAt     core.WallTime
	Need        Resources
	Gang        bool
	Tasks       int // all tasks of the job
	Waiting     int // tasks that wait
	Types       []string
	Zone        string
	OneZone     bool
	SpreadZones bool
	Spot        bool
	Image       string
	Estimate    time.Duration
	// TasksByZone counts the job's tasks that are on machines, by zone.
	TasksByZone map[string]int
	// ExcludedMachines names machines on which the job must not be tried for now.
	ExcludedMachines map[core.MachineID]bool
	// GangMachinesOnly: the job's tasks fit only on machines that are kept for gangs.
	GangMachinesOnly bool
	// MissedDueTimes counts the aims on the job's time that it misses or gives way in.
	MissedDueTimes int
	// Timing is set for arrays that have a deadline.
	Timing Timing
	// TimeSensitive: its users have stated by when it should begin or be complete, or it is
	// within a guarantee.
	TimeSensitive bool
	// Overdue: the job has waited so long without having begun that its start
	// goes before all else of its rank.
	Overdue bool
	// Starvation tells how far its wait with nothing running has gone.
	Starvation Starvation
	// Failing: the job has only failed so far. It takes room that is free, and holds
	// none.
	Failing bool
	// Guaranteed: the job fits into what its team is guaranteed.
	Guaranteed bool
	// QueueTime is the job's place in line, if it is not that of its age (0: it is).
	QueueTime core.WallTime
}

// Opportunistic tells whether it is idle-time work: of the lowest rank, and nobody has stated a
// time for it.
func (j *Job) Opportunistic() bool { return !j.TimeSensitive && j.Rank == Rank(api.RankBestEffort) }

// queueTime is the job's place in line among those that are equal else.
func (j *Job) queueTime() core.WallTime { return cmp.Or(j.QueueTime, j.ReadyAt) }

// compareInQueue orders jobs that are equal in rank and timing: work within a guarantee
// before borrowed, then the oldest first.
func compareInQueue(a, b *Job) int {
	switch {
	case a.Guaranteed != b.Guaranteed && a.Guaranteed:
		return -1
	case a.Guaranteed != b.Guaranteed:
		return 1
	}
	return cmp.Or(cmp.Compare(a.queueTime(), b.queueTime()), cmp.Compare(a.ID, b.ID))
}

// NewJob describes a job from its specification; what has happened to it so far
// is for the caller to add.
func NewJob(id core.JobID, readyAt core.WallTime, spec *api.Job) Job {
	j := Job{
		ID: id, Team: spec.Team, Rank: Rank(spec.Rank), ReadyAt: readyAt, Need: Resources{spec.CPUs, spec.GPUs, spec.MemoryGB},
		Gang: spec.Form == api.FormGang, Tasks: spec.Tasks, Types: spec.Types, OneZone: spec.OneZone, SpreadZones: spec.SpreadZones,
		Spot: spec.Spot, Image: spec.Image, Estimate: core.Seconds(spec.EstimateS),
	}
	if spec.Zone != nil {
		j.Zone = *spec.Zone
	}
	return j
}

// Placeable tells whether all tasks of the job could be on machines at the same time, as
// far as zones go: those that have to be spread need two zones.
func (j *Job) Placeable(types map[string]api.MachineType) bool {
	if !j.SpreadZones || j.Tasks < 2 {
		return true
	}
	zones := map[string]bool{}
	for name, t := range types {
		for _, zone := range t.Zones {
			if j.Need.Fits(CapacityOf(t)) && j.Allows(name, zone, false) {
				zones[zone] = true
			}
		}
	}
	return len(zones) > 1
}

// TopRank is above all ranks that users can state.
const TopRank = 4

// Rank is the place of a stated rank; higher goes first.
func Rank(name string) int {
	switch name {
	case api.RankProduction:
		return 3
	case api.RankHigh:
		return 2
	case api.RankStandard:
		return 1
	}
	return 0
}

// Sort puts jobs into the order in which they are served: by rank, those that have
// waited too long with nothing running, those that
// can still be in time before those that cannot, those with a time before those that
// nobody waits for, work within a guarantee before borrowed, then the oldest first.
func Sort(jobs []*Job) {
	sort.SliceStable(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		switch {
		case x.Rank != y.Rank:
			return x.Rank > y.Rank
		case x.Overdue != y.Overdue:
			return x.Overdue
		case x.startsFirst() != y.startsFirst():
			return x.startsFirst()
		case x.MissedDueTimes != y.MissedDueTimes:
			return x.MissedDueTimes < y.MissedDueTimes
		case x.TimeSensitive != y.TimeSensitive:
			return x.TimeSensitive
		}
		return compareInQueue(x, y) < 0
	})
}

// Allows tells whether a task of the job may be on a machine like this one,
// the job's other tasks aside.
func (j *Job) Allows(typ, zone string, spot bool) bool {
	if spot && !j.Spot || j.Zone != "" && j.Zone != zone {
		return false
	}
	if j.Types == nil {
		return true
	}
	for _, t := range j.Types {
		if t == typ {
			return true
		}
	}
	return false
}

// AllowsZone tells whether one more task may go to a zone.
func (j *Job) AllowsZone(zone string, zones map[string]int) bool {
	if j.OneZone {
		for z, n := range zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	if j.SpreadZones && zones[zone]+1 > (j.Tasks+1)/2 {
		return false
	}
	return true
}

// mayBypass tells whether the job may use what its team has left although a larger one that
// does not fit into it is next. One task of a job that has nothing running delays that
// one by little; a gang of several, by as much as it takes, so not if it is overdue.
func (j *Job) mayBypass(next *Job) bool {
	return j.Starvation == Starved && (!j.Gang || j.Tasks == 1 || !next.Overdue)
}

// startsFirst tells whether the job's one task is served first of its rank. One whose zone
// was full stood behind others, while a machine of another block had room.
func (j *Job) startsFirst() bool { return j.Starvation == Starved && !j.Gang }

// canRunOn tells whether one more task of an array could be on a machine, its zones
// aside.
func (j *Job) canRunOn(m *Machine, free Resources) bool {
	return !m.full(1) && j.mayUse(m) && j.Need.Fits(free) && j.Allows(m.Type, m.Zone, m.Spot) && !j.ExcludedMachines[m.ID]
}

// mayUse tells whether an array may use a machine in spite of what the machine is
// reserved for.
func (j *Job) mayUse(m *Machine) bool {
	if j.Starvation == Starved && j.Need.Fits(m.RecentMinFree) {
		return true
	}
	if m.Draining {
		return false
	}
	return !m.GangReserved || j.GangMachinesOnly || j.Starvation != NotStarving && m.leavesGangRoom(j)
}

// gangMayUse is mayUse for a gang: machines are kept for gangs.
func (j *Job) gangMayUse(m *Machine) bool {
	return !m.Draining || j.Starvation == Starved && j.Need.Fits(m.RecentMinFree)
}
