package sim

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/node"
	"lichenstair/internal/state"
)

// step returns a short array that depends on the given jobs.
func (w *World) step(n int, team string, needs ...string) api.Job {
	return api.Job{
		ID: fmt.Sprintf("req-%06d", n), Class: "step", Team: team, Form: api.FormArray, Rank: api.RankStandard, Tasks: 2, CPUs: 1, MemoryGB: 1,
		Image: "step", ImageGB: 0.1, EstimateS: 4, Spot: true, Dependencies: needs,
	}
}

// Random graphs of jobs across teams and blocks, some of them cancelled, under every kind of
// fault. No job starts too early, and a job is cancelled together with any of its dependencies.
func TestDependenciesUnderFaults(t *testing.T) {
	for seed := range seeds(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := NewWorld(Settings(3), 6000+seed, nil)
			w.Populate()
			w.DependencyProb = 0.5
			w.GenerateLoad(260*time.Second, 3*time.Second)
			names := faultNames()
			names = slices.DeleteFunc(names, func(n string) bool { return n == "a team removed from the settings" })
			for at := 25 * time.Second; at < 220*time.Second; at += time.Duration(w.uniform(2, 40) * float64(time.Second)) {
				name := names[w.Rand.IntN(len(names))]
				w.At(at, func() { Faults[name](w) })
			}
			faultsEnd := 220*time.Second + longestFault
			playOut(t, w, seed, faultsEnd)
			done, cancelled := 0, 0
			for _, j := range w.Checker.jobs {
				switch {
				case len(j.spec.Dependencies) == 0:
				case j.final == api.PhaseDone:
					done++
				case j.final == api.PhaseCancelled && !j.cancelRequested:
					cancelled++
				}
			}
			if done == 0 || cancelled == 0 {
				t.Fatalf("seed %d: %d jobs with dependencies are done, %d were cancelled with a dependency; want both above 0", seed, done, cancelled)
			}
		})
	}
}

// A chain, a fan-out and a diamond run in order, each step soon after the last. Cancelling one
// job cancels all that depend on it, at any depth, with a single record change.
func TestDependencyGraphs(t *testing.T) {
	w := NewWorld(Settings(3), 61, nil)
	w.Populate()
	teams := []string{"red", "blue", "green", "grey"}
	// Submits each job as soon as its dependencies are accepted, as users do.
	var submitWhenReady func(j api.Job)
	submitWhenReady = func(j api.Job) {
		for _, id := range j.Dependencies {
			if b := w.Users.jobs[id]; b == nil || !b.accepted {
				w.After(20*time.Millisecond, func() { submitWhenReady(j) })
				return
			}
		}
		w.Users.Submit(j)
	}
	submit := func(s float64, j api.Job) { at(w, s, func() { submitWhenReady(j) }) }
	last := ""
	for i := range 12 { // a chain through all blocks
		j := w.step(100+i, teams[i%4])
		if last != "" {
			j.Dependencies = []string{last}
		}
		last = j.ID
		submit(5+0.2*float64(i), j)
	}
	submit(5, w.step(200, "red"))
	var fan []string
	for i := range 8 {
		j := w.step(201+i, teams[i%4], "req-000200")
		fan = append(fan, j.ID)
		submit(6, j)
	}
	submit(7, w.step(220, "blue", fan...))
	// A long job, followed by a chain that depends on it. The long job is cancelled.
	head := w.step(300, "green")
	head.EstimateS = 90
	submit(5, head)
	last = head.ID
	for i := range 40 {
		j := w.step(301+i, teams[i%4], last)
		last = j.ID
		submit(6+0.1*float64(i), j)
	}
	at(w, 30, func() { w.Users.Cancel(head.ID) })
	late := w.step(390, "red", last)
	submit(35, late)
	w.Run(130 * time.Second)
	if len(w.Checker.Violations) > 0 {
		t.Fatal(w.Checker.Violations)
	}
	for _, id := range []string{"req-000111", "req-000220"} {
		if j := w.Checker.jobs[id]; j.final != api.PhaseDone {
			t.Errorf("%s is not done", id)
		}
	}
	if end := w.Checker.jobs["req-000111"].doneAt; end > 125*time.Second {
		t.Errorf("the chain of twelve jobs of about 4 s ended at %s, want by 125 s", end)
	}
	for i := range 41 {
		id := fmt.Sprintf("req-%06d", 300+i)
		if j := w.Checker.jobs[id]; j.final != api.PhaseCancelled || j.placed > 0 || i > 0 && j.begun {
			t.Errorf("%s: phase %q, begun %v", id, j.final, j.begun)
		}
	}
	if j := w.Checker.jobs[late.ID]; !j.accepted || j.final != api.PhaseCancelled {
		t.Errorf("a job that depends on a cancelled one: accepted %v, phase %q", j.accepted, j.final)
	}
	written := 0
	for _, e := range w.State.log {
		if strings.HasPrefix(e.Set, state.KeyJob("req-0003")) && strings.Contains(string(e.Value), `"phase":"cancelled"`) {
			written++
		}
	}
	if written != 1 {
		t.Errorf("%d records of cancelled jobs were written for 42 jobs, want 1", written)
	}
	for _, e := range w.State.log {
		if strings.HasPrefix(e.Set, state.KeyJob("")) && strings.Contains(string(e.Value), `"phase":"done"`) && !strings.Contains(string(e.Value), `"ended":`) {
			t.Errorf("%s does not hold the time at which the job was done", e.Set)
		}
	}
}

