package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["forgotten"] = forgotten }

const (
	// forgottenAfter is how long all polls for a job must fail.
	forgottenAfter = 90 * time.Second
	pollInterval   = 5 * time.Second
	userCount      = 9
)

// pollResult is a poll for a job and whether it was answered.
type pollResult struct {
	job      string
	sent, at time.Time
	answered bool
}

// forgotten: nine users, each with one running job, poll every 5 s through the load balancer over
// connections that stay open. One controller is cut off from the state service and the other
// controllers.
func forgotten(c *cluster) error {
	if err := c.start(dulcesBajio, 1, false); err != nil {
		return err
	}
	lb, err := newBalancer(c)
	if err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond) // the first probes
	var users []*user
	var ids []string
	for i := range userCount {
		u := newUser(c, fmt.Sprintf("user-%d", i+1), lb.addr())
		j := c.newJob(fmt.Sprintf("req-%06d", i+1), c.site.team, 1, 1)
		if err := u.submit(j); err != nil {
			return err
		}
		users, ids = append(users, u), append(ids, j.ID)
	}
	cut := lb.route(users[0].localAddr())
	if cut == nil {
		return errors.New("the first user has no connection")
	}
	for _, u := range users {
		if k := lb.route(u.localAddr()); k != nil {
			c.note("case", "the connection of %s leads to %s", u.name, k.name)
		}
	}
	for _, id := range ids {
		if _, ok := c.await(20*time.Second, func(e event) bool { return e.kind == taskOn && e.task == id+"/0" }); !ok {
			return fmt.Errorf("job %s did not start", id)
		}
	}
	if c.trouble {
		c.cutOff(cut, true)
	}
	results := pollAll(users, ids, forgottenAfter+8*time.Second)
	lb.noteProbes()
	if c.trouble {
		c.cutOff(cut, false)
	}
	return judgePolls(c, results, ids)
}

// pollAll polls all jobs, each through its user, for a while.
func pollAll(users []*user, ids []string, duration time.Duration) []pollResult {
	var mu sync.Mutex
	var results []pollResult
	var group sync.WaitGroup
	until := time.Now().Add(duration)
	for i, u := range users {
		group.Go(func() {
			time.Sleep(time.Duration(i) * pollInterval / userCount)
			for next := time.Now(); next.Before(until); next = next.Add(pollInterval) {
				time.Sleep(time.Until(next))
				a := u.poll(ids[i])
				mu.Lock()
				results = append(results, pollResult{ids[i], a.sent, a.at, a.status == 200})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return results
}

// judgePolls applies the rule: for 90 s all polls for a job fail while most others are answered.
func judgePolls(c *cluster, results []pollResult, ids []string) error {
	var broken error
	for _, id := range ids {
		own, answered, others, othersAnswered := 0, 0, 0, 0
		var first, last time.Time
		for _, r := range results {
			switch {
			case r.job != id:
				others++
				if r.answered {
					othersAnswered++
				}
			case r.answered:
				answered++
			default:
				own++
				if first.IsZero() {
					first = r.sent
				}
				last = r.at
			}
		}
		c.note("case", "%s: %d polls answered, %d not, over %.1f s; of the other jobs' polls %d of %d answered", id, answered, own, last.Sub(first).Seconds(), othersAnswered, others)
		if answered == 0 && last.Sub(first) >= forgottenAfter && 2*othersAnswered > others {
			broken = errors.Join(broken, fmt.Errorf("all %d polls for %s failed for %.1f s", own, id, last.Sub(first).Seconds()))
		}
	}
	if broken != nil {
		return fmt.Errorf("%w: %w", errBroken, broken)
	}
	return nil
}
