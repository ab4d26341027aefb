package main

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"time"
)

// answerLimit is how long a job may go without an answered question once there is no trouble.
const answerLimit = 75 * time.Second

// diamonds is how many times the pipeline forks and joins.
const diamonds = 21

// memoryLimit is ram_mb of the settings.
const memoryLimit = 70 << 20

// enforceMemory does what the platform does with a process over its memory limit: it kills it and starts
// it again after the time that the brief names. Only memory of its own counts, not the program's file.
func (c *cluster) enforceMemory(i int) {
	for c.sleep(50 * time.Millisecond) {
		held := c.nodes[i].memory()
		if held <= memoryLimit {
			continue
		}
		c.record("controller %s holds %d MB, its limit is %d MB", c.nodes[i].name, held>>20, memoryLimit>>20)
		c.kill(i)
		if !c.sleep(3 * time.Second) {
			return
		}
		if err := c.startNode(i); err != nil {
			c.record("%v", err)
			return
		}
	}
}

// memory returns how many bytes of memory of its own a controller's process holds.
func (nd *node) memory() int {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", nd.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb << 10
		}
	}
	return 0
}

// pipeline submits a pipeline that forks and joins again and again, and asks for its first job.
func pipeline(c *cluster, trouble bool) error {
	c.populate()
	for i := range c.nodes {
		c.spawn(func() { c.enforceMemory(i) })
	}
	c.sleep(3 * time.Second)
	n := 0
	add := func(grow float64, roots ...string) (*jobSpec, error) {
		n++
		j := deckBuild(n, "musica", 1, 10*time.Minute)
		j.GrowS, j.Roots = grow, roots
		if n == 3*diamonds+2 {
			ripe := 1e6
			j.RipeS = &ripe
		}
		if !c.submit(j) {
			return nil, fmt.Errorf("job %s was not accepted", j.UID)
		}
		return j, nil
	}
	first, err := add(1)
	join := first
	for i := 0; i < diamonds && err == nil; i++ {
		longer := 1.0
		if trouble {
			longer += math.Pow(2, float64(i)) / 1000
		}
		var b, d *jobSpec
		if b, err = add(longer, join.UID); err != nil {
			break
		}
		if d, err = add(1, join.UID); err != nil {
			break
		}
		join, err = add(1, b.UID, d.UID)
	}
	if err != nil {
		return err
	}
	last := time.Now()
	c.spawn(func() {
		if _, err := add(1, join.UID); err != nil {
			c.record("%v", err)
		}
	})
	for c.now() < 114*time.Second {
		for i := range c.nodes {
			if status, _ := c.ask(i, "GET", "/work/"+first.UID, nil, 2*time.Second); status == 200 {
				last = time.Now()
			}
		}
		if time.Since(last) > answerLimit {
			c.check.broken("forgotten: no question about %s has been answered by any controller for %.0f s", first.UID, time.Since(last).Seconds())
			return nil
		}
		c.sleep(time.Second)
	}
	return nil
}