// No machine is rented or kept for a job whose dependencies have not begun.
func TestNoRentalBeforeDependenciesBegin(t *testing.T) {
	machines := func(last bool) int {
		w := NewWorld(Settings(3), 64, nil)
		w.Populate()
		first := w.step(1, "red")
		first.EstimateS = 90
		at(w, 5, func() { w.Users.Submit(first) })
		at(w, 6, func() { w.Users.Submit(w.step(2, "red", first.ID)) })
		if last {
			huge := w.step(3, "red", "req-000002")
			huge.Tasks = 90
			at(w, 7, func() { w.Users.Submit(huge) })
		}
		w.Run(70 * time.Second)
		return len(w.Cloud.RunningMachines())
	}
	if without, with := machines(false), machines(true); with > without {
		t.Errorf("%d machines with a job that cannot start for a minute, %d without it", with, without)
	}
}

// Only a controller whose mirror is confirmed fresh answers 422 to a submission that
// depends on a job never accepted; any other controller answers 503.
func TestUnknownDependency(t *testing.T) {
	w := NewWorld(Settings(3), 62, nil)
	w.Populate()
	w.Run(5 * time.Second)
	ask := func(h *Host, j api.Job) (status int) {
		raw, err := json.Marshal(j)
		if err != nil {
			t.Fatal(err)
		}
		w.exchange("users", core.Request{Addr: h.addr, Method: "POST", Path: "/work", Body: raw, Timeout: 4 * time.Second}, func(r core.Response) { status = r.Status })
		w.Run(w.Now() + 4*time.Second)
		return status
	}
	first, second := w.step(1, "red"), w.step(2, "blue", "req-000001")
	if got := ask(w.Hosts[0], second); got != 422 {
		t.Fatalf("a job that depends on an unknown one is answered %d, want 422", got)
	}
	w.State.RejectRequestsFrom(w.Hosts[1].name, time.Minute)
	if got := ask(w.Hosts[0], first); got != 201 {
		t.Fatalf("answered %d", got)
	}
	if got := ask(w.Hosts[1], second); got != 503 {
		t.Fatalf("a controller whose mirror is not confirmed fresh answers %d, want 503", got)
	}
	for _, h := range []*Host{w.Hosts[2], w.Hosts[0]} {
		if got := ask(h, second); got != 201 && got != 200 {
			t.Fatalf("answered %d", got)
		}
	}
}

