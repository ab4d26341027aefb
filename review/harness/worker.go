package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

const (
	reportTimeout = 4 * time.Second
	leastInterval = 500 * time.Millisecond // between two reports
)

// worker is a stand-in for a machine with its worker. It runs independent tasks.
type worker struct {
	c     *cluster
	id    string
	addr  string
	typ   api.MachineType
	zone  string
	spot  bool
	began time.Time
	ln    net.Listener

	mu           sync.Mutex
	stopped      bool
	session      uint64
	sequence     uint64
	term         uint64
	lastAnswered time.Time // when the last answered report was sent, or the session began
	tasks        map[taskKey]*task
	images       map[string]bool
	changed      chan struct{} // has an element if something has changed since the last report
	termChangeAt time.Time     // when a higher token last counted as a change
	controller   int           // index of the controller that it reports to
	answeredBy   int           // index of the controller that last answered 200, -1 for none
}

// taskKey identifies an attempt of a task.
type taskKey struct {
	name    string // <job>/<index>
	attempt uint64
}

// task is an attempt of a task.
type task struct {
	status api.TaskStatus
	job    *api.Job
	ended  chan struct{} // closed when it exits or is forgotten
}

// on reports whether the task takes room.
func (t *task) on() bool { return t.status.State != api.TaskExited }

func newWorker(c *cluster, id string, typ api.MachineType, zone string, spot bool) *worker {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		c.fail(err)
		return nil
	}
	w := &worker{
		c: c, id: id, addr: ln.Addr().String(), typ: typ, zone: zone, spot: spot, began: time.Now(), ln: ln,
		session: 1, lastAnswered: time.Now(), tasks: map[taskKey]*task{}, images: map[string]bool{}, changed: make(chan struct{}, 1),
		controller: rand.IntN(len(c.controllers)), answeredBy: -1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.handleCommands)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		answerJSON(rw, 200, w.report())
	})
	go func() { _ = http.Serve(ln, mux) }()
	go w.reportLoop()
	go w.leaseLoop()
	return w
}

// stop ends the machine and everything on it.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.forgetTasks("the machine is gone")
	w.ln.Close()
}

// report returns a report. The caller holds the lock.
func (w *worker) report() api.Report {
	w.sequence++
	r := api.Report{
		Machine: w.id, Addr: w.addr, Type: w.typ.Name, Zone: w.zone, Spot: w.spot,
		Session: w.session, Sequence: w.sequence, Term: w.term, Tasks: []api.TaskStatus{},
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.status)
	}
	slices.SortFunc(r.Tasks, func(a, b api.TaskStatus) int { return strings.Compare(a.Task, b.Task) })
	return r
}

// noteChange asks for a report soon.
func (w *worker) noteChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// leaseLoop begins a new session when the lease has expired.
func (w *worker) leaseLoop() {
	for range time.Tick(50 * time.Millisecond) {
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		w.checkLease()
		w.mu.Unlock()
	}
}

// checkLease kills and forgets all tasks if the lease has expired. The caller holds the lock.
func (w *worker) checkLease() {
	if time.Since(w.lastAnswered) <= w.c.site.workerLease() {
		return
	}
	w.forgetTasks("the lease has expired")
	w.session++
	w.lastAnswered = time.Now()
	w.c.note(w.id, "lease expired, session %d begins", w.session)
	w.noteChange()
}

// forgetTasks removes all tasks. The caller holds the lock.
func (w *worker) forgetTasks(why string) {
	for key, t := range w.tasks {
		if t.on() {
			close(t.ended)
			w.c.observe(event{kind: taskOff, machine: w.id, task: key.name, attempt: key.attempt, detail: why})
		}
	}
	w.tasks = map[taskKey]*task{}
}

