package sim

import (
	"time"

	"lichenstair/api"
)

// pollResult tells whether a poll of a job was answered.
type pollResult struct {
	at  SimTime
	job string
	ok  bool
}

// StatusReturned checks a phase returned to a user by a query sent at the time asked. The
// response to a query sent before the user learned a newer phase may be older than that phase.
func (c *Checker) StatusReturned(id, phase string, asked SimTime) {
	j := c.jobs[id]
	if j == nil {
		c.fail("invented: a status was returned for job %s, which was never submitted", id)
		return
	}
	if !j.accepted {
		j.accepted, j.acceptedAt = true, c.now
	}
	j.answeredAt = c.now
	switch {
	case j.final != "" && phase != j.final && asked >= j.finalAt:
		c.fail("went_back: job %s was reported as %s and then as %s", id, j.final, phase)
	case phase == api.PhaseCancelled && !c.cancelWanted(id):
		c.fail("went_back: job %s is reported as cancelled, but no cancellation was requested", id)
	case phase == api.PhaseDone && len(j.done) < j.spec.Tasks:
		c.fail("not_done: job %s is reported as done with %d of %d tasks completed", id, len(j.done), j.spec.Tasks)
	}
	if dependency := c.cancelledDependency(j); dependency != nil && phase != api.PhaseCancelled && asked >= dependency.finalAt {
		c.fail("orphaned: job %s is reported as %s after its dependency %s was reported as cancelled", id, phase, dependency.spec.ID)
	}
	if j.final == "" && (phase == api.PhaseDone || phase == api.PhaseCancelled) {
		j.final, j.finalAt = phase, c.now
	}
}

// visitDependencies visits a job and all its direct and transitive dependencies, until visit
// returns false.
func (c *Checker) visitDependencies(j *jobState, visit func(*jobState) bool) {
	seen := map[string]bool{j.spec.ID: true}
	for next := []*jobState{j}; len(next) > 0; {
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

// cancelWanted reports whether a user wants the job or one of its direct or transitive
// dependencies cancelled.
func (c *Checker) cancelWanted(id string) (out bool) {
	c.visitDependencies(c.jobs[id], func(x *jobState) bool {
		out = out || x.cancelRequested
		return !out
	})
	return out
}

// cancelledDependency returns a direct or transitive dependency of j that a user was told is
// cancelled, or nil.
func (c *Checker) cancelledDependency(j *jobState) (out *jobState) {
	if len(j.spec.Dependencies) == 0 {
		return nil
	}
	c.visitDependencies(j, func(x *jobState) bool {
		if x != j && x.final == api.PhaseCancelled {
			out = x
		}
		return out == nil
	})
	return out
}

// dependenciesDone reports whether all direct dependencies of a job are done, and since when.
func (c *Checker) dependenciesDone(j *jobState) (at SimTime, ok bool) {
	for _, id := range j.spec.Dependencies {
		b := c.jobs[id]
		if b == nil || len(b.done) < b.spec.Tasks {
			return 0, false
		}
		at = max(at, b.doneAt)
	}
	return at, true
}

// NotFound checks a 404 response to a query sent at the time asked.
func (c *Checker) NotFound(id string, asked SimTime) {
	if j := c.jobs[id]; j != nil && j.accepted && asked >= j.acceptedAt {
		c.fail("forgotten: a query about accepted job %s is answered 404", id)
	}
}

// Rejected checks a permanent refusal of a submission sent at the time asked.
func (c *Checker) Rejected(id string, status int, asked SimTime) {
	if j := c.jobs[id]; j != nil && j.accepted && asked >= j.acceptedAt {
		c.fail("forgotten: a repeated submission of accepted job %s is answered %d", id, status)
	}
}

// pollWindow is how long all polls of a job must fail before it counts as forgotten.
const pollWindow = 90 * time.Second

// Polled records whether a poll sent at the time asked was answered, and checks that not all
// polls of one job fail while those of most others are answered.
func (c *Checker) Polled(id string, asked SimTime, ok bool) {
	j := c.jobs[id]
	if j == nil || !j.accepted {
		return
	}
	c.polls = append(c.polls, pollResult{c.now, id, ok})
	for len(c.polls) > 0 && c.polls[0].at < c.now-pollWindow {
		c.polls = c.polls[1:]
	}
	if ok {
		j.pollsFailing = false
		return
	}
	if !j.pollsFailing {
		j.pollsFailing, j.failingSince = true, asked
	}
	if c.now-j.failingSince < pollWindow {
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
		c.fail("forgotten: all polls of job %s have failed for %s", id, pollWindow)
	}
}

// InvalidSubmission checks the response to a submission that can never run, or whose fields are
// missing or invalid.
func (c *Checker) InvalidSubmission(what string, status int) {
	if status == 200 || status == 201 {
		c.fail("accepted: a submission that %s is answered %d", what, status)
	}
}
