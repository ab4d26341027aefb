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
	"lichenstair/internal/worker"
)

// stillLoop is a loop whose time is set by the test; nothing runs later.
type stillLoop struct{ now core.Time }

func (l *stillLoop) Now() core.Time                         { return l.now }
func (l *stillLoop) WallNow() core.WallTime                 { return 0 }
func (l *stillLoop) After(time.Duration, func())            {}
func (l *stillLoop) Call(core.Request, func(core.Response)) {}

func testHolder() (*Holder, *machine) {
	loop := &stillLoop{}
	log := slog.New(slog.DiscardHandler)
	cfg := &config.Config{Workers: config.WorkerTimings{Report: time.Second, Lease: 10 * time.Second, Cancel: 35 * time.Second}, StateLimits: config.StateLimits{RPS: 100, WriteRPS: 40, ValueBytes: 8 << 10, TxnOps: 32}}
	client := state.NewClient(loop, loop, "", cfg.StateLimits, 3)
	m := &machine{id: "n-1", state: live, fenced: true, up: true, images: map[string]bool{}, slots: map[slotKey]*slot{}}
	h := &Holder{
		Env:  Env{Loop: loop, Log: log, Config: cfg, Mirror: state.NewMirror(loop, client, log), State: client, Workers: worker.NewClient(loop), Metrics: metrics.New()},
		term: 7, state: placing, machines: map[core.MachineID]*machine{"n-1": m}, jobs: map[core.JobID]*job{},
	}
	return h, m
}

// A late copy proves nothing: it frees no booking, and does not put off the time
// at which the machine's lease has surely run out. A report that only a direct
// answer has overtaken is no such copy.
func TestLateCopy(t *testing.T) {
	h, m := testHolder()
	loop := h.Loop.(*stillLoop)
	report := func(tally uint64, tasks ...api.TaskStatus) *api.Report {
		return &api.Report{Machine: "n-1", Addr: "x:1", Type: "t", Session: 1, Sequence: tally, Term: 7, Tasks: tasks}
	}
	task := api.TaskStatus{Task: "req-1/0", Attempt: 1, State: api.TaskRunning}
	h.take(m, report(10, task), evidence{fromReport, 0})
	old := report(5)
	if h.lateCopy(m, old, loop.now.Add(time.Second)) {
		t.Fatal("a report that is in flight counts as a late copy")
	}
	if !h.lateCopy(m, old, loop.now.Add(6*time.Second)) {
		t.Fatal("a report from before one of 6 s ago counts as in flight")
	}
	if h.take(m, old, evidence{fromReport, 0}) || m.empty() {
		t.Fatal("a late copy freed a booking")
	}
}

// A start that the machine's next report does not show means that our answers do
// not reach it: it gets no work until it has answered a command.
func TestUnreachableMachineGetsNoWork(t *testing.T) {
	h, m := testHolder()
	h.take(m, &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: 1, Term: 7}, evidence{fromReport, 0})
	s := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 3}, machine: m, state: starting, sentSeason: 1, sentTally: 1}
	m.add(s)
	h.take(m, &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: 2, Term: 7}, evidence{fromReport, 1})
	if !m.empty() || !m.unreachable || h.ready(m) {
		t.Fatalf("after a start that did not arrive: %d slots, unreachable %v", len(m.slots), m.unreachable)
	}
	h.take(m, &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: 3, Term: 7}, evidence{fromAnswer, 2})
	if m.unreachable || !h.ready(m) {
		t.Fatal("it answered a command and still counts as unreachable")
	}
}

// askLoop counts the questions that are sent; none is ever answered.
type askLoop struct {
	stillLoop
	asked int
}

func (l *askLoop) Call(_ core.Request, done func(core.Response)) {
	l.asked++
	done(core.Response{})
}

// Machines that are gone are asked with growing pauses: a zone of them, asked with
// each tick, took up every call and kept those waiting that would have answered.
func TestGoneMachinesAreAskedSeldom(t *testing.T) {
	h, m := testHolder()
	loop := &askLoop{}
	h.Loop, h.Workers = loop, worker.NewClient(loop)
	m.addr, m.fenced, m.state, m.answer = "x:1", false, unsure, core.Time(time.Hour)
	for range 50 { // ten seconds of ticks
		loop.now = loop.now.Add(200 * time.Millisecond)
		h.Tick()
	}
	if loop.asked < 4 || loop.asked > 9 {
		t.Fatalf("asked %d times in ten seconds", loop.asked)
	}
}

// directLoop answers each direct command with the term that it showed.
type directLoop struct {
	stillLoop
	shown []uint64
}

