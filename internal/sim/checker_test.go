package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// Each constructed history breaks one rule, which the checker must name. The first four break
// none.
func TestChecker(t *testing.T) {
	zone := "a"
	small := MachineInfo{"n-1", "small", "a", false}
	other := MachineInfo{"n-2", "small", "b", false}
	spot := MachineInfo{"n-3", "small", "a", true}
	large := MachineInfo{"n-4", "large", "a", false}
	task := func(i int) core.TaskID { return core.TaskID{Job: "req-1", Index: i} }
	job := func(change func(*api.Job)) api.Job {
		j := api.Job{ID: "req-1", Team: "red", Form: api.FormArray, Tasks: 4, CPUs: 1}
		change(&j)
		return j
	}
	plain := job(func(*api.Job) {})
	type history func(c *Checker)
	cases := []struct {
		name, rule string
		job        api.Job
		play       history
	}{
		{"one start after another", "", plain, func(c *Checker) {
			c.TaskPlaced(task(0), small)
			c.TaskRemoved(task(0), "n-1")
			c.TaskPlaced(task(0), other)
		}},
		{"removed in time after a cancellation", "", plain, func(c *Checker) {
			c.TaskPlaced(task(0), small)
			c.CancelRequested("req-1")
			c.StatusReturned("req-1", api.PhaseCancelled, c.now)
			c.Step(29 * time.Second)
			c.TaskRemoved(task(0), "n-1")
			c.Step(60 * time.Second)
		}},
		{"an outdated answer that arrives late", "", plain, func(c *Checker) {
			c.CancelRequested("req-1")
			c.Step(time.Second)
			c.StatusReturned("req-1", api.PhaseCancelled, c.now)
			c.StatusReturned("req-1", api.PhaseQueued, 0)
		}},
		{"half of the tasks, rounded up, in a zone", "", job(func(j *api.Job) { j.SpreadZones = true; j.Tasks = 3 }), func(c *Checker) {
			c.TaskPlaced(task(0), small)
			c.TaskPlaced(task(1), small)
			c.TaskPlaced(task(2), other)
		}},
		{"two machines at once", "ran_twice", plain, func(c *Checker) {
			c.TaskPlaced(task(0), small)
			c.TaskPlaced(task(0), other)
		}},
		{"more than the team's limit", "quota", job(func(j *api.Job) { j.CPUs = 4 }), func(c *Checker) {
			c.TaskPlaced(task(0), small)
			c.TaskPlaced(task(1), small)
			c.TaskPlaced(task(2), other)
		}},
		{"a type not allowed", "wrong_place", job(func(j *api.Job) { j.Types = []string{"small"} }), func(c *Checker) { c.TaskPlaced(task(0), large) }},
		{"a zone not allowed", "wrong_place", job(func(j *api.Job) { j.Zone = &zone }), func(c *Checker) { c.TaskPlaced(task(0), other) }},
		{"a spot machine", "wrong_place", plain, func(c *Checker) { c.TaskPlaced(task(0), spot) }},
		{"two zones", "wrong_place", job(func(j *api.Job) { j.OneZone = true }), func(c *Checker) {
			c.TaskPlaced(task(0), small)
			c.TaskPlaced(task(1), other)
		}},
		{"too many in a zone", "wrong_place", job(func(j *api.Job) { j.SpreadZones = true; j.Tasks = 3 }), func(c *Checker) {
			c.TaskPlaced(task(0), small)
			c.TaskPlaced(task(1), small)
			c.TaskPlaced(task(2), small)
		}},
		{"on a machine after the time allowed for a cancellation", "ran_cancelled", plain, func(c *Checker) {
			c.TaskPlaced(task(0), small)
			c.CancelRequested("req-1")
			c.StatusReturned("req-1", api.PhaseCancelled, c.now)
			c.Step(31 * time.Second)
		}},
		{"started after the time allowed for a cancellation", "ran_cancelled", plain, func(c *Checker) {
			c.CancelRequested("req-1")
			c.StatusReturned("req-1", api.PhaseCancelled, c.now)
			c.Step(31 * time.Second)
			c.TaskPlaced(task(0), small)
		}},
		{"an accepted job is unknown", "forgotten", plain, func(c *Checker) {
			c.StatusReturned("req-1", api.PhaseQueued, c.now)
			c.NotFound("req-1", c.now)
		}},
		{"a repeated submission is refused", "forgotten", plain, func(c *Checker) {
			c.StatusReturned("req-1", api.PhaseQueued, c.now)
			c.Rejected("req-1", 422, c.now)
		}},
		{"all polls of one job fail", "forgotten", plain, func(c *Checker) {
			c.Submitted(api.Job{ID: "req-2", Tasks: 1})
			c.StatusReturned("req-1", api.PhaseQueued, c.now)
			c.StatusReturned("req-2", api.PhaseQueued, c.now)
			for s := range 19 {
				c.Step(time.Duration(s*5) * time.Second)
				c.Polled("req-1", c.now, false)
				c.Polled("req-2", c.now, true)
			}
		}},
		{"a job that nobody submitted", "invented", plain, func(c *Checker) { c.StatusReturned("req-77", api.PhaseQueued, c.now) }},
		{"done too early", "not_done", plain, func(c *Checker) {
			c.TaskCompleted(task(0))
			c.StatusReturned("req-1", api.PhaseDone, c.now)
		}},
		{"done and then running", "went_back", plain, func(c *Checker) {
			for i := range 4 {
				c.TaskCompleted(task(i))
			}
			c.StatusReturned("req-1", api.PhaseDone, c.now)
			c.StatusReturned("req-1", api.PhaseRunning, c.now)
		}},
		{"cancelled by nobody", "went_back", plain, func(c *Checker) { c.StatusReturned("req-1", api.PhaseCancelled, c.now) }},
		{"nothing ran", "nothing_ran", plain, func(c *Checker) { c.Finish() }},
	}
	for _, tc := range cases {
		c := NewChecker([]config.Team{{Name: "red", CPUsMax: 10}}, 30*time.Second)
		c.Submitted(tc.job)
		tc.play(c)
		got := strings.Join(c.Violations, "; ")
		if tc.rule == "" && got != "" || tc.rule != "" && (len(c.Violations) != 1 || !strings.Contains(got, tc.rule+":") && !strings.HasSuffix(got, tc.rule)) {
			t.Errorf("%s: want %q, got %q", tc.name, tc.rule, got)
		}
	}
}

