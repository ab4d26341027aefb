package core

import (
	"sync"
	"time"
)

// Loop runs a node's code one piece at a time and tells it the time. A node's
// state is touched only from its loop.
type Loop interface {
	Now() Time
	Wall() Wall
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

// RealLoop is the Loop of a running process.
type RealLoop struct {
	start  time.Time
	urgent chan func()
	normal chan func()
	quit   chan struct{}
	once   sync.Once
}

// NewLoop makes a loop; Run must be called for anything to happen.
func NewLoop() *RealLoop {
	return &RealLoop{start: time.Now(), urgent: make(chan func(), 256), normal: make(chan func(), 1024), quit: make(chan struct{})}
}

// Now reads the steady clock.
func (l *RealLoop) Now() Time { return Time(time.Since(l.start)) }

// Wall reads the time of day.
func (l *RealLoop) Wall() Wall { return Wall(time.Now().UnixMilli()) }

// After runs f on the loop once d has passed.
func (l *RealLoop) After(d time.Duration, f func()) { time.AfterFunc(d, func() { l.Post(f) }) }

// Post runs f on the loop soon.
func (l *RealLoop) Post(f func()) {
	select {
	case l.normal <- f:
	case <-l.quit:
	}
}

// PostUrgent runs f before anything that waits in Post. It reports false when
// the queue is full, so that callers can refuse instead of waiting.
func (l *RealLoop) PostUrgent(f func()) bool {
	select {
	case l.urgent <- f:
		return true
	default:
		return false
	}
}

// TryPost is Post for work that can be refused.
func (l *RealLoop) TryPost(f func()) bool {
	select {
	case l.normal <- f:
		return true
	default:
		return false
	}
}

// Run serves the loop until Stop.
func (l *RealLoop) Run() {
	for {
		select {
		case f := <-l.urgent:
			f()
			continue
		default:
		}
		select {
		case f := <-l.urgent:
			f()
		case f := <-l.normal:
			f()
		case <-l.quit:
			return
		}
	}
}

// Stop ends Run.
func (l *RealLoop) Stop() { l.once.Do(func() { close(l.quit) }) }
