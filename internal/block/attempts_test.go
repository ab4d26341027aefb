package block

import (
	"fmt"
	"testing"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
)

// recoveringHolder is a holder that has just been granted a block with machines n-1 to n-n,
// all of which may run tasks, and with one job.
func recoveringHolder(spec api.Job, machines int) (*Holder, *job) {
	h, _ := testHolder()
	h.state = recovering
	h.Config.Teams = []config.Team{{Name: "red", CPUs: 100, CPUsMax: 100}}
	h.Types = func() map[string]api.MachineType {
		return map[string]api.MachineType{"t": {Name: "t", CPUs: 64, MemoryGB: 64, FetchGBPerS: 1}}
	}
	h.GangKinds = func() capacity.GangKinds { return capacity.GangKinds{} }
	h.machines = map[core.MachineID]*machine{}
	for i := range machines {
		id := core.MachineID(fmt.Sprintf("n-%d", i+1))
		h.machines[id] = &machine{id: id, state: unsure, typ: "t", up: true, images: map[string]bool{}, slots: map[slotKey]*slot{}}
	}
	id := core.JobID(spec.ID)
	j := &job{
		id: id, spec: &spec, need: placement.Resources{CPUs: spec.CPUs, MemoryGB: spec.MemoryGB},
		avoid: map[core.MachineID]core.Time{}, failed: map[core.MachineID]bool{},
	}
	h.jobs[id] = j
	h.Mirror.Jobs[id] = &state.JobEntry{Job: state.Job{Phase: state.JobAccepted, Team: spec.Team, Tasks: spec.Tasks, CPUs: spec.CPUs, MemoryGB: spec.MemoryGB, Spec: &spec}}
	return h, j
}

// reportOf is a report of a machine.
func reportOf(id core.MachineID, tally, term uint64, tasks ...api.TaskStatus) *api.Report {
	return &api.Report{Machine: string(id), Addr: "x:1", Type: "t", Session: 1, Sequence: tally, Term: term, Tasks: tasks}
}

func runningTask(task string, attempt uint64) api.TaskStatus {
	return api.TaskStatus{Task: task, Attempt: attempt, State: api.TaskRunning}
}

// killsOf counts the commands to stop an attempt that a machine's next answer would carry.
func killsOf(h *Holder, m *machine, attempt uint64) (n int) {
	for _, o := range h.orders(m) {
		if o.Verb == api.VerbKill && o.Attempt == attempt {
			n++
		}
	}
	return n
}

// A task whose first attempt had ended was started again on the same machine. Then the
// block changed hands, and the first message of that machine which the new holder took
// in was a copy of a report from before: it showed the first attempt. The machine's answer
// to the holder's question showed the second one. With the first proven off, the task
// counted as waiting, though its second attempt ran, and was started on another machine
// (docs/incidents/two-nodes.md).
func TestTaskWithANewerAttemptIsNotStartedAgain(t *testing.T) {
	h, j := recoveringHolder(api.Job{ID: "req-1", Form: api.FormGang, Team: "red", Tasks: 1, CPUs: 40, MemoryGB: 5, EstimateS: 60}, 2)
	first, second := h.machines["n-1"], h.machines["n-2"]
	h.take(first, reportOf("n-1", 20, 4, runningTask("req-1/0", 51)), evidence{fromReport, 0})
	if n := killsOf(h, first, 51); n != 0 {
		t.Fatal("the only attempt that is known is stopped")
	}
	h.take(first, reportOf("n-1", 40, 7, runningTask("req-1/0", 385)), evidence{fromAnswer, 0})
	h.take(second, reportOf("n-2", 9, 7), evidence{fromAnswer, 0})
	h.checkRecovered()
	if h.state != placing {
		t.Fatal("every machine has answered and the holder does not place")
	}
	if n := j.waiting(); n != 0 {
		t.Errorf("%d tasks wait, though the only one runs", n)
	}
	if n := killsOf(h, first, 385); n != 0 {
		t.Error("the attempt that runs is stopped")
	}
	h.pass()
	if !second.empty() {
		t.Error("the task is started on a second machine")
	}
}

