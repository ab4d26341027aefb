package block

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// BenchmarkReport measures decoding and applying the report of a machine with 32 tasks.
func BenchmarkReport(b *testing.B) {
	h, m := testHolder()
	rep := api.Report{Machine: "n-1", Addr: "10.1.0.1:9000", Type: "large", Zone: "a", Session: 1, Term: 7}
	for i := range 32 {
		rep.Tasks = append(rep.Tasks, api.TaskStatus{Task: fmt.Sprintf("req-000001/%d", i), Attempt: 9, State: api.TaskRunning})
	}
	for b.Loop() {
		rep.Sequence++
		raw, _ := json.Marshal(rep)
		var got api.Report
		if err := api.Decode(raw, &got); err != nil {
			b.Fatal(err)
		}
		h.applyMessage(m, &got, origin{fromReport, core.Time(rep.Sequence)})
	}
	if len(m.slots) != 32 {
		b.Fatal(len(m.slots))
	}
}

// BenchmarkJobChange measures what the record of one job sets off in the holder of a block with
// many machines: a new job, and the end of a job.
func BenchmarkJobChange(b *testing.B) {
	for _, machines := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) { benchmarkJobChange(b, machines) })
	}
}

func benchmarkJobChange(b *testing.B, machines int) {
	change := jobChange(machines)
	for b.Loop() {
		change()
	}
}

// jobChange returns a function that shows a holder of a busy block the record of a new job and then
// that of its end.
func jobChange(machines int) func() {
	const tasksPerMachine = 8
	h, _ := recoveringHolder(api.Job{ID: "req-000001", Team: "red", Form: api.FormArray, Tasks: machines * tasksPerMachine, CPUs: 1}, machines)
	for i, id := range core.SortedKeys(h.machines) {
		for task := range tasksPerMachine {
			key := slotKey{core.TaskID{Job: "req-000001", Index: i*tasksPerMachine + task}, 7}
			h.book(&slot{slotKey: key, machine: h.machines[id], state: present, team: "red"})
		}
	}
	spec := api.Job{ID: "req-000002", Team: "red", Form: api.FormArray, Tasks: 1, CPUs: 1}
	accepted := &state.JobEntry{Job: state.Job{Phase: state.JobAccepted, Tasks: 1, Team: "red", CPUs: 1, Spec: &spec}}
	finished := &state.JobEntry{Job: accepted.Job.End(state.JobDone, 0)}
	change := state.ChangeSet{Jobs: []core.JobID{"req-000002"}}
	h.Mirror.Blocks[h.number] = state.Versioned[*state.Block]{Record: &state.Block{Number: h.number, Teams: []string{"red"}}}
	return func() {
		for _, entry := range []*state.JobEntry{accepted, finished} {
			h.Mirror.Jobs["req-000002"] = entry
			h.ApplyChanges(change)
		}
	}
}

// The record of a job costs a holder no memory for each machine of its block: the names of all machines
// were collected and sorted three times for each record.
func TestJobRecordCostsDoNotGrowWithMachines(t *testing.T) {
	if few, many := allocatedBytes(jobChange(100)), allocatedBytes(jobChange(1600)); many > 2*few {
		t.Fatalf("%d bytes allocated for the records of a job beside 1,600 machines, %d beside 100", many, few)
	}
}

// allocatedBytes returns how many bytes f allocates each time, without the first one.
func allocatedBytes(f func()) uint64 {
	f()
	const rounds = 100
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range rounds {
		f()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / rounds
}

// Jobs that wait for others cost a holder no memory with each of its ticks and hints, of which there are
// many a second: the names of all jobs were collected and sorted each time.
func TestTicksDoNotCollectWaitingJobs(t *testing.T) {
	periodic := func(jobs int) func() {
		h := holderWithWaitingJobs(jobs)
		return func() {
			h.writeRecords()
			h.RunningHints()
			h.FailingJobs()
			h.BlockHint()
		}
	}
	if few, many := allocatedBytes(periodic(100)), allocatedBytes(periodic(10_000)); many > 2*few {
		t.Fatalf("%d bytes allocated beside 10,000 waiting jobs, %d beside 100", many, few)
	}
}

// BenchmarkWaitingJobs measures what a holder does periodically beside jobs that wait for others: its
// tick, a pass and the hints for other controllers.
func BenchmarkWaitingJobs(b *testing.B) {
	for _, jobs := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			h := holderWithWaitingJobs(jobs)
			for b.Loop() {
				h.Tick()
				h.runPass()
				h.RunningHints()
				h.FailingJobs()
				h.BlockHint()
			}
		})
	}
}

// holderWithWaitingJobs returns a holder of a block with ten machines, a running job and many jobs
// that wait for others.
func holderWithWaitingJobs(jobs int) *Holder {
	h, _ := recoveringHolder(api.Job{ID: "req-000001", Team: "red", Form: api.FormArray, Tasks: 10, CPUs: 1}, 10)
	h.state = placing
	h.Mirror.Blocks[h.number] = state.Versioned[*state.Block]{Record: &state.Block{Number: h.number, Term: h.term, Teams: []string{"red"}}}
	for i := range jobs {
		id := core.JobID(fmt.Sprintf("req-%06d", 100+i))
		spec := &api.Job{ID: string(id), Team: "red", Form: api.FormArray, Tasks: 10, CPUs: 1}
		e := &state.JobEntry{Job: state.Job{Phase: state.JobAccepted, Tasks: 10, Team: "red", CPUs: 1, Spec: spec}}
		h.Mirror.Jobs[id] = e
		h.addJob(id, e).blocked = true
	}
	return h
}
