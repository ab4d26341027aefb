package placement

import (
	"cmp"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// Starvation is how long a job that has no task on a machine has been waiting, in levels.
type Starvation int

const (
	// NotStarving is the normal level; no exception applies.
	NotStarving Starvation = iota
	// Starving jobs may start one task in the room that gangs leave on machines reserved for them.
	Starving
	// Starved jobs may start one task on any machine that has had room for a while, even if a gang
	// could use the machine or it is being drained for another block. The task may also use what
	// remains of its team's quota although a larger job of the team is next.
	Starved
)

// Job is a job with waiting tasks.
type Job struct {
	ID   core.JobID
	Team string
	Rank int // higher is scheduled first
	// ReadyAt is the time since which the job may run.
	ReadyAt     core.WallTime
	Need        Resources // of one task
	Gang        bool      // all tasks start at once; other jobs are arrays
	Tasks       int       // all tasks of the job
	Waiting     int       // tasks that wait for a machine
	Types       []string  // allowed machine types (nil: all)
	Zone        string    // required zone ("": any)
	OneZone     bool      // all tasks must be in the same zone
	SpreadZones bool      // no zone may have more than half of the tasks, rounded up
	Spot        bool      // may use spot machines
	Image       string    // container image
	// Estimate is the expected run time of one task.
	Estimate time.Duration
	// TasksByZone counts the job's tasks that are on machines, by zone. It is needed only with
	// OneZone or SpreadZones.
	TasksByZone map[string]int
	// ExcludedMachines are machines on which the job must not be tried for now.
	ExcludedMachines map[core.MachineID]bool
	// GangMachinesOnly is set if the job's tasks fit only on machines that are reserved for gangs.
	GangMachinesOnly bool
	// MissedDueTimes counts the due times that the job misses or is deferred past, the earliest
	// first; jobs with fewer are scheduled first. The caller sets it to a high number for a job that
	// can meet none of its objectives.
	MissedDueTimes int
	// Timing is set for arrays that have a due time.
	Timing Timing
	// TimeSensitive is set if users have stated by when the job should start or be complete, or if
	// it is within a guarantee.
	TimeSensitive bool
	// Overdue is set if the job has waited so long without having started that it is scheduled
	// before all other jobs of its rank.
	Overdue bool
	// Starvation is the job's level of starvation while it has nothing running.
	Starvation Starvation
	// Failing is set if the job has failed on several machines and none of its tasks has succeeded.
	// It may use free room but holds no reservation.
	Failing bool
	// Guaranteed is set if the job fits into the CPUs guaranteed to its team. What a team uses
	// beyond them is borrowed.
	Guaranteed bool
	// QueueTime is the job's position in the queue if it differs from ReadyAt; 0 means ReadyAt.
	QueueTime core.WallTime
}

// Opportunistic reports whether the job is of the lowest rank and not time-sensitive, so that it
// uses only what others leave.
func (j *Job) Opportunistic() bool { return !j.TimeSensitive && j.Rank == Rank(api.RankBestEffort) }

// queueTime is the job's position among jobs that are equal in all other respects.
func (j *Job) queueTime() core.WallTime { return cmp.Or(j.QueueTime, j.ReadyAt) }

// compareInQueue orders jobs that are equal in rank and timing: work within a guarantee before
// borrowed work, then the oldest first.
func compareInQueue(a, b *Job) int {
	switch {
	case a.Guaranteed != b.Guaranteed && a.Guaranteed:
		return -1
	case a.Guaranteed != b.Guaranteed:
		return 1
	}
	return cmp.Or(cmp.Compare(a.queueTime(), b.queueTime()), cmp.Compare(a.ID, b.ID))
}

// NewJob describes a job from its specification. The caller adds the state of its tasks.
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

// Placeable reports whether all tasks of the job could be on machines at the same time, as far as
// zones are concerned: tasks that must be spread need two zones.
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

// TopRank is above all ranks that users can state. Overdue jobs get it.
const TopRank = 4

// Rank is the numeric value of a rank's name; higher is scheduled first.
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

// Sort orders jobs for scheduling: by rank; jobs that have waited too long without a start; starved
// arrays; jobs that can still be in time before those that cannot; time-sensitive jobs before
// others; work within a guarantee before borrowed work; then the oldest first.
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

// Allows reports whether a task of the job may run on a machine of this type and zone, spot or
// on-demand, regardless of the job's other tasks.
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

// AllowsZone reports whether one more task may go to a zone, given the number of the job's tasks in
// each zone.
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

// mayBypass reports whether the job may use what remains of the team's quota although a larger job
// that does not fit into it is next. One task of a job that has nothing running delays the larger
// job little. A gang of several tasks delays it by its whole run time, so it must not bypass an
// overdue job.
func (j *Job) mayBypass(next *Job) bool {
	return j.Starvation == Starved && (!j.Gang || j.Tasks == 1 || !next.Overdue)
}

// startsFirst reports whether one task of the job is scheduled first within its rank. Without this
// rule a starved array whose zone was full stayed behind other jobs although a machine of another
// block had room.
func (j *Job) startsFirst() bool { return j.Starvation == Starved && !j.Gang }

// canRunOn reports whether one more task of an array fits on a machine, regardless of the zones of
// its other tasks.
func (j *Job) canRunOn(m *Machine, free Resources) bool {
	return !m.full(1) && j.mayUse(m) && j.Need.Fits(free) && j.Allows(m.Type, m.Zone, m.Spot) && !j.ExcludedMachines[m.ID]
}

// mayUse reports whether an array may use a machine in spite of what the machine is reserved for.
func (j *Job) mayUse(m *Machine) bool {
	if j.Starvation == Starved && j.Need.Fits(m.RecentMinFree) {
		return true
	}
	if m.Draining {
		return false
	}
	return !m.GangReserved || j.GangMachinesOnly || j.Starvation != NotStarving && m.leavesGangRoom(j)
}

// gangMayUse is mayUse for a gang, which may use machines that are reserved for gangs.
func (j *Job) gangMayUse(m *Machine) bool {
	return !m.Draining || j.Starvation == Starved && j.Need.Fits(m.RecentMinFree)
}
