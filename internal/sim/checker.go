package sim

import (
	"fmt"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// MachineInfo is a machine, as far as the rules care.
type MachineInfo struct {
	ID, Type, Zone string
	Spot           bool
}

// Checker is told what happens and checks every rule of the protocol. It is
// stricter than the rules in one point: a task counts as being on a machine
// from its start command on, not only once it has its image.
type Checker struct {
	Violations []string
	Starts     int
	// StartsAfterCancel counts tasks that were started after their user was told that the job
	// is cancelled. That breaks no rule until the cancellation's time is over.
	StartsAfterCancel int
	// OnStart, if set, is told of each task's start.
	OnStart func(job string)

	now    SimTime
	teams  map[string]config.Team
	cancel time.Duration
	jobs   map[string]*watched
	on     map[core.TaskID]map[string]MachineInfo
	cpus   map[string]float64
	gpus   map[string]float64
	polls  []pollResult
	due    SimTime
	calm   SimTime // since when all troubles are over; 0: they are not
}

type watched struct {
	spec      api.Job
	accepted  bool
	asked     bool
	final     string
	toldAt    SimTime
	done      map[int]bool
	failing   SimTime // since when all polls fail; 0: they do not
	anyFailed bool
	on        int
	ended     SimTime // when its last task completed; 0: not yet
	told      SimTime // when its user was first told that it is accepted
	answered  SimTime // when a question about it was last answered
	begun     bool
	begunAt   SimTime
	hopeless  bool
	beside    map[string]SimTime // machines with room for it, and since when it waits beside them
}

// NewChecker makes a checker for teams and the time a cancellation may take.
func NewChecker(teams []config.Team, cancel time.Duration) *Checker {
	c := &Checker{
		teams: map[string]config.Team{}, cancel: cancel, jobs: map[string]*watched{}, on: map[core.TaskID]map[string]MachineInfo{},
		cpus: map[string]float64{}, gpus: map[string]float64{},
	}
	for _, t := range teams {
		c.teams[t.Name] = t
	}
	return c
}

func (c *Checker) fail(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%.3f ", c.now.Seconds())+fmt.Sprintf(format, args...))
}

// Step checks what may not last, at a time.
func (c *Checker) Step(now SimTime) {
	c.now = now
	if now < c.due {
		return
	}
	c.due = now + 500*time.Millisecond
	for id, j := range c.jobs {
		if j.final == api.PhaseCancelled && j.on > 0 && now > j.toldAt+c.cancel {
			c.fail("ran_cancelled: %s is still on %d machines", id, j.on)
		}
		if c.calm > 0 && j.accepted && !c.cancelWanted(id) && now-max(j.answered, j.told, c.calm) > knownWithin {
			c.fail("forgotten: no question about %s has been answered for %s", id, knownWithin)
		}
	}
}

const (
	// knownWithin is how long after all troubles no job may go without an answer.
	knownWithin = 75 * time.Second
	// idleWithin is how long after all troubles a job may wait beside free capacity for it.
	idleWithin = 90 * time.Second
	// beginWithin is how long the largest jobs of a class may wait to begin.
	beginWithin = 4 * time.Minute
)

// FaultsEnded tells that all troubles are over.
func (c *Checker) FaultsEnded(now SimTime) { c.calm = now }

// Submitted tells of a job that its user is about to submit.
func (c *Checker) Submitted(spec api.Job) {
	c.jobs[spec.ID] = &watched{spec: spec, done: map[int]bool{}}
}

// CancelRequested tells that a user wants a job cancelled.
func (c *Checker) CancelRequested(id string) { c.jobs[id].asked = true }

// WithinLimits tells whether a team may use as much more.
func (c *Checker) WithinLimits(team string, cpus, gpus float64) bool {
	lim := c.teams[team]
	return c.cpus[team]+cpus <= lim.CPUsMax+1e-6 && c.gpus[team]+gpus <= lim.GPUsMax+1e-6
}

// TaskCompleted tells that a task has completed.
func (c *Checker) TaskCompleted(t core.TaskID) {
	if j := c.jobs[string(t.Job)]; j != nil {
		j.done[t.Index] = true
		if len(j.done) == j.spec.Tasks {
			j.ended = c.now
		}
	}
}

// TaskPlaced tells that a task starts on a machine.
func (c *Checker) TaskPlaced(t core.TaskID, p MachineInfo) {
	c.Starts++
	j := c.jobs[string(t.Job)]
	if j == nil {
		c.fail("invented: %s is started, its job was never submitted", t)
		return
	}
	if !j.begun {
		j.begun, j.begunAt = true, c.now
	}
	j.beside = nil // it waits no more
	if c.OnStart != nil {
		c.OnStart(string(t.Job))
	}
	if others := c.on[t]; len(others) > 0 {
		c.fail("ran_twice: %s starts on %s while it is on %v", t, p.ID, others)
	}
	if j.final == api.PhaseCancelled && c.now > j.toldAt+c.cancel {
		c.fail("ran_cancelled: %s starts on %s", t, p.ID)
	}
	if _, may := c.mayRun(j); !may {
		c.fail("too_early: %s starts before all jobs that it needs are done", t)
	}
	if j.final == api.PhaseCancelled {
		c.StartsAfterCancel++
	}
	c.place(j, t, p)
	if c.on[t] == nil {
		c.on[t] = map[string]MachineInfo{}
	}
	c.on[t][p.ID] = p
	j.on++
	team := j.spec.Team
	c.cpus[team] += j.spec.CPUs
	c.gpus[team] += j.spec.GPUs
	if lim := c.teams[team]; c.cpus[team] > lim.CPUsMax+1e-6 || c.gpus[team] > lim.GPUsMax+1e-6 {
		c.fail("quota: team %s uses %g CPUs and %g GPUs", team, c.cpus[team], c.gpus[team])
	}
}

func (c *Checker) place(j *watched, t core.TaskID, p MachineInfo) {
	s := j.spec
	allowed := s.Types == nil
	for _, typ := range s.Types {
		allowed = allowed || typ == p.Type
	}
	switch {
	case !allowed:
		c.fail("wrong_place: %s on type %s", t, p.Type)
	case s.Zone != nil && *s.Zone != p.Zone:
		c.fail("wrong_place: %s in zone %s", t, p.Zone)
	case p.Spot && !s.Spot:
		c.fail("wrong_place: %s on a spot machine", t)
	}
	if !s.OneZone && !s.SpreadZones {
		return
	}
	same := 1
	for other, places := range c.on {
		if other.Job != t.Job || other == t {
			continue
		}
		for _, q := range places {
			if q.Zone == p.Zone {
				same++
			} else if s.OneZone {
				c.fail("wrong_place: %s in zone %s while %s is in %s", t, p.Zone, other, q.Zone)
			}
		}
	}
	if s.SpreadZones && same > (s.Tasks+1)/2 {
		c.fail("wrong_place: %d of %d tasks of %s in zone %s", same, s.Tasks, t.Job, p.Zone)
	}
}

// TaskStopped tells that a task on a machine is told to stop with no time to save. Unless its user
// wants the job cancelled, the task is done, or its gang has lost a member, that throws away
// work for nothing: the controller takes a task that should run for one that should not.
func (c *Checker) TaskStopped(t core.TaskID) {
	j := c.jobs[string(t.Job)]
	if j == nil || j.final != "" || j.done[t.Index] || c.cancelWanted(string(t.Job)) || len(c.on[t]) > 1 {
		return
	}
	if j.spec.Form == api.FormGang && j.on < j.spec.Tasks {
		return
	}
	c.fail("needless_stop: %s is told to stop, it is the only attempt and its job goes on", t)
}

// TaskRemoved tells that a task is no longer on a machine.
func (c *Checker) TaskRemoved(t core.TaskID, machine string) {
	if _, ok := c.on[t][machine]; !ok {
		return
	}
	delete(c.on[t], machine)
	if len(c.on[t]) == 0 {
		delete(c.on, t)
	}
	if j := c.jobs[string(t.Job)]; j != nil {
		j.on--
		c.cpus[j.spec.Team] -= j.spec.CPUs
		c.gpus[j.spec.Team] -= j.spec.GPUs
	}
}

// Finish checks what can be said only at the end of a run.
func (c *Checker) Finish() {
	if c.Starts == 0 {
		c.fail("nothing_ran")
	}
}
