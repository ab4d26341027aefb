// Package state is the client of the state service: transactions, leases, and the mirror, a local
// replica of all keys that a watch updates and that can be confirmed fresh on demand.
package state

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/metrics"
)

// Outcome is the result of a transaction as far as the client knows it.
type Outcome int

const (
	// Applied: the transaction was committed at Result.Revision.
	Applied Outcome = iota
	// Conflict: a condition did not hold; nothing was changed.
	Conflict
	// LeaseExpired: the lease that the transaction names has ended; nothing was changed.
	LeaseExpired
	// Refused: the transaction was not executed, since the service refused it or the client's queue
	// was full.
	Refused
	// Oversized: the transaction exceeds a size limit of the service and must be made smaller.
	Oversized
	// Unknown: the transaction may have been executed, or may still be executed later.
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"applied", "conflict", "lease expired", "refused", "oversized", "unknown"}[o]
}

// Result is the result of a transaction. Failed lists the keys of the conditions that did not hold.
type Result struct {
	Outcome  Outcome
	Revision core.Revision
	Failed   []string
}

// Client sends requests to the state service within this node's share of the service's rate limits.
// Requests over the limit wait in bounded queues. Lease requests, elections and block grants have
// strict priority: where many controllers share a small write rate, a few large transactions take
// several seconds, which is as long as a lease lasts. The other classes share the rate by weighted
// fair queuing.
type Client struct {
	loop        core.Loop
	call        core.Caller
	metrics     *metrics.Metrics
	addr        string
	requests    *bucket
	writes      *bucket
	fairRate    float64 // this node's equal share of the write rate
	writeMeter  rateMeter
	queues      [classCount][]queuedRequest
	virtualTime [classCount]float64 // virtual time of each class: requests sent, divided by the weight
	wakeAt      core.Time           // time of the next scheduled dispatch; 0: none is scheduled
	// Until shrinkUntil, transactions are limited to 1/shrinkFactor of the writes that the settings
	// allow.
	shrinkFactor int
	shrinkUntil  core.Time
}

const (
	maxQueue   = 200 // requests of one class that may wait
	txnTimeout = 1500 * time.Millisecond
)

// NewClient returns a client for one of nodes controllers, each of which gets an equal share of
// 90 % of the limits.
func NewClient(loop core.Loop, call core.Caller, metrics *metrics.Metrics, addr string, limits config.StateLimits, nodes int) *Client {
	share := 0.9 / float64(nodes)
	return &Client{
		loop: loop, call: call, metrics: metrics, addr: addr, fairRate: limits.WriteRPS * share,
		requests: newBucket(loop, limits.RPS*share), writes: newBucket(loop, limits.WriteRPS*share),
	}
}

// WriteRate returns the recent write rate of this node, in writes per second.
func (c *Client) WriteRate() float64 { return c.writeMeter.rate(c.loop.Now()) }

// RedistributeWrites sets this node's write rate to its own share plus a part of the shares that
// other nodes leave unused. others holds the write rate that each of them last reported, or -1 if
// it has reported none. Without this, the block with most of the work was limited to its own fifth
// of the rate while the rest went unused. Every node keeps at least a quarter of its share for
// bursts. Of a node that has reported nothing, nothing is taken; it does not count among those
// that divide the rest.
func (c *Client) RedistributeWrites(others []float64) {
	idle, busy := 0.0, 1.0
	for _, used := range others {
		switch {
		case used < 0:
		case used < c.fairRate*3/4:
			idle += c.fairRate - max(used, c.fairRate/4)
		default:
			busy++
		}
	}
	c.writes.setRate(c.fairRate + 0.8*idle/busy)
	c.dispatch()
}

// BatchSize returns how many writes, at most limit, a deferrable transaction should contain: no
// more than this node may send in a second, so that requests queued behind it are not delayed for
// long, but at least 6 unless limit is lower.
func (c *Client) BatchSize(limit int) int {
	limit = c.limitBatch(limit)
	return max(min(limit, int(c.writes.rate)), min(limit, 6))
}

const (
	shrinkPeriod    = 30 * time.Second
	maxShrinkFactor = 16
)

// limitBatch returns how many of limit writes a transaction may contain after the service has
// rejected one as too large.
func (c *Client) limitBatch(limit int) int {
	if c.shrinkFactor > 1 && c.loop.Now() < c.shrinkUntil {
		return max(limit/c.shrinkFactor, 1)
	}
	return limit
}

// adaptToLimits reacts to a response that signals an exceeded limit. The service may lower its
// limits below the configured ones. If a transaction was too large, the maximum number of writes in
// one is halved for shrinkPeriod, down to 1/maxShrinkFactor; if the rate was too high, the write
// bucket is emptied.
func (c *Client) adaptToLimits(status int, out Outcome) {
	switch {
	case out == Oversized:
		if c.loop.Now() >= c.shrinkUntil {
			c.shrinkFactor = 1
		}
		c.shrinkFactor, c.shrinkUntil = min(2*max(c.shrinkFactor, 1), maxShrinkFactor), c.loop.Now().Add(shrinkPeriod)
	case status == 429:
		c.writes.refill()
		c.writes.level = min(c.writes.level, 0)
	}
}

