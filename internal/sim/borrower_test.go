package sim

import (
	"fmt"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
)

// worldWithBorrower returns a world of five controllers with a low request limit at the state
// service, shared by all of them, in which one team without a guarantee or a quota borrows all
// the capacity it uses.
func worldWithBorrower(seed uint64) *World {
	w := fleet(5, 170, seed)
	w.Cfg.StateLimits.RPS, w.Cfg.StateLimits.WriteRPS = 100, 40
	w.Cfg.Workers.Report, w.Cfg.Workers.Lease, w.Cfg.Workers.Cancel = time.Second, 10*time.Second, 35*time.Second
	w.Cfg.Limits.Sockets = 500
	w.Cfg.Teams = append(w.Cfg.Teams, config.Team{Name: "borrower", CPUsMax: config.Unlimited, GPUsMax: config.Unlimited})
	w.Cfg.Objectives = []config.Objective{
		{Kind: "deadline", Class: "counts", Share: 0.9, DeadlineFactor: 1},
		{Kind: "finished", Class: "vast", Within: 300 * time.Second, Share: 0.9},
		{Kind: "finished", Class: "single", Within: 300 * time.Second, Share: 0.9},
	}
	w.Checker = NewChecker(w.Cfg.Teams, w.Cfg.Workers.Cancel)
	w.State = newStateService(w)
	return w
}

// borrowedJob returns a job of the team that borrows.
func borrowedJob(class string, n, tasks int, cpus, estimate float64) api.Job {
	return api.Job{
		ID: fmt.Sprintf("req-%s%04d", map[string]string{"idle": "71", "vast": "72", "single": "73"}[class], n), Class: class, Team: "borrower", Form: api.FormArray,
		Rank: api.RankBestEffort, Tasks: tasks, CPUs: cpus, MemoryGB: 1, Image: class, ImageGB: 0.5, EstimateS: estimate, Spot: true,
	}
}

// A team without a guarantee submits work of the lowest rank for far more machines than there are,
// one array of thousands of short tasks and hundreds of single-task jobs, while users poll many
// times as often as usual and the busiest controller restarts. The request limit of the state
// service is low: watches and the requests that confirm freshness once used all of it, so that
// submissions were told to retry for a minute and no completed task was recorded.
func TestTeamWithoutGuaranteeIsServed(t *testing.T) {
	w := worldWithBorrower(81)
	w.FleetLoad(200*time.Second, 0.12, 0.1)
	w.At(20*time.Second, func() {
		for i := range 6 {
			w.Users.Submit(borrowedJob("idle", i, 55, 8, 300))
		}
	})
	w.At(60*time.Second, func() { w.Users.Submit(borrowedJob("vast", 0, 4000, 0.5, 4)) })
	w.At(70*time.Second, func() { w.Users.PollRateFactor = 8 })
	w.At(130*time.Second, func() { w.Users.PollRateFactor = 0 })
	n := 0
	var next func()
	next = func() {
		w.Users.Submit(borrowedJob("single", n, 1, 0.25, 60))
		if n++; n < 500 {
			w.After(time.Duration(w.Rand.ExpFloat64()/13*float64(time.Second)), next)
		}
	}
	w.At(80*time.Second, next)
	w.At(100*time.Second, func() { w.Hosts[1].Restart(3 * time.Second) })
	w.At(140*time.Second, func() { w.Checker.FaultsEnded(w.Now()) })
	w.Run(420 * time.Second)
	w.Checker.CheckStarvation()
	if len(w.Checker.Violations) > 0 {
		t.Fatal(w.Checker.Violations)
	}
	slow, done, all := 0, 0, 0
	for _, j := range w.Users.jobs {
		if j.spec.Class == "single" {
			all++
			if !j.accepted || j.acceptedAt-j.submittedAt > 2*time.Second {
				slow++
			}
			if j.final == api.PhaseDone {
				done++
			}
		}
	}
	t.Logf("%d of %d submissions slow, %d jobs done, %d polls unanswered, %d requests rate limited", slow, all, done, w.Users.Unanswered, w.State.RateLimited)
	if all != 500 || slow > all/20 || done < all*95/100 {
		t.Fatalf("of %d single-task jobs (want 500) %d were accepted late (want at most 5%%) and %d are done (want at least 95%%)", all, slow, done)
	}
	if w.Users.Unanswered > 400 {
		t.Fatalf("%d polls were not answered in time, want at most 400", w.Users.Unanswered)
	}
	if j := w.Checker.jobs["req-720000"]; len(j.done) < 4000 || j.begunAt > 180*time.Second {
		t.Fatalf("of the array of 4000 tasks %d are done; it began at %s, want by 180 s", len(j.done), j.begunAt)
	}
	if w.State.RateLimited > 5 {
		t.Fatalf("the state service rate limited %d requests, want at most 5", w.State.RateLimited)
	}
}

