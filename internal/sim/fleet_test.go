package sim

import (
	"strings"
	"testing"
	"time"
)

// fleet returns a world of n controllers and capacity for about the given number of machines.
func fleet(n, machines int, seed uint64) *World {
	w := NewWorld(FleetSettings(n, machines), seed, nil)
	w.PopulateFleet(machines)
	return w
}

// Fleets of hundreds of machines with several overlapping faults. No rule is broken, no job is
// forgotten, records and transactions stay within the limits (the simulated state service
// checks those), the service is not queried more often than it allows, and work continues
// afterwards.
func TestFleet(t *testing.T) {
	quarter := func(f func(*Machine)) func(*World) {
		return func(w *World) {
			for _, m := range w.Cloud.RunningMachines() {
				if w.chance(0.25) {
					f(m)
				}
			}
		}
	}
	hang := func(m *Machine) { m.Hang(time.Duration(m.w.uniform(5, 30) * float64(time.Second))) }
	fault := func(name string) func(*World) { return Faults[name] }
	for _, c := range []struct {
		name            string
		nodes, machines int
		seed            uint64
		faults          []func(*World)
	}{
		{"five controllers end at once, then an election is interrupted", 5, 900, 51, []func(*World){fault("crash all"), fault("election and restart"), fault("zone cut off")}},
		{"a quarter of the machines crashes in an outage of the state service, which is slow afterwards", 3, 1400, 52, []func(*World){fault("state outage"), quarter((*Machine).Crash), fault("state slow"), fault("stall")}},
		{"a quarter of the machines hangs, report copies arrive late, rolling restart", 5, 900, 53, []func(*World){quarter(hang), fault("late copies of reports"), fault("rolling restart")}},
		{"one controller is left, spot machines are reclaimed", 3, 1400, 54, []func(*World){
			func(w *World) { w.Hosts[0].Restart(30 * time.Second); w.Hosts[1].Restart(25 * time.Second) }, fault("spot reclaims"), fault("alone with its workers"),
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := fleet(c.nodes, c.machines, c.seed)
			w.FleetLoad(100*time.Second, 0.8, 0.25)
			for i, f := range c.faults {
				w.At(time.Duration(50+i*8)*time.Second, func() { f(w) })
			}
			w.At(130*time.Second, func() { w.Checker.FaultsEnded(w.Now()) })
			most, parts := 0, 0
			for at := 10 * time.Second; at <= 220*time.Second; at += 10 * time.Second {
				w.Run(at)
				most = max(most, len(w.Cloud.RunningMachines()))
				parts = 0
				for key, e := range w.State.keys {
					if len(e.value) > w.Cfg.StateLimits.ValueBytes {
						t.Fatalf("record %s has %d bytes", key, len(e.value))
					}
					if strings.HasPrefix(key, "lichenstair/machines/") {
						parts++
					}
				}
			}
			if len(w.Checker.Violations) > 0 {
				t.Fatal(w.Checker.Violations)
			}
			over, largest, begun := 0, 0, 0
			for _, j := range w.Checker.jobs {
				if j.final != "" {
					over++
				}
				if j.spec.Tasks == 900 {
					largest++
					if j.begun {
						begun++
					}
				}
			}
			t.Logf("%d machines at most, %d machine records, %d tasks started, %d of %d jobs ended, %d tasks lost by lease expiry, %d requests rate limited", most, parts, w.Checker.Starts, over, w.Users.Accepted, w.LeaseExpiredTasks, w.State.RateLimited)
			if most < c.machines/3 || w.Users.Accepted < 60 || over < w.Users.Accepted/2 || 2*begun < largest {
				t.Fatalf("%d machines at most, %d of %d jobs ended, %d of %d of the largest begun", most, over, w.Users.Accepted, begun, largest)
			}
			if w.State.RateLimited > 5 {
				t.Fatalf("the state service rate limited %d requests, want at most 5", w.State.RateLimited)
			}
			busiest := 0
			for _, h := range w.Hosts {
				if p := h.process; p != nil {
					busiest = max(busiest, p.peakOpen)
					if p.peakOpen > p.maxOpen || p.peakCalls > p.maxCalls {
						t.Fatalf("controller %s had %d requests and %d calls open", h.name, p.peakOpen, p.peakCalls)
					}
				}
			}
			if busiest < 20 {
				t.Fatalf("no controller had more than %d requests open, want at least 20", busiest)
			}
		})
	}
}

// With far fewer sockets than machines and users need, requests are refused and calls to
// machines wait for a free socket. No rule is broken and work continues, also when all
// controllers restart and when one is left alone with every worker.
func TestFewSockets(t *testing.T) {
	full := 0 // how often a controller had used all its connections
	for seed := range seeds(2) {
		w := fleet(3, 60, 60+seed)
		w.Cfg.Limits.Sockets = 84
		w.FleetLoad(90*time.Second, 0.2, 0.05)
		w.At(40*time.Second, func() { Faults["crash all"](w) })
		w.At(60*time.Second, func() {
			w.Hosts[0].Restart(20 * time.Second)
			w.Hosts[1].Restart(25 * time.Second)
		})
		w.At(75*time.Second, func() { Faults["zone cut off"](w) })
		w.At(130*time.Second, func() { w.Checker.FaultsEnded(w.Now()) })
		for at := 5 * time.Second; at <= 240*time.Second; at += 5 * time.Second {
			w.Run(at)
			for _, h := range w.Hosts {
				if p := h.process; p != nil && p.peakOpen == p.maxOpen {
					full++
					p.peakOpen = 0
				}
			}
		}
		if len(w.Checker.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Checker.Violations)
		}
		if w.Users.Done < w.Users.Accepted/2 || w.Users.Accepted < 10 {
			t.Fatalf("seed %d: %d of %d jobs done", seed, w.Users.Done, w.Users.Accepted)
		}
	}
	if full < 2 {
		t.Fatalf("the connection limit was reached only %d times, want at least 2", full)
	}
}
