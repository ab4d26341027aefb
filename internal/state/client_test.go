package state

import (
	"container/heap"
	"fmt"
	"strings"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// stepLoop is a loop on virtual time; every call is answered at once.
type stepLoop struct {
	now   core.Time
	later timers
	sent  []string
	at    map[string]core.Time
}

type timer struct {
	at  core.Time
	run func()
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (l *stepLoop) Now() core.Time         { return l.now }
func (l *stepLoop) WallNow() core.WallTime { return 0 }
func (l *stepLoop) After(d time.Duration, f func()) {
	heap.Push(&l.later, timer{l.now.Add(d), f})
}

func (l *stepLoop) Call(r core.Request, done func(core.Response)) {
	l.at[r.Path] = l.now
	l.sent = append(l.sent, r.Path)
	done(core.Response{Status: 200, Body: []byte(`{}`)})
}

func (l *stepLoop) run(until core.Time) {
	for len(l.later) > 0 && l.later[0].at <= until {
		t := heap.Pop(&l.later).(timer)
		l.now = t.at
		t.run()
	}
	l.now = until
}

// Where many controllers share a small rate of changes, a few large transactions
// take longer than a tenure lasts. A renewal must not wait behind them, also not
// one that comes while the client sleeps until the next change is allowed.
func TestRenewalOvertakesChanges(t *testing.T) {
	l := &stepLoop{at: map[string]core.Time{}}
	c := NewClient(l, l, "", config.StateLimits{RPS: 400, WriteRPS: 100, ValueBytes: 8 << 10, TxnOps: 32}, 10)
	for range 4 {
		txn := api.Txn{}
		for i := range 24 {
			txn.Then = append(txn.Then, Put(fmt.Sprint("k", i), 1))
		}
		c.Txn(txn, func(Result) {})
	}
	l.run(core.Time(500 * time.Millisecond))
	c.RenewLease(7, func(int) {})
	l.run(core.Time(time.Second))
	renewed, ok := l.at["/grants/7/renew"]
	if !ok || renewed > core.Time(600*time.Millisecond) {
		t.Fatalf("the renewal was sent at %v, sent so far: %v", renewed, l.sent)
	}
	l.run(core.Time(20 * time.Second))
	if n := strings.Count(strings.Join(l.sent, " "), "/txn"); n != 4 {
		t.Fatalf("%d of 4 transactions were sent", n)
	}
}

// The node with most of the work takes up what the others leave, and all together
// stay within the limit; those of which nothing is heard keep their parts.
func TestChangesAreShared(t *testing.T) {
	const nodes, limit = 5, 100.0
	l := &stepLoop{at: map[string]core.Time{}}
	rate := func(own int, used []float64) float64 {
		c := NewClient(l, l, "", config.StateLimits{RPS: 400, WriteRPS: limit, ValueBytes: 8 << 10, TxnOps: 32}, nodes)
		var others []float64
		for i, u := range used {
			if i != own {
				others = append(others, u)
			}
		}
		c.RedistributeWrites(others)
		return c.writes.rate
	}
	fair := limit * 0.9 / nodes
	if r := rate(0, []float64{18, -1, -1, -1, -1}); r != fair {
		t.Fatalf("alone: %v", r)
	}
	if r := rate(0, []float64{18, 0, 1, 0, 2}); r < 3*fair {
		t.Fatalf("a busy node beside idle ones may make only %v changes", r)
	}
	for set := range 1 << nodes {
		used := make([]float64, nodes)
		for i := range used {
			used[i] = []float64{3, fair}[set>>i&1]
		}
		sum := 0.0
		for i, u := range used {
			if u == fair {
				sum += rate(i, used)
			} else {
				sum += u
			}
		}
		if sum > limit {
			t.Fatalf("used %v: together %v of %v", used, sum, limit)
		}
	}
}

// A submission stood behind the records of the busiest block, whose transactions
// took seconds of the node's part of the rate; it goes first, and what can wait
// comes in batches of at most a second's worth.
func TestJobsOvertakeRecords(t *testing.T) {
	l := &stepLoop{at: map[string]core.Time{}}
	c := NewClient(l, l, "", config.StateLimits{RPS: 400, WriteRPS: 40, ValueBytes: 8 << 10, TxnOps: 32}, 5)
	var order []string
	txn := func(n int) (t api.Txn) {
		for i := range n {
			t.Then = append(t.Then, Put(fmt.Sprint("k", i), 1))
		}
		return t
	}
	if n := c.BatchSize(24); n > 8 {
		t.Fatalf("a batch of %d changes at 7.2 a second", n)
	}
	for range 3 {
		c.TxnLowPriority(txn(c.BatchSize(24)), func(Result) { order = append(order, "record") })
	}
	c.Txn(txn(1), func(Result) { order = append(order, "job") })
	l.run(core.Time(time.Second))
	if len(order) < 2 || order[1] != "job" {
		t.Fatalf("after a second: %v", order)
	}
	l.run(core.Time(10 * time.Second))
	if len(order) != 4 {
		t.Fatalf("after ten seconds: %v", order)
	}
}

// Reads repeat for as long as others change things and users ask, and took every request
// that a node may send; jobs and records must get theirs all the same, and a grant goes
// before all of them.
func TestReadsLeaveRoomForChanges(t *testing.T) {
	l := &stepLoop{at: map[string]core.Time{}}
	c := NewClient(l, l, "", config.StateLimits{RPS: 100, WriteRPS: 400, ValueBytes: 8 << 10, TxnOps: 32}, 5) // 18 requests a second
	until := core.Time(20 * time.Second)
	count := map[string]int{}
	var again func(what string, send func(done func()))
	again = func(what string, send func(done func())) {
		send(func() {
			count[what]++
			if l.now < until {
				l.After(time.Millisecond, func() { again(what, send) })
			}
		})
	}
	txn := api.Txn{Then: []api.Change{Put("k", 1)}}
	for range 3 {
		again("reads", func(done func()) {
			c.Watch(root, 1, 0, func(api.WatchResponse, bool, bool) { l.After(c.ReadInterval(), done) })
		})
	}
	again("jobs", func(done func()) { c.Txn(txn, func(Result) { done() }) })
	again("records", func(done func()) { c.TxnLowPriority(txn, func(Result) { done() }) })
	var asked, granted core.Time
	l.After(10*time.Second, func() {
		asked = l.now
		c.TxnHighPriority(txn, func(Result) { granted = l.now })
	})
	l.run(until)
	if count["jobs"] < 60 || count["records"] < 20 || count["reads"] < 60 {
		t.Fatalf("in 20 s: %v", count)
	}
	if granted == 0 || granted.Sub(asked) > 150*time.Millisecond {
		t.Fatalf("a grant waited %v", granted.Sub(asked))
	}
	if sum := count["jobs"] + count["records"] + count["reads"]; sum > 20*18+20 {
		t.Fatalf("%d requests in 20 s at 18 a second", sum)
	}
}
