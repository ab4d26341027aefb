// Package cloud rents, lists and returns machines.
package cloud

import (
	"encoding/json"
	"fmt"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// Client calls the cloud, no more often than its limit allows.
type Client struct {
	loop core.Loop
	call core.Caller
	addr string
	gap  time.Duration
	next core.Time
}

// NewClient makes a client. Only the leader calls the cloud, but there may be
// two for a moment, so it keeps well below the limit.
func NewClient(loop core.Loop, call core.Caller, addr string, lim config.CloudLimits) *Client {
	return &Client{loop: loop, call: call, addr: addr, gap: time.Duration(1.25 / lim.RPS * float64(time.Second))}
}

const timeout = 5 * time.Second

func (c *Client) send(method, path string, body any, done func(core.Response)) {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	now := c.loop.Now()
	at := max(now, c.next)
	if at.Sub(now) > 10*c.gap {
		done(core.Response{Status: 429})
		return
	}
	c.next = at.Add(c.gap)
	c.loop.After(at.Sub(now), func() {
		c.call.Call(core.Request{Addr: c.addr, Method: method, Path: path, Body: raw, Timeout: timeout}, done)
	})
}

// Types asks for the types of machines.
func (c *Client) Types(done func([]api.MachineType, bool)) {
	c.send("GET", "/flavors", nil, func(r core.Response) {
		var a api.MachineTypes
		ok := r.Status == 200 && json.Unmarshal(r.Body, &a) == nil && len(a.Types) > 0
		done(a.Types, ok)
	})
}

// RentOutcome says what came of a rental.
type RentOutcome int

const (
	// Rented: the machines named were rented.
	Rented RentOutcome = iota
	// NoCapacity: there are none of the kind.
	NoCapacity
	// Refused: the request was not taken.
	Refused
	// Unknown: machines may have been rented, or may still be.
	Unknown
)

// Rent asks for machines. The request's name must never have been used before
// for anything else.
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

// Return gives machines back; ok means that they and all on them are gone.
func (c *Client) Return(ids []string, done func(ok bool)) {
	c.send("POST", "/hosts/return", api.MachineIDs{Machines: ids}, func(r core.Response) { done(r.Status == 200) })
}

// List asks for all machines.
func (c *Client) List(done func([]api.ListedMachine, bool)) { c.page("", nil, done) }

func (c *Client) page(from string, got []api.ListedMachine, done func([]api.ListedMachine, bool)) {
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
		got = append(got, a.Machines...)
		if a.More && len(a.Machines) > 0 {
			c.page(a.Machines[len(a.Machines)-1].ID, got, done)
			return
		}
		done(got, true)
	})
}
