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
	// NoTenure: the tenure it names has ended; nothing was changed.
	NoTenure
	// Refused: the service did not execute it.
	Refused
	// Unknown: it may have been executed, or may still be.
	Unknown
)

func (o Outcome) String() string {
	return [...]string{"applied", "conflict", "no tenure", "refused", "unknown"}[o]
}

// Result is what came of a transaction.
type Result struct {
	Outcome  Outcome
	Revision core.Revision
	Failed   []string
}

// Client sends requests to the state service within this node's share of its
// limits. What does not fit waits in bounded queues. Requests without changes,
// renewals among them, do not wait behind changes: a few large transactions take
// seconds where many controllers share a small rate, as long as a tenure lasts.
type Client struct {
	loop     core.Loop
	call     core.Caller
	addr     string
	requests *bucket
	writes   *bucket
	plain    []queued // without changes
	changes  []queued
	waking   core.Time // when drain runs next; 0: when something comes
}

type queued struct {
	writes int
	send   func()
}

const (
	maxQueue   = 200
	txnTimeout = 1500 * time.Millisecond
)

// NewClient makes a client for one of nodes controllers.
func NewClient(loop core.Loop, call core.Caller, addr string, lim config.StateLimits, nodes int) *Client {
	share := 0.9 / float64(nodes)
	return &Client{
		loop: loop, call: call, addr: addr,
		requests: newBucket(loop, lim.RPS*share), writes: newBucket(loop, lim.WriteRPS*share),
	}
}

// enqueue sends when the limits allow it; refuse is called when the queue is full.
func (c *Client) enqueue(writes int, send, refuse func()) {
	queue := &c.plain
	if writes > 0 {
		queue = &c.changes
	}
	if len(*queue) >= maxQueue {
		refuse()
		return
	}
	*queue = append(*queue, queued{writes, send})
	c.drain()
}

func (c *Client) drain() {
	for len(c.plain)+len(c.changes) > 0 {
		queue := &c.plain
		if len(c.plain) == 0 {
			queue = &c.changes
		}
		q := (*queue)[0]
		wait := max(c.requests.wait(1), c.writes.wait(float64(q.writes)))
		if wait > 0 {
			if at := c.loop.Now().Add(wait); c.waking == 0 || at < c.waking {
				c.waking = at
				c.loop.After(wait, func() {
					if c.waking == at {
						c.waking = 0
					}
					c.drain()
				})
			}
			return
		}
		c.requests.take(1)
		c.writes.take(float64(q.writes))
		*queue = (*queue)[1:]
		q.send()
	}
}

// Txn carries out t.
func (c *Client) Txn(t api.Txn, done func(Result)) {
	if t.If == nil {
		t.If = []api.Condition{}
	}
	body, err := json.Marshal(t)
	if err != nil || len(body) > api.MaxBody {
		done(Result{Outcome: Refused})
		return
	}
	c.enqueue(len(t.Then), func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: "/txn", Body: body, Timeout: txnTimeout}, func(r core.Response) {
			done(txnResult(r))
		})
	}, func() { done(Result{Outcome: Refused}) })
}

func txnResult(r core.Response) Result {
	var a api.TxnAnswer
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
			return Result{Outcome: NoTenure}
		}
		return Result{Outcome: Refused}
	case 429, 503:
		return Result{Outcome: Refused}
	default:
		return Result{Outcome: Unknown}
	}
}

// Grant asks for a tenure; 0 means that none was given.
func (c *Client) Grant(ttl time.Duration, done func(core.Tenure)) {
	body, _ := json.Marshal(api.TenureRequest{TTLMS: int(ttl.Milliseconds())})
	c.enqueue(0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: "/grants", Body: body, Timeout: txnTimeout}, func(r core.Response) {
			var a api.TenureAnswer
			if r.Status != 200 || json.Unmarshal(r.Body, &a) != nil {
				a.Tenure = 0
			}
			done(core.Tenure(a.Tenure))
		})
	}, func() { done(0) })
}

// Renew prolongs a tenure; done gets the status of the answer, 0 for none.
func (c *Client) Renew(t core.Tenure, done func(status int)) {
	c.enqueue(0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: fmt.Sprintf("/grants/%d/renew", t), Timeout: txnTimeout}, func(r core.Response) { done(r.Status) })
	}, func() { done(0) })
}

// End ends a tenure at once; keys attached to it are removed.
func (c *Client) End(t core.Tenure, done func(ok bool)) {
	c.enqueue(0, func() {
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
	c.enqueue(0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "GET", Path: path, Timeout: 3 * time.Second}, func(r core.Response) {
			var p api.ItemPage
			ok := r.Status == 200 && json.Unmarshal(r.Body, &p) == nil
			done(p, ok)
		})
	}, func() { done(api.ItemPage{}, false) })
}

// Watch waits for changes after a revision. gone means that the service no
// longer keeps them.
func (c *Client) Watch(prefix string, from core.Revision, block time.Duration, done func(a api.WatchAnswer, ok, gone bool)) {
	path := "/watch?prefix=" + prefix + "&from=" + strconv.FormatUint(uint64(from), 10) + "&blockMs=" + strconv.Itoa(int(block.Milliseconds()))
	c.enqueue(0, func() {
		c.call.Call(core.Request{Addr: c.addr, Method: "GET", Path: path, Timeout: block + 3*time.Second}, func(r core.Response) {
			var a api.WatchAnswer
			ok := r.Status == 200 && json.Unmarshal(r.Body, &a) == nil
			done(a, ok, r.Status == 410)
		})
	}, func() { done(api.WatchAnswer{}, false, false) })
}

// bucket is a token bucket that holds one second's worth.
type bucket struct {
	loop  core.Loop
	rate  float64
	level float64
	at    core.Time
}

func newBucket(loop core.Loop, rate float64) *bucket {
	return &bucket{loop: loop, rate: rate, level: max(rate, 1), at: loop.Now()}
}

func (b *bucket) fill() {
	now := b.loop.Now()
	b.level = min(max(b.rate, 1), b.level+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
}

// wait tells how long until n can be taken. More than the bucket holds is let
// through once it is full, and paid for afterwards.
func (b *bucket) wait(n float64) time.Duration {
	if n == 0 {
		return 0
	}
	b.fill()
	short := min(n, max(b.rate, 1)) - b.level
	if short <= 0 {
		return 0
	}
	return time.Duration(short/b.rate*float64(time.Second)) + time.Millisecond
}

func (b *bucket) take(n float64) { b.level -= n }
