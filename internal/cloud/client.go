// Package cloud is the client of the cloud: it rents, lists and returns machines.
package cloud

import (
	"encoding/json"
	"fmt"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// Client sends requests to the cloud within its rate limit.
type Client struct {
	loop     core.Loop
	call     core.Caller
	addr     string
	interval time.Duration // minimum time between two requests
	nextSend core.Time     // earliest time of the next request
}

// NewClient returns a client. Only the leader calls the cloud, but two leaders may exist for a
// short time, so the client uses 80 % of the limit.
func NewClient(loop core.Loop, call core.Caller, addr string, lim config.CloudLimits) *Client {
	return &Client{loop: loop, call: call, addr: addr, interval: time.Duration(1.25 / lim.RPS * float64(time.Second))}
}

const requestTimeout = 5 * time.Second

// send sends a request when the rate limit allows it. If about ten requests are already waiting, it
// calls done with status 429 at once.
func (c *Client) send(method, path string, body any, done func(core.Response)) {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	now := c.loop.Now()
	at := max(now, c.nextSend)
	if at.Sub(now) > 10*c.interval {
		done(core.Response{Status: 429})
		return
	}
	c.nextSend = at.Add(c.interval)
	c.loop.After(at.Sub(now), func() {
		c.call.Call(core.Request{Addr: c.addr, Method: method, Path: path, Body: raw, Timeout: requestTimeout}, done)
	})
}

// Types requests the list of machine types.
func (c *Client) Types(done func([]api.MachineType, bool)) {
	c.send("GET", "/flavors", nil, func(r core.Response) {
		var a api.MachineTypes
		ok := r.Status == 200 && json.Unmarshal(r.Body, &a) == nil && len(a.Types) > 0
		done(a.Types, ok)
	})
}

// RentOutcome is the result of a rental request as far as the client knows it.
type RentOutcome int

const (
	// Rented: the named machines were rented.
	Rented RentOutcome = iota
	// NoCapacity: the cloud has no machine of the type.
	NoCapacity
	// Refused: the cloud did not execute the request.
	Refused
	// Unknown: machines may have been rented, or may still be rented later.
	Unknown
)

// Rent requests machines. The request's id must never have been used for another request.
func (c *Client) Rent(r api.Rental, done func([]string, RentOutcome)) {
	c.send("POST", "/hosts", r, func(res core.Response) {
		var a api.MachineIDs
		var e api.Error
		switch {
		case res.Status == 200 && json.Unmarshal(res.Body, &a) == nil:
			done(a.Machines, Rented)
		case res.Status == 503 && json.Unmarshal(res.Body, &e) == nil && e.Error == "no capacity":
			done(nil, NoCapacity)
		case res.Status == 0 || res.Status == 200:
			done(nil, Unknown)
		default:
			done(nil, Refused)
		}
	})
}

// Return returns machines to the cloud; ok means that they and everything on them are gone.
func (c *Client) Return(ids []string, done func(ok bool)) {
	c.send("POST", "/hosts/return", api.MachineIDs{Machines: ids}, func(r core.Response) { done(r.Status == 200) })
}

// List requests all machines, page by page.
func (c *Client) List(done func([]api.ListedMachine, bool)) { c.listPage("", nil, done) }

func (c *Client) listPage(from string, machines []api.ListedMachine, done func([]api.ListedMachine, bool)) {
	path := fmt.Sprintf("/hosts?most=%d", 500)
	if from != "" {
		path = fmt.Sprintf("/hosts?from=%s&most=%d", from, 500)
	}
	c.send("GET", path, nil, func(r core.Response) {
		var a api.MachineList
		if r.Status != 200 || json.Unmarshal(r.Body, &a) != nil {
			done(nil, false)
			return
		}
		machines = append(machines, a.Machines...)
		if a.More && len(a.Machines) > 0 {
			c.listPage(a.Machines[len(a.Machines)-1].ID, machines, done)
			return
		}
		done(machines, true)
	})
}