func (l *directLoop) Call(r core.Request, done func(core.Response)) {
	d := api.CommandRequest{Term: 9} // what a question finds
	if r.Path == "/do" {
		if json.Unmarshal(r.Body, &d) != nil || len(d.Commands) > 0 {
			return
		}
		l.shown = append(l.shown, d.Term)
	}
	raw, _ := json.Marshal(api.Report{Machine: "n-1", Addr: "x:1", Type: "t", Session: 1, Sequence: 50 + uint64(len(l.shown)), Term: d.Term})
	done(core.Response{Status: 200, Body: raw})
}

// A start waited up to a whole report's interval for a busy machine's next report.
// A higher term makes the worker report at once, but not while an answer under a
// lower one may still be on its way, nor more often than workers heed it.
func TestBusyMachineIsPrompted(t *testing.T) {
	h, m := testHolder()
	loop := &directLoop{stillLoop: stillLoop{now: core.Time(10 * time.Second)}}
	h.Loop, h.Workers = loop, worker.NewClient(loop)
	h.Config.Workers.Report, h.Config.Workers.Lease = 4*time.Second, 22*time.Second
	m.addr, m.season, m.tally, m.prompted = "x:1", 1, 1, core.Time(-time.Hour)
	s := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 3}, machine: m, state: planned}
	m.add(s)
	m.reported = loop.now
	h.prompt(m)
	if len(loop.shown) > 0 || !h.reservedTerms.short {
		t.Fatalf("shown %v without a term in stock", loop.shown)
	}
	h.reservedTerms.next, h.reservedTerms.last = 100, 200
	m.answered = loop.now
	h.prompt(m)
	if len(loop.shown) > 0 {
		t.Fatal("prompted while an answer is on its way")
	}
	for range 100 { // ten seconds
		loop.now = loop.now.Add(100 * time.Millisecond)
		m.reported = loop.now.Add(-time.Second)
		h.prompt(m)
	}
	if len(loop.shown) != 1 || loop.shown[0] != 100 || h.termOf(m) != 100 {
		t.Fatalf("shown %v, commanded under %d", loop.shown, h.termOf(m))
	}
}

// A machine that joins the block is shown the term under which it was assigned, also
// if it already counts as accounted for: only then does it report at once. It came
// with its next report before, up to a report's interval later.
func TestNewMachineIsShownItsTerm(t *testing.T) {
	h, m := testHolder()
	loop := &directLoop{stillLoop: stillLoop{now: core.Time(10 * time.Second)}}
	h.Loop, h.Workers = loop, worker.NewClient(loop)
	m.addr, m.fenced, m.state, m.term = "x:1", false, booting, 50
	h.fence(m)
	if len(loop.shown) != 1 || loop.shown[0] != 50 || !m.fenced || m.asking {
		t.Fatalf("shown %v, accounted for %v", loop.shown, m.fenced)
	}
}