// A repeated submission is answered by the state of the job, whatever it contains and whatever has
// become of its dependencies. While the mirror cannot be confirmed fresh, the user is told to
// retry and never refused. A response that may still change carries an expiry time, so that it is
// not sent late.
func TestRepeatedSubmissionIsNeverRefused(t *testing.T) {
	w := NewWorld(Settings(3), 63, nil)
	w.Populate()
	w.Run(5 * time.Second)
	submit := func(h *Host, body []byte) (response node.Response) {
		h.process.node.Submit(body, func(a node.Response) { response = a })
		w.Run(w.Now() + 4*time.Second)
		return response
	}
	unchanged := func(map[string]any) {}
	first := w.step(1, "red")
	first.EstimateS = 300
	second := w.step(2, "blue", first.ID)
	for _, j := range []api.Job{first, second} {
		if a := submit(w.Hosts[0], changedBody(j, unchanged)); a.Status != 201 || len(j.Dependencies) > 0 && a.ExpiresAt == 0 {
			t.Fatalf("%s is answered %+v", j.ID, a)
		}
	}
	repeats := append([]invalidChange{
		{"is unchanged", unchanged},
		{"has no roots", func(f map[string]any) { delete(f, "roots") }},
		{"has roots of a wrong type", func(f map[string]any) { f["roots"] = 7 }},
	}, invalidChanges...)
	w.State.RejectRequestsFrom(w.Hosts[2].name, time.Hour)
	w.Run(w.Now() + 5*time.Second)
	for _, phase := range []string{api.PhaseQueued, api.PhaseCancelled} {
		if phase == api.PhaseCancelled {
			w.Hosts[0].process.node.Cancel(core.JobID(first.ID), func(node.Response) {})
			w.Run(w.Now() + 4*time.Second)
		}
		for _, repeat := range repeats {
			body := changedBody(second, repeat.change)
			for _, h := range w.Hosts[:2] {
				a := submit(h, body)
				if s, ok := a.Body.(api.JobStatus); !ok || a.Status != 200 || s.Phase != phase || phase == api.PhaseQueued && a.ExpiresAt == 0 {
					t.Errorf("a repeated submission that %s is answered %+v, want %s", repeat.what, a, phase)
				}
			}
			if a := submit(w.Hosts[2], body); a.Status != 503 || a.RetryAfter == 0 {
				t.Errorf("a repeated submission that %s is answered %+v by a controller whose mirror is not confirmed fresh", repeat.what, a)
			}
		}
	}
	if a := submit(w.Hosts[0], changedBody(w.step(3, "red"), invalidChanges[1].change)); a.Status != 400 {
		t.Errorf("a new job that %s is answered %+v", invalidChanges[1].what, a)
	}
	if len(w.Checker.Violations) > 0 {
		t.Error(w.Checker.Violations)
	}
}

// An upgrade with mixed versions: controllers of the previous release, which keep its larger
// limits and drop fields they do not know, are replaced one after the other. The rules hold
// during and after it. Once all are upgraded, the limits of the state service are lowered
// without notice, at different moments of an election, a block grant, a move of machines and a
// scheduling round.
func TestRollingUpgrade(t *testing.T) {
	for seed := range seeds(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cfg := Settings(3)
			previous := cfg.StateLimits
			previous.ValueBytes = 16 << 10
			cfg.StateLimits.ValueBytes, cfg.StateLimits.TxnOps, cfg.StateLimits.WriteRPS = 2<<10, 12, 30
			w := NewWorld(cfg, 6500+seed, nil)
			w.PreviousLimits = previous
			w.State.SetLimits(previous)
			for _, h := range w.Hosts {
				h.PreviousVersion = true
			}
			w.Populate()
			at(w, 48, func() {
				for range 60 {
					w.Cloud.Add("small", "a", false, 0)
				}
			})
			w.GenerateLoad(260*time.Second, 3*time.Second)
			largest := 0
			for i, h := range w.Hosts {
				at(w, 60+12*float64(i), func() {
					for _, e := range w.State.keys {
						largest = max(largest, len(e.value))
					}
					h.PreviousVersion = false
					h.Restart(time.Duration(w.uniform(0.1, 5) * float64(time.Second)))
				})
			}
			at(w, 66, func() { w.randomHost().Restart(300 * time.Millisecond) })
			at(w, 80, func() { w.Users.CancelRunning(3, 0) })
			at(w, 95, func() { w.DependencyProb = 0.5 })
			// The limits drop at a random moment after the last upgrade, together with another
			// event.
			w.At(98*time.Second+time.Duration(w.uniform(0, 3000))*time.Millisecond, func() { w.State.SetLimits(cfg.StateLimits) })
			at(w, 98, func() {
				switch seed % 4 {
				case 0:
					w.Leader().Restart(500 * time.Millisecond)
				case 1:
					w.randomHost().Restart(4 * time.Second)
				case 2:
					fillTeamQuotas(w, 9000)
				}
			})
			for i, name := range []string{"late writes", "crash all", "leader rejected, then state outage", "quick restart"} {
				at(w, 110+20*float64(i), func() { Faults[name](w) })
			}
			playOut(t, w, seed, 330*time.Second)
			if largest <= cfg.StateLimits.ValueBytes {
				t.Fatalf("seed %d: the previous release wrote no record of more than %d bytes", seed, largest)
			}
			done := 0
			for _, j := range w.Checker.jobs {
				if len(j.spec.Dependencies) > 0 && j.final == api.PhaseDone {
					done++
				}
			}
			if done == 0 {
				t.Fatalf("seed %d: no job with dependencies was done", seed)
			}
		})
	}
}

