// Package worker talks to workers at their own addresses. Starts never go this
// way: a direct command can be executed minutes late.
package worker

import (
	"encoding/json"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// Client asks workers for their reports.
type Client struct{ call core.Caller }

// NewClient makes a client.
func NewClient(call core.Caller) *Client { return &Client{call} }

const timeout = 3 * time.Second

func report(r core.Response) *api.Report {
	if r.Status != 200 && r.Status != 409 {
		return nil
	}
	var rep api.Report
	if api.Decode(r.Body, &rep) != nil || rep.Machine == "" {
		return nil
	}
	return &rep
}

// Fence shows a term to a worker and brings its report; nil if none came. The
// term has been taken only if the report carries it.
func (c *Client) Fence(addr string, term core.Term, season core.Session, done func(*api.Report)) {
	body, _ := json.Marshal(api.CommandRequest{Term: uint64(term), Session: uint64(season), Commands: []api.Command{}})
	c.call.Call(core.Request{Addr: addr, Method: "POST", Path: "/do", Body: body, Timeout: timeout}, func(r core.Response) { done(report(r)) })
}

// Inspect brings a worker's report; nil if none came.
func (c *Client) Inspect(addr string, done func(*api.Report)) {
	c.call.Call(core.Request{Addr: addr, Method: "GET", Path: "/inspect", Timeout: timeout}, func(r core.Response) { done(report(r)) })
}

// Prober asks machines whether they are there and hear us: a report may be a late
// copy, or come from a machine that nothing reaches. Each is asked once at a time,
// and no more than most at once.
type Prober struct {
	client *Client
	most   int
	open   map[core.MachineID]bool
}

// NewProber makes a prober.
func NewProber(c *Client, most int) *Prober {
	return &Prober{c, most, map[core.MachineID]bool{}}
}

// Probe asks the machine that sent a report; there runs only if it answers.
func (p *Prober) Probe(rep *api.Report, there func()) {
	id := core.MachineID(rep.Machine)
	if p.open[id] || len(p.open) >= p.most {
		return
	}
	p.open[id] = true
	p.client.Inspect(rep.Addr, func(now *api.Report) {
		delete(p.open, id)
		if now != nil && now.Machine == rep.Machine {
			there()
		}
	})
}