// placingHolder is a holder that is about to place, with two machines and a job of some tasks.
func placingHolder(form string, tasks int) (h *Holder, j *job, first, second *machine) {
	h, j = recoveringHolder(api.Job{ID: "req-1", Form: form, Team: "red", Tasks: tasks, CPUs: 40, MemoryGB: 5, EstimateS: 60}, 2)
	first, second = h.machines["n-1"], h.machines["n-2"]
	return h, j, first, second
}

// show has a machine show tasks in a report that it sends under the holder's term.
func show(h *Holder, m *machine, tally uint64, tasks ...api.TaskStatus) {
	h.take(m, reportOf(m.id, tally, 7, tasks...), evidence{fromReport, h.Loop.Now()})
	h.checkRecovered()
}

func exitedTask(task string, attempt uint64, cause string) api.TaskStatus {
	return api.TaskStatus{Task: task, Attempt: attempt, State: api.TaskExited, Cause: cause}
}

// Of two attempts of a task that are both proven to be on machines the newer one is kept and
// the older one told to stop; the task waits only once both are proven off.
func TestTwoAttemptsOnTwoMachines(t *testing.T) {
	h, j, first, second := placingHolder(api.FormArray, 1)
	show(h, first, 1, runningTask("req-1/0", 5))
	show(h, second, 1, runningTask("req-1/0", 6))
	if h.state != placing || killsOf(h, first, 5) != 1 || killsOf(h, second, 6) != 0 {
		t.Fatal("the older attempt is not the one that is stopped")
	}
	if used := h.teamsNow()["red"].Used.CPUs; used != 80 {
		t.Fatalf("the team uses %v CPUs, both attempts need 80", used)
	}
	show(h, second, 2) // the newer one is gone
	if j.waiting() != 0 || killsOf(h, first, 5) != 1 {
		t.Fatal("the task waits, or the attempt that was told to stop is not told again")
	}
	show(h, first, 2, exitedTask("req-1/0", 5, api.CauseHalted))
	if j.waiting() != 1 {
		t.Fatal("both attempts are off and the task does not wait")
	}
	checkPicture(t, h)
}

// While a holder recovers, one of two attempts that it was shown may be gone already: it
// stops neither, and the one that is proven goes on.
func TestNoAttemptIsStoppedWhileRecovering(t *testing.T) {
	h, j, first, second := placingHolder(api.FormArray, 1)
	h.take(second, reportOf("n-2", 1, 4, runningTask("req-1/0", 6)), evidence{fromReport, 0})
	show(h, first, 1, runningTask("req-1/0", 5))
	if killsOf(h, first, 5) != 0 || killsOf(h, second, 6) != 0 {
		t.Fatal("an attempt is stopped before every machine has answered")
	}
	show(h, second, 2)
	if h.state != placing || killsOf(h, first, 5) != 0 || j.waiting() != 0 {
		t.Fatal("the attempt that runs does not go on")
	}
}

// A gang completes together: the member that is first reported as done must not have the
// others stopped, nor the gang wait again.
func TestGangThatIsDoneIsNotBroken(t *testing.T) {
	h, j, first, second := placingHolder(api.FormGang, 2)
	show(h, first, 1, runningTask("req-1/0", 5))
	show(h, second, 1, runningTask("req-1/1", 5))
	show(h, first, 2, exitedTask("req-1/0", 5, api.CauseDone))
	if j.waiting() != 0 || j.broken || killsOf(h, second, 5) != 0 {
		t.Fatalf("%d wait, broken %v", j.waiting(), j.broken)
	}
}

// An attempt that is still to be proven on its machine stops no other.
func TestStartOnItsWayStopsNoOtherAttempt(t *testing.T) {
	h, j, first, second := placingHolder(api.FormArray, 1)
	show(h, first, 1)
	show(h, second, 1)
	sent := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 9}, machine: second, state: starting, sentSeason: 1, sentTally: 1}
	h.book(sent)
	show(h, first, 2, runningTask("req-1/0", 5))
	if killsOf(h, first, 5) != 0 {
		t.Fatal("the attempt that runs is stopped for a start that may be lost")
	}
	show(h, second, 2) // the start was lost
	if j.waiting() != 0 || j.attempts.current(0).attempt != 5 {
		t.Fatal("the task does not go on with the attempt that runs")
	}
}

