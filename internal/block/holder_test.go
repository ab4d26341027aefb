package block

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/metrics"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
	"lichenstair/internal/state/statetest"
	"lichenstair/internal/worker"
)

// manualLoop is a loop whose time is set by the test; it runs no timers and sends no requests.
type manualLoop struct{ now core.Time }

func (l *manualLoop) Now() core.Time                         { return l.now }
func (l *manualLoop) WallNow() core.WallTime                 { return 0 }
func (l *manualLoop) After(time.Duration, func())            {}
func (l *manualLoop) Call(core.Request, func(core.Response)) {}

// freshMirror returns an empty mirror that has just been confirmed fresh, and the service that sets
// its time.
func freshMirror(h *Holder) (*state.Mirror, *statetest.Service) {
	service := &statetest.Service{}
	mirror := state.NewMirror(service, state.NewClient(service, service, h.Metrics, "", h.Config.StateLimits, 3), h.Log)
	mirror.Start()
	mirror.ConfirmFresh(func(bool) {})
	return mirror, service
}

func testHolder() (*Holder, *machine) {
	loop := &manualLoop{}
	log := slog.New(slog.DiscardHandler)
	cfg := &config.Config{Workers: config.WorkerTimings{Report: time.Second, Lease: 10 * time.Second, Cancel: 35 * time.Second}, StateLimits: config.StateLimits{RPS: 100, WriteRPS: 40, ValueBytes: 8 << 10, TxnOps: 32}}
	client := state.NewClient(loop, loop, metrics.New(), "", cfg.StateLimits, 3)
	m := &machine{id: "n-1", state: live, fenced: true, inUse: true, images: map[string]bool{}, slots: map[slotKey]*slot{}}
	h := &Holder{
		Env:  Env{Loop: loop, Log: log, Config: cfg, Mirror: state.NewMirror(loop, client, log), State: client, Workers: worker.NewClient(loop), Metrics: metrics.New()},
		term: 7, state: placing, machines: map[core.MachineID]*machine{"n-1": m}, jobs: map[core.JobID]*job{},
	}
	return h, m
}

// A late copy proves nothing: it releases no booking, and does not postpone the proven expiry
// of the machine's lease. A report that was only overtaken by a response to a query is not a
// late copy.
func TestLateCopy(t *testing.T) {
	h, m := testHolder()
	loop := h.Loop.(*manualLoop)
	report := func(sequence uint64, tasks ...api.TaskStatus) *api.Report {
		return &api.Report{Machine: "n-1", Addr: "x:1", Type: "t", Session: 1, Sequence: sequence, Term: 7, Tasks: tasks}
	}
	task := api.TaskStatus{Task: "req-1/0", Attempt: 1, State: api.TaskRunning}
	h.applyMessage(m, report(10, task), origin{fromReport, 0})
	old := report(5)
	if h.lateCopy(m, old, loop.now.Add(time.Second)) {
		t.Fatal("a report that may be in flight counts as a late copy")
	}
	if !h.lateCopy(m, old, loop.now.Add(6*time.Second)) {
		t.Fatal("a report older than one received 6 s ago does not count as a late copy")
	}
	if h.applyMessage(m, old, origin{fromReport, 0}) || m.empty() {
		t.Fatal("a late copy was accepted or released a booking")
	}
}

// A start that the machine's next report does not show means that our responses do not reach it:
// it gets no work until it has answered a command.
func TestUnreachableMachineGetsNoWork(t *testing.T) {
	h, m := testHolder()
	h.applyMessage(m, &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: 1, Term: 7}, origin{fromReport, 0})
	s := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 3}, machine: m, state: starting, sentSession: 1, sentSequence: 1}
	m.addSlot(s)
	h.applyMessage(m, &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: 2, Term: 7}, origin{fromReport, 1})
	if !m.empty() || !m.unreachable || h.acceptsStarts(m) {
		t.Fatalf("after a lost start: %d slots, unreachable: %v", len(m.slots), m.unreachable)
	}
	h.applyMessage(m, &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: 3, Term: 7}, origin{fromResponse, 2})
	if m.unreachable || !h.acceptsStarts(m) {
		t.Fatal("the machine answered a command, but still counts as unreachable")
	}
}

