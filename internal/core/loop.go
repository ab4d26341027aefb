package core

import (
	"sync"
	"time"
)

// Loop runs a node's code one piece at a time and tells it the time. A node's
// state is touched only from its loop.
type Loop interface {
	Now() Time
	WallNow() WallTime
	After(d time.Duration, f func())
}

// Request is a call to another party over HTTP.
type Request struct {
	Addr    string
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
}

// Response is what came of a Request. Status 0 means that no answer came.
type Response struct {
	Status int
	Body   []byte
}

// Caller sends requests; done runs on the loop, exactly once.
type Caller interface {
	Call(r Request, done func(Response))
}

// EventLoop is the Loop of a running process. What waits for it stands in three
// lanes: reports, the node's own timers and answers, and users. The first two
// take turns, so that neither a burst of reports keeps a renewal waiting nor the
// other way round; users are served when both are empty, and in every eighth turn.
type EventLoop struct {
	start   time.Time
	reports chan func()
	own     chan func()
	users   chan func()
	quit    chan struct{}
	once    sync.Once
}

// NewEventLoop makes a loop for at most conns connections, each of which can bring one
// request at a time: no report is refused for want of a place in the queue, not
// even if those of all machines come at once. Run must be called for anything to
// happen.
func NewEventLoop(conns int) *EventLoop {
	return &EventLoop{
		start: time.Now(), reports: make(chan func(), conns), own: make(chan func(), conns), users: make(chan func(), maxUsers), quit: make(chan struct{}),
	}
}

// maxUsers bounds what waits for users; the rest is told to come back.
const maxUsers = 512

// Now reads the steady clock.
func (l *EventLoop) Now() Time { return Time(time.Since(l.start)) }

// WallNow reads the time of day.
func (l *EventLoop) WallNow() WallTime { return WallTime(time.Now().UnixMilli()) }

// After runs f on the loop once d has passed.
func (l *EventLoop) After(d time.Duration, f func()) { time.AfterFunc(d, func() { l.Post(f) }) }

// Post runs f on the loop soon. It waits for a place in the queue, so it must not
// be called from the loop itself.
func (l *EventLoop) Post(f func()) {
	select {
	case l.own <- f:
	case <-l.quit:
	}
}

// PostReport runs f, which takes in a report. It tells false when the queue is
// full, so that callers can refuse instead of waiting.
func (l *EventLoop) PostReport(f func()) bool { return try(l.reports, f) }

// PostUser is the same for users' requests and health checks.
func (l *EventLoop) PostUser(f func()) bool { return try(l.users, f) }

func try(lane chan func(), f func()) bool {
	select {
	case lane <- f:
		return true
	default:
		return false
	}
}

// Run serves the loop until Stop.
func (l *EventLoop) Run() {
	for turn := 0; ; turn++ {
		first, second := l.reports, l.own
		switch {
		case turn%8 == 7:
			first, second = l.users, l.own
		case turn%2 == 1:
			first, second = second, first
		}
		if serve(first) || serve(second) {
			continue
		}
		select {
		case f := <-l.reports:
			f()
		case f := <-l.own:
			f()
		case f := <-l.users:
			f()
		case <-l.quit:
			return
		}
	}
}

// serve runs what waits longest in a lane, if anything does.
func serve(lane chan func()) bool {
	select {
	case f := <-lane:
		f()
		return true
	default:
		return false
	}
}

// Stop ends Run.
func (l *EventLoop) Stop() { l.once.Do(func() { close(l.quit) }) }
