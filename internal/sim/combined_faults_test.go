package sim

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// combination is two or more troubles that come together (docs/combined-faults.md).
type combination struct {
	name string
	day  func(w *World)
	// long: the teams are at their limits with tasks of minutes.
	long bool
	// calm is when all troubles are over, 240 s if it is not set.
	calm time.Duration
}

// plainJob makes up an array that may be anywhere and needs no GPUs.
func plainJob(w *World, n int) api.Job {
	j := w.RandomJob(n)
	j.Form, j.Types, j.Zone, j.GPUs, j.OneZone, j.SpreadZones = api.FormArray, nil, nil, 0, false, false
	return j
}

// busy submits jobs of long tasks for every team until all are at their limits.
func busy(w *World, n int) {
	for i, team := range w.Cfg.Teams {
		for k := range 3 {
			j := plainJob(w, n+10*i+k)
			j.Team, j.DeadlineS = team.Name, nil
			j.Tasks, j.CPUs, j.EstimateS, j.ImageGB, j.Spot, j.Rank = int(team.CPUsMax)/3, 1, 150, 0.2, false, api.RankHigh
			w.Users.Submit(j)
		}
	}
}

// gap: the state service refuses the leader alone, cancellations are confirmed through
// the others, and a second or two later it is away for all for longer than they may take.
func gap(w *World) {
	w.State.RejectRequestsFrom(w.leader().name, 14*time.Second)
	for i := range 6 {
		w.After(time.Duration(200*i)*time.Millisecond, func() { w.Users.CancelRunning(1, 0) })
	}
	w.After(2*time.Second, func() { w.State.Outage(w.Cfg.Workers.Cancel + 20*time.Second) })
}

func at(w *World, s float64, f func()) { w.At(time.Duration(s*float64(time.Second)), f) }

func fault(w *World, s float64, name string) { at(w, s, func() { Faults[name](w) }) }