// unansweredLoop counts the queries that are sent; none of them gets a response.
type unansweredLoop struct {
	manualLoop
	queries int
}

func (l *unansweredLoop) Call(_ core.Request, done func(core.Response)) {
	l.queries++
	done(core.Response{})
}

// Machines that are gone are queried with growing pauses. Queried with every tick, a zone of
// them used up all concurrent calls and delayed the machines that would have answered.
func TestQueriesToGoneMachinesBackOff(t *testing.T) {
	h, m := testHolder()
	loop := &unansweredLoop{}
	h.Loop, h.Workers = loop, worker.NewClient(loop)
	m.addr, m.fenced, m.state, m.lastRenewal = "x:1", false, unsure, core.Time(time.Hour)
	for range 50 { // ten seconds of ticks
		loop.now = loop.now.Add(200 * time.Millisecond)
		h.Tick()
	}
	if loop.queries < 4 || loop.queries > 9 {
		t.Fatalf("%d queries in ten seconds, want 4 to 9", loop.queries)
	}
}

// commandLoop answers each direct command with the term that it carried.
type commandLoop struct {
	manualLoop
	terms []uint64
}

func (l *commandLoop) Call(r core.Request, done func(core.Response)) {
	d := api.CommandRequest{Term: 9} // the term in the response to a query
	if r.Path == "/do" {
		if json.Unmarshal(r.Body, &d) != nil || len(d.Commands) > 0 {
			return
		}
		l.terms = append(l.terms, d.Term)
	}
	raw, _ := json.Marshal(api.Report{Machine: "n-1", Addr: "x:1", Type: "t", Session: 1, Sequence: 50 + uint64(len(l.terms)), Term: d.Term})
	done(core.Response{Status: 200, Body: raw})
}

// A start waited up to a whole report interval for a busy machine's next report. A higher term
// makes the worker report at once, but must not be sent while a response under a lower term may
// still be in flight, nor more often than workers act on it.
func TestBusyMachineIsPrompted(t *testing.T) {
	h, m := testHolder()
	loop := &commandLoop{manualLoop: manualLoop{now: core.Time(10 * time.Second)}}
	h.Loop, h.Workers = loop, worker.NewClient(loop)
	h.Mirror, _ = freshMirror(h)
	h.Config.Workers.Report, h.Config.Workers.Lease = 4*time.Second, 22*time.Second
	m.addr, m.session, m.sequence, m.lastPrompt = "x:1", 1, 1, core.Time(-time.Hour)
	s := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 3}, machine: m, state: planned}
	m.addSlot(s)
	m.lastReport = loop.now
	h.prompt(m)
	if len(loop.terms) > 0 || !h.reservedTerms.exhausted {
		t.Fatalf("prompted with terms %v without a reserved term, or no shortage noted", loop.terms)
	}
	h.reservedTerms.next, h.reservedTerms.last = 100, 200
	m.lastResponse = loop.now
	h.prompt(m)
	if len(loop.terms) > 0 {
		t.Fatal("prompted while a response may be in flight")
	}
	for range 100 { // ten seconds
		loop.now = loop.now.Add(100 * time.Millisecond)
		m.lastReport = loop.now.Add(-time.Second)
		h.prompt(m)
	}
	if len(loop.terms) != 1 || loop.terms[0] != 100 || h.commandTerm(m) != 100 {
		t.Fatalf("prompted with terms %v, commanded under %d; want only 100", loop.terms, h.commandTerm(m))
	}
}

// A machine that joins the block is shown the term under which it was assigned, even if it
// already counts as accounted for, since only then does it report at once. Without that it
// came up to a report interval later, with its next regular report.
func TestNewMachineIsShownItsTerm(t *testing.T) {
	h, m := testHolder()
	loop := &commandLoop{manualLoop: manualLoop{now: core.Time(10 * time.Second)}}
	h.Loop, h.Workers = loop, worker.NewClient(loop)
	m.addr, m.fenced, m.state, m.term = "x:1", false, booting, 50
	h.fence(m)
	if len(loop.terms) != 1 || loop.terms[0] != 50 || !m.fenced || m.queryInFlight {
		t.Fatalf("shown terms %v, want only 50; accounted for: %v", loop.terms, m.fenced)
	}
}

