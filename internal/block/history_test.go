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

// history is what really happens to the tasks of a job, and every report that machines could
// have sent of it. A task is started only when no attempt of it is on a machine; a gang is
// started whole and ends whole.
type history struct {
	random  *rand.Rand
	gang    bool
	tasks   int
	now     map[core.MachineID]map[slotKey]api.TaskStatus
	tally   map[core.MachineID]uint64
	reports []*api.Report
	attempt core.Attempt
}

func newHistory(random *rand.Rand, gang bool, tasks, machines int) *history {
	x := &history{random: random, gang: gang, tasks: tasks, now: map[core.MachineID]map[slotKey]api.TaskStatus{}, tally: map[core.MachineID]uint64{}}
	for i := range machines {
		x.now[core.MachineID(fmt.Sprintf("n-%d", i+1))] = map[slotKey]api.TaskStatus{}
	}
	return x
}

// keys lists the attempts that a machine shows, in a fixed order.
func (x *history) keys(machine core.MachineID) []slotKey {
	return slices.SortedFunc(maps.Keys(x.now[machine]), func(a, b slotKey) int {
		return cmp.Or(cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
	})
}

// on finds the attempt of a task that is on a machine.
func (x *history) on(index int) (machine core.MachineID, key slotKey, ok bool) {
	for id, views := range x.now {
		for k, v := range views {
			if k.task.Index == index && v.State != api.TaskExited {
				return id, k, true
			}
		}
	}
	return "", slotKey{}, false
}

// step starts or ends an attempt of a task, of a gang all.
func (x *history) step() {
	if !x.gang {
		x.change(x.random.IntN(x.tasks), x.attempt+1)
		return
	}
	number := x.attempt + 1
	for i := range x.tasks {
		x.change(i, number)
	}
}

// change ends the attempt of a task, or starts one of a number on some machine, which may
// forget what has ended there before; and it notes the report that follows.
func (x *history) change(index int, number core.Attempt) {
	machine, key, ok := x.on(index)
	if ok {
		x.now[machine][key] = api.TaskStatus{Task: key.task.String(), Attempt: uint64(key.attempt), State: api.TaskExited, Cause: api.CausePeers}
	} else {
		machines := core.SortedKeys(x.now)
		machine = machines[x.random.IntN(len(machines))]
		for _, k := range x.keys(machine) {
			if x.now[machine][k].State == api.TaskExited && x.random.IntN(2) == 0 {
				delete(x.now[machine], k)
			}
		}
		x.attempt = number
		key = slotKey{core.TaskID{Job: "req-1", Index: index}, number}
		x.now[machine][key] = runningTask(key.task.String(), uint64(number))
	}
	x.reports = append(x.reports, x.report(machine, 4))
}

// report is what a machine would send now, having seen a term.
func (x *history) report(machine core.MachineID, term uint64) *api.Report {
	x.tally[machine]++
	var views []api.TaskStatus
	for _, k := range x.keys(machine) {
		views = append(views, x.now[machine][k])
	}
	return reportOf(machine, x.tally[machine], term, views...)
}

// messages are some of the reports, and the answer of each machine to a question of the
// holder of term 7, in any order.
func (x *history) messages() (out []*api.Report) {
	for _, r := range x.reports {
		if x.random.IntN(3) == 0 {
			out = append(out, r)
		}
	}
	for _, id := range core.SortedKeys(x.now) {
		out = append(out, x.report(id, 7))
	}
	x.random.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out
}

// Whatever old reports reach a new holder, in whatever order, before each machine has
// answered its question: in the end it takes no task that runs for waiting, stops none, and
// leaves none out that does not run.
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
			from := fromAnswer
			if r.Term < 7 {
				from = fromReport
			}
			h.take(m, r, evidence{from, h.Loop.Now()})
			h.checkRecovered()
			checkPicture(t, h)
			for _, o := range h.orders(m) {
				if k := (slotKey{mustParse(t, o.Task), core.Attempt(o.Attempt)}); o.Verb == api.VerbKill && x.now[m.id][k].State == api.TaskRunning {
					t.Fatalf("seed %d: %s attempt %d on %s is stopped", seed, o.Task, o.Attempt, m.id)
				}
			}
		}
		if h.state != placing {
			t.Fatalf("seed %d: %s", seed, h.state)
		}
		checkWaiting(t, seed, j, x)
	}
}

// checkWaiting checks that those tasks wait of which nothing is on a machine.
func checkWaiting(t *testing.T, seed uint64, j *job, x *history) {
	t.Helper()
	want := 0
	for i := range x.tasks {
		if _, _, ok := x.on(i); !ok {
			want++
		}
	}
	if got := j.waiting(); got != want || j.broken {
		t.Fatalf("seed %d: %d tasks count as waiting, %d do not run; broken: %v", seed, got, want, j.broken)
	}
	for range want {
		i, ok := j.next()
		if _, _, on := x.on(i); !ok || on {
			t.Fatalf("seed %d: task %d is next, and runs: %v", seed, i, on)
		}
	}
}

// checkPicture checks that jobs know of exactly the attempts that are booked on machines.
func checkPicture(t *testing.T, h *Holder) {
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
				t.Fatalf("%v is %s and counts as booked", s.slotKey, s.state)
			}
			known++
		}
	}
	if booked != known {
		t.Fatalf("%d attempts are booked on machines, their jobs know of %d", booked, known)
	}
}

func mustParse(t *testing.T, task string) core.TaskID {
	t.Helper()
	id, err := core.ParseTaskID(task)
	if err != nil {
		t.Fatal(err)
	}
	return id
}