// Limits are lowered without notice. Transactions that are too large are retried in smaller
// parts, and requests that come too often at a lower rate; nothing is lost and no write is
// abandoned.
func TestLimitsLoweredUnannounced(t *testing.T) {
	w := NewWorld(Settings(3), 67, nil)
	w.Populate()
	w.GenerateLoad(150*time.Second, 2*time.Second)
	at(w, 60, func() {
		w.State.UnannouncedLimits = true
		w.State.SetLimits(config.StateLimits{RPS: 100, WriteRPS: 25, ValueBytes: 8 << 10, TxnOps: 8})
	})
	at(w, 61, func() { fillTeamQuotas(w, 9000) })
	at(w, 90, func() { w.Leader().Restart(time.Second) })
	w.At(160*time.Second, func() { w.Checker.FaultsEnded(w.Now()) })
	w.Run(420 * time.Second)
	w.Checker.CheckStarvation()
	if len(w.Checker.Violations) > 0 {
		t.Fatal(w.Checker.Violations)
	}
	if w.State.TooLarge == 0 || w.State.TooLarge > 60 {
		t.Fatalf("%d transactions were refused for their size, want 1 to 60", w.State.TooLarge)
	}
}

// Each check of dependencies fires on a constructed violation.
func TestCheckerOfDependencies(t *testing.T) {
	for _, tc := range []struct {
		name, rule string
		play       func(c *Checker)
	}{
		{"in order", "", func(c *Checker) {
			c.TaskCompleted(core.TaskID{Job: "req-1"})
			c.TaskPlaced(core.TaskID{Job: "req-2"}, MachineInfo{ID: "n-1"})
		}},
		{"starts before its dependency is done", "too_early", func(c *Checker) { c.TaskPlaced(core.TaskID{Job: "req-2"}, MachineInfo{ID: "n-1"}) }},
		{"queued after a transitive dependency was cancelled", "orphaned", func(c *Checker) {
			c.CancelRequested("req-1")
			c.StatusReturned("req-1", api.PhaseCancelled, c.now)
			c.StatusReturned("req-3", api.PhaseQueued, c.now)
		}},
		{"cancelled with a transitive dependency", "", func(c *Checker) {
			c.CancelRequested("req-1")
			c.StatusReturned("req-1", api.PhaseCancelled, c.now)
			c.StatusReturned("req-3", api.PhaseCancelled, c.now)
		}},
		{"cancelled with a job that depends on it", "went_back", func(c *Checker) {
			c.CancelRequested("req-3")
			c.StatusReturned("req-2", api.PhaseCancelled, c.now)
		}},
	} {
		c := NewChecker([]config.Team{{Name: "red", CPUsMax: 10}}, 30*time.Second)
		for i, needs := range [][]string{nil, {"req-1"}, {"req-2"}} {
			id := fmt.Sprint("req-", i+1)
			c.Submitted(api.Job{ID: id, Team: "red", Form: api.FormArray, Tasks: 1, CPUs: 1, Dependencies: needs})
			c.StatusReturned(id, api.PhaseQueued, 0)
		}
		c.Step(time.Second)
		tc.play(c)
		got := strings.Join(c.Violations, "; ")
		if tc.rule == "" && got != "" || tc.rule != "" && !strings.Contains(got, tc.rule+":") {
			t.Errorf("%s: want %q, got %q", tc.name, tc.rule, got)
		}
	}
}
