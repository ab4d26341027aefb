// Package sim simulates the state service, the cloud, the workers, the users and the network on
// virtual time, following the published protocol, around controllers that run package node. A
// run is determined by its seed alone. The rules are checked after each step.
package sim

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// SimTime is virtual time since the start of the simulation.
type SimTime = time.Duration

// event is a callback scheduled at a time; seq orders events at the same time.
type event struct {
	at  SimTime
	seq uint64
	run func()
}

// eventQueue is a heap of events in the order in which they run.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// World is a simulation: the controllers and everything around them.
type World struct {
	Cfg     config.Config
	Rand    *rand.Rand
	Checker *Checker
	State   *StateService
	Cloud   *Cloud
	Users   *Users
	Hosts   []*Host
	Logs    io.Writer
	// LeaseExpiredTasks counts the tasks that ended because their worker's lease expired.
	LeaseExpiredTasks int

	// Balancer passes the users' requests to controllers; nil: a controller is chosen in a
	// simplified way.
	Balancer *Balancer

	// Policy is the placement policy of the controllers.
	Policy placement.Policy
	// ResetProb is the probability that a connection is reset within 800 ms after a request was
	// sent. Half of these requests arrive nevertheless, and only their response is lost.
	ResetProb float64
	// DuplicateProb is the probability that a request arrives a second time, later.
	DuplicateProb float64
	// LateReportProb is the probability that one to three copies of a report arrive late, after
	// 2 s to four leases.
	LateReportProb float64
	// PreviousLimits holds the limits that controllers of the previous release keep.
	PreviousLimits config.StateLimits
	// DependencyProb is the probability that a job depends on others.
	DependencyProb float64
	// MaxExtraLatency is the largest delay added to a message.
	MaxExtraLatency time.Duration
	// CancelAtEndProb is the probability that a user cancels a job at the moment its last task
	// ends.
	CancelAtEndProb float64
	// LateCopies makes copies of messages arrive after the clear of the attempts that they started.
	LateCopies LateCopies
	// recorded holds the reports that are replayed to controllers later.
	recorded recordedReports

	real       *RealWorld // nil: the controllers are simulated
	now        SimTime
	seq        uint64 // number of the last scheduled event
	events     eventQueue
	partitions []*partition // expired ones are removed when the next message is sent
	gangs      map[gangKey]*gang
	done       map[core.TaskID]bool // tasks completed on a machine
}

// Epoch is the wall-clock time at which simulations start.
const Epoch = core.WallTime(1_700_000_000_000)

// NewWorld returns a world with cfg.Nodes controllers, not yet started.
func NewWorld(cfg config.Config, seed uint64, logs io.Writer) *World {
	w := &World{
		Cfg: cfg, Rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), Logs: logs,
		DuplicateProb: 0.002, gangs: map[gangKey]*gang{}, done: map[core.TaskID]bool{},
	}
	w.Checker = NewChecker(cfg.Teams, cfg.Workers.Cancel)
	w.State = newStateService(w)
	w.Cloud = newCloud(w)
	w.Users = &Users{w: w, jobs: map[string]*userJob{}}
	for i := range cfg.Nodes {
		w.Hosts = append(w.Hosts, newHost(w, i))
	}
	return w
}

// Now returns the current virtual time.
func (w *World) Now() SimTime { return w.now }

// At runs f at a time, or at the current time if that has passed.
func (w *World) At(t SimTime, f func()) {
	w.seq++
	heap.Push(&w.events, event{max(t, w.now), w.seq, f})
}

// After runs f after d.
func (w *World) After(d time.Duration, f func()) { w.At(w.now+d, f) }

// Run processes events until a time, or until a rule is broken.
func (w *World) Run(until SimTime) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.Checker.Violations) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
		w.Checker.Step(w.now)
	}
	w.now = max(w.now, until)
}

// chance reports whether an event of probability p happens.
func (w *World) chance(p float64) bool { return w.Rand.Float64() < p }

// uniform returns a uniformly distributed number from lo to hi.
func (w *World) uniform(lo, hi float64) float64 { return lo + (hi-lo)*w.Rand.Float64() }

// logger returns a logger to w.Logs that prints virtual time in seconds. What a controller logs at
// error level, a violation of one of its invariants, breaks a rule.
func (w *World) logger() *slog.Logger {
	out, level := w.Logs, slog.LevelDebug
	if out == nil {
		out, level = io.Discard, slog.LevelError
	}
	return slog.New(invariantHandler{w, slog.NewTextHandler(out, &slog.HandlerOptions{
		Level: level,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.String("t", fmt.Sprintf("%.3f", w.now.Seconds()))
			}
			return a
		},
	})})
}

// invariantHandler is a log handler that reports records at error level to the checker.
type invariantHandler struct {
	w *World
	slog.Handler
}

