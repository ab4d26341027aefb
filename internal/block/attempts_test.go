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

// recoveringHolder returns a holder that has just been granted a block with the given number
// of machines (n-1, n-2, ...), all of which may run tasks, and one job.
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
		h.machines[id] = &machine{id: id, state: unsure, machineType: "t", inUse: true, images: map[string]bool{}, slots: map[slotKey]*slot{}}
	}
	id := core.JobID(spec.ID)
	j := &job{
		id: id, spec: &spec, resources: placement.Resources{CPUs: spec.CPUs, MemoryGB: spec.MemoryGB},
		excludedUntil: map[core.MachineID]core.Time{}, failedMachines: map[core.MachineID]bool{},
	}
	h.jobs[id] = j
	h.Mirror.Jobs[id] = &state.JobEntry{Job: state.Job{Phase: state.JobAccepted, Team: spec.Team, Tasks: spec.Tasks, CPUs: spec.CPUs, MemoryGB: spec.MemoryGB, Spec: &spec}}
	return h, j
}

// machineReport returns a report of a machine.
func machineReport(id core.MachineID, sequence, term uint64, tasks ...api.TaskStatus) *api.Report {
	return &api.Report{Machine: string(id), Addr: "x:1", Type: "t", Session: 1, Sequence: sequence, Term: term, Tasks: tasks}
}

func runningTask(task string, attempt uint64) api.TaskStatus {
	return api.TaskStatus{Task: task, Attempt: attempt, State: api.TaskRunning}
}

// countKills counts the commands to stop an attempt that the next response to a machine carries.
func countKills(h *Holder, m *machine, attempt uint64) (n int) {
	for _, o := range h.commands(m) {
		if o.Verb == api.VerbKill && o.Attempt == attempt {
			n++
		}
	}
	return n
}

// Guards against starting a task twice after a change of holder. The first attempt of a task
// had ended and a second one ran on the same machine. The first message that the new holder
// accepted from it was a late copy of a report that showed the first attempt; the response to
// the holder's query then showed the second. When the first attempt was released, the task
// counted as waiting although the second one ran, and was started on another machine
// (docs/incidents/two-nodes.md).
func TestTaskWithANewerAttemptIsNotStartedAgain(t *testing.T) {
	h, j := recoveringHolder(api.Job{ID: "req-1", Form: api.FormGang, Team: "red", Tasks: 1, CPUs: 40, MemoryGB: 5, EstimateS: 60}, 2)
	first, second := h.machines["n-1"], h.machines["n-2"]
	h.applyMessage(first, machineReport("n-1", 20, 4, runningTask("req-1/0", 51)), origin{fromReport, 0})
	if n := countKills(h, first, 51); n != 0 {
		t.Fatal("the only known attempt 51 of req-1/0 was told to stop")
	}
	h.applyMessage(first, machineReport("n-1", 40, 7, runningTask("req-1/0", 385)), origin{fromResponse, 0})
	h.applyMessage(second, machineReport("n-2", 9, 7), origin{fromResponse, 0})
	h.checkRecovered()
	if h.state != placing {
		t.Fatal("every machine has answered, but the holder is not placing")
	}
	if n := j.waitingTasks(); n != 0 {
		t.Errorf("%d tasks waiting, want 0: the only task is running", n)
	}
	if n := countKills(h, first, 385); n != 0 {
		t.Error("the running attempt 385 was told to stop")
	}
	h.runPass()
	if !second.empty() {
		t.Error("the task was started on a second machine")
	}
}

// twoMachineHolder returns a recovering holder with two machines and a job with the given
// number of tasks.
func twoMachineHolder(form string, tasks int) (h *Holder, j *job, first, second *machine) {
	h, j = recoveringHolder(api.Job{ID: "req-1", Form: form, Team: "red", Tasks: tasks, CPUs: 40, MemoryGB: 5, EstimateS: 60}, 2)
	first, second = h.machines["n-1"], h.machines["n-2"]
	return h, j, first, second
}

// applyReport applies a report of the given tasks, sent under the holder's term.
func applyReport(h *Holder, m *machine, sequence uint64, tasks ...api.TaskStatus) {
	h.applyMessage(m, machineReport(m.id, sequence, 7, tasks...), origin{fromReport, h.Loop.Now()})
	h.checkRecovered()
}

