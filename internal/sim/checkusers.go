package sim

import (
	"time"

	"lichenstair/api"
)

type pollResult struct {
	at  SimTime
	job string
	ok  bool
}

// StatusReturned tells what phase a user was told, having asked at a time. An answer to
// what was asked before the user knew better may be older than what it knows.
func (c *Checker) StatusReturned(id, phase string, asked SimTime) {
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
func (c *Checker) mayRun(j *watched) (at SimTime, ok bool) {
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
func (c *Checker) NotFound(id string, asked SimTime) {
	if j := c.jobs[id]; j != nil && j.accepted && asked >= j.told {
		c.fail("forgotten: %s is answered 404", id)
	}
}

// Rejected tells that a submission made at a time was refused for good.
func (c *Checker) Rejected(id string, status int, asked SimTime) {
	if j := c.jobs[id]; j != nil && j.accepted && asked >= j.told {
		c.fail("forgotten: a repeated submission of %s is answered %d", id, status)
	}
}

const pollWindow = 90 * time.Second

// Polled tells whether a poll was answered.
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

// InvalidSubmission tells how a submission was answered that can never run or lacks a field.
func (c *Checker) InvalidSubmission(what string, status int) {
	if status == 200 || status == 201 {
		c.fail("accepted: a submission that %s is answered %d", what, status)
	}
}