var combinedFaults = []combination{
	{"the leader refused, cancellations, then nobody served, twice", func(w *World) {
		at(w, 60, func() { gap(w) })
		at(w, 150, func() { gap(w) })
	}, true, 0},
	{"the same, controllers not hearing each other, restarts between", func(w *World) {
		fault(w, 50, "controllers refuse each other")
		at(w, 60, func() { gap(w) })
		at(w, 63, func() { w.anyHost().Restart(300 * time.Millisecond) })
		fault(w, 122, "quick restart")
		fault(w, 140, "controllers refuse each other")
		at(w, 150, func() { gap(w) })
		at(w, 152, func() { w.leader().Stall(9 * time.Second) })
	}, true, 0},
	{"state service slow, then refusing the leader, then away", func(w *World) {
		w.State.Slow(200 * time.Second)
		fault(w, 40, "close looks")
		at(w, 60, func() { gap(w) })
		fault(w, 160, "odd requests")
	}, true, 0},
	{"the leader ends while machines are cut off or do not hear", func(w *World) {
		fault(w, 60, "answers lost")
		fault(w, 61, "worker cut")
		at(w, 63, func() { w.leader().Restart(3 * time.Second) })
		fault(w, 110, "answers lost")
		fault(w, 112, "crash all")
	}, true, 0},
	{"called off as the last task ends", func(w *World) {
		w.CancelAtEndProb = 0.5
		w.Users.BurstQueries = true
	}, false, 200 * time.Second},
	{"old reports reach every controller as a new leader begins", func(w *World) {
		for i := range 4 {
			at(w, 50+40*float64(i), func() { w.ReplayReportsToNewLeader() })
			at(w, 54+42*float64(i), func() { w.leader().Restart(time.Duration(w.between(0.1, 4) * float64(time.Second))) })
		}
	}, true, 0},
	{"a report is held back until a new leader has acted", func(w *World) {
		at(w, 60, func() {
			for _, m := range w.some(3) {
				w.PartitionOneWay(party(m.addr), "", 25*time.Second, true)
			}
		})
		at(w, 62, func() { w.leader().Restart(3 * time.Second) })
		fault(w, 100, "late copies of reports")
		fault(w, 120, "crash all")
	}, true, 0},
	{"one-task jobs come four a second, a quarter called off", func(w *World) {
		n := 0
		var next func()
		next = func() {
			j := plainJob(w, 20000+n)
			j.Tasks, j.CPUs, j.EstimateS = 1, 0.5, 6
			w.Users.Submit(j)
			if n%4 == 0 {
				w.After(time.Duration(w.between(0, 8)*float64(time.Second)), func() { w.Users.Cancel(j.ID) })
			}
			if n++; n < 480 {
				w.After(250*time.Millisecond, next)
			}
		}
		at(w, 20, next)
		fault(w, 60, "quick restart")
		fault(w, 90, "answers to writes lost")
	}, false, 0},
	{"all controllers away for longer than a lease", func(w *World) {
		fault(w, 60, "all away for longer than a lease")
		at(w, 61, func() { w.Users.CancelRunning(4, 0) })
		fault(w, 130, "all away for longer than a lease")
	}, true, 0},
	{"jobs of one zone lose machines", func(w *World) {
		for i := range 12 {
			j := w.RandomJob(9000 + i)
			j.Team, j.OneZone, j.SpreadZones, j.Zone, j.Types, j.GPUs, j.CPUs, j.Tasks, j.EstimateS = "blue", true, false, nil, nil, 0, 2, 3+i%5, 60
			if i%2 == 0 {
				j.Form = api.FormArray
			}
			at(w, 30+4*float64(i), func() { w.Users.Submit(j) })
		}
		for i := range 5 {
			fault(w, 50+15*float64(i), "die")
			fault(w, 53+15*float64(i), "worker cut")
		}
		fault(w, 90, "zone cut off")
		fault(w, 100, "quick restart")
	}, false, 0},
	{"machines reach no controller, commands reach them", func(w *World) {
		fault(w, 60, "reports lost")
		fault(w, 66, "cancel now")
		fault(w, 90, "reports lost")
		at(w, 92, func() { w.leader().Restart(3 * time.Second) })
	}, true, 0},
	{"tasks of small jobs end far apart across changes of leader", func(w *World) {
		for i := range 10 {
			j := plainJob(w, 9100+i)
			j.CPUs, j.Tasks, j.EstimateS = 1, 2+i%2, 70
			at(w, 20+2*float64(i), func() { w.Users.Submit(j) })
		}
		fault(w, 55, "leaders change again and again")
		fault(w, 70, "late writes")
		fault(w, 110, "late writes")
	}, false, 0},
	{"reports of earlier sessions and attempts come late", func(w *World) {
		at(w, 50, func() { w.LateReportProb = 0.5 })
		fault(w, 60, "hang")
		fault(w, 62, "worker cut")
		fault(w, 80, "zone cut off")
		fault(w, 100, "crash all")
		at(w, 160, func() { w.LateReportProb = 0 })
	}, true, 0},
	{"teams at their limits, machines silent, cancellations, a new leader", func(w *World) {
		at(w, 60, func() { w.Users.CancelRunning(6, 11*time.Second) })
		at(w, 61, func() {
			for _, m := range w.some(3) {
				w.Partition(party(m.addr), "", 30*time.Second, false)
			}
			w.Users.CancelRunning(6, 0)
			w.leader().Restart(3 * time.Second)
		})
		at(w, 110, func() { w.Users.CancelRunning(8, 9*time.Second); w.leader().Restart(200 * time.Millisecond) })
		at(w, 112, func() { busy(w, 9200) })
	}, true, 0},
	{"hand-overs back and forth, all end, one returns", func(w *World) {
		for i := range 6 {
			at(w, 50+6*float64(i), func() { w.Hosts[i%3].Restart(time.Duration(w.between(0.05, 1) * float64(time.Second))) })
		}
		at(w, 100, func() {
			for i, h := range w.Hosts {
				h.Restart(time.Duration(float64(1+30*i) * 0.9 * float64(time.Second)))
			}
		})
		fault(w, 104, "cancel now")
	}, true, 0},
	{"a leader alone with workers and users, cancellations through the new one", func(w *World) {
		at(w, 60, func() { w.IsolateWithWorkers(w.leader(), 60*time.Second) })
		for i := range 8 {
			at(w, 61+4*float64(i), func() { w.Users.CancelRunning(1, 0) })
		}
		fault(w, 60, "close looks")
	}, true, 0},
	{"writes are carried out late, after newer ones", func(w *World) {
		for i := range 5 {
			fault(w, 30+32*float64(i), "late writes")
			fault(w, 36+32*float64(i), "quick restart")
			fault(w, 44+32*float64(i), "cancel now")
		}
	}, true, 0},
	{"only the answers to writes are lost, others read what was written", func(w *World) {
		for i := range 5 {
			fault(w, 30+32*float64(i), "answers to writes lost")
		}
		w.Users.BurstQueries = true
		w.CancelAtEndProb = 0.3
		at(w, 230, func() { w.Users.BurstQueries, w.CancelAtEndProb = false, 0 })
	}, false, 0},
	{"a zone with workers and a controller is cut off for longer than a lease", func(w *World) {
		fault(w, 60, "a zone with a controller cut off")
		fault(w, 64, "cancel now")
		fault(w, 90, "cancel now")
		fault(w, 140, "a zone with a controller cut off")
	}, true, 0},
	{"cancellations while work changes hands", func(w *World) {
		for i := range 6 {
			at(w, 50+20*float64(i), func() { w.anyHost().Restart(time.Duration(w.between(0.1, 8) * float64(time.Second))) })
			for k := range 6 {
				at(w, 50+20*float64(i)+0.8*float64(k), func() { w.Users.CancelRunning(1, 0) })
			}
		}
	}, true, 0},
	{"more work than room over slow links", func(w *World) {
		w.MaxExtraLatency = 300 * time.Millisecond
		at(w, 20, func() { busy(w, 9300) })
		at(w, 50, func() { busy(w, 9400) })
		fault(w, 80, "late writes")
		at(w, 200, func() { w.MaxExtraLatency = 0 })
	}, true, 0},
	{"new machines are up at once, writes lag, the leader ends", func(w *World) {
		w.Cloud.BootTimeFactor = 0.05
		for i := range 5 {
			fault(w, 40+30*float64(i), "late writes")
			at(w, 41+30*float64(i), func() { busy(w, 9500+100*i) })
			at(w, 43+30*float64(i), func() { w.leader().Restart(time.Duration(w.between(0.1, 4) * float64(time.Second))) })
		}
	}, false, 0},
	{"commands and answers are held up for seconds", func(w *World) {
		for i := range 6 {
			fault(w, 50+25*float64(i), "commands held up")
			fault(w, 51+25*float64(i), "hang")
			at(w, 52+25*float64(i), func() { w.Users.CancelRunning(2, 6*time.Second) })
		}
		fault(w, 80, "quick restart")
		fault(w, 130, "crash all")
	}, true, 0},
	{"leaders change ten times in two minutes, also in an outage", func(w *World) {
		fault(w, 60, "leaders change again and again")
		at(w, 100, func() { w.State.Outage(25 * time.Second) })
		for i := range 10 {
			fault(w, 62+11*float64(i), "cancel now")
		}
	}, true, 0},
	{"users look closely at all nodes", func(w *World) {
		w.Users.BurstQueries = true
		w.State.Slow(20 * time.Second)
		fault(w, 60, "one node refused")
		fault(w, 90, "leader alone with workers and users")
		fault(w, 130, "late writes")
		at(w, 200, func() { w.Users.BurstQueries = false })
	}, false, 0},
	{"requests that should not come", func(w *World) {
		for i := range 8 {
			fault(w, 20+20*float64(i), "odd requests")
		}
		fault(w, 60, "state outage")
		fault(w, 120, "crash all")
	}, false, 0},
}

