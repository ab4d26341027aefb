package block

import (
	"fmt"
	"math/rand/v2"
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
	h.Kept = func() capacity.KeptKinds { return capacity.KeptKinds{} }
	h.machines = map[core.MachineID]*machine{}
	for i := range machines {
		id := core.MachineID(fmt.Sprintf("n-%d", i+1))
		h.machines[id] = &machine{id: id, state: unsure, typ: "t", up: true, images: map[string]bool{}, slots: map[slotKey]*slot{}}
	}
	id := core.JobID(spec.ID)
	j := &job{
		id: id, spec: &spec, need: placement.Need{CPUs: spec.CPUs, MemoryGB: spec.MemoryGB},
		avoid: map[core.MachineID]core.Time{}, failed: map[core.MachineID]bool{},
	}
	h.jobs[id] = j
	h.Mirror.Jobs[id] = &state.JobEntry{Job: state.Job{Phase: state.JobAccepted, Team: spec.Team, Tasks: spec.Tasks, CPUs: spec.CPUs, MemoryGB: spec.MemoryGB, Spec: &spec}}
	return h, j
}

// reportOf is a report of a machine.
func reportOf(id core.MachineID, tally, term uint64, tasks ...api.TaskView) *api.Report {
	return &api.Report{Machine: string(id), Addr: "x:1", Type: "t", Season: 1, Tally: tally, Term: term, Tasks: tasks}
}

func runningTask(task string, attempt uint64) api.TaskView {
	return api.TaskView{Task: task, Attempt: attempt, State: api.TaskRunning}
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
	h.take(first, reportOf("n-1", 20, 4, runningTask("req-1/0", 51)), true, 0)
	if n := killsOf(h, first, 51); n != 0 {
		t.Fatal("the only attempt that is known is stopped")
	}
	h.take(first, reportOf("n-1", 40, 7, runningTask("req-1/0", 385)), false, 0)
	h.take(second, reportOf("n-2", 9, 7), false, 0)
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

// history is what really happens on machines, and every report that they could have sent.
// A task is started only when no attempt of it is on a machine.
type history struct {
	random  *rand.Rand
	tasks   int
	now     map[core.MachineID]map[slotKey]api.TaskView
	tally   map[core.MachineID]uint64
	reports []*api.Report
	attempt core.Attempt
}

func newHistory(seed uint64, tasks, machines int) *history {
	x := &history{random: rand.New(rand.NewPCG(seed, 1)), tasks: tasks, now: map[core.MachineID]map[slotKey]api.TaskView{}, tally: map[core.MachineID]uint64{}}
	for i := range machines {
		x.now[core.MachineID(fmt.Sprintf("n-%d", i+1))] = map[slotKey]api.TaskView{}
	}
	return x
}

// on finds the attempt of a task that is on a machine.
func (x *history) on(task core.TaskID) (machine core.MachineID, key slotKey, ok bool) {
	for id, views := range x.now {
		for k, v := range views {
			if k.task == task && v.State != api.TaskExited {
				return id, k, true
			}
		}
	}
	return "", slotKey{}, false
}

// step starts or ends an attempt of a task, or clears one that has ended, and notes the report
// that follows.
func (x *history) step() {
	task := core.TaskID{Job: "req-1", Index: x.random.IntN(x.tasks)}
	machines := core.Keys(x.now)
	machine, key, ok := x.on(task)
	if ok {
		x.now[machine][key] = api.TaskView{Task: task.String(), Attempt: uint64(key.attempt), State: api.TaskExited, Cause: api.CausePeers}
	} else {
		machine = machines[x.random.IntN(len(machines))]
		for k, v := range x.now[machine] {
			if v.State == api.TaskExited && x.random.IntN(2) == 0 {
				delete(x.now[machine], k)
			}
		}
		x.attempt++
		key = slotKey{task, x.attempt}
		x.now[machine][key] = runningTask(task.String(), uint64(x.attempt))
	}
	x.reports = append(x.reports, x.report(machine, 4))
}

// report is what a machine would send now.
func (x *history) report(machine core.MachineID, term uint64) *api.Report {
	x.tally[machine]++
	var views []api.TaskView
	for _, v := range x.now[machine] {
		views = append(views, v)
	}
	return reportOf(machine, x.tally[machine], term, views...)
}

// Whatever old reports reach a new holder, in whatever order, before each machine has
// answered its question: in the end it takes no task that runs for waiting, stops none, and
// leaves none out that does not run.
func TestOldReportsInAnyOrder(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 2))
		tasks, machines := 1+random.IntN(4), 1+random.IntN(4)
		x := newHistory(seed, tasks, machines)
		for range 3 + random.IntN(30) {
			x.step()
		}
		h, j := recoveringHolder(api.Job{ID: "req-1", Form: api.FormArray, Team: "red", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimateS: 60}, machines)
		var messages []*api.Report
		for _, r := range x.reports {
			if random.IntN(3) == 0 {
				messages = append(messages, r)
			}
		}
		for _, id := range core.Keys(x.now) {
			messages = append(messages, x.report(id, 7))
		}
		random.Shuffle(len(messages), func(a, b int) { messages[a], messages[b] = messages[b], messages[a] })
		var stopped []string
		for _, r := range messages {
			m := h.machines[core.MachineID(r.Machine)]
			h.take(m, r, r.Term < 7, h.Loop.Now())
			for _, o := range h.orders(m) {
				if k := (slotKey{mustParse(t, o.Task), core.Attempt(o.Attempt)}); o.Verb == api.VerbKill && x.now[m.id][k].State == api.TaskRunning {
					stopped = append(stopped, fmt.Sprintf("%s attempt %d on %s", o.Task, o.Attempt, m.id))
				}
			}
			h.checkRecovered()
		}
		if h.state != placing || len(stopped) > 0 {
			t.Fatalf("seed %d: %s, stopped %v", seed, h.state, stopped)
		}
		want := 0
		for i := range tasks {
			if _, _, ok := x.on(core.TaskID{Job: "req-1", Index: i}); !ok {
				want++
			}
		}
		if got := j.waiting(); got != want {
			t.Fatalf("seed %d: %d tasks count as waiting, %d do not run", seed, got, want)
		}
		for range want {
			i, ok := j.next()
			if _, _, on := x.on(core.TaskID{Job: "req-1", Index: i}); !ok || on {
				t.Fatalf("seed %d: task %d is next, and runs: %v", seed, i, on)
			}
		}
	}
}

func mustParse(t *testing.T, task string) core.TaskID {
	t.Helper()
	id, err := core.ParseTask(task)
	if err != nil {
		t.Fatal(err)
	}
	return id
}
