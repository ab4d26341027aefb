// Package core holds what every other package builds on: types for identifiers, versions
// and times, sets of task indices, and the event loop and HTTP caller through which a node
// interacts with its environment.
package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

type (
	// Term numbers the grants of the leadership and of blocks. Higher terms are also allocated
	// between grants, to assign machines to a block or to make a machine report at once. All
	// come from one counter, and none is allocated twice.
	Term uint64
	// Session numbers the sessions of a worker. A worker whose lease has expired ends its
	// tasks and starts a session with a higher number.
	Session uint64
	// Sequence orders the messages within one session of a worker.
	Sequence uint64
	// Attempt numbers the starts of a task; a later start has a higher number. The members of
	// a gang that are started together share one.
	Attempt uint64
	// Revision counts the changes of the state service.
	Revision uint64
	// LeaseID identifies a lease of the state service.
	LeaseID uint64
	// JobID identifies a job.
	JobID string
	// MachineID identifies a machine.
	MachineID string
	// Host is the name of a controller.
	Host string
	// WallTime is a wall-clock time in milliseconds since the Unix epoch.
	WallTime int64
)

// Time is a reading of this process's monotonic clock.
type Time time.Duration

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Seconds converts a number of seconds, as used on the wire, into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// MaxClockDrift bounds the relative drift between the monotonic clocks of two machines,
// doubled so that both ends of a comparison are covered.
const MaxClockDrift = 0.001

// WithDrift returns d lengthened by the maximum clock drift.
func WithDrift(d time.Duration) time.Duration { return d + time.Duration(float64(d)*MaxClockDrift) }

// TaskID identifies a task of a job.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the form <job>/<index>.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses the form <job>/<index>.
func ParseTaskID(s string) (TaskID, error) {
	job, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	if !ok || err != nil || n < 0 || job == "" {
		return TaskID{}, fmt.Errorf("invalid task ID %q: want <job>/<index>", s)
	}
	return TaskID{JobID(job), n}, nil
}

// Newer reports whether message t of session s of a worker is newer than its message t2 of
// session s2. Any message of a later session is newer.
func Newer(s Session, t Sequence, s2 Session, t2 Sequence) bool {
	return s > s2 || s == s2 && t > t2
}
