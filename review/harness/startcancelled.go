package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"lichenstair/api"
)

func init() { cases["start-after-cancel"] = startAfterCancel }

// startAfterCancel: the only machine is full with one job, and another waits. The controller that
// places the jobs is cut off from the state service and the other controllers; the waiting job is
// cancelled through another controller. Then the first job completes.
func startAfterCancel(c *cluster) error {
	if err := c.start(dulcesBajio, 1, false); err != nil {
		return err
	}
	cpus := c.site.types[0].CPUs
	first, second := c.newJob("req-000001", c.site.team, 1, cpus), c.newJob("req-000002", c.site.team, 1, cpus)
	submitter := newUser(c, "user-1", c.controllers[0].addr)
	if err := submitter.submit(first); err != nil {
		return err
	}
	on, ok := c.await(20*time.Second, func(e event) bool { return e.kind == taskOn && strings.HasPrefix(e.task, first.ID) })
	if !ok {
		return errors.New("the first job did not start")
	}
	if err := submitter.submit(second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // the machine's reports go to the holder of its block by now
	holder := c.reportsTo(on.machine)
	if holder == nil {
		return errors.New("no controller answers the machine")
	}
	c.note("case", "%s answers the machine's reports", holder.name)
	other := c.controllers[0]
	if other == holder {
		other = c.controllers[1]
	}
	if c.trouble {
		c.cutOff(holder, true)
	}
	canceller := newUser(c, "user-2", other.addr)
	confirmed, err := canceller.cancel(second.ID)
	if err != nil {
		return err
	}
	if confirmed.phase != api.PhaseCancelled {
		return fmt.Errorf("the cancellation was answered %q", confirmed.phase)
	}
	time.Sleep(2 * time.Second)
	c.note("case", "the first job's work is complete")
	close(c.taskFinished(first.ID + "/0"))
	// A start command that was in flight when the cancellation was confirmed answers a report that
	// was sent before.
	started, found := c.await(25*time.Second, func(e event) bool {
		return e.kind == taskCommanded && strings.HasPrefix(e.task, second.ID) && e.asked.After(confirmed.at)
	})
	if c.trouble {
		c.cutOff(holder, false)
	}
	canceller.poll(second.ID)
	canceller.poll(first.ID)
	if !found {
		return nil
	}
	time.Sleep(2 * time.Second)
	return fmt.Errorf("%w: %s started on %s %.3f s after its user was told that the job is cancelled, by the response to a report sent %.3f s after that", errBroken, started.task, started.machine, started.at.Sub(confirmed.at).Seconds(), started.asked.Sub(confirmed.at).Seconds())
}

// reportsTo returns the controller that last answered a machine's report.
func (c *cluster) reportsTo(machine string) *controller {
	c.cloud.mu.Lock()
	w := c.cloud.machines[machine]
	c.cloud.mu.Unlock()
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answeredBy < 0 {
		return nil
	}
	return c.controllers[w.answeredBy]
}
