// Package admission bounds the requests that a controller works on at a time, by their kind.
package admission

import (
	"sync/atomic"
	"time"
)

// Kind is the kind of a request.
type Kind int

const (
	Poll Kind = iota
	Submission
	Cancellation
	Health // a health check of the load balancer
	Report // of a worker
	KindCount
)

func (k Kind) String() string {
	return [...]string{"poll", "submission", "cancellation", "health", "report"}[k]
}

const (
	// requestTimeout and pollTimeout are the times that the protocol lets a caller wait, less the
	// transmission time.
	requestTimeout = 4500 * time.Millisecond
	pollTimeout    = 1900 * time.Millisecond
)

// Timeout returns how long the caller of a request waits for a response.
func (k Kind) Timeout() time.Duration {
	if k == Poll {
		return pollTimeout
	}
	return requestTimeout
}

const (
	// minRequests is the least number of requests of a pool that are admitted at a time.
	minRequests = 256
	// pollShare is the share of the connections whose polls and cancellations are admitted.
	pollShare = 0.25
)

// pool is a group of kinds that share a limit.
type pool struct {
	limit      int64
	inProgress atomic.Int64
}

func (p *pool) admit() bool {
	if p.inProgress.Add(1) > p.limit {
		p.inProgress.Add(-1)
		return false
	}
	return true
}

// Control admits requests as long as not too many are in progress. Submissions, which may take
// seconds, do not count against polls and cancellations. Reports and health checks are always
// admitted: the connections bound the former, and a health check that is refused because of others
// takes the controller out of service. It may be used from any goroutine.
type Control struct {
	polls, submissions pool
}

// New returns a control for a server of at most conns connections.
func New(conns int) *Control {
	c := &Control{}
	c.polls.limit = max(minRequests, int64(pollShare*float64(conns)))
	c.submissions.limit = minRequests
	return c
}

// poolOf returns the pool of a kind, nil if it has none.
func (c *Control) poolOf(k Kind) *pool {
	switch k {
	case Poll, Cancellation:
		return &c.polls
	case Submission:
		return &c.submissions
	default:
		return nil
	}
}

// Admit reports whether a request may be worked on. If so, Release must be called at its end.
func (c *Control) Admit(k Kind) bool {
	p := c.poolOf(k)
	return p == nil || p.admit()
}

// Release ends an admitted request.
func (c *Control) Release(k Kind) {
	if p := c.poolOf(k); p != nil {
		p.inProgress.Add(-1)
	}
}

// InProgress returns how many polls, cancellations and submissions are in progress.
func (c *Control) InProgress() int {
	return int(c.polls.inProgress.Load() + c.submissions.inProgress.Load())
}
