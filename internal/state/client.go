// Package state talks to the state service: transactions, tenures, and a
// mirror of all keys that is fed by a watch and proven fresh on demand.
package state

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// Outcome says what is known of a transaction.
type Outcome int

const (
	// Applied: it was carried out at Revision.
	Applied Outcome = iota
	// Conflict: a condition did not hold; nothing was changed.
	Conflict
	// LeaseExpired: the tenure it names has ended; nothing was changed.
	LeaseExpired
	// Refused: the service did not execute it.
	Refused
	// Oversized: the service does not take it as it is; it must be smaller.
	Oversized
	// Unknown: it may have been executed, or may still be.
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"applied", "conflict", "no tenure", "refused", "oversized", "unknown"}[o]
}

// Result is what came of a transaction.
type Result struct {
	Outcome  Outcome
	Revision core.Revision
	Failed   []string
}

// Client sends requests to the state service within this node's share of its
// limits. What does not fit waits in bounded queues. Tenures, elections and grants
// go first, since a few large transactions take seconds where many controllers share
// a small rate, as long as a tenure lasts. The others take turns by weight.
type Client struct {
	loop     core.Loop
	call     core.Caller
	addr     string
	requests *bucket
	writes   *bucket
	fair     float64 // this node's part of the changes if all want theirs
	used     rateMeter
	queues   [lanes][]queued
	turn     [lanes]float64 // how much each lane was served, by its weight
	waking   core.Time      // when drain runs next; 0: when something comes
	// Transactions have one over this of the changes that the settings allow, until then.
	shrink      int
	shrinkUntil core.Time
}

const (
	maxQueue   = 200
	txnTimeout = 1500 * time.Millisecond
)

// NewClient makes a client for one of nodes controllers.
func NewClient(loop core.Loop, call core.Caller, addr string, lim config.StateLimits, nodes int) *Client {
	share := 0.9 / float64(nodes)
	return &Client{
		loop: loop, call: call, addr: addr, fair: lim.WriteRPS * share,
		requests: newBucket(loop, lim.RPS*share), writes: newBucket(loop, lim.WriteRPS*share),
	}
}

// WriteRate is how many changes a second this node has made lately.
func (c *Client) WriteRate() float64 { return c.used.rate(c.loop.Now()) }

// RedistributeWrites divides what other nodes leave unused of their parts. Their usage is what
// they told lately; of one that has told nothing it is -1. The block with most of
// the work otherwise waited for its own part, a fifth, while the rest lay idle.
// Everybody keeps a quarter of the part at the least, for what comes suddenly; as
// long as nobody is heard of, each has its own part.
func (c *Client) RedistributeWrites(others []float64) {
	idle, wanting := 0.0, 1.0
	for _, used := range others {
		switch {
		case used < 0:
		case used < c.fair*3/4:
			idle += c.fair - max(used, c.fair/4)
		default:
			wanting++
		}
	}
	c.writes.setRate(c.fair + 0.8*idle/wanting)
	c.drain()
}

// BatchSize is how many changes a transaction should have that can wait: no more than
// this node may make in a second, so that others do not wait long behind it.
func (c *Client) BatchSize(most int) int {
	most = c.shrunk(most)
	return max(min(most, int(c.writes.rate)), min(most, 6))
}

const (
	shrinkTime = 30 * time.Second
	maxShrink  = 16
)

// shrunk is how many of most changes a transaction may have, after one was too large.
func (c *Client) shrunk(most int) int {
	if c.shrink > 1 && c.loop.Now() < c.shrinkUntil {
		return max(most/c.shrink, 1)
	}
	return most
}

// heed takes in what the service does not allow: transactions get smaller, changes slower.
// Its limits may become lower than anybody was told.
func (c *Client) heed(status int, out Outcome) {
	switch {
	case out == Oversized:
		if c.loop.Now() >= c.shrinkUntil {
			c.shrink = 1
		}
		c.shrink, c.shrinkUntil = min(2*max(c.shrink, 1), maxShrink), c.loop.Now().Add(shrinkTime)
	case status == 429:
		c.writes.fill()
		c.writes.level = min(c.writes.level, 0)
	}
}

// WriteBudget is how many changes could be sent now, of at most most, and a share of
// a second's worth at least.
func (c *Client) WriteBudget(most int) int {
	most = c.shrunk(most)
	c.writes.fill()
	return max(min(most, int(c.writes.level)), min(most, int(c.writes.rate/2)+1))
}

