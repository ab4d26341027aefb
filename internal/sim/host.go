package sim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lichenstair/api"
	"lichenstair/internal/admission"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/node"
	"lichenstair/internal/peer"
	"lichenstair/internal/state"
)

// Host is a host that runs a controller; the controller's process can end and be started again.
type Host struct {
	w         *World
	name      core.Host
	addr      string
	clockRate float64 // speed of its monotonic clock relative to virtual time
	process   *process
	Kills     int // how often its process was killed
	// PreviousVersion makes its process behave as the previous release: it keeps the limits of
	// that release, drops record fields it does not know, and ignores unknown peer frames.
	PreviousVersion bool
	stalledUntil    SimTime // the process is stalled until then

	healthy, lastGood bool // as seen by the load balancer

	real *realProcess // set instead of process if the controllers are real processes
}

func newHost(w *World, i int) *Host {
	return &Host{w: w, name: core.Host(fmt.Sprintf("c%d", i)), addr: fmt.Sprintf("10.0.0.%d:8080", i+1), clockRate: 1 + w.uniform(-0.0005, 0.0005)}
}

// process is one run of a controller. It implements the core.Loop and the core.Caller of its
// node.
type process struct {
	h       *Host
	started SimTime
	node    *node.Node
	dead    bool
	// Calls in flight to workers and requests not yet answered, their peaks, and the limits
	// that a real process enforces.
	calls, peakCalls  int
	open, peakOpen    int
	maxCalls, maxOpen int
	admitted          *admission.Control
	previousVersion   bool // see Host.PreviousVersion
}

// Start starts the controller unless it is running.
func (h *Host) Start() {
	if h.w.real != nil {
		h.w.real.start(h)
		return
	}
	if h.process != nil {
		return
	}
	p := &process{h: h, started: h.w.now, previousVersion: h.PreviousVersion}
	h.process = p
	cfg := h.w.Cfg
	if p.previousVersion {
		cfg.StateLimits = h.w.PreviousLimits
	}
	cfg.Host = h.name
	for _, o := range h.w.Hosts {
		if o != h {
			cfg.Peers = append(cfg.Peers, config.Peer{Host: o.name, Addr: o.addr})
		}
	}
	p.maxOpen, p.maxCalls = cfg.Limits.ConnectionLimits(len(cfg.Peers))
	p.admitted = admission.New(p.maxOpen)
	p.node = node.New(&cfg, p, p, p.broadcast, h.w.logger().With("host", h.name), rand.New(rand.NewPCG(h.w.Rand.Uint64(), 1)))
	p.node.Policy = h.w.Policy
	p.do(p.node.Start)
}

// Kill ends the controller without a clean shutdown.
func (h *Host) Kill() {
	if h.real != nil {
		h.real.kill()
		h.real = nil
		h.Kills++
	}
	if h.process != nil {
		h.process.dead = true
		h.process = nil
		h.Kills++
	}
}

// Restart kills the controller and starts it again after the given time.
func (h *Host) Restart(after time.Duration) {
	h.Kill()
	h.w.After(after, h.Start)
}

// Stall suspends the controller for the given time: timers fire late and messages wait.
func (h *Host) Stall(d time.Duration) {
	h.stalledUntil = max(h.stalledUntil, h.w.now+d)
	if h.real != nil {
		h.real.pause(h)
	}
}

// Name returns the host's name.
func (h *Host) Name() core.Host { return h.name }

// Addr returns the address at which the controller accepts requests.
func (h *Host) Addr() string { return h.addr }

// accepts reports whether the host accepts connections.
func (h *Host) accepts() bool { return h.process != nil || h.real != nil }

// do runs f in the process, once a stall has ended; it drops f if the process is dead by then.
func (p *process) do(f func()) {
	at := max(p.h.w.now, p.h.stalledUntil)
	if at == p.h.w.now {
		if !p.dead {
			f()
		}
		return
	}
	p.h.w.At(at, func() { p.do(f) })
}

// Now returns the time of the process's monotonic clock.
func (p *process) Now() core.Time { return core.Time(float64(p.h.w.now-p.started) * p.h.clockRate) }

// WallNow returns the wall-clock time.
func (p *process) WallNow() core.WallTime { return Epoch + core.WallTime(p.h.w.now.Milliseconds()) }

// After runs f after d by the process's monotonic clock, plus 1 ms.
func (p *process) After(d time.Duration, f func()) {
	p.h.w.After(time.Duration(float64(max(d, 0))/p.h.clockRate)+time.Millisecond, func() { p.do(f) })
}

// Call sends a request. A call to a worker beyond the limit gets an empty response at once.
func (p *process) Call(r core.Request, done func(core.Response)) {
	if p.previousVersion && r.Path == "/txn" {
		r.Body = withoutNewFields(r.Body)
	}
	if r.Addr != p.h.w.Cfg.State && r.Addr != p.h.w.Cfg.Cloud {
		if p.calls >= p.maxCalls {
			p.After(0, func() { done(core.Response{}) })
			return
		}
		p.calls++
		p.peakCalls = max(p.peakCalls, p.calls)
		inner := done
		done = func(res core.Response) {
			p.calls--
			inner(res)
		}
	}
	p.h.w.exchange(endpoint(p.h.name), r, func(res core.Response) { p.do(func() { done(res) }) })
}

