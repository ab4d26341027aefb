package sim

import (
	"fmt"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// MachineInfo holds the properties of a machine that the rules depend on.
type MachineInfo struct {
	ID, Type, Zone string
	Spot           bool
}

// Checker records the events of a run and checks every rule of the protocol. It is stricter
// than the protocol in one point: a task counts as being on a machine from its start command
// on, not only once its image is loaded.
type Checker struct {
	// Violations lists the broken rules, each with its time in seconds.
	Violations []string
	// Starts counts the starts of tasks.
	Starts int
	// StartsAfterCancel counts tasks started after their user was told that the job is
	// cancelled. This breaks a rule only once the time allowed for a cancellation has passed.
	StartsAfterCancel int
	// OnStart, if set, is called with the job's ID at each start of a task.
	OnStart func(job string)

	now           SimTime
	teams         map[string]config.Team
	cancelLimit   time.Duration // how long tasks may run after their job was reported as cancelled
	jobs          map[string]*jobState
	placed        map[core.TaskID]map[string]MachineInfo // machines that a task is on, by ID
	cpus          map[string]float64                     // in use, by team
	gpus          map[string]float64                     // in use, by team
	polls         []pollResult                           // of the last pollWindow, oldest first
	nextCheck     SimTime
	faultsEndedAt SimTime // when the last fault ended; 0: faults may still be active
}

// jobState holds what the checker knows of a job.
type jobState struct {
	spec            api.Job
	accepted        bool
	cancelRequested bool
	final           string       // done or cancelled, once its user was told so
	finalAt         SimTime      // when its user was told the final phase
	done            map[int]bool // completed tasks, by index
	failingSince    SimTime      // since when all polls have failed; valid while pollsFailing is set
	pollsFailing    bool
	placed          int     // its tasks that are on machines, replaced attempts included
	doneAt          SimTime // when its last task completed; 0: not yet
	acceptedAt      SimTime // when its user was first told that it is accepted
	answeredAt      SimTime // when a user was last told its phase
	begun           bool
	begunAt         SimTime
	failsAlways     bool
	freeSince       map[string]SimTime // by machine ID: since when it has waited while the machine had capacity for it
}

// NewChecker returns a checker for the given teams and the time allowed for a cancellation.
func NewChecker(teams []config.Team, cancel time.Duration) *Checker {
	c := &Checker{
		teams: map[string]config.Team{}, cancelLimit: cancel, jobs: map[string]*jobState{}, placed: map[core.TaskID]map[string]MachineInfo{},
		cpus: map[string]float64{}, gpus: map[string]float64{},
	}
	for _, t := range teams {
		c.teams[t.Name] = t
	}
	return c
}

// fail records a broken rule.
func (c *Checker) fail(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%.3f ", c.now.Seconds())+fmt.Sprintf(format, args...))
}

// Step sets the time and, at most every 500 ms, checks the rules that depend on time passing.
func (c *Checker) Step(now SimTime) {
	c.now = now
	if now < c.nextCheck {
		return
	}
	c.nextCheck = now + 500*time.Millisecond
	for id, j := range c.jobs {
		if j.final == api.PhaseCancelled && j.placed > 0 && now > j.finalAt+c.cancelLimit {
			c.fail("ran_cancelled: job %s was cancelled and still has tasks on machines: %d", id, j.placed)
		}
		if c.faultsEndedAt > 0 && j.accepted && !c.cancelWanted(id) && now-max(j.answeredAt, j.acceptedAt, c.faultsEndedAt) > answerWithin {
			c.fail("forgotten: no query about job %s has been answered for %s", id, answerWithin)
		}
	}
}

const (
	// answerWithin is how long after the last fault a job may go without an answered query.
	answerWithin = 75 * time.Second
	// idleWithin is how long after the last fault a job may wait while a machine has free
	// capacity for it.
	idleWithin = 90 * time.Second
	// beginWithin is how long the largest jobs of a class may wait for their first start.
	beginWithin = 4 * time.Minute
)

// FaultsEnded records that no fault is active from now on.
func (c *Checker) FaultsEnded(now SimTime) { c.faultsEndedAt = now }

// Submitted records a job that its user is about to submit.
func (c *Checker) Submitted(spec api.Job) {
	c.jobs[spec.ID] = &jobState{spec: spec, done: map[int]bool{}}
}

// CancelRequested records that a user wants a job cancelled.
func (c *Checker) CancelRequested(id string) { c.jobs[id].cancelRequested = true }

// WithinLimits reports whether a team may use that many more CPUs and GPUs.
func (c *Checker) WithinLimits(team string, cpus, gpus float64) bool {
	lim := c.teams[team]
	return c.cpus[team]+cpus <= lim.CPUsMax+1e-6 && c.gpus[team]+gpus <= lim.GPUsMax+1e-6
}

// TaskCompleted records that a task has completed.
func (c *Checker) TaskCompleted(t core.TaskID) {
	if j := c.jobs[string(t.Job)]; j != nil {
		j.done[t.Index] = true
		if len(j.done) == j.spec.Tasks {
			j.doneAt = c.now
		}
	}
}

// TaskPlaced records that a task starts on a machine, and checks the rules for starts.
func (c *Checker) TaskPlaced(t core.TaskID, p MachineInfo) {
	c.Starts++
	j := c.jobs[string(t.Job)]
	if j == nil {
		c.fail("invented: task %s starts, but its job was never submitted", t)
		return
	}
	if !j.begun {
		j.begun, j.begunAt = true, c.now
	}
	j.freeSince = nil // it no longer waits
	if c.OnStart != nil {
		c.OnStart(string(t.Job))
	}
	if others := c.placed[t]; len(others) > 0 {
		c.fail("ran_twice: task %s starts on machine %s while it is on %v", t, p.ID, others)
	}
	if j.final == api.PhaseCancelled && c.now > j.finalAt+c.cancelLimit {
		c.fail("ran_cancelled: task %s of a cancelled job starts on machine %s", t, p.ID)
	}
	if _, ready := c.dependenciesDone(j); !ready {
		c.fail("too_early: task %s starts before all dependencies of its job are done", t)
	}
	if j.final == api.PhaseCancelled {
		c.StartsAfterCancel++
	}
	c.checkPlacement(j, t, p)
	if c.placed[t] == nil {
		c.placed[t] = map[string]MachineInfo{}
	}
	c.placed[t][p.ID] = p
	j.placed++
	team := j.spec.Team
	c.cpus[team] += j.spec.CPUs
	c.gpus[team] += j.spec.GPUs
	if lim := c.teams[team]; c.cpus[team] > lim.CPUsMax+1e-6 || c.gpus[team] > lim.GPUsMax+1e-6 {
		c.fail("quota: team %s uses %g CPUs and %g GPUs", team, c.cpus[team], c.gpus[team])
	}
}

// StartCommanded checks a command to start a task that left its controller no earlier than at the
// given time: by then its user must not have been told that the job is cancelled. A command that was
// on its way by then may still be executed.
func (c *Checker) StartCommanded(t core.TaskID, at SimTime) {
	if j := c.jobs[string(t.Job)]; j != nil && j.final == api.PhaseCancelled && at > j.finalAt {
		c.fail("started_cancelled: a start of task %s is sent at %.3f, %.3f s after its user was told that the job is cancelled", t, at.Seconds(), (at - j.finalAt).Seconds())
	}
}

// checkPlacement checks type, zone, spot and spread constraints of a task on a machine.
func (c *Checker) checkPlacement(j *jobState, t core.TaskID, p MachineInfo) {
	s := j.spec
	allowed := s.Types == nil
	for _, typ := range s.Types {
		allowed = allowed || typ == p.Type
	}
	switch {
	case !allowed:
		c.fail("wrong_place: task %s on machine type %s", t, p.Type)
	case s.Zone != nil && *s.Zone != p.Zone:
		c.fail("wrong_place: task %s in zone %s", t, p.Zone)
	case p.Spot && !s.Spot:
		c.fail("wrong_place: task %s on a spot machine", t)
	}
	if !s.OneZone && !s.SpreadZones {
		return
	}
	same := 1
	for other, places := range c.placed {
		if other.Job != t.Job || other == t {
			continue
		}
		for _, q := range places {
			if q.Zone == p.Zone {
				same++
			} else if s.OneZone {
				c.fail("wrong_place: task %s in zone %s while task %s is in zone %s", t, p.Zone, other, q.Zone)
			}
		}
	}
	if s.SpreadZones && same > (s.Tasks+1)/2 {
		c.fail("wrong_place: %d of %d tasks of job %s in zone %s", same, s.Tasks, t.Job, p.Zone)
	}
}

// TaskStopped records that a task on a machine is told to stop without time to save. Unless its
// user wants the job cancelled, the task is done or has another attempt, or its gang has lost a
// member, the stop discards work for no reason: the controller has taken a task that should run
// for one that should not.
func (c *Checker) TaskStopped(t core.TaskID) {
	j := c.jobs[string(t.Job)]
	if j == nil || j.final != "" || j.done[t.Index] || c.cancelWanted(string(t.Job)) || len(c.placed[t]) > 1 {
		return
	}
	if j.spec.Form == api.FormGang && j.placed < j.spec.Tasks {
		return
	}
	c.fail("needless_stop: task %s is told to stop, although it has no other attempt and its job continues", t)
}

// TaskRemoved records that a task is no longer on a machine.
func (c *Checker) TaskRemoved(t core.TaskID, machine string) {
	if _, ok := c.placed[t][machine]; !ok {
		return
	}
	delete(c.placed[t], machine)
	if len(c.placed[t]) == 0 {
		delete(c.placed, t)
	}
	if j := c.jobs[string(t.Job)]; j != nil {
		j.placed--
		c.cpus[j.spec.Team] -= j.spec.CPUs
		c.gpus[j.spec.Team] -= j.spec.GPUs
	}
}

// Finish checks the rules that can only be checked at the end of a run.
func (c *Checker) Finish() {
	if c.Starts == 0 {
		c.fail("nothing_ran")
	}
}