// reportLoop sends the reports, one at a time.
func (w *worker) reportLoop() {
	client := &http.Client{Timeout: reportTimeout, Transport: &http.Transport{MaxConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	last := time.Time{}
	for {
		interval := time.Duration(float64(w.c.site.reportInterval()) * (0.75 + rand.Float64()/2))
		select {
		case <-w.changed:
			time.Sleep(max(leastInterval-time.Since(last), 0))
		case <-time.After(max(interval-time.Since(last), 0)):
		}
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		w.checkLease()
		sent, session := time.Now(), w.session
		select { // this report shows all changes so far
		case <-w.changed:
		default:
		}
		report := w.report()
		raw, _ := json.Marshal(report)
		controller := w.controller
		w.mu.Unlock()
		last = sent
		w.c.observe(event{kind: reportSent, machine: w.id, controller: controller})
		status, body := 0, []byte(nil)
		res, err := client.Post("http://"+w.c.controllers[controller].addr+"/hello", "application/json", bytes.NewReader(raw))
		if err == nil {
			status = res.StatusCode
			if body, err = io.ReadAll(res.Body); err != nil {
				status = 0
			}
			res.Body.Close()
		}
		time.Sleep(w.handleResponse(client, controller, status, body, sent, session))
	}
}

// handleResponse handles the response to a report and returns how long to wait before the next one
// may be sent.
func (w *worker) handleResponse(client *http.Client, controller, status int, body []byte, sent time.Time, session uint64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := func() time.Duration {
		w.controller = (controller + 1) % len(w.c.controllers)
		w.noteChange()
		return time.Second
	}
	switch {
	case status == 200 && time.Since(sent) <= reportTimeout:
		var a api.ReportResponse
		if json.Unmarshal(body, &a) != nil {
			return next()
		}
		if a.Term < w.term || session != w.session {
			w.c.note(w.id, "response of %s dropped: token %d and session %d, highest token seen %d, session %d", w.c.controllers[controller].name, a.Term, session, w.term, w.session)
			return 0
		}
		w.term = a.Term
		w.lastAnswered = sent
		w.answeredBy = controller
		if len(a.Commands) > 0 {
			w.c.note(w.id, "response of %s to the report sent at %s, token %d: %s", w.c.controllers[controller].name, w.c.stamp(sent), a.Term, compact(a.Commands))
		}
		w.execute(a.Commands, sent)
		return 0
	case status == 421:
		var r api.Redirect
		_ = json.Unmarshal(body, &r)
		for i, c := range w.c.controllers {
			if c.name == r.Holder && i != controller {
				client.CloseIdleConnections()
				w.controller = i
				w.noteChange()
				return time.Duration(rand.IntN(500)) * time.Millisecond
			}
		}
	}
	return next()
}

// handleCommands executes commands that were sent to the worker's address.
func (w *worker) handleCommands(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		Term     *uint64       `json:"warrant"`
		Session  *uint64       `json:"season"`
		Commands []api.Command `json:"orders"`
	}
	if json.NewDecoder(io.LimitReader(r.Body, 64<<10)).Decode(&request) != nil || request.Term == nil || request.Session == nil {
		answerJSON(rw, 400, malformed)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkLease()
	if *request.Term < w.term || *request.Session != w.session {
		answerJSON(rw, 409, w.report())
		return
	}
	if *request.Term > w.term {
		w.term = *request.Term
		if time.Since(w.termChangeAt) >= w.c.site.workerLease()/2 {
			w.termChangeAt = time.Now()
			w.noteChange()
		}
	}
	w.execute(request.Commands, time.Now())
	answerJSON(rw, 200, w.report())
}

// execute executes commands in order; asked is when the report that they answer was sent, or when
// they arrived by themselves. The caller holds the lock.
func (w *worker) execute(commands []api.Command, asked time.Time) {
	for _, command := range commands {
		key := taskKey{command.Task, command.Attempt}
		t := w.tasks[key]
		switch {
		case command.Verb == api.VerbRun && t == nil:
			w.start(key, asked)
		case command.Verb == api.VerbKill && t != nil && t.on():
			w.exit(key, t, api.CauseHalted)
		case command.Verb == api.VerbClear && t != nil && !t.on():
			delete(w.tasks, key)
		}
	}
}

// start starts an attempt. The caller holds the lock.
func (w *worker) start(key taskKey, asked time.Time) {
	t := &task{status: api.TaskStatus{Task: key.name, Attempt: key.attempt, State: api.TaskExited}, ended: make(chan struct{})}
	w.tasks[key] = t
	w.noteChange()
	id, err := core.ParseTaskID(key.name)
	t.job = w.c.job(string(id.Job))
	if err != nil || t.job == nil || id.Index >= t.job.Tasks {
		t.status.Cause = api.CauseNoSuch
		return
	}
	cpus, memory := w.typ.CPUs, w.typ.MemoryGB
	for other, o := range w.tasks {
		if !o.on() {
			continue
		}
		if other.name == key.name {
			t.status.Cause = api.CauseInUse
			return
		}
		cpus, memory = cpus-o.job.CPUs, memory-o.job.MemoryGB
	}
	if t.job.CPUs > cpus || t.job.MemoryGB > memory {
		t.status.Cause = api.CauseNoRoom
		return
	}
	t.status.State = api.TaskFetching
	w.c.observe(event{kind: taskCommanded, machine: w.id, task: key.name, attempt: key.attempt, asked: asked})
	fetch := time.Duration(0)
	if !w.images[t.job.Image] {
		fetch = core.Seconds(t.job.ImageGB / w.typ.FetchGBPerS)
	}
	go w.runTask(key, t, fetch)
}

// runTask fetches the image, runs the task for as long as the case says and completes it.
func (w *worker) runTask(key taskKey, t *task, fetch time.Duration) {
	select {
	case <-time.After(fetch):
	case <-t.ended:
		return
	}
	w.mu.Lock()
	if !t.on() || w.tasks[key] != t {
		w.mu.Unlock()
		return
	}
	w.images[t.job.Image] = true
	t.status.State = api.TaskRunning
	w.c.observe(event{kind: taskOn, machine: w.id, task: key.name, attempt: key.attempt})
	w.noteChange()
	finished := w.c.taskFinished(key.name)
	w.mu.Unlock()
	select {
	case <-finished:
	case <-t.ended:
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.on() && w.tasks[key] == t {
		w.exit(key, t, api.CauseDone)
	}
}

// exit ends an attempt. The caller holds the lock.
func (w *worker) exit(key taskKey, t *task, cause string) {
	close(t.ended)
	t.status.State, t.status.Cause = api.TaskExited, cause
	w.c.observe(event{kind: taskOff, machine: w.id, task: key.name, attempt: key.attempt, detail: cause})
	w.noteChange()
}

// compact returns the JSON of a value for the record.
func compact(v any) string {
	raw, _ := json.Marshal(v)
	return string(raw)
}