// broadcast sends a frame to all other controllers.
func (p *process) broadcast(frame []byte) {
	_, heartbeat, _ := peer.DecodeHeartbeat(frame)
	if p.previousVersion && !heartbeat {
		return
	}
	for _, o := range p.h.w.Hosts {
		if o != p.h && !p.dead {
			p.h.w.deliver(endpoint(p.h.name), endpoint(o.name), func() {
				if q := o.process; q != nil && !(q.previousVersion && !heartbeat) {
					q.do(func() { q.node.HandleFrame(frame) })
				}
			})
		}
	}
}

// withoutNewFields removes from the job records of a transaction the fields that the previous
// release does not know, since that release drops them when it reads a record and writes it
// again.
func withoutNewFields(body []byte) []byte {
	var t api.Txn
	if json.Unmarshal(body, &t) != nil {
		return body
	}
	for i, c := range t.Then {
		if !strings.HasPrefix(c.Set, state.KeyJob("")) {
			continue
		}
		var fields map[string]json.RawMessage
		if json.Unmarshal(c.Value, &fields) != nil {
			continue
		}
		delete(fields, "ended")
		t.Then[i].Value, _ = json.Marshal(fields)
	}
	raw, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	return raw
}

// probe checks the controller's readiness about once a second, as the load balancer does. Two
// equal results in a row set its health.
func (h *Host) probe() {
	h.w.After(time.Second, h.probe)
	h.w.exchange("users", core.Request{Addr: h.addr, Method: "GET", Path: "/ready", Timeout: time.Second}, func(res core.Response) {
		good := res.Status == 200
		if good == h.lastGood {
			h.healthy = good
		}
		h.lastGood = good
	})
}

// handle passes a request to the process, with the limits on body size and open requests that a
// real process has.
func (h *Host) handle(from endpoint, r core.Request, reply func(core.Response)) {
	if h.real != nil {
		h.w.real.forward(from, h, r, reply)
		return
	}
	p := h.process
	if p == nil {
		return // no process runs, so nothing answers
	}
	if len(r.Body) > api.MaxBody {
		reply(core.Response{Status: 400})
		return
	}
	if p.open >= p.maxOpen {
		reply(core.Response{Status: 503})
		return
	}
	p.open++
	p.peakOpen = max(p.peakOpen, p.open)
	p.do(func() { p.serve(r, reply) })
}

// serve passes a request to the node if it is admitted, and answers it within the time that its
// caller waits.
func (p *process) serve(r core.Request, reply func(core.Response)) {
	answered := false
	answer := func(a node.Response) {
		if answered {
			return
		}
		answered = true
		p.open--
		if p.dead {
			return
		}
		raw, err := json.Marshal(a.Body)
		if err != nil {
			panic(err)
		}
		reply(core.Response{Status: a.Status, Body: raw})
	}
	kind := requestKind(r)
	overloaded := node.Response{Status: 503, Body: api.Error{Error: "overloaded"}}
	if !p.admitted.Admit(kind) {
		answer(overloaded)
		return
	}
	answerAdmitted := func(a node.Response) {
		if !answered {
			p.admitted.Release(kind)
		}
		answer(a)
	}
	p.After(kind.Timeout(), func() { answerAdmitted(overloaded) })
	switch kind {
	case admission.Health:
		answerAdmitted(p.node.Ready(p.Now()))
	case admission.Report:
		p.node.HandleReport(r.Body, func(a node.Response) {
			p.checkStarts(a)
			answerAdmitted(a)
		})
	case admission.Submission:
		p.node.Submit(r.Body, answerAdmitted)
	case admission.Cancellation:
		p.node.Cancel(core.JobID(strings.TrimSuffix(strings.TrimPrefix(r.Path, "/work/"), "/cancel")), answerAdmitted)
	default:
		p.node.GetJob(core.JobID(strings.TrimPrefix(r.Path, "/work/")), answerAdmitted)
	}
}

// checkStarts passes the starts in the response to a report to the checker.
func (p *process) checkStarts(a node.Response) {
	response, ok := a.Body.(api.ReportResponse)
	if !ok || p.dead {
		return
	}
	for _, command := range response.Commands {
		if id, err := core.ParseTaskID(command.Task); err == nil && command.Verb == api.VerbRun {
			p.h.w.Checker.StartCommanded(id, p.h.w.now)
		}
	}
}

// requestKind returns the kind of a request to a controller.
func requestKind(r core.Request) admission.Kind {
	switch {
	case r.Path == "/ready":
		return admission.Health
	case r.Path == "/hello":
		return admission.Report
	case r.Path == "/work":
		return admission.Submission
	case strings.HasSuffix(r.Path, "/cancel"):
		return admission.Cancellation
	default:
		return admission.Poll
	}
}