// One attempt has completed the task while another runs: the task is done, the other one is
// stopped, and counts against its team until it is gone.
func TestDoneWhileAnotherAttemptRuns(t *testing.T) {
	for _, doneFirst := range []bool{true, false} {
		h, j, first, second := placingHolder(api.FormArray, 2)
		if doneFirst {
			show(h, first, 1, exitedTask("req-1/0", 5, api.CauseDone))
			show(h, second, 1, runningTask("req-1/0", 6))
		} else {
			show(h, second, 1, runningTask("req-1/0", 6))
			show(h, first, 1, exitedTask("req-1/0", 5, api.CauseDone))
		}
		if !j.done.Has(0) || j.waiting() != 1 || killsOf(h, second, 6) != 1 {
			t.Fatalf("done %v, %d wait, %d commands to stop", j.done.Has(0), j.waiting(), killsOf(h, second, 6))
		}
		if used := h.teamsNow()["red"].Used.CPUs; used != 40 {
			t.Fatalf("the team uses %v CPUs beside the attempt that still runs", used)
		}
		show(h, second, 2, exitedTask("req-1/0", 6, api.CauseHalted))
		if i, ok := j.next(); !ok || i != 1 || j.waiting() != 1 {
			t.Fatalf("task %d is next, %d wait", i, j.waiting())
		}
	}
}

// A machine that is proven to be empty frees the attempts on it, and not those of the same
// tasks elsewhere.
func TestMachineProvenEmpty(t *testing.T) {
	for name, clear := range map[string]func(h *Holder, m *machine){
		"lease":       func(h *Holder, m *machine) { h.clearMachine(m, releaseLapsed) },
		"returned":    func(h *Holder, m *machine) { h.clearMachine(m, releaseReturned) },
		"new session": func(h *Holder, m *machine) { h.takeNewSeason(m) },
	} {
		h, j, first, second := placingHolder(api.FormArray, 2)
		h.take(first, reportOf("n-1", 1, 4, runningTask("req-1/0", 5), runningTask("req-1/1", 6)), evidence{fromReport, 0})
		show(h, second, 1, runningTask("req-1/0", 7))
		clear(h, first)
		if i, ok := j.next(); j.waiting() != 1 || !ok || i != 1 {
			t.Errorf("%s: %d tasks wait, %d is next", name, j.waiting(), i)
		}
		checkPicture(t, h)
	}
}

// What an earlier session or an older message shows is not taken in after a newer one.
func TestOlderMessageAfterNewer(t *testing.T) {
	h, j, first, _ := placingHolder(api.FormArray, 1)
	newer := reportOf("n-1", 3, 7)
	newer.Session = 2
	h.take(first, newer, evidence{fromAnswer, 0})
	if h.take(first, reportOf("n-1", 90, 4, runningTask("req-1/0", 5)), evidence{fromReport, 0}) || j.waiting() != 1 {
		t.Fatal("an attempt of an earlier session is taken to be on the machine")
	}
}

// A task that is told to stop and saves is on its machine until that shows it exited.
func TestStopMeetsARetry(t *testing.T) {
	h, j, first, second := placingHolder(api.FormArray, 1)
	show(h, first, 1, runningTask("req-1/0", 5))
	show(h, second, 1)
	h.end(first.slots[slotKey{core.TaskID{Job: "req-1"}, 5}], stopForHigher)
	if killsOf(h, first, 5) != 1 {
		t.Fatal("it is not told to stop")
	}
	show(h, first, 2, api.TaskStatus{Task: "req-1/0", Attempt: 5, State: api.TaskSaving})
	h.pass()
	if j.waiting() != 0 || !second.empty() {
		t.Fatal("it is started elsewhere while it saves")
	}
	show(h, first, 3, exitedTask("req-1/0", 5, api.CauseHalted))
	if j.waiting() != 1 {
		t.Fatal("it has saved and exited, and does not wait")
	}
}

