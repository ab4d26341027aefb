package sim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/node"
	"lichenstair/internal/peer"
	"lichenstair/internal/state"
)

// Host is the place of a controller; its process comes and goes.
type Host struct {
	w     *World
	name  core.Host
	addr  string
	rate  float64 // of its steady clock
	proc  *process
	Kills int
	// PreviousVersion: its process is of the version before: it keeps the limits it knows, writes
	// no field and passes over frames that it does not know.
	PreviousVersion bool
	stall           SimTime // nothing runs before

	healthy, lastGood bool // to the load balancer
}

func newHost(w *World, i int) *Host {
	return &Host{w: w, name: core.Host(fmt.Sprintf("c%d", i)), addr: fmt.Sprintf("10.0.0.%d:8080", i+1), rate: 1 + w.between(-0.0005, 0.0005)}
}

// process is one run of a controller; it is the Loop and the Caller of its node.
type process struct {
	h       *Host
	started SimTime
	node    *node.Node
	dead    bool
	// Calls to workers on their way and requests not yet answered, with the
	// bounds that a real process keeps, and the most there were.
	calls, mostCalls  int
	open, mostOpen    int
	maxCalls, maxOpen int
	previous          bool
}

// Start starts the controller, unless it runs.
func (h *Host) Start() {
	if h.proc != nil {
		return
	}
	p := &process{h: h, started: h.w.now, previous: h.PreviousVersion}
	h.proc = p
	cfg := h.w.Cfg
	if p.previous {
		cfg.StateLimits = h.w.PreviousLimits
	}
	cfg.Host = h.name
	for _, o := range h.w.Hosts {
		if o != h {
			cfg.Peers = append(cfg.Peers, config.Peer{Host: o.name, Addr: o.addr})
		}
	}
	p.maxOpen, p.maxCalls = cfg.Limits.ConnectionLimits(len(cfg.Peers))
	p.node = node.New(&cfg, p, p, p.broadcast, h.w.logger().With("host", h.name), rand.New(rand.NewPCG(h.w.Rand.Uint64(), 1)))
	p.node.Policy = h.w.Policy
	p.do(p.node.Start)
}

// Kill ends the controller without a word.
func (h *Host) Kill() {
	if h.proc != nil {
		h.proc.dead = true
		h.proc = nil
		h.Kills++
	}
}

// Restart ends the controller and starts it again after a while.
func (h *Host) Restart(after time.Duration) {
	h.Kill()
	h.w.After(after, h.Start)
}

// Stall keeps the controller from running for a while: timers fire late, and
// what arrives waits.
func (h *Host) Stall(d time.Duration) { h.stall = max(h.stall, h.w.now+d) }

func (p *process) do(f func()) {
	at := max(p.h.w.now, p.h.stall)
	if at == p.h.w.now {
		if !p.dead {
			f()
		}
		return
	}
	p.h.w.At(at, func() { p.do(f) })
}

func (p *process) Now() core.Time { return core.Time(float64(p.h.w.now-p.started) * p.h.rate) }

func (p *process) WallNow() core.WallTime { return Epoch + core.WallTime(p.h.w.now.Milliseconds()) }

func (p *process) After(d time.Duration, f func()) {
	p.h.w.After(time.Duration(float64(max(d, 0))/p.h.rate)+time.Millisecond, func() { p.do(f) })
}

func (p *process) Call(r core.Request, done func(core.Response)) {
	if p.previous && r.Path == "/txn" {
		r.Body = withoutNewFields(r.Body)
	}
	if r.Addr != p.h.w.Cfg.State && r.Addr != p.h.w.Cfg.Cloud {
		if p.calls >= p.maxCalls {
			p.After(0, func() { done(core.Response{}) })
			return
		}
		p.calls++
		p.mostCalls = max(p.mostCalls, p.calls)
		answered := done
		done = func(res core.Response) {
			p.calls--
			answered(res)
		}
	}
	p.h.w.exchange(party(p.h.name), r, func(res core.Response) { p.do(func() { done(res) }) })
}

func (p *process) broadcast(frame []byte) {
	_, beat, _ := peer.DecodeHeartbeat(frame)
	if p.previous && !beat {
		return
	}
	for _, o := range p.h.w.Hosts {
		if o != p.h && !p.dead {
			p.h.w.carry(party(p.h.name), party(o.name), func() {
				if q := o.proc; q != nil && !(q.previous && !beat) {
					q.do(func() { q.node.HandleFrame(frame) })
				}
			})
		}
	}
}

// withoutNewFields drops from the jobs of a transaction what the version before does not
// know, as it drops it when it reads a record and writes it again.
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

// probe asks for the controller's health about once a second, as the load
// balancer does: twice in a row decides.
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

func (h *Host) handle(_ party, r core.Request, reply func(core.Response)) {
	p := h.proc
	if p == nil {
		return // a machine without power says nothing
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
	p.mostOpen = max(p.mostOpen, p.open)
	p.do(func() {
		answer := func(a node.Response) {
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
		id, cancel := strings.CutSuffix(strings.TrimPrefix(r.Path, "/work/"), "/cancel")
		switch {
		case r.Path == "/ready":
			p.node.Ready(answer)
		case r.Path == "/hello":
			p.node.HandleReport(r.Body, answer)
		case r.Path == "/work":
			p.node.Submit(r.Body, answer)
		case cancel:
			p.node.Cancel(core.JobID(id), answer)
		default:
			p.node.GetJob(core.JobID(id), answer)
		}
	})
}
