package sim

import (
	"strings"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// Made-up histories: each breaks one rule, and the checker must name it. The
// first ones break none.
func TestChecker(t *testing.T) {
	zone := "a"
	small := Place{"n-1", "small", "a", false}
	other := Place{"n-2", "small", "b", false}
	spot := Place{"n-3", "small", "a", true}
	large := Place{"n-4", "large", "a", false}
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
			c.On(task(0), small)
			c.Off(task(0), "n-1")
			c.On(task(0), other)
		}},
		{"gone in time after a cancellation", "", plain, func(c *Checker) {
			c.On(task(0), small)
			c.CancelAsked("req-1")
			c.Told("req-1", api.PhaseCancelled, c.now)
			c.Step(29 * time.Second)
			c.Off(task(0), "n-1")
			c.Step(60 * time.Second)
		}},
		{"an old answer that comes late", "", plain, func(c *Checker) {
			c.CancelAsked("req-1")
			c.Step(time.Second)
			c.Told("req-1", api.PhaseCancelled, c.now)
			c.Told("req-1", api.PhaseQueued, 0)
		}},
		{"half of the tasks, rounded up, in a zone", "", job(func(j *api.Job) { j.Scatter = true; j.Tasks = 3 }), func(c *Checker) {
			c.On(task(0), small)
			c.On(task(1), small)
			c.On(task(2), other)
		}},
		{"two machines at once", "ran_twice", plain, func(c *Checker) {
			c.On(task(0), small)
			c.On(task(0), other)
		}},
		{"more than the team's limit", "quota", job(func(j *api.Job) { j.CPUs = 4 }), func(c *Checker) {
			c.On(task(0), small)
			c.On(task(1), small)
			c.On(task(2), other)
		}},
		{"a type not allowed", "wrong_place", job(func(j *api.Job) { j.Types = []string{"small"} }), func(c *Checker) { c.On(task(0), large) }},
		{"a zone not allowed", "wrong_place", job(func(j *api.Job) { j.Zone = &zone }), func(c *Checker) { c.On(task(0), other) }},
		{"a spot machine", "wrong_place", plain, func(c *Checker) { c.On(task(0), spot) }},
		{"two zones", "wrong_place", job(func(j *api.Job) { j.OneZone = true }), func(c *Checker) {
			c.On(task(0), small)
			c.On(task(1), other)
		}},
		{"too many in a zone", "wrong_place", job(func(j *api.Job) { j.Scatter = true; j.Tasks = 3 }), func(c *Checker) {
			c.On(task(0), small)
			c.On(task(1), small)
			c.On(task(2), small)
		}},
		{"on a machine long after a cancellation", "ran_cancelled", plain, func(c *Checker) {
			c.On(task(0), small)
			c.CancelAsked("req-1")
			c.Told("req-1", api.PhaseCancelled, c.now)
			c.Step(31 * time.Second)
		}},
		{"started long after a cancellation", "ran_cancelled", plain, func(c *Checker) {
			c.CancelAsked("req-1")
			c.Told("req-1", api.PhaseCancelled, c.now)
			c.Step(31 * time.Second)
			c.On(task(0), small)
		}},
		{"an accepted job is unknown", "forgotten", plain, func(c *Checker) {
			c.Told("req-1", api.PhaseQueued, c.now)
			c.NotFound("req-1")
		}},
		{"a repeat is refused", "forgotten", plain, func(c *Checker) {
			c.Told("req-1", api.PhaseQueued, c.now)
			c.Rejected("req-1", 422)
		}},
		{"polls fail for long", "forgotten", plain, func(c *Checker) {
			c.Submitted(api.Job{ID: "req-2", Tasks: 1})
			c.Told("req-1", api.PhaseQueued, c.now)
			c.Told("req-2", api.PhaseQueued, c.now)
			for s := range 19 {
				c.Step(time.Duration(s*5) * time.Second)
				c.Polled("req-1", c.now, false)
				c.Polled("req-2", c.now, true)
			}
		}},
		{"a job that nobody submitted", "invented", plain, func(c *Checker) { c.Told("req-77", api.PhaseQueued, c.now) }},
		{"done too early", "not_done", plain, func(c *Checker) {
			c.Completed(task(0))
			c.Told("req-1", api.PhaseDone, c.now)
		}},
		{"done and then running", "went_back", plain, func(c *Checker) {
			for i := range 4 {
				c.Completed(task(i))
			}
			c.Told("req-1", api.PhaseDone, c.now)
			c.Told("req-1", api.PhaseRunning, c.now)
		}},
		{"cancelled by nobody", "went_back", plain, func(c *Checker) { c.Told("req-1", api.PhaseCancelled, c.now) }},
		{"nothing ran", "nothing_ran", plain, func(c *Checker) { c.End() }},
	}
	for _, tc := range cases {
		c := NewChecker([]config.Team{{Name: "red", CPUsMax: 10}}, 30*time.Second)
		c.Submitted(tc.job)
		tc.play(c)
		got := strings.Join(c.Broken, "; ")
		if tc.rule == "" && got != "" || tc.rule != "" && (len(c.Broken) != 1 || !strings.Contains(got, tc.rule+":") && !strings.HasSuffix(got, tc.rule)) {
			t.Errorf("%s: want %q, got %q", tc.name, tc.rule, got)
		}
	}
}