func exitedTask(task string, attempt uint64, cause string) api.TaskStatus {
	return api.TaskStatus{Task: task, Attempt: attempt, State: api.TaskExited, Cause: cause}
}

// Of two attempts of a task that are both proven to be on machines, the newer one is kept and
// the older one stopped; the task waits only once both are proven off.
func TestNewerOfTwoAttemptsIsKept(t *testing.T) {
	h, j, first, second := twoMachineHolder(api.FormArray, 1)
	applyReport(h, first, 1, runningTask("req-1/0", 5))
	applyReport(h, second, 1, runningTask("req-1/0", 6))
	if h.state != placing || countKills(h, first, 5) != 1 || countKills(h, second, 6) != 0 {
		t.Fatal("want the holder placing, attempt 5 stopped and attempt 6 kept")
	}
	if used := h.teamUsage()["red"].Used.CPUs; used != 80 {
		t.Fatalf("team usage: got %v CPUs, want 80 for both attempts", used)
	}
	applyReport(h, second, 2) // the newer attempt is gone
	if j.waitingTasks() != 0 || countKills(h, first, 5) != 1 {
		t.Fatal("the task is waiting, or attempt 5 was not told to stop again")
	}
	applyReport(h, first, 2, exitedTask("req-1/0", 5, api.CauseHalted))
	if j.waitingTasks() != 1 {
		t.Fatal("both attempts are off their machines, but the task is not waiting")
	}
	checkBookings(t, h)
}

// While a holder recovers, one of two attempts that it was shown may already be off its
// machine: it stops neither, and the one that is proven goes on.
func TestNoAttemptIsStoppedWhileRecovering(t *testing.T) {
	h, j, first, second := twoMachineHolder(api.FormArray, 1)
	h.applyMessage(second, machineReport("n-2", 1, 4, runningTask("req-1/0", 6)), origin{fromReport, 0})
	applyReport(h, first, 1, runningTask("req-1/0", 5))
	if countKills(h, first, 5) != 0 || countKills(h, second, 6) != 0 {
		t.Fatal("an attempt was told to stop before every machine had answered")
	}
	applyReport(h, second, 2)
	if h.state != placing || countKills(h, first, 5) != 0 || j.waitingTasks() != 0 {
		t.Fatal("the running attempt was stopped, or the task counts as waiting")
	}
}

// A gang completes together: the first member reported as done must not cause the others to be
// stopped or the gang to wait again.
func TestGangThatIsDoneIsNotBroken(t *testing.T) {
	h, j, first, second := twoMachineHolder(api.FormGang, 2)
	applyReport(h, first, 1, runningTask("req-1/0", 5))
	applyReport(h, second, 1, runningTask("req-1/1", 5))
	applyReport(h, first, 2, exitedTask("req-1/0", 5, api.CauseDone))
	if j.waitingTasks() != 0 || j.broken || countKills(h, second, 5) != 0 {
		t.Fatalf("%d tasks waiting, gang broken: %v", j.waitingTasks(), j.broken)
	}
}

// An attempt that is not yet proven to be on its machine does not cause another one to be
// stopped.
func TestUnconfirmedStartStopsNoOtherAttempt(t *testing.T) {
	h, j, first, second := twoMachineHolder(api.FormArray, 1)
	applyReport(h, first, 1)
	applyReport(h, second, 1)
	sent := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 9}, machine: second, state: starting, sentSession: 1, sentSequence: 1}
	h.book(sent)
	applyReport(h, first, 2, runningTask("req-1/0", 5))
	if countKills(h, first, 5) != 0 {
		t.Fatal("the running attempt was told to stop for a start that may be lost")
	}
	applyReport(h, second, 2) // the start was lost
	if j.waitingTasks() != 0 || j.attempts.current(0).attempt != 5 {
		t.Fatal("the task does not continue with the running attempt 5")
	}
}