// A faulty job fails on every machine. Once it has failed on two machines, it is tried one
// task at a time with pauses, and its failures do not count against the machines. A job that
// works but failed on a faulty machine is retried elsewhere at once, and when it completes a
// task, its failures count against the machine.
func TestFaultyJobsAreDistinguishedFromFaultyMachines(t *testing.T) {
	h, first := testHolder()
	loop := h.Loop.(*manualLoop)
	second := &machine{id: "n-2", state: live, fenced: true, inUse: true, images: map[string]bool{}, slots: map[slotKey]*slot{}}
	h.machines["n-2"] = second
	newJob := func(id core.JobID) *job {
		j := &job{
			id: id, spec: &api.Job{ID: string(id), Form: api.FormArray, Team: "red", Tasks: 40, EstimateS: 10},
			excludedUntil: map[core.MachineID]core.Time{}, failedMachines: map[core.MachineID]bool{},
		}
		h.jobs[id] = j
		return j
	}
	waiting := func(id core.JobID) int {
		for _, p := range h.candidates(loop.now) {
			if p.ID == id {
				return p.Waiting
			}
		}
		return 0
	}
	faulty, working := newJob("req-1"), newJob("req-2")
	for range 5 {
		h.recordFailure(first, faulty, api.CauseError) // many of its tasks, on one machine
		h.recordFailure(first, working, api.CauseError)
	}
	if faulty.failing() || waiting("req-1") != 40 || waiting("req-2") != 40 || first.unreliableUntil != 0 {
		t.Fatal("failures on one machine already count against the job or the machine")
	}
	h.recordFailure(second, faulty, api.CauseError)
	if !faulty.failing() || waiting("req-1") != 0 {
		t.Fatal("the job has failed on two machines, but is not backing off")
	}
	loop.now = loop.now.Add(2 * time.Second)
	if n := waiting("req-1"); n != 1 {
		t.Fatalf("%d tasks of a failing job are tried at a time, want 1", n)
	}
	pause := faulty.backoffUntil
	for range 6 {
		h.recordFailure(second, faulty, api.CauseError)
	}
	if faulty.backoffUntil.Sub(loop.now) < 20*time.Second || faulty.backoffUntil <= pause || second.failures != 0 {
		t.Fatalf("backoff of the failing job: %s, want at least 20 s and growing; failures of its machine: %d, want 0", faulty.backoffUntil.Sub(loop.now), second.failures)
	}
	// The other job completes a task, so its earlier failure and the next one both count against
	// the machine.
	h.clearFailures(working)
	h.markDone(working, 0)
	h.recordFailure(first, working, api.CauseError)
	if first.unreliableUntil == 0 || working.failing() || waiting("req-2") == 0 {
		t.Fatal("the machine on which a working job failed does not count as unreliable")
	}
	// The first job works after all: all of its tasks may start at once.
	h.clearFailures(faulty)
	h.markDone(faulty, 0)
	if n := waiting("req-1"); n != 39 {
		t.Fatalf("%d tasks of the recovered job may start, want 39", n)
	}
}

// A worker keeps a completed task in its reports until it is told to clear it. If it were
// cleared before the completion is durable and the holder ended at that moment, no later
// holder would learn of the completion, and the task would be started again.
func TestClearOnlyOnceDurable(t *testing.T) {
	h, m := testHolder()
	e := &state.JobEntry{Job: state.Job{Phase: state.JobAccepted, Tasks: 2}}
	h.Mirror.Jobs["req-1"] = e
	h.Types = func() map[string]api.MachineType { return nil }
	h.jobs["req-1"] = &job{id: "req-1", spec: &api.Job{Tasks: 2}, failedMachines: map[core.MachineID]bool{}}
	clears := func(sequence uint64, cause string) (n int) {
		h.applyMessage(m, &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: sequence, Term: 7, Tasks: []api.TaskStatus{{Task: "req-1/0", Attempt: 3, State: api.TaskExited, Cause: cause}}}, origin{fromReport, h.Loop.Now()})
		for _, o := range h.commands(m) {
			if o.Verb == api.VerbClear {
				n++
			}
		}
		return n
	}
	if clears(1, api.CauseDone) != 0 {
		t.Fatal("task cleared before its completion was durable")
	}
	e.Done.Add(0)
	if clears(2, api.CauseDone) != 1 {
		t.Fatal("task durably done, but not cleared")
	}
}