// Handle implements slog.Handler.
func (h invariantHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelError {
		h.w.Checker.fail("invariant: %s", r.Message)
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h invariantHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return invariantHandler{h.w, h.Handler.WithAttrs(attrs)}
}

// endpoint names one end of a connection: a controller's name, "state", "cloud", "users" or the
// address of a worker.
type endpoint string

// partition blocks messages from one endpoint to another; "" stands for any endpoint.
type partition struct {
	from, to endpoint
	until    SimTime
	hold     bool // messages are delivered when the partition ends
}

// PartitionOneWay blocks messages from a to b for the given time. With hold they are delivered
// afterwards, otherwise they are lost.
func (w *World) PartitionOneWay(a, b endpoint, d time.Duration, hold bool) {
	w.partitions = append(w.partitions, &partition{a, b, w.now + d, hold})
}

// Partition blocks messages in both directions.
func (w *World) Partition(a, b endpoint, d time.Duration, hold bool) {
	w.PartitionOneWay(a, b, d, hold)
	w.PartitionOneWay(b, a, d, hold)
}

// deliver runs f when a message from one endpoint reaches another, unless a partition drops the
// message, and reports whether it will be delivered.
func (w *World) deliver(from, to endpoint, f func()) (sent bool) {
	delay := time.Duration(w.uniform(0.2, 1.5) * float64(time.Millisecond))
	if w.chance(0.001) {
		delay += 200 * time.Millisecond // a lost packet is retransmitted
	}
	if w.MaxExtraLatency > 0 {
		delay += time.Duration(w.Rand.Float64() * float64(w.MaxExtraLatency))
	}
	at := w.now + delay
	live := w.partitions[:0]
	lost := false
	for _, c := range w.partitions {
		if c.until <= w.now {
			continue
		}
		live = append(live, c)
		if (c.from == "" || c.from == from) && (c.to == "" || c.to == to) {
			if c.hold {
				at = max(at, c.until+delay)
			} else {
				lost = true
			}
		}
	}
	w.partitions = live
	if !lost {
		w.At(at, f)
	}
	return !lost
}

// countLostStart counts a lost response to a machine's report if it held a start command.
func (w *World) countLostStart(to endpoint, res core.Response) {
	m := w.Cloud.byAddr[string(to)]
	var a api.ReportResponse
	if m == nil || json.Unmarshal(res.Body, &a) != nil {
		return
	}
	for _, o := range a.Commands {
		if o.Verb == api.VerbRun {
			m.lostStarts++
			return
		}
	}
}

// handler answers a request; reply may be called later.
type handler func(from endpoint, r core.Request, reply func(core.Response))

// exchange sends a request and passes the response to done. done gets an empty response when the
// time-out passes, the connection is reset or nothing listens at the address.
func (w *World) exchange(from endpoint, r core.Request, done func(core.Response)) {
	settled := false
	settle := func(res core.Response) {
		if !settled {
			settled = true
			done(res)
		}
	}
	w.After(r.Timeout, func() { settle(core.Response{}) })
	to, h := w.route(r.Addr)
	if h == nil {
		w.After(time.Millisecond, func() { settle(core.Response{}) })
		return
	}
	if w.ResetProb > 0 && w.chance(w.ResetProb) {
		w.After(time.Duration(w.uniform(1, 800))*time.Millisecond, func() { settle(core.Response{}) })
		if w.chance(0.5) {
			return
		}
	}
	w.deliver(from, to, func() {
		h(from, r, func(res core.Response) {
			if !w.deliver(to, from, func() { settle(res) }) {
				w.countLostStart(from, res)
			}
		})
	})
	if w.LateReportProb > 0 && r.Path == "/hello" && w.chance(w.LateReportProb) {
		for range 1 + w.Rand.IntN(3) {
			w.resend(from, r, w.uniform(2, 4*w.Cfg.Workers.Lease.Seconds()))
		}
	}
	if r.Path == "/hello" {
		w.recorded.add(from, r)
	}
	if w.DuplicateProb > 0 && r.Path != "/watch" && w.chance(w.DuplicateProb) {
		w.resend(from, r, w.uniform(0.01, 150))
	}
}

// host returns the host with the given name, or nil.
func (w *World) host(name core.Host) *Host {
	for _, h := range w.Hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// route returns the endpoint at an address and its handler, which is nil if there is none.
func (w *World) route(addr string) (endpoint, handler) {
	switch addr {
	case w.Cfg.State:
		return "state", w.State.handle
	case w.Cfg.Cloud:
		return "cloud", w.Cloud.handle
	}
	for _, h := range w.Hosts {
		if h.addr == addr {
			return endpoint(h.name), h.handle
		}
	}
	if m := w.Cloud.byAddr[addr]; m != nil {
		return endpoint(addr), m.handle
	}
	return endpoint(addr), nil
}