// One attempt has completed the task while another runs: the task is done, the other attempt
// is stopped and counts against its team's quota until it is off the machine.
func TestDoneWhileAnotherAttemptRuns(t *testing.T) {
	for _, doneFirst := range []bool{true, false} {
		h, j, first, second := twoMachineHolder(api.FormArray, 2)
		if doneFirst {
			applyReport(h, first, 1, exitedTask("req-1/0", 5, api.CauseDone))
			applyReport(h, second, 1, runningTask("req-1/0", 6))
		} else {
			applyReport(h, second, 1, runningTask("req-1/0", 6))
			applyReport(h, first, 1, exitedTask("req-1/0", 5, api.CauseDone))
		}
		if !j.done.Has(0) || j.waitingTasks() != 1 || countKills(h, second, 6) != 1 {
			t.Fatalf("done: %v, %d tasks waiting, %d stop commands; want true, 1, 1", j.done.Has(0), j.waitingTasks(), countKills(h, second, 6))
		}
		if used := h.teamUsage()["red"].Used.CPUs; used != 40 {
			t.Fatalf("team usage: got %v CPUs, want 40 for the attempt still running", used)
		}
		applyReport(h, second, 2, exitedTask("req-1/0", 6, api.CauseHalted))
		if i, ok := j.nextWaiting(); !ok || i != 1 || j.waitingTasks() != 1 {
			t.Fatalf("next task: got %d, want 1; %d tasks waiting, want 1", i, j.waitingTasks())
		}
	}
}

// Proof that a machine is empty releases the attempts on it, but not attempts of the same
// tasks elsewhere.
func TestEmptyMachineReleasesItsAttempts(t *testing.T) {
	for name, clear := range map[string]func(h *Holder, m *machine){
		"lease":       func(h *Holder, m *machine) { h.releaseAllAttempts(m, releaseLeaseExpired) },
		"returned":    func(h *Holder, m *machine) { h.releaseAllAttempts(m, releaseMachineReturned) },
		"new session": func(h *Holder, m *machine) { h.applyNewSession(m) },
	} {
		h, j, first, second := twoMachineHolder(api.FormArray, 2)
		h.applyMessage(first, machineReport("n-1", 1, 4, runningTask("req-1/0", 5), runningTask("req-1/1", 6)), origin{fromReport, 0})
		applyReport(h, second, 1, runningTask("req-1/0", 7))
		clear(h, first)
		if i, ok := j.nextWaiting(); j.waitingTasks() != 1 || !ok || i != 1 {
			t.Errorf("%s: %d tasks waiting, want 1; next task %d, want 1", name, j.waitingTasks(), i)
		}
		checkBookings(t, h)
	}
}

// A message of an earlier session, or an older message, is ignored after a newer one.
func TestOlderMessageIsIgnored(t *testing.T) {
	h, j, first, _ := twoMachineHolder(api.FormArray, 1)
	newer := machineReport("n-1", 3, 7)
	newer.Session = 2
	h.applyMessage(first, newer, origin{fromResponse, 0})
	if h.applyMessage(first, machineReport("n-1", 90, 4, runningTask("req-1/0", 5)), origin{fromReport, 0}) || j.waitingTasks() != 1 {
		t.Fatal("an attempt of an earlier session was booked on the machine")
	}
}

// A task that was told to stop and is saving counts as on its machine until the machine
// reports it as exited.
func TestSavingTaskIsNotRetried(t *testing.T) {
	h, j, first, second := twoMachineHolder(api.FormArray, 1)
	applyReport(h, first, 1, runningTask("req-1/0", 5))
	applyReport(h, second, 1)
	h.requestStop(first.slots[slotKey{core.TaskID{Job: "req-1"}, 5}], stopPreempted)
	if countKills(h, first, 5) != 1 {
		t.Fatal("the task was not told to stop")
	}
	applyReport(h, first, 2, api.TaskStatus{Task: "req-1/0", Attempt: 5, State: api.TaskSaving})
	h.runPass()
	if j.waitingTasks() != 0 || !second.empty() {
		t.Fatal("the task was started on another machine while it was saving")
	}
	applyReport(h, first, 3, exitedTask("req-1/0", 5, api.CauseHalted))
	if j.waitingTasks() != 1 {
		t.Fatal("the task has saved and exited, but is not waiting")
	}
}