// Opportunistic work that occupies all machines is checkpointed and preempted when work of a
// higher rank arrives, and resumes afterwards. It used to hold its machines for minutes.
func TestOpportunisticWorkIsPreempted(t *testing.T) {
	w := worldWithBorrower(82)
	for k := range w.Cloud.Capacity {
		w.Cloud.Capacity[k] = 0 // nothing can be rented
	}
	w.At(5*time.Second, func() {
		for i := range 4 {
			j := borrowedJob("idle", i, 40, 4, 200)
			j.CheckpointS, j.SaveS = 30, 3
			w.Users.Submit(j)
		}
	})
	w.At(60*time.Second, func() {
		for i, team := range w.Cfg.Teams[:4] {
			j := borrowedJob("single", i, 20, 1, 15)
			due := 60.0
			j.Team, j.Class, j.Rank, j.DeadlineS = team.Name, "counts", api.RankStandard, &due
			w.Users.Submit(j)
		}
	})
	w.Run(59 * time.Second)
	busy := 0
	for _, m := range w.Cloud.RunningMachines() {
		if len(m.tasks) > 0 {
			busy++
		}
	}
	if busy < len(w.Cloud.RunningMachines())*9/10 {
		t.Fatalf("opportunistic work has only %d of %d machines", busy, len(w.Cloud.RunningMachines()))
	}
	w.Run(110 * time.Second)
	for i := range 4 {
		if j := w.Checker.jobs[fmt.Sprintf("req-73%04d", i)]; len(j.done) < 20 {
			t.Errorf("%d of 20 tasks of team %s done after 50 s, begun at %s", len(j.done), j.spec.Team, j.begunAt)
		}
	}
	w.Run(700 * time.Second)
	for i := range 4 {
		if j := w.Checker.jobs[fmt.Sprintf("req-71%04d", i)]; len(j.done) < 40 {
			t.Errorf("%d of 40 tasks of opportunistic job %d done", len(j.done), i)
		}
	}
	if len(w.Checker.Violations) > 0 {
		t.Fatal(w.Checker.Violations)
	}
}

// Jobs with a mistake fail on every machine until their users cancel them. They are retried one
// task at a time with increasing backoff, cause no rentals and do not mark machines as
// unreliable. Each of their tasks used to be started again and again, and a machine on which
// two of them had failed counted as unreliable.
func TestFailingJobsUseFewResources(t *testing.T) {
	w := NewWorld(Settings(3), 83, nil)
	w.Populate()
	w.GenerateLoad(200*time.Second, 4*time.Second)
	bad := 0
	var next func()
	next = func() {
		j := w.RandomJob(5000 + bad)
		j.Form, j.Tasks, j.CPUs, j.Types, j.Zone, j.GPUs, j.OneZone, j.SpreadZones = api.FormArray, 60, 1, nil, nil, 0, false, false
		if bad%3 == 0 {
			j.Form, j.Tasks, j.CPUs = api.FormGang, 2, 6
		}
		w.Users.Submit(j)
		w.Users.MarkFailing(j.ID)
		w.After(70*time.Second, func() { w.Users.Cancel(j.ID) })
		if bad++; bad < 12 {
			w.After(10*time.Second, next)
		}
	}
	w.At(10*time.Second, next)
	starts := 0
	w.Checker.OnStart = func(job string) {
		if w.Users.jobs[job].failsAlways && job >= "req-005000" {
			starts++
		}
	}
	w.At(210*time.Second, func() { w.Checker.FaultsEnded(w.Now()) })
	w.Run(420 * time.Second)
	w.Checker.CheckStarvation()
	if len(w.Checker.Violations) > 0 {
		t.Fatal(w.Checker.Violations)
	}
	t.Logf("%d task starts of %d failing jobs, %d of %d jobs done", starts, bad, w.Users.Done, w.Users.Accepted)
	if starts < 3*bad || starts > 80*bad {
		t.Fatalf("%d task starts of %d failing jobs, want 3 to 80 per job", starts, bad)
	}
	if w.Users.Done < (w.Users.Accepted-bad)/2 {
		t.Fatalf("only %d of %d accepted jobs are done", w.Users.Done, w.Users.Accepted)
	}
}

// A team that the settings no longer name after a restart keeps its jobs: queries about them
// are answered, and they run within the quota the team had. Such jobs used to stay known but
// never ran.
func TestRemovedTeamIsServed(t *testing.T) {
	w := NewWorld(Settings(3), 84, nil)
	w.Populate()
	j := w.RandomJob(1)
	j.Team, j.Form, j.Tasks, j.CPUs, j.Types, j.Zone, j.GPUs, j.OneZone, j.SpreadZones, j.EstimateS = "grey", api.FormArray, 70, 1, nil, nil, 0, false, false, 20
	w.At(10*time.Second, func() { w.Users.Submit(j) })
	w.At(16*time.Second, func() { Faults["a team removed from the settings"](w) })
	w.Run(300 * time.Second)
	if len(w.Checker.Violations) > 0 {
		t.Fatal(w.Checker.Violations)
	}
	if len(w.Cfg.Teams) != 3 || w.Users.jobs[j.ID].final != api.PhaseDone {
		t.Fatalf("the job of the removed team is not done: %d of 70 tasks are", len(w.Checker.jobs[j.ID].done))
	}
}