// A job with a mistake fails on every machine. Once it has failed on two it is tried one
// task at a time, with pauses, and its machines are not to blame; a good job that failed
// on a bad machine is retried elsewhere at once, and when it completes a task, the
// failures count against the machine.
func TestJobsWithAMistakeAreToldFromBadMachines(t *testing.T) {
	h, first := testHolder()
	loop := h.Loop.(*stillLoop)
	second := &machine{id: "n-2", state: live, fenced: true, up: true, images: map[string]bool{}, slots: map[slotKey]*slot{}}
	h.machines["n-2"] = second
	newJob := func(id core.JobID) *job {
		j := &job{
			id: id, spec: &api.Job{ID: string(id), Form: api.FormArray, Team: "red", Tasks: 40, EstimateS: 10},
			avoid: map[core.MachineID]core.Time{}, failed: map[core.MachineID]bool{},
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
	bad, good := newJob("req-1"), newJob("req-2")
	for range 5 {
		h.blame(first, bad, api.CauseError) // many of its tasks, on one machine
		h.blame(first, good, api.CauseError)
	}
	if bad.probing() || waiting("req-1") != 40 || waiting("req-2") != 40 || first.unreliable != 0 {
		t.Fatal("failures on one machine are evidence of neither")
	}
	h.blame(second, bad, api.CauseError)
	if !bad.probing() || waiting("req-1") != 0 {
		t.Fatal("it has failed on two machines and is not held off")
	}
	loop.now = loop.now.Add(2 * time.Second)
	if n := waiting("req-1"); n != 1 {
		t.Fatalf("%d of its tasks are tried at a time", n)
	}
	pause := bad.holdoff
	for range 6 {
		h.blame(second, bad, api.CauseError)
	}
	if bad.holdoff.Sub(loop.now) < 20*time.Second || bad.holdoff <= pause || second.fails != 0 {
		t.Fatalf("the pause is %s, failures against its machine: %d", bad.holdoff.Sub(loop.now), second.fails)
	}
	// The other one completes a task: the machine was to blame, twice over.
	h.acquit(good)
	h.finish(good, 0)
	h.blame(first, good, api.CauseError)
	if first.unreliable == 0 || good.probing() || waiting("req-2") == 0 {
		t.Fatal("the machine that fails a good job is not unreliable")
	}
	// And the first one works after all: it is at once at its full width.
	h.acquit(bad)
	h.finish(bad, 0)
	if n := waiting("req-1"); n != 39 {
		t.Fatalf("%d tasks of a job that works again may start", n)
	}
}

// The worker keeps a completed task in its reports until it is told to clear it. Cleared
// before its end is durable, a holder that ends at that moment would leave nothing to tell
// the next one, and the task would be started again.
func TestClearOnlyOnceDurable(t *testing.T) {
	h, m := testHolder()
	e := &state.JobEntry{Job: state.Job{Phase: state.JobAccepted, Tasks: 2}}
	h.Mirror.Jobs["req-1"] = e
	h.Types = func() map[string]api.MachineType { return nil }
	h.jobs["req-1"] = &job{id: "req-1", spec: &api.Job{Tasks: 2}, failed: map[core.MachineID]bool{}}
	clears := func(tally uint64, cause string) (n int) {
		h.take(m, &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: tally, Term: 7, Tasks: []api.TaskStatus{{Task: "req-1/0", Attempt: 3, State: api.TaskExited, Cause: cause}}}, evidence{fromReport, h.Loop.Now()})
		for _, o := range h.orders(m) {
			if o.Verb == api.VerbClear {
				n++
			}
		}
		return n
	}
	if clears(1, api.CauseDone) != 0 {
		t.Fatal("cleared though nobody else knows that it is done")
	}
	e.Done.Add(0)
	if clears(2, api.CauseDone) != 1 {
		t.Fatal("durably done and not cleared")
	}
}

// proofLoop answers the state service's side: it holds no keys and proves at once.
type proofLoop struct{ stillLoop }

func (l *proofLoop) Call(r core.Request, done func(core.Response)) {
	body := `{"ring":1,"items":[],"events":[],"more":false}`
	if strings.Contains(r.Path, "/watch") && !strings.Contains(r.Path, "blockMs=0") {
		return // nothing more happens
	}
	done(core.Response{Status: 200, Body: []byte(body)})
}

// provenHolder is a holder whose mirror has just been proven.
func provenHolder(t *testing.T) (*Holder, *machine, *proofLoop) {
	t.Helper()
	h, m := testHolder()
	loop := &proofLoop{}
	h.Loop, h.State = loop, state.NewClient(loop, loop, "", h.Config.StateLimits, 3)
	h.Mirror = state.NewMirror(loop, h.State, h.Log)
	h.Mirror.Start()
	h.Mirror.ConfirmFresh(func(bool) {})
	if !h.MayAnswerWorkers() {
		t.Fatal("no proof")
	}
	return h, m, loop
}

// A report kept back under the last proof is not answered after that has run out, whatever
// woke it: that would put off the lease of tasks that may have been cancelled elsewhere.
func TestKeptReportIsNotAnsweredWithoutProof(t *testing.T) {
	for _, tc := range []struct {
		later    time.Duration
		answered bool
	}{{time.Second, true}, {maxSilence(config.WorkerTimings{Lease: 10 * time.Second, Cancel: 35 * time.Second}) + time.Millisecond, false}} {
		h, m, loop := provenHolder(t)
		got, ok := 0, false
		h.HandleReport(&api.Report{Machine: "n-1", Addr: "x:1", Type: "t", Session: 1, Sequence: 1, Term: 7}, func(_ api.ReportResponse, yes bool) {
			got++
			ok = yes
		})
		if got != 0 {
			t.Fatal("a report with nothing to answer was not kept back")
		}
		loop.now = loop.now.Add(tc.later)
		h.flush(m)
		if got != 1 || ok != tc.answered {
			t.Errorf("after %s: %d answers, one that renews the lease: %v", tc.later, got, ok)
		}
		h.HandleReport(&api.Report{Machine: "n-1", Addr: "x:1", Type: "t", Session: 1, Sequence: 2, Term: 7}, func(_ api.ReportResponse, yes bool) { ok = yes })
		h.flush(m)
		if ok != tc.answered {
			t.Errorf("after %s a new report is answered: %v", tc.later, ok)
		}
	}
}

// A late copy of a report gets no answer that would count as one to its machine.
func TestLateCopyIsNotAnswered(t *testing.T) {
	h, m, loop := provenHolder(t)
	h.take(m, &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: 9, Term: 7}, evidence{fromReport, loop.now})
	loop.now = loop.now.Add(8 * time.Second)
	ok := true
	h.HandleReport(&api.Report{Machine: "n-1", Addr: "x:1", Type: "t", Session: 1, Sequence: 4, Term: 7}, func(_ api.ReportResponse, yes bool) { ok = yes })
	if ok || m.answer != 0 || m.held != nil {
		t.Fatalf("answered %v, counts as answered at %v", ok, m.answer)
	}
}

