package sim

import (
	"fmt"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// Place is a machine, as far as the rules care.
type Place struct {
	ID, Type, Zone string
	Spot           bool
}

// Checker is told what happens and checks every rule of the protocol. It is
// stricter than the rules in one point: a task counts as being on a machine
// from its start command on, not only once it has its image.
type Checker struct {
	Broken []string
	Starts int
	// LateStarts counts tasks that were started after their user was told that the job
	// is cancelled. That breaks no rule until the cancellation's time is over.
	LateStarts int
	// Started, if set, is told of each task's start.
	Started func(job string)

	now    Clock
	teams  map[string]config.Team
	cancel time.Duration
	jobs   map[string]*watched
	on     map[core.TaskID]map[string]Place
	cpus   map[string]float64
	gpus   map[string]float64
	polls  []pollResult
	due    Clock
	calm   Clock // since when all troubles are over; 0: they are not
}

type watched struct {
	spec      api.Job
	accepted  bool
	asked     bool
	final     string
	toldAt    Clock
	done      map[int]bool
	failing   Clock // since when all polls fail; 0: they do not
	anyFailed bool
	on        int
	ended     Clock // when its last task completed; 0: not yet
	told      Clock // when its user was first told that it is accepted
	answered  Clock // when a question about it was last answered
	begun     bool
	begunAt   Clock
	hopeless  bool
	beside    map[string]Clock // machines with room for it, and since when it waits beside them
}

type pollResult struct {
	at  Clock
	job string
	ok  bool
}

// NewChecker makes a checker for teams and the time a cancellation may take.
func NewChecker(teams []config.Team, cancel time.Duration) *Checker {
	c := &Checker{
		teams: map[string]config.Team{}, cancel: cancel, jobs: map[string]*watched{}, on: map[core.TaskID]map[string]Place{},
		cpus: map[string]float64{}, gpus: map[string]float64{},
	}
	for _, t := range teams {
		c.teams[t.Name] = t
	}
	return c
}

func (c *Checker) fail(format string, args ...any) {
	c.Broken = append(c.Broken, fmt.Sprintf("%.3f ", c.now.Seconds())+fmt.Sprintf(format, args...))
}

// Step checks what may not last, at a time.
func (c *Checker) Step(now Clock) {
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

// Calm tells that all troubles are over.
func (c *Checker) Calm(now Clock) { c.calm = now }

// Served checks that no class, no team and no class's largest jobs were starved:
// at least half of each must have begun, the largest within four minutes of
// their acceptance or of the end of the troubles.
func (c *Checker) Served() {
	type count struct{ all, served int }
	counts := map[string]*count{}
	add := func(group string, served bool) {
		if counts[group] == nil {
			counts[group] = &count{}
		}
		counts[group].all++
		if served {
			counts[group].served++
		}
	}
	sizes := map[string][]float64{}
	size := func(j *watched) float64 { return float64(j.spec.Tasks) * j.spec.CPUs }
	since := func(j *watched) Clock {
		at, _ := c.mayRun(j)
		return max(j.told, c.calm, at)
	}
	due := func(j *watched) bool {
		_, may := c.mayRun(j)
		return j.accepted && !c.cancelWanted(j.spec.ID) && !j.hopeless && may && c.now-since(j) > beginWithin
	}
	for _, j := range c.jobs {
		if due(j) {
			sizes[j.spec.Class] = append(sizes[j.spec.Class], size(j))
		}
	}
	for _, s := range sizes {
		slices.Sort(s)
	}
	for _, j := range c.jobs {
		if !due(j) {
			continue
		}
		add("class "+j.spec.Class, j.begun)
		add("team "+j.spec.Team, j.begun)
		if s := sizes[j.spec.Class]; size(j) >= s[len(s)*9/10] {
			add("largest of class "+j.spec.Class, j.begun && j.begunAt-since(j) <= beginWithin)
		}
	}
	for _, group := range core.Keys(counts) {
		if k := counts[group]; 2*k.served < k.all {
			c.fail("starved: of %s only %d of %d were served", group, k.served, k.all)
		}
	}
}

// Submitted tells of a job that its user is about to submit.
func (c *Checker) Submitted(spec api.Job) {
	c.jobs[spec.ID] = &watched{spec: spec, done: map[int]bool{}}
}

// CancelAsked tells that a user wants a job cancelled.
func (c *Checker) CancelAsked(id string) { c.jobs[id].asked = true }

// Told tells what phase a user was told, having asked at a time. An answer to
// what was asked before the user knew better may be older than what it knows.
func (c *Checker) Told(id, phase string, asked Clock) {
	j := c.jobs[id]
	if j == nil {
		c.fail("invented: %s", id)
		return
	}
	if !j.accepted {
		j.accepted, j.told = true, c.now
	}
	j.answered = c.now
	switch {
	case j.final != "" && phase != j.final && asked >= j.toldAt:
		c.fail("went_back: %s was %s and is called %s", id, j.final, phase)
	case phase == api.PhaseCancelled && !c.cancelWanted(id):
		c.fail("went_back: %s is called cancelled, which nobody asked for", id)
	case phase == api.PhaseDone && len(j.done) < j.spec.Tasks:
		c.fail("not_done: %s is called done with %d of %d tasks", id, len(j.done), j.spec.Tasks)
	}
	if before := c.cancelledBefore(j); before != nil && phase != api.PhaseCancelled && asked >= before.toldAt {
		c.fail("orphaned: %s is called %s after %s before it was called cancelled", id, phase, before.spec.ID)
	}
	if j.final == "" && (phase == api.PhaseDone || phase == api.PhaseCancelled) {
		j.final, j.toldAt = phase, c.now
	}
}

// before visits a job and all that it needs, directly or through others, until visit
// tells false.
func (c *Checker) before(j *watched, visit func(*watched) bool) {
	seen := map[string]bool{j.spec.ID: true}
	for next := []*watched{j}; len(next) > 0; {
		x := next[len(next)-1]
		next = next[:len(next)-1]
		if !visit(x) {
			return
		}
		for _, id := range x.spec.Dependencies {
			if b := c.jobs[id]; b != nil && !seen[id] {
				seen[id] = true
				next = append(next, b)
			}
		}
	}
}

// cancelWanted tells whether a user wants the job or one that it needs cancelled.
func (c *Checker) cancelWanted(id string) (out bool) {
	c.before(c.jobs[id], func(x *watched) bool {
		out = out || x.asked
		return !out
	})
	return out
}

// cancelledBefore returns a job that j needs and that a user was told is cancelled.
func (c *Checker) cancelledBefore(j *watched) (out *watched) {
	if len(j.spec.Dependencies) == 0 {
		return nil
	}
	c.before(j, func(x *watched) bool {
		if x != j && x.final == api.PhaseCancelled {
			out = x
		}
		return out == nil
	})
	return out
}

// mayRun tells since when all jobs that a job needs are done, if they are.
func (c *Checker) mayRun(j *watched) (at Clock, ok bool) {
	for _, id := range j.spec.Dependencies {
		b := c.jobs[id]
		if b == nil || len(b.done) < b.spec.Tasks {
			return 0, false
		}
		at = max(at, b.ended)
	}
	return at, true
}

// NotFound tells that a user who asked at a time was told that a job is unknown.
func (c *Checker) NotFound(id string, asked Clock) {
	if j := c.jobs[id]; j != nil && j.accepted && asked >= j.told {
		c.fail("forgotten: %s is answered 404", id)
	}
}

// Rejected tells that a submission made at a time was refused for good.
func (c *Checker) Rejected(id string, status int, asked Clock) {
	if j := c.jobs[id]; j != nil && j.accepted && asked >= j.told {
		c.fail("forgotten: a repeated submission of %s is answered %d", id, status)
	}
}

const pollWindow = 90 * time.Second

// Polled tells whether a poll was answered.
func (c *Checker) Polled(id string, asked Clock, ok bool) {
	j := c.jobs[id]
	if j == nil || !j.accepted {
		return
	}
	c.polls = append(c.polls, pollResult{c.now, id, ok})
	for len(c.polls) > 0 && c.polls[0].at < c.now-pollWindow {
		c.polls = c.polls[1:]
	}
	if ok {
		j.anyFailed = false
		return
	}
	if !j.anyFailed {
		j.anyFailed, j.failing = true, asked
	}
	if c.now-j.failing < pollWindow {
		return
	}
	answered, others := 0, 0
	for _, p := range c.polls {
		if p.job != id {
			others++
			if p.ok {
				answered++
			}
		}
	}
	if others > 0 && answered*2 > others {
		c.fail("forgotten: all polls for %s have failed for %s", id, pollWindow)
	}
}

// Odd tells how a submission was answered that can never run or lacks a field.
func (c *Checker) Odd(what string, status int) {
	if status == 200 || status == 201 {
		c.fail("accepted: a submission that %s is answered %d", what, status)
	}
}

// Room tells which machines have room for a task of a job that its team may still start.
// It is told every few seconds once all troubles are over. A machine counts if it has had
// room for the job all the time.
func (c *Checker) Room(id string, machines []string) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	if _, may := c.mayRun(j); !may || !j.accepted || c.cancelWanted(id) || j.hopeless || j.final != "" || j.on > 0 || len(j.done) == j.spec.Tasks {
		machines = nil
	}
	beside := map[string]Clock{}
	for _, m := range machines {
		beside[m] = c.now
		if since, ok := j.beside[m]; ok {
			beside[m] = since
		}
		if c.now-beside[m] > idleWithin {
			c.fail("waits: %s has waited for %s beside free capacity for it on %s", id, idleWithin, m)
		}
	}
	j.beside = beside
}

// Under tells whether a team may use as much more.
func (c *Checker) Under(team string, cpus, gpus float64) bool {
	lim := c.teams[team]
	return c.cpus[team]+cpus <= lim.CPUsMax+1e-6 && c.gpus[team]+gpus <= lim.GPUsMax+1e-6
}

// Completed tells that a task has completed.
func (c *Checker) Completed(t core.TaskID) {
	if j := c.jobs[string(t.Job)]; j != nil {
		j.done[t.Index] = true
		if len(j.done) == j.spec.Tasks {
			j.ended = c.now
		}
	}
}

// On tells that a task starts on a machine.
func (c *Checker) On(t core.TaskID, p Place) {
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
	if c.Started != nil {
		c.Started(string(t.Job))
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
		c.LateStarts++
	}
	c.place(j, t, p)
	if c.on[t] == nil {
		c.on[t] = map[string]Place{}
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

func (c *Checker) place(j *watched, t core.TaskID, p Place) {
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
	if !s.OneZone && !s.Scatter {
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
	if s.Scatter && same > (s.Tasks+1)/2 {
		c.fail("wrong_place: %d of %d tasks of %s in zone %s", same, s.Tasks, t.Job, p.Zone)
	}
}

// Off tells that a task is no longer on a machine.
func (c *Checker) Off(t core.TaskID, machine string) {
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

// End checks what can be said only at the end of a run.
func (c *Checker) End() {
	if c.Starts == 0 {
		c.fail("nothing_ran")
	}
}
