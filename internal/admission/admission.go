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

// maxRequests bounds the requests in progress, other than reports.
const maxRequests = 256

// Control admits requests as long as not too many are in progress. It may be used from any
// goroutine.
type Control struct {
	inProgress atomic.Int64
}

// New returns a control for a server of at most conns connections.
func New(conns int) *Control { return &Control{} }

// Admit reports whether a request may be worked on. If so, Release must be called at its end.
func (c *Control) Admit(k Kind) bool {
	if k == Report {
		return true
	}
	if c.inProgress.Add(1) > maxRequests {
		c.inProgress.Add(-1)
		return false
	}
	return true
}

// Release ends an admitted request.
func (c *Control) Release(k Kind) {
	if k != Report {
		c.inProgress.Add(-1)
	}
}

// InProgress returns how many requests are in progress, other than reports.
func (c *Control) InProgress() int { return int(c.inProgress.Load()) }