// A message that shows the end of a gang's attempt and the next attempt leaves it whole; a
// gang of which one attempt lacks members is stopped, and waits until all are off.
func TestGangOfMixedAttempts(t *testing.T) {
	h, j, first, second := placingHolder(api.FormGang, 2)
	h.take(first, reportOf("n-1", 1, 4, runningTask("req-1/0", 5)), evidence{fromReport, 0})
	show(h, second, 1, runningTask("req-1/1", 6))
	show(h, first, 2, exitedTask("req-1/0", 5, api.CausePeers), runningTask("req-1/0", 6))
	if j.broken || j.waiting() != 0 || killsOf(h, second, 6) != 0 || killsOf(h, first, 6) != 0 {
		t.Fatalf("broken %v, %d wait", j.broken, j.waiting())
	}

	h, j, first, second = placingHolder(api.FormGang, 2)
	show(h, first, 1, runningTask("req-1/0", 5))
	show(h, second, 1, runningTask("req-1/1", 6))
	if killsOf(h, first, 5) != 1 || killsOf(h, second, 6) != 1 {
		t.Fatal("members of different attempts go on")
	}
	show(h, first, 2)
	if len(h.candidates(h.Loop.Now())) != 0 {
		t.Fatal("the gang is started beside a member that may still run")
	}
	show(h, second, 2)
	if j.broken || j.waiting() != 2 || len(h.candidates(h.Loop.Now())) != 1 {
		t.Fatalf("all are off: broken %v, %d wait", j.broken, j.waiting())
	}
}

// A gang in the middle of its life takes a message in which a member's old attempt ends and
// a member's new one is shown for what it is: whole.
func TestGangMendedWithinOneReport(t *testing.T) {
	h, j, first, second := placingHolder(api.FormGang, 2)
	show(h, second, 1, runningTask("req-1/1", 6))
	show(h, first, 1, runningTask("req-1/0", 6))
	older := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 5}, machine: first, state: present}
	h.setOff(first.slots[slotKey{core.TaskID{Job: "req-1"}, 6}], releaseNotShown)
	j.broken = false
	for _, s := range j.attempts.all() {
		s.stop = ""
	}
	h.book(older)
	show(h, first, 2, exitedTask("req-1/0", 5, api.CausePeers), runningTask("req-1/0", 6))
	if j.broken || killsOf(h, second, 6) != 0 {
		t.Fatal("the gang is broken up")
	}
}

// A job that is learnt of after its attempts knows all of them, not the last that was seen.
func TestJobLearntAfterItsAttempts(t *testing.T) {
	h, j, first, second := placingHolder(api.FormArray, 1)
	h.Mirror.Blocks[0] = state.Versioned[*state.Block]{Record: &state.Block{Teams: []string{"red"}}}
	delete(h.jobs, j.id)
	h.take(first, reportOf("n-1", 1, 4, runningTask("req-1/0", 5)), evidence{fromReport, 0})
	h.take(second, reportOf("n-2", 1, 7, runningTask("req-1/0", 6)), evidence{fromAnswer, 0})
	h.followJob(j.id)
	j = h.jobs[j.id]
	checkPicture(t, h)
	show(h, first, 2)
	if j.blocked || j.waiting() != 0 {
		t.Fatalf("blocked %v, %d tasks wait while one runs", j.blocked, j.waiting())
	}
}

// Zones count the tasks of every attempt that may be on a machine.
func TestZonesCountEveryAttempt(t *testing.T) {
	h, j, first, second := placingHolder(api.FormArray, 1)
	j.spec.OneZone = true
	first.zone, second.zone = "a", "b"
	show(h, first, 1, runningTask("req-1/0", 5))
	show(h, second, 1, runningTask("req-1/0", 6))
	if zones := h.zones()["req-1"]; zones["a"] != 1 || zones["b"] != 1 {
		t.Fatalf("%v", zones)
	}
}
