package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"lichenstair/api"
)

func init() { cases["new-team"] = newTeam }

// waitLimit is how long a job may wait beside a machine with room once the troubles are over.
const waitLimit = 90 * time.Second

// newTeam: a guest team comes. The controllers are restarted one after the other with settings that
// name it, and a user of the team submits a job to the first one that knows the team.
func newTeam(c *cluster) error {
	guest := team{"club-ajedrez", 0, 0}
	s := triviaOriental
	withGuest := append(slices.Clone(s.teams), guest)
	if !c.trouble {
		s.teams = withGuest
	}
	if err := c.start(s, 2, true); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // the blocks are spread over the controllers
	early, late := c.newJob("req-000001", guest.name, 1, 1), c.newJob("req-000002", guest.name, 1, 1)
	c.site.teams = withGuest
	order := []*controller{c.controllers[1], c.controllers[2], c.controllers[0]}
	visitor := newUser(c, "user-1", order[0].addr)
	for i, k := range order {
		if c.trouble {
			c.kill(k)
			time.Sleep(time.Second)
			if err := c.startController(k); err != nil {
				return err
			}
			if err := c.awaitReady(k); err != nil {
				return err
			}
		}
		if i == 0 {
			if err := visitor.submit(early); err != nil {
				return err
			}
		}
		if c.trouble {
			time.Sleep(3500 * time.Millisecond)
		}
	}
	over := time.Now()
	c.note("case", "the troubles are over")
	if err := visitor.submit(late); err != nil {
		return err
	}
	onMachine := func(j api.Job) func(event) bool {
		return func(e event) bool { return e.kind == taskOn && strings.HasPrefix(e.task, j.ID) }
	}
	second, ok := c.await(60*time.Second, onMachine(late))
	if !ok {
		return errors.New("the team's later job did not start either")
	}
	for {
		if _, ok := c.await(5*time.Second, onMachine(early)); ok {
			return nil
		}
		a := visitor.poll(early.ID)
		if waited := time.Since(second.at); waited > waitLimit {
			return fmt.Errorf("%w: %s is %q %.0f s after the troubles, and its task has not been on a machine, though %s, which has 16 CPUs, has been running a single task of 1 CPU for %.0f s", errBroken, early.ID, a.phase, time.Since(over).Seconds(), second.machine, waited.Seconds())
		}
	}
}