// A machine whose reports reach nobody answers commands all the same. That alone does not
// make it hear: starts travel in answers to reports.
func TestMachineWithoutReportsStaysUnreachable(t *testing.T) {
	h, m := testHolder()
	loop := h.Loop.(*stillLoop)
	m.reported, m.unreachable = loop.now.Add(time.Second), true
	loop.now = loop.now.Add(20 * time.Second)
	answer := func(tally uint64) *api.Report {
		return &api.Report{Machine: "n-1", Addr: "x:1", Session: 1, Sequence: tally, Term: 7}
	}
	h.take(m, answer(1), evidence{fromAnswer, loop.now})
	if !m.unreachable || h.ready(m) {
		t.Fatal("it counts as hearing without a report")
	}
	m.reported = loop.now
	h.take(m, answer(2), evidence{fromReport, loop.now})
	h.take(m, answer(3), evidence{fromAnswer, loop.now})
	if m.unreachable || !h.ready(m) {
		t.Fatal("it reports and answers, and still counts as unreachable")
	}
}

// An idle machine stays in the block for a job that waits for it, but not if the limit of
// the job's team is reached: those machines stood idle while other blocks had work.
func TestMachineIsNotHeldForATeamAtItsLimit(t *testing.T) {
	h, m := testHolder()
	h.Config.Operator.IdleTimeout = 20 * time.Second
	m.total, m.idle = placement.Resources{CPUs: 8, MemoryGB: 8}, 1
	now := core.Time(5 * time.Second)
	h.jobs["req-1"] = &job{id: "req-1", spec: &api.Job{Form: api.FormArray, Team: "red", Tasks: 3, CPUs: 1, MemoryGB: 1}, need: placement.Resources{CPUs: 1, MemoryGB: 1}}
	if h.releasable(m, now) {
		t.Error("released before the first pass, though a job waits")
	}
	for _, tc := range []struct {
		form     string
		used     float64
		released bool
	}{{api.FormArray, 0, false}, {api.FormArray, 99, false}, {api.FormArray, 99.5, true}, {api.FormGang, 97, false}, {api.FormGang, 98, true}} {
		h.jobs["req-1"] = &job{id: "req-1", spec: &api.Job{Form: tc.form, Team: "red", Tasks: 3, CPUs: 1, MemoryGB: 1}, need: placement.Resources{CPUs: 1, MemoryGB: 1}}
		h.teams = map[string]*placement.Team{"red": {Used: placement.Resources{CPUs: tc.used}, Quota: placement.Resources{CPUs: 100}}}
		if got := h.releasable(m, now); got != tc.released {
			t.Errorf("%s, %v of 100 CPUs used: released %v", tc.form, tc.used, got)
		}
	}
}

// A wait counts from when the last of a job's tasks left its machine, also if none of them
// waited in between; and one that began before the holder had the block counts up to a bound.
func TestWaitBeginsAnewOnceNothingRuns(t *testing.T) {
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
		t.Fatalf("at once: %d", got)
	}
	running := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 1}, machine: m, state: present}
	j.attempts.add(running)
	if got := at(30); got != -1 {
		t.Fatalf("nothing waits: %d", got)
	}
	j.attempts.remove(running)
	if got := at(100); got != placement.NotStarving {
		t.Errorf("the task has just left its machine: %d", got)
	}
	if got := at(150); got != placement.Starving {
		t.Errorf("after 50 s: %d", got)
	}
	if got := at(171); got != placement.Starved {
		t.Errorf("after 71 s: %d", got)
	}
	// A start that is lost ends no wait; while it is planned, no more is placed for it.
	j.spec.Tasks = 2
	lost := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 2}, machine: m, state: starting}
	j.attempts.add(lost)
	if got := at(172); got != placement.NotStarving {
		t.Errorf("with a start on its way: %d", got)
	}
	j.attempts.remove(lost)
	if got := at(175); got != placement.Starved {
		t.Errorf("the start was lost: %d", got)
	}
	j.withoutTasks, j.inherited = false, true
	j.at = -3_600_000 // it came an hour ago
	if got := at(200); got != placement.Starving {
		t.Errorf("with the block just granted: %d", got)
	}
	if got := at(211); got != placement.Starved {
		t.Errorf("11 s later: %d", got)
	}
}