// ReadInterval is how long to wait between two reads of a kind that repeats for as long
// as there is reason to: next to nothing while there are requests to spare, and a
// quarter of the rate when there are none.
func (c *Client) ReadInterval() time.Duration {
	c.requests.fill()
	spare := max(c.requests.level, 0) / max(c.requests.rate, 1)
	return time.Duration((1 - min(2*spare, 1)) * 4 / c.requests.rate * float64(time.Second))
}

// Txn carries out t.
func (c *Client) Txn(t api.Txn, done func(Result)) { c.txn(changes, t, done) }

// TxnHighPriority carries out t before all else that waits: elections and grants.
func (c *Client) TxnHighPriority(t api.Txn, done func(Result)) { c.txn(grants, t, done) }

// TxnLowPriority carries out t once nothing else has to be changed.
func (c *Client) TxnLowPriority(t api.Txn, done func(Result)) { c.txn(records, t, done) }

func (c *Client) txn(l lane, t api.Txn, done func(Result)) {
	if t.If == nil {
		t.If = []api.Condition{}
	}
	body, err := json.Marshal(t)
	if err != nil || len(body) > api.MaxBody {
		c.heed(0, Oversized)
		done(Result{Outcome: Oversized})
		return
	}
	c.enqueue(l, len(t.Then), func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: "/txn", Body: body, Timeout: txnTimeout}, func(r core.Response) {
			res := txnResult(r)
			c.heed(r.Status, res.Outcome)
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

// GrantLease asks for a tenure; 0 means that none was given.
func (c *Client) GrantLease(ttl time.Duration, done func(core.LeaseID)) {
	body, _ := json.Marshal(api.LeaseRequest{TTLMS: int(ttl.Milliseconds())})
	c.enqueue(urgent, 0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: "/grants", Body: body, Timeout: txnTimeout}, func(r core.Response) {
			var a api.LeaseResponse
			if r.Status != 200 || json.Unmarshal(r.Body, &a) != nil {
				a.LeaseID = 0
			}
			done(core.LeaseID(a.LeaseID))
		})
	}, func() { done(0) })
}

// RenewLease prolongs a tenure; done gets the status of the answer, 0 for none.
func (c *Client) RenewLease(t core.LeaseID, done func(status int)) {
	c.enqueue(urgent, 0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: fmt.Sprintf("/grants/%d/renew", t), Timeout: txnTimeout}, func(r core.Response) { done(r.Status) })
	}, func() { done(0) })
}

// RevokeLease ends a tenure at once; keys attached to it are removed.
func (c *Client) RevokeLease(t core.LeaseID, done func(ok bool)) {
	c.enqueue(urgent, 0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "DELETE", Path: fmt.Sprintf("/grants/%d", t), Timeout: txnTimeout}, func(r core.Response) {
			done(r.Status >= 200 && r.Status < 300 || r.Status == 404)
		})
	}, func() { done(false) })
}

// Page reads keys with a prefix after a key.
func (c *Client) Page(prefix, from string, done func(api.ItemPage, bool)) {
	path := "/store?prefix=" + prefix + "&most=500"
	if from != "" {
		path += "&from=" + from
	}
	c.enqueue(reads, 0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "GET", Path: path, Timeout: 3 * time.Second}, func(r core.Response) {
			var p api.ItemPage
			ok := r.Status == 200 && api.Decode(r.Body, &p) == nil
			done(p, ok)
		})
	}, func() { done(api.ItemPage{}, false) })
}

// Watch waits for changes after a revision. gone means that the service no
// longer keeps them.
func (c *Client) Watch(prefix string, from core.Revision, block time.Duration, done func(a api.WatchResponse, ok, gone bool)) {
	path := "/watch?prefix=" + prefix + "&from=" + strconv.FormatUint(uint64(from), 10) + "&blockMs=" + strconv.Itoa(int(block.Milliseconds()))
	c.enqueue(reads, 0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "GET", Path: path, Timeout: block + 3*time.Second}, func(r core.Response) {
			var a api.WatchResponse
			ok := r.Status == 200 && api.Decode(r.Body, &a) == nil
			done(a, ok, r.Status == 410)
		})
	}, func() { done(api.WatchResponse{}, false, false) })
}