// A job whose queries get no response for 75 s after the last fault counts as forgotten, even if
// other jobs' queries are answered. A job that was cancelled, or whose query was answered in
// time, does not.
func TestForgottenAfterFaults(t *testing.T) {
	history := func(cancel bool, answered time.Duration) *Checker {
		c := NewChecker([]config.Team{{Name: "red", CPUsMax: 100}}, 30*time.Second)
		c.Submitted(api.Job{ID: "req-1", Team: "red", Tasks: 1, CPUs: 1})
		c.Step(time.Second)
		c.StatusReturned("req-1", api.PhaseQueued, 0)
		if cancel {
			c.CancelRequested("req-1")
		}
		c.FaultsEnded(100 * time.Second)
		for now := time.Second; now < 200*time.Second; now += time.Second {
			c.Step(now)
			if now == answered {
				c.StatusReturned("req-1", api.PhaseQueued, now)
			}
		}
		return c
	}
	if c := history(false, 0); len(c.Violations) == 0 || !strings.Contains(c.Violations[0], "forgotten") {
		t.Fatal("a job without a response for more than 75 s is not reported as forgotten", c.Violations)
	}
	for _, c := range []*Checker{history(true, 0), history(false, 150*time.Second)} {
		if len(c.Violations) > 0 {
			t.Fatal(c.Violations)
		}
	}
}

// At least half of each class, of each team and of each class's largest jobs must be served,
// the largest within four minutes.
func TestStarvationCheck(t *testing.T) {
	for _, tc := range []struct {
		name    string
		begins  func(i int) time.Duration // 0: never
		starved string
	}{
		{"all jobs at once", func(int) time.Duration { return time.Second }, ""},
		{"team blue never", func(i int) time.Duration { return time.Duration(i%3) * time.Second }, "team blue"},
		{"the largest jobs late", func(i int) time.Duration {
			if i >= 27 {
				return 250 * time.Second
			}
			return time.Second
		}, "largest of class c"},
		{"one job in three", func(i int) time.Duration {
			if i%9 < 3 {
				return time.Second
			}
			return 0
		}, "class c"},
	} {
		c := NewChecker([]config.Team{{Name: "red", CPUsMax: 1000}, {Name: "blue", CPUsMax: 1000}}, 30*time.Second)
		for i := range 30 {
			team := "red"
			if i%3 == 0 {
				team = "blue"
			}
			id := fmt.Sprintf("req-%d", i)
			c.Submitted(api.Job{ID: id, Class: "c", Team: team, Tasks: 1 + i, CPUs: 1})
			c.StatusReturned(id, api.PhaseQueued, 0)
		}
		for now := time.Duration(0); now <= 300*time.Second; now += time.Second {
			c.Step(now)
			for i := range 30 {
				if now > 0 && tc.begins(i) == now {
					c.TaskPlaced(core.TaskID{Job: core.JobID(fmt.Sprintf("req-%d", i))}, MachineInfo{ID: "n-1", Type: "t", Zone: "a"})
				}
			}
		}
		c.Violations = nil // only CheckStarvation is tested here
		c.CheckStarvation()
		switch {
		case tc.starved == "" && len(c.Violations) > 0:
			t.Errorf("%s: %v", tc.name, c.Violations)
		case tc.starved != "" && !strings.Contains(strings.Join(c.Violations, "; "), tc.starved):
			t.Errorf("%s: %s is not reported as starved: %v", tc.name, tc.starved, c.Violations)
		}
	}
}
