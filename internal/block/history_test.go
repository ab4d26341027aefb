package block

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// history simulates what really happens to the tasks of a job, and collects every report that
// machines could have sent. A task is started only when no attempt of it is on a machine; a
// gang is started and ends as a whole.
type history struct {
	random      *rand.Rand
	gang        bool
	tasks       int
	statuses    map[core.MachineID]map[slotKey]api.TaskStatus // what each machine would report now
	sequences   map[core.MachineID]uint64                     // of the last report of each machine
	reports     []*api.Report                                 // all reports so far, oldest first
	lastAttempt core.Attempt                                  // highest attempt number so far
}

func newHistory(random *rand.Rand, gang bool, tasks, machines int) *history {
	x := &history{random: random, gang: gang, tasks: tasks, statuses: map[core.MachineID]map[slotKey]api.TaskStatus{}, sequences: map[core.MachineID]uint64{}}
	for i := range machines {
		x.statuses[core.MachineID(fmt.Sprintf("n-%d", i+1))] = map[slotKey]api.TaskStatus{}
	}
	return x
}

// attemptKeys returns the attempts that a machine reports, in a fixed order.
func (x *history) attemptKeys(machine core.MachineID) []slotKey {
	return slices.SortedFunc(maps.Keys(x.statuses[machine]), func(a, b slotKey) int {
		return cmp.Or(cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
	})
}

// runningAttempt returns the attempt of a task that is on a machine, if there is one.
func (x *history) runningAttempt(index int) (machine core.MachineID, key slotKey, ok bool) {
	for id, statuses := range x.statuses {
		for k, v := range statuses {
			if k.task.Index == index && v.State != api.TaskExited {
				return id, k, true
			}
		}
	}
	return "", slotKey{}, false
}

// step starts or ends an attempt of one task, or of all tasks of a gang.
func (x *history) step() {
	if !x.gang {
		x.toggleAttempt(x.random.IntN(x.tasks), x.lastAttempt+1)
		return
	}
	number := x.lastAttempt + 1
	for i := range x.tasks {
		x.toggleAttempt(i, number)
	}
}

// toggleAttempt ends the attempt of a task if there is one, and otherwise starts one with the
// given number on a random machine, which may forget attempts that have ended on it. It records
// the report that follows.
func (x *history) toggleAttempt(index int, number core.Attempt) {
	machine, key, ok := x.runningAttempt(index)
	if ok {
		x.statuses[machine][key] = api.TaskStatus{Task: key.task.String(), Attempt: uint64(key.attempt), State: api.TaskExited, Cause: api.CausePeers}
	} else {
		machines := core.SortedKeys(x.statuses)
		machine = machines[x.random.IntN(len(machines))]
		for _, k := range x.attemptKeys(machine) {
			if x.statuses[machine][k].State == api.TaskExited && x.random.IntN(2) == 0 {
				delete(x.statuses[machine], k)
			}
		}
		x.lastAttempt = number
		key = slotKey{core.TaskID{Job: "req-1", Index: index}, number}
		x.statuses[machine][key] = runningTask(key.task.String(), uint64(number))
	}
	x.reports = append(x.reports, x.report(machine, 4))
}

// report returns what a machine would send now, having seen the given term.
func (x *history) report(machine core.MachineID, term uint64) *api.Report {
	x.sequences[machine]++
	var statuses []api.TaskStatus
	for _, k := range x.attemptKeys(machine) {
		statuses = append(statuses, x.statuses[machine][k])
	}
	return machineReport(machine, x.sequences[machine], term, statuses...)
}

// messages returns some of the reports, and the response of each machine to a query of the
// holder of term 7, in random order.
func (x *history) messages() (out []*api.Report) {
	for _, r := range x.reports {
		if x.random.IntN(3) == 0 {
			out = append(out, r)
		}
	}
	for _, id := range core.SortedKeys(x.statuses) {
		out = append(out, x.report(id, 7))
	}
	x.random.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out
}

// Old reports may reach a new holder in any order before every machine has answered its query.
// In the end the holder must take no running task for a waiting one, stop no running attempt,
// and count every task that does not run as waiting.
func TestOldReportsInAnyOrder(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 2))
		form := []string{api.FormArray, api.FormGang}[seed%2]
		tasks, machines := 1+random.IntN(4), 1+random.IntN(4)
		x := newHistory(random, form == api.FormGang, tasks, machines)
		for range 3 + random.IntN(30) {
			x.step()
		}
		h, j := recoveringHolder(api.Job{ID: "req-1", Form: form, Team: "red", Tasks: tasks, CPUs: 1, MemoryGB: 1, EstimateS: 60}, machines)
		for _, r := range x.messages() {
			m := h.machines[core.MachineID(r.Machine)]
			from := fromResponse
			if r.Term < 7 {
				from = fromReport
			}
			h.applyMessage(m, r, origin{from, h.Loop.Now()})
			h.checkRecovered()
			checkBookings(t, h)
			for _, o := range h.commands(m) {
				if k := (slotKey{parseTaskID(t, o.Task), core.Attempt(o.Attempt)}); o.Verb == api.VerbKill && x.statuses[m.id][k].State == api.TaskRunning {
					t.Fatalf("seed %d: running task %s, attempt %d on %s, was told to stop", seed, o.Task, o.Attempt, m.id)
				}
			}
		}
		if h.state != placing {
			t.Fatalf("seed %d: holder state %s, want placing", seed, h.state)
		}
		checkWaiting(t, seed, j, x)
	}
}

// checkWaiting checks that exactly the tasks without an attempt on a machine are waiting.
func checkWaiting(t *testing.T, seed uint64, j *job, x *history) {
	t.Helper()
	want := 0
	for i := range x.tasks {
		if _, _, ok := x.runningAttempt(i); !ok {
			want++
		}
	}
	if got := j.waitingTasks(); got != want || j.broken {
		t.Fatalf("seed %d: %d tasks waiting, want %d; gang broken: %v", seed, got, want, j.broken)
	}
	for range want {
		i, ok := j.nextWaiting()
		if _, _, running := x.runningAttempt(i); !ok || running {
			t.Fatalf("seed %d: next task is %d, already running: %v", seed, i, running)
		}
	}
}

// checkBookings checks that jobs know exactly the attempts that are booked on machines.
func checkBookings(t *testing.T, h *Holder) {
	t.Helper()
	booked, known := 0, 0
	for _, m := range h.machines {
		for _, s := range m.slots {
			if s.booked() {
				booked++
			}
		}
	}
	for _, j := range h.jobs {
		for _, s := range j.attempts.all() {
			if !s.booked() || s.machine.slots[s.slotKey] != s {
				t.Fatalf("%v is %s, but its job counts it as booked", s.slotKey, s.state)
			}
			known++
		}
	}
	for id, attempts := range h.attemptsWithoutJob {
		for _, s := range attempts {
			if h.jobs[id] != nil || s.machine.slots[s.slotKey] != s {
				t.Fatalf("%v counts as an attempt without a job", s.slotKey)
			}
		}
	}
	if booked != known {
		t.Fatalf("%d attempts booked on machines, %d known to their jobs", booked, known)
	}
}

func parseTaskID(t *testing.T, task string) core.TaskID {
	t.Helper()
	id, err := core.ParseTaskID(task)
	if err != nil {
		t.Fatal(err)
	}
	return id
}
