package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// taskRun is an attempt of a task on a worker.
type taskRun struct {
	job      *jobSpec
	task     string
	sprout   uint64
	phase    string // fetching, gathering, running, saving, exited
	cause    string
	saved    bool
	endsAt   time.Time // of the phase
	fails    bool
	inEffect bool // has its image, so it is on its machine
	gang     *gang
}

// gang is one attempt of a gang of several tasks. Its tasks start together and complete together.
type gang struct {
	mu       sync.Mutex
	members  map[string]bool
	size     int
	running  bool
	endsAt   time.Time
	brokenAt time.Time // when the first member of a running gang was gone; zero: none is
}

func (g *gang) join(task string, runFor time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[task] = true
	if len(g.members) == g.size && !g.running {
		g.running, g.endsAt = true, time.Now().Add(runFor)
	}
}

func (g *gang) leave(task string, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, task)
	if g.running && !done && g.brokenAt.IsZero() {
		g.brokenAt = time.Now()
	}
}

// state returns whether the gang runs, until when, and whether its remaining tasks have noticed that
// one is gone.
func (g *gang) state() (running bool, endsAt time.Time, broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.endsAt, !g.brokenAt.IsZero() && time.Since(g.brokenAt) > 2*time.Second
}

// worker is a stand-in of a machine with its worker.
type worker struct {
	mu       sync.Mutex
	c        *cluster
	id, addr string
	typ      machineType
	zone     string
	spot     bool
	rentedAt time.Time
	boot     time.Duration

	ended     bool
	stoppedAt time.Time // guarded by the cloud's lock; zero: it has not stopped
	season    uint64
	tally     uint64
	warrant   uint64
	renewed   time.Time // when the last answered report was sent, or the session began
	tasks     map[string]*taskRun
	images    map[string]bool
	node      int       // controller that it reports to
	dirty     bool      // something has changed since the last report
	hungTill  time.Time // executes nothing until then
	deaf      bool      // its reports arrive; answers and commands do not reach it
	mute      bool      // its reports reach no controller; commands reach it
	faulty    bool      // its tasks end with "error"
	cutFrom   map[int]bool
	server    *http.Server
	wake      chan struct{}
	client    *http.Client
}

func newWorker(c *cluster, id string, typ machineType, zone string, spot bool, boot time.Duration) *worker {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	m := &worker{c: c, id: id, addr: ln.Addr().String(), typ: typ, zone: zone, spot: spot, rentedAt: time.Now(), boot: boot, tasks: map[string]*taskRun{}, images: map[string]bool{}, cutFrom: map[int]bool{}, wake: make(chan struct{}, 1), node: rand.IntN(len(c.nodes))}
	m.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}, Timeout: 4 * time.Second}
	m.server = &http.Server{Handler: m}
	c.spawn(func() { _ = m.server.Serve(ln) })
	c.spawn(m.run)
	return m
}

// end ends the machine with everything on it.
func (m *worker) end(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return
	}
	m.ended = true
	for _, t := range m.sorted() {
		m.leave(t, "machine "+why)
	}
	m.c.record("machine %s %s", m.id, why)
	go m.server.Close()
}