// Every combination of troubles that users reported keeps the rules, on several seeds; once
// the troubles are over, everybody is served and nobody waits beside free capacity.
func TestCombinedFaults(t *testing.T) {
	for _, m := range combinedFaults {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(2) {
				w := NewWorld(Settings(3), 4000+seed, nil)
				if path := os.Getenv("SIM_LOG"); path != "" {
					logs, _ := os.Create(path)
					defer logs.Close()
					w.Logs = logs
				}
				w.Populate()
				w.GenerateLoad(200*time.Second, 5*time.Second)
				if m.long {
					at(w, 8, func() { busy(w, 9900) })
				}
				at(w, 1, func() { m.day(w) })
				calm := m.calm
				if calm == 0 {
					calm = 240 * time.Second
				}
				playOut(t, w, seed, calm)
				if w.Users.Done == 0 {
					t.Fatalf("seed %d: nothing was done", seed)
				}
			}
		})
	}
}

// The combination before all others, step by step: the holder of running tasks is refused by
// the state service, another controller confirms that their jobs are cancelled, and then
// the service is away for longer than that may take. The old leader still answers its
// workers. No hint reaches it: only the time since its last proof makes it let them go.
func TestCancelledBehindTheLeadersBack(t *testing.T) {
	for seed := range seeds(6) {
		w := NewWorld(Settings(3), 4500+seed, nil)
		w.Populate()
		at(w, 5, func() { busy(w, 100) })
		confirmed, ran := 0, 0
		for _, start := range []float64{60, 160} {
			at(w, start, func() {
				leader := w.leader()
				for _, h := range w.Hosts {
					if h != leader {
						w.Partition(party(leader.name), party(h.name), 70*time.Second, false)
						w.Partition("users", party(leader.name), 70*time.Second, false)
					}
				}
				w.State.RejectRequestsFrom(leader.name, 14*time.Second)
				at(w, start+0.5, func() { w.Users.CancelRunning(4, 0) })
				at(w, start+2.5, func() {
					for _, j := range w.Checker.jobs {
						if j.final == api.PhaseCancelled && j.on > 0 {
							confirmed++
							ran += j.on
						}
					}
					w.State.Outage(w.Cfg.Workers.Cancel + 25*time.Second)
				})
			})
		}
		w.Run(280 * time.Second)
		if len(w.Checker.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Checker.Violations)
		}
		if confirmed == 0 || ran == 0 {
			t.Fatalf("seed %d: the combination did not come about: %d jobs, %d tasks", seed, confirmed, ran)
		}
	}
}

