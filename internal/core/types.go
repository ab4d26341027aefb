// Package core holds what every other package builds on: small types for ids,
// versions and times, sets of task numbers, and the loop and caller through
// which a node meets the world.
package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

type (
	// Term is the number of one grant; it rises and is never reused.
	Term uint64
	// Session counts the sessions of a worker.
	Session uint64
	// Sequence orders the messages of one season of a worker.
	Sequence uint64
	// Attempt tells one start of a task from another.
	Attempt uint64
	// Revision counts the changes of the state service.
	Revision uint64
	// LeaseID is a lease of the state service.
	LeaseID uint64
	// JobID names a job.
	JobID string
	// MachineID names a machine.
	MachineID string
	// Host names a controller.
	Host string
	// WallTime is a time of day in milliseconds since 1970.
	WallTime int64
)

// Time is a reading of this process's steady clock.
type Time time.Duration

// Add returns t moved by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time between u and t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Seconds turns an amount of the wire into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// MaxClockDrift bounds how far steady clocks of two machines drift apart, doubled so
// that both ends of a comparison are covered.
const MaxClockDrift = 0.001

// WithDrift lengthens d by the drift of clocks.
func WithDrift(d time.Duration) time.Duration { return d + time.Duration(float64(d)*MaxClockDrift) }

// TaskID names a task of a job.
type TaskID struct {
	Job   JobID
	Index int
}

func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads a task's name.
func ParseTaskID(s string) (TaskID, error) {
	job, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	if !ok || err != nil || n < 0 || job == "" {
		return TaskID{}, fmt.Errorf("not a task: %q", s)
	}
	return TaskID{JobID(job), n}, nil
}

// Newer tells whether (s, t) is newer than (s2, t2).
func Newer(s Session, t Sequence, s2 Session, t2 Sequence) bool {
	return s > s2 || s == s2 && t > t2
}