// emptyStateLoop simulates a state service without keys that confirms freshness at once.
type emptyStateLoop struct{ manualLoop }

func (l *emptyStateLoop) Call(r core.Request, done func(core.Response)) {
	body := `{"ring":1,"items":[],"events":[],"more":false}`
	if strings.Contains(r.Path, "/watch") && !strings.Contains(r.Path, "blockMs=0") {
		return // no further changes
	}
	done(core.Response{Status: 200, Body: []byte(body)})
}

// confirmedHolder returns a holder whose mirror has just been confirmed fresh.
func confirmedHolder(t *testing.T) (*Holder, *machine, *emptyStateLoop) {
	t.Helper()
	h, m := testHolder()
	loop := &emptyStateLoop{}
	h.Loop, h.State = loop, state.NewClient(loop, loop, metrics.New(), "", h.Config.StateLimits, 3)
	h.Mirror = state.NewMirror(loop, h.State, h.Log)
	h.Mirror.Start()
	h.Mirror.ConfirmFresh(func(bool) {})
	if !h.MayAnswerWorkers() {
		t.Fatal("the holder may not answer workers right after its mirror was confirmed fresh")
	}
	return h, m, loop
}

// A held report must not be answered once the last confirmation that the mirror is fresh is
// older than maxContactAge, whatever triggers the response: it would renew the lease of tasks
// that may have been cancelled by another controller.
func TestHeldReportIsNotAnsweredWithoutProof(t *testing.T) {
	for _, tc := range []struct {
		later    time.Duration
		answered bool
	}{{time.Second, true}, {maxContactAge(config.WorkerTimings{Lease: 10 * time.Second, Cancel: 35 * time.Second}) + time.Millisecond, false}} {
		h, m, loop := confirmedHolder(t)
		got, ok := 0, false
		h.HandleReport(&api.Report{Machine: "n-1", Addr: "x:1", Type: "t", Session: 1, Sequence: 1, Term: 7}, func(_ api.ReportResponse, yes bool) {
			got++
			ok = yes
		})
		if got != 0 {
			t.Fatal("the response to a report was not held back although there were no commands")
		}
		loop.now = loop.now.Add(tc.later)
		h.answerHeldReport(m)
		if got != 1 || ok != tc.answered {
			t.Errorf("after %s: %d responses, want 1; lease renewed: %v", tc.later, got, ok)
		}
		h.HandleReport(&api.Report{Machine: "n-1", Addr: "x:1", Type: "t", Session: 1, Sequence: 2, Term: 7}, func(_ api.ReportResponse, yes bool) { ok = yes })
		h.answerHeldReport(m)
		if ok != tc.answered {
			t.Errorf("after %s: new report answered: %v", tc.later, ok)
		}
	}
}

// A late copy of a report gets no response, so that it does not count as a renewal of the
// machine's lease.
func TestLateCopyIsNotAnswered(t *testing.T) {
	h, m, loop := confirmedHolder(t)
	h.applyMessage(m, &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: 9, Term: 7}, origin{fromReport, loop.now})
	loop.now = loop.now.Add(8 * time.Second)
	ok := true
	h.HandleReport(&api.Report{Machine: "n-1", Addr: "x:1", Type: "t", Session: 1, Sequence: 4, Term: 7}, func(_ api.ReportResponse, yes bool) { ok = yes })
	if ok || m.lastRenewal != 0 || m.heldReport != nil {
		t.Fatalf("late copy: answered %v, counted as a renewal at %v", ok, m.lastRenewal)
	}
}

// A machine whose reports do not arrive still answers commands. That alone must not make it
// reachable: starts are sent in responses to reports.
func TestMachineWithoutReportsStaysUnreachable(t *testing.T) {
	h, m := testHolder()
	loop := h.Loop.(*manualLoop)
	m.lastReport, m.unreachable = loop.now.Add(time.Second), true
	loop.now = loop.now.Add(20 * time.Second)
	response := func(sequence uint64) *api.Report {
		return &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: sequence, Term: 7}
	}
	h.applyMessage(m, response(1), origin{fromResponse, loop.now})
	if !m.unreachable || h.acceptsStarts(m) {
		t.Fatal("the machine counts as reachable without a report")
	}
	m.lastReport = loop.now
	h.applyMessage(m, response(2), origin{fromReport, loop.now})
	h.applyMessage(m, response(3), origin{fromResponse, loop.now})
	if m.unreachable || !h.acceptsStarts(m) {
		t.Fatal("the machine reports and answers, but still counts as unreachable")
	}
}

