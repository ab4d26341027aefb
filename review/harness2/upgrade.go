package main

import (
	"fmt"
	"time"
)

// replace ends a controller and starts it again, with the version under review, after the time that
// the brief names.
func (c *cluster) replace(i int) error {
	c.kill(i)
	c.sleep(3 * time.Second)
	c.nodes[i].program = c.current
	if err := c.startNode(i); err != nil {
		return err
	}
	for end := time.Now().Add(15 * time.Second); !c.ready(i); c.sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready after its replacement", c.nodes[i].name)
		}
	}
	return nil
}

// upgrade replaces two of three controllers of the version in production. The third one, which holds
// the block of a running job, loses the state service and the other controllers, but not its workers.
// The job is cancelled through a new one.
func upgrade(c *cluster, trouble bool) error {
	c.populate()
	c.sleep(3 * time.Second)
	old := c.leader()
	if old < 0 {
		return fmt.Errorf("there is no leader")
	}
	var others []int
	for i := range c.nodes {
		if i != old {
			others = append(others, i)
		}
	}
	for _, i := range others {
		if err := c.replace(i); err != nil {
			return err
		}
		c.sleep(3 * time.Second)
	}
	crew := ""
	for _, t := range c.teams {
		if c.holder(t.name) == old {
			crew = t.name
		}
	}
	if crew == "" {
		return fmt.Errorf("the controller of the version in production holds no block")
	}
	c.record("team %s is served by %s, of the version in production", crew, c.nodes[old].name)
	j := deckBuild(1, crew, 365, 5*time.Second)
	j.vary = 0.5
	if !c.submit(j, others...) {
		return fmt.Errorf("the job was not accepted")
	}
	for end := time.Now().Add(20 * time.Second); c.running(j.UID) < 20; c.sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the job does not run")
		}
	}
	c.sleep(6 * time.Second)
	if trouble {
		c.record("%s loses the state service and the other controllers, not its workers", c.nodes[old].name)
		c.state.setLink(old, linkCut)
		c.cutNodePeers(old, true)
	}
	if phase := c.cancel(j.UID, others...); phase != "withdrawn" {
		return fmt.Errorf("the cancellation is answered %q", phase)
	}
	c.sleep(12 * time.Second)
	if trouble {
		c.record("the cut ends")
		c.state.setLink(old, linkUp)
		c.cutNodePeers(old, false)
	}
	c.sleep(3 * time.Second)
	return nil
}