// A message that shows both the end of a gang's attempt and the next attempt leaves the gang
// complete. A gang of which one attempt lacks members is stopped, and waits until all members
// are off.
func TestGangOfMixedAttempts(t *testing.T) {
	h, j, first, second := twoMachineHolder(api.FormGang, 2)
	h.applyMessage(first, machineReport("n-1", 1, 4, runningTask("req-1/0", 5)), origin{fromReport, 0})
	applyReport(h, second, 1, runningTask("req-1/1", 6))
	applyReport(h, first, 2, exitedTask("req-1/0", 5, api.CausePeers), runningTask("req-1/0", 6))
	if j.broken || j.waitingTasks() != 0 || countKills(h, second, 6) != 0 || countKills(h, first, 6) != 0 {
		t.Fatalf("gang broken: %v, %d tasks waiting", j.broken, j.waitingTasks())
	}

	h, j, first, second = twoMachineHolder(api.FormGang, 2)
	applyReport(h, first, 1, runningTask("req-1/0", 5))
	applyReport(h, second, 1, runningTask("req-1/1", 6))
	if countKills(h, first, 5) != 1 || countKills(h, second, 6) != 1 {
		t.Fatal("members of different attempts were not told to stop")
	}
	applyReport(h, first, 2)
	if len(h.candidates(h.Loop.Now())) != 0 {
		t.Fatal("the gang is a candidate although a member may still be running")
	}
	applyReport(h, second, 2)
	if j.broken || j.waitingTasks() != 2 || len(h.candidates(h.Loop.Now())) != 1 {
		t.Fatalf("all members are off their machines: gang broken: %v, %d tasks waiting, want false, 2", j.broken, j.waitingTasks())
	}
}

// A running gang of which one message reports the end of a member's old attempt together with
// the new one is recognized as complete.
func TestGangRestartWithinOneReport(t *testing.T) {
	h, j, first, second := twoMachineHolder(api.FormGang, 2)
	applyReport(h, second, 1, runningTask("req-1/1", 6))
	applyReport(h, first, 1, runningTask("req-1/0", 6))
	older := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 5}, machine: first, state: present}
	h.releaseAttempt(first.slots[slotKey{core.TaskID{Job: "req-1"}, 6}], releaseNotShown)
	j.broken = false
	for _, s := range j.attempts.all() {
		s.stopRequest = ""
	}
	h.book(older)
	applyReport(h, first, 2, exitedTask("req-1/0", 5, api.CausePeers), runningTask("req-1/0", 6))
	if j.broken || countKills(h, second, 6) != 0 {
		t.Fatal("the gang was taken to be incomplete")
	}
}

// A job that becomes known after its attempts takes over all of them, not only the last one
// seen.
func TestJobKnownAfterItsAttempts(t *testing.T) {
	h, j, first, second := twoMachineHolder(api.FormArray, 1)
	h.Mirror.Blocks[0] = state.Versioned[*state.Block]{Record: &state.Block{Teams: []string{"red"}}}
	delete(h.jobs, j.id)
	h.applyMessage(first, machineReport("n-1", 1, 4, runningTask("req-1/0", 5)), origin{fromReport, 0})
	h.applyMessage(second, machineReport("n-2", 1, 7, runningTask("req-1/0", 6)), origin{fromResponse, 0})
	h.syncJob(j.id)
	j = h.jobs[j.id]
	checkBookings(t, h)
	applyReport(h, first, 2)
	if j.blocked || j.waitingTasks() != 0 {
		t.Fatalf("blocked: %v, %d tasks waiting, want false, 0: the only task is running", j.blocked, j.waitingTasks())
	}
}

// Zones count every attempt that may be on a machine.
func TestZonesCountEveryAttempt(t *testing.T) {
	h, j, first, second := twoMachineHolder(api.FormArray, 1)
	j.spec.OneZone = true
	first.zone, second.zone = "a", "b"
	applyReport(h, first, 1, runningTask("req-1/0", 5))
	applyReport(h, second, 1, runningTask("req-1/0", 6))
	if zones := h.bookedZones()["req-1"]; zones["a"] != 1 || zones["b"] != 1 {
		t.Fatalf("tasks by zone: got %v, want one each in a and b", zones)
	}
}