func (m *worker) sorted() []*taskRun {
	var keys []string
	for k := range m.tasks {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var out []*taskRun
	for _, k := range keys {
		out = append(out, m.tasks[k])
	}
	return out
}

// run boots the machine, then reports, ends tasks and keeps the lease.
func (m *worker) run() {
	if !m.c.sleep(m.boot) {
		return
	}
	m.mu.Lock()
	m.season, m.renewed, m.dirty = 1, time.Now(), true
	m.mu.Unlock()
	m.c.record("machine %s (%s, %s) is up", m.id, m.typ.Sku, m.zone)
	m.c.spawn(m.report)
	for m.c.sleep(20 * time.Millisecond) {
		m.mu.Lock()
		if m.ended {
			m.mu.Unlock()
			return
		}
		if !time.Now().Before(m.hungTill) {
			m.checkLease()
			m.step()
		}
		m.mu.Unlock()
	}
}

// checkLease begins the next session if the lease is over.
func (m *worker) checkLease() {
	if time.Since(m.renewed) <= m.c.lease {
		return
	}
	for _, t := range m.sorted() {
		m.leave(t, "lease of "+m.id+" expired")
	}
	m.tasks = map[string]*taskRun{}
	m.season++
	m.tally, m.renewed = 0, time.Now()
	m.c.record("worker %s: lease expired, season %d", m.id, m.season)
	m.changed()
}

func (m *worker) changed() {
	m.dirty = true
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// leave records that a task is no longer on the machine.
func (m *worker) leave(t *taskRun, why string) {
	if t.phase == "exited" {
		return
	}
	if t.inEffect {
		m.c.check.removed(t, m, why)
	}
	if t.gang != nil {
		t.gang.leave(t.task, why == "done")
	}
}

func (m *worker) exit(t *taskRun, cause string) {
	if t.phase == "exited" {
		return
	}
	m.leave(t, cause)
	t.phase, t.cause = "exited", cause
	if cause == "done" {
		m.c.check.completed(t)
	}
	m.changed()
}

// step ends the phases of tasks whose time is over.
func (m *worker) step() {
	for _, t := range m.sorted() {
		over := !time.Now().Before(t.endsAt)
		switch {
		case t.phase == "exited":
		case t.gang != nil:
			m.stepGang(t, over)
		case over && t.phase == "fetching":
			m.stepFetched(t)
		case over && t.phase == "running" && t.fails:
			m.exit(t, "error")
		case over && t.phase == "running":
			m.exit(t, "done")
		case over && t.phase == "saving":
			t.saved = true
			m.exit(t, "halted")
		}
	}
}

// stepFetched goes on with a task that has its image.
func (m *worker) stepFetched(t *taskRun) {
	m.images[t.job.Seedcase] = true
	if m.c.check.isDone(t.task) {
		m.exit(t, "done")
		return
	}
	t.inEffect = true
	m.c.check.started(t, m)
	if t.job.Form == "group" && t.job.Spores > 1 {
		t.phase, t.endsAt = "gathering", time.Now().Add(m.c.gangWait)
		t.gang = m.c.joinGang(t)
	} else {
		t.phase, t.endsAt = "running", time.Now().Add(time.Duration(float64(t.job.runFor)*(1+t.job.vary*(2*rand.Float64()-1))))
		if m.faulty || t.job.fails {
			t.fails, t.endsAt = true, time.Now().Add(min(t.job.runFor, time.Second))
		}
	}
	m.changed()
}

// stepGang goes on with a task of a gang of several.
func (m *worker) stepGang(t *taskRun, over bool) {
	running, endsAt, broken := t.gang.state()
	switch {
	case t.phase == "saving" && over:
		t.saved = true
		m.exit(t, "halted")
	case broken:
		m.exit(t, "peers")
	case t.phase == "gathering" && running:
		t.phase, t.endsAt = "running", endsAt
		m.changed()
	case t.phase == "gathering" && over:
		m.exit(t, "incomplete")
	case t.phase == "running" && over:
		m.exit(t, "done")
	}
}

func (m *worker) snapshot() anyMap {
	m.tally++
	spores := []anyMap{}
	for _, t := range m.sorted() {
		s := anyMap{"spore": t.task, "sprout": t.sprout, "phase": t.phase}
		if t.phase == "exited" {
			s["cause"] = t.cause
			if t.saved {
				s["saved"] = true
			}
		}
		spores = append(spores, s)
	}
	return anyMap{"rock": m.id, "addr": m.addr, "stock": m.typ.Sku, "patch": m.zone, "windfall": m.spot, "season": m.season, "tally": m.tally, "warrant": m.warrant, "warningS": nil, "spores": spores}
}

// order is a command of a controller.
type order struct {
	Verb   string   `json:"verb"`
	Spore  string   `json:"spore"`
	Sprout uint64   `json:"sprout"`
	WiltS  *float64 `json:"wiltS"`
}

// execute carries out commands. sent is when the report was sent that they answer.
func (m *worker) execute(from string, sent time.Time, orders []order) {
	for _, o := range orders {
		key := o.Spore + "#" + strconv.FormatUint(o.Sprout, 10)
		t := m.tasks[key]
		m.c.record("worker %s executes %s %s attempt %d from %s", m.id, o.Verb, o.Spore, o.Sprout, from)
		switch o.Verb {
		case "run":
			if t == nil {
				m.tasks[key] = m.start(o, from, sent)
				m.changed()
			}
		case "kill":
			if t == nil || t.phase == "exited" {
				continue
			}
			if t.phase == "running" && t.job.MoltS > 0 && o.WiltS != nil && *o.WiltS >= t.job.ShedS {
				t.phase, t.endsAt = "saving", time.Now().Add(time.Duration(t.job.ShedS*float64(time.Second)))
				m.changed()
				continue
			}
			m.exit(t, "halted")
		case "clear":
			if t != nil && t.phase == "exited" {
				delete(m.tasks, key)
			}
		}
	}
}

func (m *worker) start(o order, from string, sent time.Time) *taskRun {
	t := &taskRun{task: o.Spore, sprout: o.Sprout, phase: "exited"}
	id, index, _ := strings.Cut(o.Spore, "/")
	n, err := strconv.Atoi(index)
	job := m.c.jobs.get(id)
	m.c.check.commanded(o.Spore, m, from, sent.Sub(m.c.began))
	if job == nil || err != nil || n >= job.Spores {
		t.cause = "no_such"
		m.c.check.unknownWork(o.Spore, m)
		return t
	}
	t.job = job
	cpus, ram := job.CPUs, job.RAM
	for _, other := range m.tasks {
		if other.phase == "exited" {
			continue
		}
		if other.task == t.task {
			t.cause = "in_use"
			return t
		}
		cpus, ram = cpus+other.job.CPUs, ram+other.job.RAM
	}
	if cpus > m.typ.CPUs+1e-6 || ram > m.typ.RAM+1e-6 {
		t.cause = "no_room"
		return t
	}
	t.phase = "fetching"
	t.endsAt = time.Now()
	if !m.images[job.Seedcase] {
		t.endsAt = t.endsAt.Add(time.Duration(job.PullGb / m.typ.FetchGBPerS * float64(time.Second)))
	}
	return t
}

// ServeHTTP answers direct commands and questions.
func (m *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.mu.Lock()
	deaf, ended := m.deaf, m.ended
	m.mu.Unlock()
	if deaf || ended {
		hang(r)
	}
	m.lockAwake()
	m.checkLease()
	status, answer := m.serve(r, body)
	m.mu.Unlock()
	reply(w, status, answer)
}

func (m *worker) serve(r *http.Request, body []byte) (int, any) {
	if r.URL.Path == "/inspect" {
		return 200, m.snapshot()
	}
	var d struct {
		Warrant *uint64 `json:"warrant"`
		Season  *uint64 `json:"season"`
		Orders  []order `json:"orders"`
	}
	if json.Unmarshal(body, &d) != nil || d.Warrant == nil || d.Season == nil {
		return 400, anyMap{"error": "malformed"}
	}
	if *d.Warrant < m.warrant || *d.Season != m.season {
		return 409, m.snapshot()
	}
	if *d.Warrant > m.warrant {
		m.warrant = *d.Warrant
		m.changed()
	}
	m.execute("a direct command", time.Now(), d.Orders)
	return 200, m.snapshot()
}

// report reports to the controllers until the machine ends.
func (m *worker) report() {
	last := time.Time{}
	for {
		interval := time.Duration((0.75 + 0.5*rand.Float64()) * float64(m.c.reportEvery))
		deadline := time.NewTimer(time.Until(last.Add(interval)))
	waiting:
		for {
			select {
			case <-m.wake:
				if wait := time.Until(last.Add(500 * time.Millisecond)); wait > 0 {
					m.c.sleep(wait)
				}
				break waiting
			case <-deadline.C:
				break waiting
			case <-m.c.done:
				return
			}
		}
		deadline.Stop()
		last = time.Now()
		pause := m.reportOnce()
		if m.isEnded() || !m.c.sleep(pause) {
			return
		}
		if pause > 0 {
			last = time.Time{}
		}
	}
}

func (m *worker) isEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// lockAwake locks the worker once its machine does not hang.
func (m *worker) lockAwake() {
	for {
		m.mu.Lock()
		if m.ended || !time.Now().Before(m.hungTill) {
			return
		}
		m.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// reportOnce sends one report and returns how long to wait before the next one at least.
func (m *worker) reportOnce() time.Duration {
	m.lockAwake()
	m.checkLease()
	node, sent, season := m.node, time.Now(), m.season
	raw, _ := json.Marshal(m.snapshot())
	m.dirty = false
	cut := m.mute || m.cutFrom[node] || m.c.nodeCutFromWorkers(node)
	m.mu.Unlock()
	if cut {
		m.c.sleep(4 * time.Second)
		m.tryNext(node)
		return time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+m.c.nodes[node].bind+"/hello", bytes.NewReader(raw))
	res, err := m.client.Do(req)
	var body []byte
	status := 0
	if err == nil {
		body, err = io.ReadAll(res.Body)
		res.Body.Close()
		status = res.StatusCode
	}
	m.mu.Lock()
	lost := m.deaf || m.mute || m.cutFrom[node] || m.c.nodeCutFromWorkers(node)
	m.mu.Unlock()
	if lost {
		m.c.sleep(time.Until(sent.Add(4 * time.Second)))
		m.tryNext(node)
		return time.Second
	}
	m.lockAwake()
	defer m.mu.Unlock()
	m.checkLease()
	if err != nil || time.Since(sent) > 4*time.Second {
		if !errors.Is(err, context.Canceled) {
			m.node = (node + 1) % len(m.c.nodes)
		}
		return time.Second
	}
	switch status {
	case 200:
		var a struct {
			Warrant uint64  `json:"warrant"`
			Orders  []order `json:"orders"`
		}
		if json.Unmarshal(body, &a) != nil || a.Warrant < m.warrant || season != m.season {
			m.c.record("worker %s drops a response of %s under token %d", m.id, m.c.nodes[node].name, a.Warrant)
			return 0
		}
		if a.Warrant > m.warrant {
			m.warrant = a.Warrant
			m.changed()
		}
		m.renewed = sent
		m.execute(m.c.nodes[node].name, sent, a.Orders)
		return 0
	case 421:
		var a struct {
			Steward string `json:"steward"`
		}
		_ = json.Unmarshal(body, &a)
		if k := m.c.nodeNamed(a.Steward); k >= 0 && k != node {
			m.node = k
			m.changed()
			return time.Duration(rand.Float64() * float64(500*time.Millisecond))
		}
	}
	m.node = (node + 1) % len(m.c.nodes)
	return time.Second
}

func (m *worker) tryNext(node int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node = (node + 1) % len(m.c.nodes)
}

// idle reports whether the machine is up and sound, and nothing is on it.
func (m *worker) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.tasks {
		if t.phase != "exited" {
			return false
		}
	}
	return m.season > 0 && !m.ended && !m.deaf && !m.mute && !m.faulty && time.Now().After(m.hungTill)
}

// set changes the worker under its lock.
func (m *worker) set(f func(*worker)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
}
