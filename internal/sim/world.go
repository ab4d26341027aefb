// Package sim holds stand-ins for the state service, the cloud, the workers,
// the users and the network, after the published protocol, on virtual time. A
// run is decided by its seed alone. The rules are checked after each step.
package sim

import (
	"container/heap"
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

// SimTime is virtual time since the start of the world.
type SimTime = time.Duration

type event struct {
	at  SimTime
	seq uint64
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// World is everything around the controllers, and the controllers.
type World struct {
	Cfg     config.Config
	Rand    *rand.Rand
	Checker *Checker
	State   *StateService
	Cloud   *Cloud
	Users   *Users
	Hosts   []*Host
	Logs    io.Writer
	// LeaseExpiredTasks counts the tasks that ended because a worker's lease did.
	LeaseExpiredTasks int

	// Policy is how the controllers place tasks.
	Policy placement.Policy
	// ResetProb is the share of connections that are reset: before the request
	// arrives, or after it was carried out.
	ResetProb float64
	// DuplicateProb is the share of requests that arrive a second time, later.
	DuplicateProb float64
	// LateReportProb is the share of reports of which a copy comes later, from
	// seconds to several leases.
	LateReportProb float64
	// PreviousLimits holds the limits that controllers of the version before keep.
	PreviousLimits config.StateLimits
	// DependencyProb is the share of jobs that depend on others.
	DependencyProb float64
	// MaxExtraLatency is how much longer a message takes, at most.
	MaxExtraLatency time.Duration
	// CancelAtEndProb is the share of the jobs that end which their users call off at that
	// very moment.
	CancelAtEndProb float64
	// kept holds the copies of reports that reach controllers later.
	kept keptReports

	now    SimTime
	seq    uint64
	events queue
	cuts   []*cut
	gangs  map[gangKey]*gang
	done   map[core.TaskID]bool
}

// Epoch is the time of day at which worlds begin.
const Epoch = core.WallTime(1_700_000_000_000)

// NewWorld makes a world with cfg.Nodes controllers, not yet started.
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

// Now returns the world's time.
func (w *World) Now() SimTime { return w.now }

// At runs f at a time, or now if that has passed.
func (w *World) At(t SimTime, f func()) {
	w.seq++
	heap.Push(&w.events, event{max(t, w.now), w.seq, f})
}

// After runs f after d.
func (w *World) After(d time.Duration, f func()) { w.At(w.now+d, f) }

// Run plays until a time, or until a rule is broken.
func (w *World) Run(until SimTime) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.Checker.Violations) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
		w.Checker.Step(w.now)
	}
	w.now = max(w.now, until)
}

func (w *World) chance(p float64) bool { return w.Rand.Float64() < p }

func (w *World) between(lo, hi float64) float64 { return lo + (hi-lo)*w.Rand.Float64() }

func (w *World) logger() *slog.Logger {
	if w.Logs == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(w.Logs, &slog.HandlerOptions{
		Level: slog.LevelDebug,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.String("t", fmt.Sprintf("%.3f", w.now.Seconds()))
			}
			return a
		},
	}))
}

// party names one end of a connection: a controller's name, "state", "cloud",
// "users" or the address of a worker.
type party string

// cut interrupts messages from one party to another; "" stands for any.
type cut struct {
	from, to party
	until    SimTime
	hold     bool // messages are delivered when the cut is over
}

// PartitionOneWay interrupts messages from a to b for a while; held ones come afterwards.
func (w *World) PartitionOneWay(a, b party, d time.Duration, hold bool) {
	w.cuts = append(w.cuts, &cut{a, b, w.now + d, hold})
}

// Partition interrupts both directions.
func (w *World) Partition(a, b party, d time.Duration, hold bool) {
	w.PartitionOneWay(a, b, d, hold)
	w.PartitionOneWay(b, a, d, hold)
}

// carry delivers f from one party to another, if nothing is in the way.
func (w *World) carry(from, to party, f func()) (sent bool) {
	delay := time.Duration(w.between(0.2, 1.5) * float64(time.Millisecond))
	if w.chance(0.001) {
		delay += 200 * time.Millisecond // a lost packet, sent again
	}
	if w.MaxExtraLatency > 0 {
		delay += time.Duration(w.Rand.Float64() * float64(w.MaxExtraLatency))
	}
	at := w.now + delay
	live := w.cuts[:0]
	lost := false
	for _, c := range w.cuts {
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
	w.cuts = live
	if !lost {
		w.At(at, f)
	}
	return !lost
}

// wasted counts starts that a machine was given and that did not reach it.
func (w *World) wasted(to party, res core.Response) {
	m := w.Cloud.byAddr[string(to)]
	var a api.ReportResponse
	if m == nil || json.Unmarshal(res.Body, &a) != nil {
		return
	}
	for _, o := range a.Commands {
		if o.Verb == api.VerbRun {
			m.wasted++
			return
		}
	}
}

// handler answers a request; reply may be called later.
type handler func(from party, r core.Request, reply func(core.Response))

// exchange sends a request and brings the answer or, after the time allowed,
// nothing.
func (w *World) exchange(from party, r core.Request, done func(core.Response)) {
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
		w.After(time.Duration(w.between(1, 800))*time.Millisecond, func() { settle(core.Response{}) })
		if w.chance(0.5) {
			return
		}
	}
	w.carry(from, to, func() {
		h(from, r, func(res core.Response) {
			if !w.carry(to, from, func() { settle(res) }) {
				w.wasted(from, res)
			}
		})
	})
	if w.LateReportProb > 0 && r.Path == "/hello" && w.chance(w.LateReportProb) {
		for range 1 + w.Rand.IntN(3) {
			w.again(from, r, w.between(2, 4*w.Cfg.Workers.Lease.Seconds()))
		}
	}
	if r.Path == "/hello" {
		w.kept.keep(from, r)
	}
	if w.DuplicateProb > 0 && r.Path != "/watch" && w.chance(w.DuplicateProb) {
		w.again(from, r, w.between(0.01, 150))
	}
}

func (w *World) host(name core.Host) *Host {
	for _, h := range w.Hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (w *World) route(addr string) (party, handler) {
	switch addr {
	case w.Cfg.State:
		return "state", w.State.handle
	case w.Cfg.Cloud:
		return "cloud", w.Cloud.handle
	}
	for _, h := range w.Hosts {
		if h.addr == addr {
			return party(h.name), h.handle
		}
	}
	if m := w.Cloud.byAddr[addr]; m != nil {
		return party(addr), m.handle
	}
	return party(addr), nil
}
