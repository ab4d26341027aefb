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
	"lichenstair/internal/metrics"
)

// virtualLoop is an event loop on virtual time; every call is answered at once.
type virtualLoop struct {
	now    core.Time
	timers timerHeap
	sent   []string
	sentAt map[string]core.Time
}

type timer struct {
	at  core.Time
	run func()
}

type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (l *virtualLoop) Now() core.Time         { return l.now }
func (l *virtualLoop) WallNow() core.WallTime { return 0 }
func (l *virtualLoop) After(d time.Duration, f func()) {
	heap.Push(&l.timers, timer{l.now.Add(d), f})
}

func (l *virtualLoop) Call(r core.Request, done func(core.Response)) {
	l.sentAt[r.Path] = l.now
	l.sent = append(l.sent, r.Path)
	done(core.Response{Status: 200, Body: []byte(`{}`)})
}

func (l *virtualLoop) run(until core.Time) {
	for len(l.timers) > 0 && l.timers[0].at <= until {
		t := heap.Pop(&l.timers).(timer)
		l.now = t.at
		t.run()
	}
	l.now = until
}

// Where many controllers share a small write rate, a few large transactions take longer than a
// lease lasts. A renewal must not wait behind them, even if it arrives while the client sleeps
// until the next write is allowed.
func TestRenewalOvertakesWrites(t *testing.T) {
	l := &virtualLoop{sentAt: map[string]core.Time{}}
	c := NewClient(l, l, metrics.New(), "", config.StateLimits{RPS: 400, WriteRPS: 100, ValueBytes: 8 << 10, TxnOps: 32}, 10)
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
	renewed, ok := l.sentAt["/grants/7/renew"]
	if !ok || renewed > core.Time(600*time.Millisecond) {
		t.Fatalf("lease renewal sent at %v, want at most 600ms; requests sent: %v", renewed, l.sent)
	}
	l.run(core.Time(20 * time.Second))
	if n := strings.Count(strings.Join(l.sent, " "), "/txn"); n != 4 {
		t.Fatalf("%d transactions sent, want 4", n)
	}
}

// A busy node uses the write rate that the others leave unused, and all nodes together stay within
// the limit. Nodes that have reported nothing keep their shares.
func TestUnusedWriteRateIsRedistributed(t *testing.T) {
	const nodes, limit = 5, 100.0
	l := &virtualLoop{sentAt: map[string]core.Time{}}
	rate := func(own int, used []float64) float64 {
		c := NewClient(l, l, metrics.New(), "", config.StateLimits{RPS: 400, WriteRPS: limit, ValueBytes: 8 << 10, TxnOps: 32}, nodes)
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
		t.Fatalf("write rate without reports of others: %v, want the own share", r)
	}
	if r := rate(0, []float64{18, 0, 1, 0, 2}); r < 3*fair {
		t.Fatalf("write rate of a busy node beside idle ones: %v, want at least three shares", r)
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
			t.Fatalf("write rates %v: %v in all, limit %v", used, sum, limit)
		}
	}
}

// A submission once waited behind record transactions of the busiest block, which took seconds of
// the node's write rate. Submissions overtake them, and deferrable writes come in batches of at
// most a second's worth.
func TestSubmissionsOvertakeBackgroundWrites(t *testing.T) {
	l := &virtualLoop{sentAt: map[string]core.Time{}}
	c := NewClient(l, l, metrics.New(), "", config.StateLimits{RPS: 400, WriteRPS: 40, ValueBytes: 8 << 10, TxnOps: 32}, 5)
	var order []string
	txn := func(n int) (t api.Txn) {
		for i := range n {
			t.Then = append(t.Then, Put(fmt.Sprint("k", i), 1))
		}
		return t
	}
	if n := c.BatchSize(24); n > 8 {
		t.Fatalf("batch of %d writes at 7.2 writes per second, want at most 8", n)
	}
	for range 3 {
		c.TxnLowPriority(txn(c.BatchSize(24)), func(Result) { order = append(order, "record") })
	}
	c.Txn(txn(1), func(Result) { order = append(order, "job") })
	l.run(core.Time(time.Second))
	if len(order) < 2 || order[1] != "job" {
		t.Fatalf("transactions after 1 s: %v, want a job second", order)
	}
	l.run(core.Time(10 * time.Second))
	if len(order) != 4 {
		t.Fatalf("transactions after 10 s: %v, want 4", order)
	}
}

// Repeated reads once used every request that a node may send. Job and record transactions must get
// their share, and an election transaction goes before all of them.
func TestReadsDoNotStarveWrites(t *testing.T) {
	l := &virtualLoop{sentAt: map[string]core.Time{}}
	c := NewClient(l, l, metrics.New(), "", config.StateLimits{RPS: 100, WriteRPS: 400, ValueBytes: 8 << 10, TxnOps: 32}, 5) // 18 requests per second for each node
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
	var requested, executed core.Time
	l.After(10*time.Second, func() {
		requested = l.now
		c.TxnHighPriority(txn, func(Result) { executed = l.now })
	})
	l.run(until)
	if count["jobs"] < 60 || count["records"] < 20 || count["reads"] < 60 {
		t.Fatalf("requests in 20 s: %v, want at least 60 jobs, 20 records and 60 reads", count)
	}
	if executed == 0 || executed.Sub(requested) > 150*time.Millisecond {
		t.Fatalf("an election transaction waited %v, want at most 150ms", executed.Sub(requested))
	}
	if sum := count["jobs"] + count["records"] + count["reads"]; sum > 20*18+20 {
		t.Fatalf("%d requests in 20 s, limit 18 per second", sum)
	}
}