// A holder that the state service alone refuses hears of a cancellation from the
// controller that confirmed it, and ends the tasks at once. It started more of them, and
// let all workers go in the end.
func TestCancellationsAreToldToPeers(t *testing.T) {
	late, left := 0, 0
	for seed := range seeds(6) {
		w := NewWorld(Settings(3), 4600+seed, nil)
		w.Populate()
		at(w, 5, func() { busy(w, 100) })
		at(w, 60, func() {
			w.State.RejectRequestsFrom(w.leader().name, 14*time.Second)
			w.Partition("users", party(w.leader().name), 14*time.Second, false)
		})
		at(w, 60.5, func() { w.Users.CancelRunning(100, 0) }) // also those of the leader's blocks
		at(w, 62, func() { w.State.Outage(12 * time.Second) })
		w.Run(70 * time.Second)
		if len(w.Checker.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Checker.Violations)
		}
		late += w.Checker.StartsAfterCancel
		for _, j := range w.Checker.jobs {
			if j.final == api.PhaseCancelled {
				left += j.on
			}
		}
	}
	if late > 0 || left > 0 {
		t.Fatalf("%d starts after a confirmed cancellation; 8 s after it %d tasks are left", late, left)
	}
}

// A registration of an earlier tenure that is carried out late must not replace that of
// the present one: the node renewed its tenure for ever, was counted among nobody's live
// controllers, and held nothing any more.
func TestLateRegistrationDoesNotDisplace(t *testing.T) {
	w := NewWorld(Settings(3), 31, nil)
	w.Populate()
	w.GenerateLoad(200*time.Second, 4*time.Second)
	victim := w.Hosts[2]
	late := 0
	at(w, 60, func() {
		w.State.OnTxn = func(from core.Host, t api.Txn) (f TxnFault) {
			for _, c := range t.Then {
				if from == victim.name && strings.HasPrefix(c.Set, state.KeyMember("")) && late == 0 {
					late++
					f.ApplyDelay = 3500 * time.Millisecond
				}
			}
			return f
		}
		victim.Restart(200 * time.Millisecond)
	})
	w.Run(120 * time.Second)
	if late != 1 {
		t.Fatal("no registration was held back")
	}
	if len(w.Checker.Violations) > 0 {
		t.Fatal(w.Checker.Violations)
	}
	held := 0
	for key, e := range w.State.keys {
		var b state.Block
		if strings.HasPrefix(key, state.KeyBlock(0)[:len(state.KeyBlock(0))-1]) && api.Decode(e.value, &b) == nil && b.Holder == victim.name {
			held++
		}
	}
	if held == 0 {
		t.Fatal("a minute after its restart the controller holds no block")
	}
}

