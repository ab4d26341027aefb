// Package worker sends requests to workers at their own addresses. Start commands are never sent
// this way: a direct command may be executed minutes later.
package worker

import (
	"encoding/json"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// Client requests reports from workers.
type Client struct{ call core.Caller }

// NewClient returns a client.
func NewClient(call core.Caller) *Client { return &Client{call} }

const requestTimeout = 3 * time.Second

// decodeReport returns the report in a response, or nil. A worker that refuses a term responds with
// status 409 and its report.
func decodeReport(r core.Response) *api.Report {
	if r.Status != 200 && r.Status != 409 {
		return nil
	}
	var rep api.Report
	if api.Decode(r.Body, &rep) != nil || rep.Machine == "" {
		return nil
	}
	return &rep
}

// Fence sends a term to a worker as a fencing token and returns its report, nil if none came. The
// worker has accepted the term only if the report carries it.
func (c *Client) Fence(addr string, term core.Term, session core.Session, done func(*api.Report)) {
	body, _ := json.Marshal(api.CommandRequest{Term: uint64(term), Session: uint64(session), Commands: []api.Command{}})
	c.call.Call(core.Request{Addr: addr, Method: "POST", Path: "/do", Body: body, Timeout: requestTimeout}, func(r core.Response) { done(decodeReport(r)) })
}

// Inspect requests a worker's report; done gets nil if none came.
func (c *Client) Inspect(addr string, done func(*api.Report)) {
	c.call.Call(core.Request{Addr: addr, Method: "GET", Path: "/inspect", Timeout: requestTimeout}, func(r core.Response) { done(decodeReport(r)) })
}

// Prober checks that the sender of a report is reachable: a report may be a delayed copy, or come
// from a machine that no request reaches. At most one probe for each machine and maxInFlight in all
// run at a time.
type Prober struct {
	client      *Client
	maxInFlight int
	inFlight    map[core.MachineID]bool
}

// NewProber returns a prober with at most maxInFlight probes at a time.
func NewProber(c *Client, maxInFlight int) *Prober {
	return &Prober{c, maxInFlight, map[core.MachineID]bool{}}
}

// Probe sends a request to the machine that sent a report; reachable is called only if that machine
// responds.
func (p *Prober) Probe(rep *api.Report, reachable func()) {
	id := core.MachineID(rep.Machine)
	if p.inFlight[id] || len(p.inFlight) >= p.maxInFlight {
		return
	}
	p.inFlight[id] = true
	p.client.Inspect(rep.Addr, func(now *api.Report) {
		delete(p.inFlight, id)
		if now != nil && now.Machine == rep.Machine {
			reachable()
		}
	})
}
