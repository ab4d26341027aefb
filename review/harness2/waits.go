package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// horizon is how long the cases wait for a job; LIMIT_S replaces it for longer runs by hand.
func horizon(usual time.Duration) time.Duration {
	if n, err := strconv.Atoi(os.Getenv("LIMIT_S")); err == nil {
		return time.Duration(n) * time.Second
	}
	return usual
}

// await polls a job until it is done; it reports whether that was so.
func (c *cluster) await(j *jobSpec, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); c.sleep(2 * time.Second) {
		if _, phase := c.poll(j.UID); phase == "done" {
			return true
		}
	}
	return false
}

// awaitRunning waits until all tasks of a job are on machines.
func (c *cluster) awaitRunning(j *jobSpec, within time.Duration) error {
	for end := time.Now().Add(within); c.check.onMachines(j.UID) < j.Spores; c.sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("job %s does not run", j.UID)
		}
	}
	return nil
}

// waitLimit is how long a job may be left waiting while a machine that fits has room.
const waitLimit = 90 * time.Second

// watchRoom checks, from now on, that a single-task job is not left waiting for 90 s while a machine
// that fits has room. A machine counts while it has been up and empty all the time.
func (c *cluster) watchRoom(j *jobSpec) {
	began := time.Now()
	since := map[string]time.Time{}
	c.spawn(func() {
		for c.sleep(500 * time.Millisecond) {
			if c.check.begun(j.UID) {
				return
			}
			for _, m := range c.cloud.up() {
				if !m.idle() || m.typ.CPUs < j.CPUs || m.typ.RAM < j.RAM || m.spot && !j.Windfall {
					delete(since, m.id)
					continue
				}
				if since[m.id].IsZero() {
					since[m.id] = time.Now()
				}
				if time.Since(began) > waitLimit && time.Since(since[m.id]) > waitLimit {
					c.check.broken("waits: %s has been waiting for %.0f s while machine %s (%s) was up and empty", j.UID, time.Since(began).Seconds(), m.id, m.typ.Sku)
					return
				}
			}
		}
	})
}

// fitting lists the machines of a type that are up, for the record.
func (c *cluster) fitting(sku string) (out []string) {
	for _, m := range c.cloud.up() {
		if m.typ.Sku == sku && m.idle() {
			out = append(out, m.id)
		}
	}
	return out
}

// otherBlock returns a team of another block than a team's.
func (c *cluster) otherBlock(crew string) string {
	own, _ := c.block(crew)
	other := ""
	for _, t := range c.teams {
		if n, _ := c.block(t.name); n != own && n >= 0 {
			other = t.name
		}
	}
	return other
}

// gangHolds: a gang runs on all large machines of the deployment. A cheap one of them is taken back, so
// the gang has to wait. Another team's job, within its guarantee, needs one large machine.
func gangHolds(c *cluster, trouble bool) error {
	c.cloud.mu.Lock()
	for _, z := range []string{"ciudad-vieja", "cordon", "pocitos"} {
		c.cloud.capacity[kindOf("mate", z, false)]--
		c.cloud.add("mate", z, false, 0)
		for _, spot := range []bool{false, true} {
			kind := kindOf("parrilla", z, spot)
			for range c.cloud.capacity[kind] {
				c.cloud.add("parrilla", z, spot, 0)
			}
			c.cloud.capacity[kind] = 0
		}
	}
	c.cloud.mu.Unlock()
	c.sleep(2 * time.Second)
	large := scoreboard(1, "escenario", 15*time.Second)
	large.Spores, large.Windfall = len(c.parrillas()), true
	if !c.submit(large) {
		return fmt.Errorf("the large job was not accepted")
	}
	if err := c.awaitRunning(large, 20*time.Second); err != nil {
		return err
	}
	if trouble {
		for _, m := range c.parrillas() {
			if m.spot {
				c.cloud.take(m)
				break
			}
		}
	}
	small := scoreboard(2, c.otherBlock("escenario"), 5*time.Second)
	if !c.submit(small) {
		return fmt.Errorf("the small job was not accepted")
	}
	c.watchRoom(small)
	if !c.await(small, horizon(112*time.Second-c.now())) {
		c.record("job %s has not run; large machines that are up and empty: %v", small.UID, c.fitting("parrilla"))
	}
	return nil
}

// parrillas lists the large machines that exist.
func (c *cluster) parrillas() (out []*worker) {
	for _, m := range c.cloud.up() {
		if m.typ.Sku == "parrilla" {
			out = append(out, m)
		}
	}
	return out
}

// oneZone: a gang that has to be in one zone loses its machines, while the cloud has others to give in
// two of the three zones.
func oneZone(c *cluster, trouble bool) error {
	c.populate()
	c.sleep(3 * time.Second)
	pocitos := "pocitos"
	long := deckBuild(1, "musica", 16, 10*time.Minute)
	long.Patch = &pocitos
	gang := scoreboard(2, "musica", 15*time.Second)
	gang.Spores, gang.OneZone = 2, true
	if !c.submit(long) || !c.submit(gang) {
		return fmt.Errorf("a job was not accepted")
	}
	if err := c.awaitRunning(gang, 40*time.Second); err != nil {
		return err
	}
	lost := time.Now()
	if trouble {
		for _, m := range c.check.machinesOf(gang.UID) {
			c.cloud.stop(m)
		}
	}
	if !c.await(gang, horizon(112*time.Second-c.now())) {
		c.check.broken("job %s was accepted and has not run again in the %.0f s since it lost its machines", gang.UID, time.Since(lost).Seconds())
	}
	return nil
}

// faulty: a machine becomes faulty, so that each task on it fails.
func faulty(c *cluster, trouble bool) error {
	c.populate()
	c.sleep(3 * time.Second)
	first, second := deckBuild(1, "cuentas", 8, 4*time.Second), deckBuild(2, "cuentas", 8, 4*time.Second)
	if !c.submit(first) {
		return fmt.Errorf("the first job was not accepted")
	}
	if err := c.awaitRunning(first, 30*time.Second); err != nil {
		return err
	}
	machines := c.check.machinesOf(first.UID)
	if !c.await(first, 30*time.Second) {
		return fmt.Errorf("the first job is not done")
	}
	if trouble {
		for _, m := range machines {
			m.set(func(m *worker) { m.faulty = true })
			c.record("machine %s is faulty from now on", m.id)
		}
	}
	if !c.submit(second) {
		return fmt.Errorf("the second job was not accepted")
	}
	accepted := time.Now()
	if !c.await(second, horizon(100*time.Second)) {
		c.check.broken("job %s was accepted and is not done after %.0f s; its tasks were started on %v only", second.UID, time.Since(accepted).Seconds(), c.check.startedOn(second.UID))
	}
	return nil
}