// An idle machine stays in the block for a job that waits for it, unless the quota of the
// job's team is used up: such machines stayed idle while other blocks had work.
func TestMachineIsNotHeldForATeamAtItsQuota(t *testing.T) {
	h, m := testHolder()
	h.Config.Operator.IdleTimeout = 20 * time.Second
	m.total, m.idleSince = placement.Resources{CPUs: 8, MemoryGB: 8}, 1
	now := core.Time(5 * time.Second)
	h.jobs["req-1"] = &job{id: "req-1", spec: &api.Job{Form: api.FormArray, Team: "red", Tasks: 3, CPUs: 1, MemoryGB: 1}, resources: placement.Resources{CPUs: 1, MemoryGB: 1}}
	if h.shouldLeave(m, now) {
		t.Error("machine should leave the block before the first pass although a job is waiting")
	}
	for _, tc := range []struct {
		form     string
		used     float64
		released bool
	}{{api.FormArray, 0, false}, {api.FormArray, 99, false}, {api.FormArray, 99.5, true}, {api.FormGang, 97, false}, {api.FormGang, 98, true}} {
		h.jobs["req-1"] = &job{id: "req-1", spec: &api.Job{Form: tc.form, Team: "red", Tasks: 3, CPUs: 1, MemoryGB: 1}, resources: placement.Resources{CPUs: 1, MemoryGB: 1}}
		h.teams = map[string]*placement.Team{"red": {Used: placement.Resources{CPUs: tc.used}, Quota: placement.Resources{CPUs: 100}}}
		if got := h.shouldLeave(m, now); got != tc.released {
			t.Errorf("%s, %v of 100 CPUs used: should leave the block: %v", tc.form, tc.used, got)
		}
	}
}

// A wait counts from when the last of a job's tasks left its machine, even if none of its
// tasks waited in between. A wait that began before the holder had the block counts up to a bound.
func TestWaitRestartsWhenNothingRuns(t *testing.T) {
	h, m := testHolder()
	j := &job{id: "req-1", spec: &api.Job{Form: api.FormArray, Team: "red", Tasks: 1}}
	h.jobs["req-1"] = j
	at := func(s int) placement.Starvation {
		now := core.Time(s) * core.Time(time.Second)
		for _, candidate := range h.candidates(now) {
			return candidate.Starvation
		}
		return -1
	}
	if got := at(10); got != placement.NotStarving {
		t.Fatalf("starvation at once: %d", got)
	}
	running := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 1}, machine: m, state: present}
	j.attempts.add(running)
	if got := at(30); got != -1 {
		t.Fatalf("nothing is waiting, but there is a candidate with starvation %d", got)
	}
	j.attempts.remove(running)
	if got := at(100); got != placement.NotStarving {
		t.Errorf("starvation after the task has just left its machine: %d", got)
	}
	if got := at(150); got != placement.Starving {
		t.Errorf("starvation after 50 s: %d", got)
	}
	if got := at(171); got != placement.Starved {
		t.Errorf("starvation after 71 s: %d", got)
	}
	// A lost start does not end the wait; while it is booked, nothing more is placed for the
	// job because of its wait.
	j.spec.Tasks = 2
	lost := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 2}, machine: m, state: starting}
	j.attempts.add(lost)
	if got := at(172); got != placement.NotStarving {
		t.Errorf("starvation with a start in flight: %d", got)
	}
	j.attempts.remove(lost)
	if got := at(175); got != placement.Starved {
		t.Errorf("starvation after the start was lost: %d", got)
	}
	j.unplaced, j.waitInherited = false, true
	j.readyAt = -3_600_000 // submitted an hour ago
	if got := at(200); got != placement.Starving {
		t.Errorf("starvation with the block just granted: %d", got)
	}
	if got := at(211); got != placement.Starved {
		t.Errorf("starvation 11 s later: %d", got)
	}
}