// A machine whose reports reach nobody, though it answers commands, gets no work: it was
// planned for again and again, each time for seconds, and what was planned waited.
func TestMachineWithoutReportsGetsNoWork(t *testing.T) {
	w := NewWorld(Settings(3), 41, nil)
	w.Populate()
	at(w, 5, func() { busy(w, 100) })
	var isolated *Machine
	at(w, 40, func() {
		isolated = w.some(1)[0]
		w.DropReports(isolated, 300*time.Second)
	})
	w.Run(150 * time.Second)
	if len(w.Checker.Violations) > 0 {
		t.Fatal(w.Checker.Violations)
	}
	if isolated.phase == machineUp {
		t.Fatal("it was not given back")
	}
}

// Each new check fires on a made-up breach.
func TestCheckerOfCombinedFaults(t *testing.T) {
	job := api.Job{ID: "req-1", Team: "red", Form: api.FormArray, Tasks: 2, CPUs: 1}
	start := func() *Checker {
		c := NewChecker([]config.Team{{Name: "red", CPUsMax: 10}}, 30*time.Second)
		c.Submitted(job)
		c.Step(time.Second)
		c.StatusReturned("req-1", api.PhaseQueued, 0)
		return c
	}
	for _, tc := range []struct {
		name, rule string
		play       func(c *Checker)
	}{
		{"unknown to a node asked after another said accepted", "forgotten", func(c *Checker) { c.NotFound("req-1", 2*time.Second) }},
		{"unknown to a node asked before", "", func(c *Checker) { c.NotFound("req-1", 0) }},
		{"an older answer to a question asked later", "went_back", func(c *Checker) {
			c.CancelRequested("req-1")
			c.StatusReturned("req-1", api.PhaseCancelled, c.now)
			c.Step(c.now + time.Millisecond)
			c.StatusReturned("req-1", api.PhaseRunning, c.now)
		}},
		{"a submission without a field is taken", "accepted", func(c *Checker) { c.InvalidSubmission("lacks a field", 201) }},
		{"one is refused", "", func(c *Checker) { c.InvalidSubmission("lacks a field", 400) }},
		{"goes on after a hang", "ran_cancelled", func(c *Checker) {
			c.TaskPlaced(core.TaskID{Job: "req-1"}, MachineInfo{ID: "n-1"})
			c.CancelRequested("req-1")
			c.StatusReturned("req-1", api.PhaseCancelled, c.now)
			c.Step(c.now + 31*time.Second)
		}},
		{"the only attempt of a task is stopped", "needless_stop", func(c *Checker) {
			c.TaskPlaced(core.TaskID{Job: "req-1"}, MachineInfo{ID: "n-1"})
			c.TaskStopped(core.TaskID{Job: "req-1"})
		}},
		{"a task is stopped whose job is called off", "", func(c *Checker) {
			c.TaskPlaced(core.TaskID{Job: "req-1"}, MachineInfo{ID: "n-1"})
			c.CancelRequested("req-1")
			c.TaskStopped(core.TaskID{Job: "req-1"})
		}},
		{"waits beside free capacity", "waits", func(c *Checker) {
			for s := range 20 {
				c.Step(time.Duration(2+5*s) * time.Second)
				c.FreeMachines("req-1", []string{"n-1"})
			}
		}},
		{"waits beside free capacity that comes and goes", "", func(c *Checker) {
			for s := range 40 {
				c.Step(time.Duration(2+5*s) * time.Second)
				c.FreeMachines("req-1", []string{fmt.Sprint("n-", s/10)})
			}
		}},
	} {
		c := start()
		tc.play(c)
		got := strings.Join(c.Violations, "; ")
		if tc.rule == "" && got != "" || tc.rule != "" && !strings.Contains(got, tc.rule+":") {
			t.Errorf("%s: want %q, got %q", tc.name, tc.rule, got)
		}
	}
	c := start()
	c.CancelRequested("req-1")
	c.StatusReturned("req-1", api.PhaseCancelled, c.now)
	c.TaskPlaced(core.TaskID{Job: "req-1"}, MachineInfo{ID: "n-1"})
	if c.StartsAfterCancel != 1 {
		t.Error("a start after a confirmed cancellation is not counted")
	}
}

