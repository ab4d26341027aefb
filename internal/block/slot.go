package block

import (
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// slotState is the state of a task's place on a machine.
type slotState int

const (
	planned  slotState = iota // chosen, no start command sent
	starting                  // a start command was sent and may be executed
	present                   // the worker reports it, not exited
	exited                    // the worker reports that it has ended
	off                       // no longer on the machine, proven
)

func (s slotState) String() string {
	return [...]string{"planned", "starting", "present", "exited", "off"}[s]
}

type slotKey struct {
	task    core.TaskID
	attempt core.Attempt
}

// slot is one attempt of a task on a machine. It is booked until it is off or
// exited.
type slot struct {
	slotKey
	state   slotState
	machine *machine
	team    string
	need    placement.Resources
	view    string // state as reported
	cause   string

	sentAt     core.Time
	sentSeason core.Session
	sentTally  core.Sequence

	ends    core.Time  // by estimate
	stop    stopReason // why it is to be stopped, also if its job goes on
	stopped core.Time  // when the first stop was sent; 0: none
	grace   float64
	since   core.Time // when it was first seen running
}

func (s *slot) booked() bool { return s.state != exited && s.state != off }