// WriteBudget returns how many writes, at most limit, the rate limiter would admit now. It returns
// at least half a second's worth, unless limit is lower.
func (c *Client) WriteBudget(limit int) int {
	limit = c.limitBatch(limit)
	c.writes.refill()
	return max(min(limit, int(c.writes.level)), min(limit, int(c.writes.rate/2)+1))
}

// ReadInterval returns how long to wait between two reads that repeat. It is near zero while unused
// requests are available and corresponds to a quarter of the request rate when there are none.
func (c *Client) ReadInterval() time.Duration {
	c.requests.refill()
	spare := max(c.requests.level, 0) / max(c.requests.rate, 1)
	return time.Duration((1 - min(2*spare, 1)) * 4 / c.requests.rate * float64(time.Second))
}

// Txn executes t at normal priority.
func (c *Client) Txn(t api.Txn, done func(Result)) { c.txn(classWrite, t, done) }

// TxnHighPriority executes t before all other waiting transactions. It is meant for elections and
// block grants.
func (c *Client) TxnHighPriority(t api.Txn, done func(Result)) { c.txn(classElection, t, done) }

// TxnLowPriority executes t in the class with the lowest weight, for records that can wait.
func (c *Client) TxnLowPriority(t api.Txn, done func(Result)) { c.txn(classBackground, t, done) }

func (c *Client) txn(class requestClass, t api.Txn, done func(Result)) {
	if t.If == nil {
		t.If = []api.Condition{}
	}
	body, err := json.Marshal(t)
	if err != nil || len(body) > api.MaxBody {
		c.adaptToLimits(0, Oversized)
		done(Result{Outcome: Oversized})
		return
	}
	c.enqueue(class, len(t.Then), func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: "/txn", Body: body, Timeout: txnTimeout}, func(r core.Response) {
			res := txnResult(r)
			c.adaptToLimits(r.Status, res.Outcome)
			done(res)
		})
	}, func() { done(Result{Outcome: Refused}) })
}

func txnResult(r core.Response) Result {
	var a api.TxnResponse
	switch r.Status {
	case 200, 409:
		if json.Unmarshal(r.Body, &a) != nil {
			return Result{Outcome: Unknown}
		}
		out := Applied
		if r.Status == 409 {
			out = Conflict
		}
		return Result{out, core.Revision(a.Revision), a.Failed}
	case 400:
		var e api.Error
		if json.Unmarshal(r.Body, &e) == nil && e.Error == "no such lease" {
			return Result{Outcome: LeaseExpired}
		}
		return Result{Outcome: Oversized}
	case 429, 503:
		return Result{Outcome: Refused}
	default:
		return Result{Outcome: Unknown}
	}
}

// GrantLease requests a lease; done gets 0 if none was granted.
func (c *Client) GrantLease(ttl time.Duration, done func(core.LeaseID)) {
	body, _ := json.Marshal(api.LeaseRequest{TTLMS: int(ttl.Milliseconds())})
	c.enqueue(classLease, 0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: "/grants", Body: body, Timeout: txnTimeout}, func(r core.Response) {
			var a api.LeaseResponse
			if r.Status != 200 || json.Unmarshal(r.Body, &a) != nil {
				a.LeaseID = 0
			}
			done(core.LeaseID(a.LeaseID))
		})
	}, func() { done(0) })
}

// RenewLease extends a lease; done gets the HTTP status of the response, 0 for no response.
func (c *Client) RenewLease(id core.LeaseID, done func(status int)) {
	c.enqueue(classLease, 0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: fmt.Sprintf("/grants/%d/renew", id), Timeout: txnTimeout}, func(r core.Response) { done(r.Status) })
	}, func() { done(0) })
}

// RevokeLease ends a lease at once, which removes the keys attached to it.
func (c *Client) RevokeLease(id core.LeaseID, done func(ok bool)) {
	c.enqueue(classLease, 0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "DELETE", Path: fmt.Sprintf("/grants/%d", id), Timeout: txnTimeout}, func(r core.Response) {
			done(r.Status >= 200 && r.Status < 300 || r.Status == 404)
		})
	}, func() { done(false) })
}

// Page reads up to 500 keys with a prefix that follow the key from.
func (c *Client) Page(prefix, from string, done func(api.ItemPage, bool)) {
	path := "/store?prefix=" + prefix + "&most=500"
	if from != "" {
		path += "&from=" + from
	}
	c.enqueue(classRead, 0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "GET", Path: path, Timeout: 3 * time.Second}, func(r core.Response) {
			var p api.ItemPage
			ok := r.Status == 200 && api.Decode(r.Body, &p) == nil
			done(p, ok)
		})
	}, func() { done(api.ItemPage{}, false) })
}

// Watch waits up to block for changes after the revision from. gone reports that the service has
// already discarded them.
func (c *Client) Watch(prefix string, from core.Revision, block time.Duration, done func(a api.WatchResponse, ok, gone bool)) {
	path := "/watch?prefix=" + prefix + "&from=" + strconv.FormatUint(uint64(from), 10) + "&blockMs=" + strconv.Itoa(int(block.Milliseconds()))
	c.enqueue(classRead, 0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "GET", Path: path, Timeout: block + 3*time.Second}, func(r core.Response) {
			var a api.WatchResponse
			ok := r.Status == 200 && api.Decode(r.Body, &a) == nil
			done(a, ok, r.Status == 410)
		})
	}, func() { done(api.WatchResponse{}, false, false) })
}
