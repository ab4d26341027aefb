package core

import (
	"sync"
	"time"
)

// Loop is the event loop and the clock of a node. It runs callbacks one at a time. A node's
// state is accessed only from its loop.
type Loop interface {
	// Now returns the monotonic time.
	Now() Time
	// WallNow returns the time of day.
	WallNow() WallTime
	// After runs f on the loop once d has passed.
	After(d time.Duration, f func())
}

// Request is an HTTP request to another service or to a worker.
type Request struct {
	Addr    string // host:port
	Method  string
	Path    string // including the query
	Body    []byte // nil: none
	Timeout time.Duration
}

// Response is the outcome of a Request. Status 0 means that no response was received.
type Response struct {
	Status int
	Body   []byte
}

// Caller sends HTTP requests. It runs done on the loop, exactly once per request.
type Caller interface {
	Call(r Request, done func(Response))
}

// EventLoop is the Loop of a running process. It has three queues: reports from workers,
// the node's own timers and responses, and user requests. The first two alternate, so that
// a burst of reports cannot delay a lease renewal, nor the other way round. User requests
// are served when both are empty, and first in every eighth iteration.
type EventLoop struct {
	start    time.Time
	reports  chan queuedCall
	internal chan queuedCall
	users    chan queuedCall
	quit     chan struct{}
	stopOnce sync.Once
	// OnExecuted, if set, is called on the loop after each callback, with the queue from which it was
	// taken, how long it had waited and how long it took, and how many are left there.
	OnExecuted func(queue string, waited, took time.Duration, left int)
}

// queuedCall is a callback with the time at which it was queued.
type queuedCall struct {
	run      func()
	queuedAt Time
}

// NewEventLoop returns a loop for at most conns connections, each of which can have one
// request pending. The queues hold that many entries, so that no report is refused because
// a queue is full, even if all machines report at once. Callbacks run only once Run has
// been called.
func NewEventLoop(conns int) *EventLoop {
	return &EventLoop{
		start: time.Now(), reports: make(chan queuedCall, conns), internal: make(chan queuedCall, conns), users: make(chan queuedCall, max(minQueuedUserRequests, conns/2)), quit: make(chan struct{}),
	}
}

// minQueuedUserRequests is the least bound of the queued user requests; the rest are refused, and
// users are asked to retry.
const minQueuedUserRequests = 512

// Now returns the time since the loop was created, by the monotonic clock.
func (l *EventLoop) Now() Time { return Time(time.Since(l.start)) }

// WallNow returns the time of day.
func (l *EventLoop) WallNow() WallTime { return WallTime(time.Now().UnixMilli()) }

// After runs f on the loop once d has passed.
func (l *EventLoop) After(d time.Duration, f func()) { time.AfterFunc(d, func() { l.Post(f) }) }

// Post queues f to run on the loop. It blocks while the queue is full, so it must not be
// called from the loop itself.
func (l *EventLoop) Post(f func()) {
	select {
	case l.internal <- queuedCall{f, l.Now()}:
	case <-l.quit:
	}
}

// PostReport queues f, which handles a report. It returns false if the queue is full, so
// that callers can refuse a request instead of waiting.
func (l *EventLoop) PostReport(f func()) bool { return l.tryPost(l.reports, f) }

// PostUser is like PostReport, for users' requests and health checks.
func (l *EventLoop) PostUser(f func()) bool { return l.tryPost(l.users, f) }

func (l *EventLoop) tryPost(queue chan queuedCall, f func()) bool {
	select {
	case queue <- queuedCall{f, l.Now()}:
		return true
	default:
		return false
	}
}

// Run executes queued functions until Stop is called. EventLoop describes the order in which
// the queues are served.
func (l *EventLoop) Run() {
	for turn := 0; ; turn++ {
		first, second := l.reports, l.internal
		switch {
		case turn%8 == 7:
			first, second = l.users, l.internal
		case turn%2 == 1:
			first, second = second, first
		}
		if l.runNext(first) || l.runNext(second) {
			continue
		}
		select {
		case c := <-l.reports:
			l.execute(l.reports, c)
		case c := <-l.internal:
			l.execute(l.internal, c)
		case c := <-l.users:
			l.execute(l.users, c)
		case <-l.quit:
			return
		}
	}
}

func (l *EventLoop) execute(queue chan queuedCall, c queuedCall) {
	begun := l.Now()
	c.run()
	if l.OnExecuted != nil {
		l.OnExecuted(l.queueName(queue), begun.Sub(c.queuedAt), l.Now().Sub(begun), len(queue))
	}
}

func (l *EventLoop) queueName(queue chan queuedCall) string {
	switch queue {
	case l.reports:
		return "reports"
	case l.users:
		return "users"
	default:
		return "internal"
	}
}

// runNext runs the oldest function of a queue and reports whether there was one.
func (l *EventLoop) runNext(queue chan queuedCall) bool {
	select {
	case c := <-queue:
		l.execute(queue, c)
		return true
	default:
		return false
	}
}

// Stop makes Run return.
func (l *EventLoop) Stop() { l.stopOnce.Do(func() { close(l.quit) }) }