// The end of a job and its cancellation are written at the same moment, by different
// controllers, and one of the two writes is carried out a second late, after its answer
// was given up: whichever came first stands, and nobody is told otherwise.
func TestDoneMeetsCancellation(t *testing.T) {
	for _, phase := range []state.JobPhase{state.JobDone, state.JobCancelled} {
		w := NewWorld(Settings(3), 43, nil)
		w.Populate()
		met := map[string]bool{}
		w.State.OnTxn = func(from core.Host, t api.Txn) (f TxnFault) {
			for _, c := range t.Then {
				id, isJob := strings.CutPrefix(c.Set, state.KeyJob(""))
				var j state.Job
				if !isJob || api.Decode(c.Value, &j) != nil || met[id] {
					continue
				}
				switch {
				case j.Phase == state.JobDone && phase == state.JobDone:
					met[id] = true
					w.Users.Cancel(id)
					f.ApplyDelay = time.Second
				case j.Phase == state.JobCancelled && phase == state.JobCancelled:
					met[id] = true
					f.ApplyDelay = time.Second
				}
			}
			return f
		}
		for i := range 20 {
			j := plainJob(w, 1+i)
			j.CPUs, j.Tasks, j.EstimateS, j.ImageGB = 1, 1, 8, 0.1
			at(w, 5+float64(i), func() { w.Users.Submit(j) })
		}
		if phase == state.JobCancelled {
			w.CancelAtEndProb = 1
		}
		w.Run(90 * time.Second)
		if len(w.Checker.Violations) > 0 {
			t.Fatalf("%s late: %v", phase, w.Checker.Violations)
		}
		done, cancelled := 0, 0
		for _, j := range w.Checker.jobs {
			switch j.final {
			case api.PhaseDone:
				done++
			case api.PhaseCancelled:
				cancelled++
			}
		}
		if len(met) < 10 || done+cancelled < 20 || phase == state.JobDone && cancelled == 0 {
			t.Fatalf("%s late: %d met, %d done, %d cancelled", phase, len(met), done, cancelled)
		}
	}
}

// A holder ends while its release of an idle machine is on the way. The next one starts
// tasks there, which needs no record to be changed; carried out then, the release would
// take the machine, with all that runs on it, to another block. It is conditioned on the
// grant under which it was decided.
func TestLateReleaseOfAPreviousHolder(t *testing.T) {
	ran := 0
	for seed := range seeds(6) {
		w := NewWorld(Settings(3), 4700+seed, nil)
		w.Populate()
		at(w, 5, func() { short(w, 100, 8) })
		var held core.Host
		w.State.OnTxn = func(from core.Host, t api.Txn) (f TxnFault) {
			release := false
			for _, c := range t.Then {
				release = release || strings.HasPrefix(c.Set, "lichenstair/machines/pool/")
			}
			if w.Now() < 20*time.Second || held != "" || !release || t.If[0].Key == state.KeyLeader {
				return f
			}
			held, f.ApplyDelay = from, 9*time.Second
			w.host(from).Restart(100 * time.Millisecond)
			w.After(time.Second, func() { short(w, 300, 60) })
			w.After(8500*time.Millisecond, func() {
				for _, m := range w.Cloud.RunningMachines() {
					ran += len(m.tasks)
				}
			})
			return f
		}
		w.Run(60 * time.Second)
		if len(w.Checker.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Checker.Violations)
		}
		if held == "" {
			t.Fatalf("seed %d: no release was held back", seed)
		}
	}
	if ran == 0 {
		t.Fatal("nothing ran when the releases were carried out")
	}
}

// short submits arrays of every team with tasks that take so many seconds.
func short(w *World, n int, seconds float64) {
	for i, team := range w.Cfg.Teams {
		j := plainJob(w, n+i)
		j.Team, j.DeadlineS = team.Name, nil
		j.Tasks, j.CPUs, j.EstimateS, j.ImageGB, j.Spot = int(team.CPUsMax), 1, seconds, 0.1, false
		w.Users.Submit(j)
	}
}
