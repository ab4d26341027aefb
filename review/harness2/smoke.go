package main

import (
	"fmt"
	"time"
)

// deckBuild returns an array of the class deck-build.
func deckBuild(n int, crew string, tasks int, run time.Duration) *jobSpec {
	return &jobSpec{UID: fmt.Sprintf("req-%06d", n), Strain: "deck-build", Crew: crew, Form: "batch", Rank: "standard", Spores: tasks, CPUs: 1, RAM: 1, Seedcase: "deck", PullGb: 0.2, Windfall: true, GrowS: run.Seconds(), runFor: run}
}

// scoreboard returns a gang of the class scoreboard-sync.
func scoreboard(n int, crew string, run time.Duration) *jobSpec {
	return &jobSpec{UID: fmt.Sprintf("req-%06d", n), Strain: "scoreboard-sync", Crew: crew, Form: "group", Rank: "high", Spores: 1, CPUs: 30, RAM: 51, Seedcase: "score", PullGb: 0.5, GrowS: run.Seconds(), MoltS: 20, ShedS: 5, runFor: run}
}

// populate adds the machines that are up at the start, one of each type in each zone.
func (c *cluster) populate() {
	c.cloud.mu.Lock()
	defer c.cloud.mu.Unlock()
	for _, z := range []string{"ciudad-vieja", "cordon", "pocitos"} {
		for _, sku := range []string{"mate", "parrilla"} {
			c.cloud.capacity[kindOf(sku, z, false)]--
			c.cloud.add(sku, z, false, 0)
		}
	}
}

// smoke runs two jobs without any disruption.
func smoke(c *cluster, _ bool) error {
	c.populate()
	c.sleep(4 * time.Second)
	a, b := deckBuild(1, "redaccion", 20, 8*time.Second), scoreboard(2, "musica", 8*time.Second)
	if !c.submit(a) || !c.submit(b) {
		return fmt.Errorf("a job was not accepted")
	}
	for range 40 {
		c.sleep(time.Second)
		_, x := c.poll(a.UID)
		_, y := c.poll(b.UID)
		if x == "done" && y == "done" {
			return nil
		}
	}
	return fmt.Errorf("the jobs are not done")
}
