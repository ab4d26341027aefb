package block

import (
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// slotState is the state of an attempt on its machine.
type slotState int

const (
	planned  slotState = iota // chosen; no start command sent yet
	starting                  // a start command was sent and may be executed
	present                   // reported by the worker, not exited
	exited                    // reported by the worker as ended
	off                       // proven to be no longer on the machine
)

func (s slotState) String() string {
	return [...]string{"planned", "starting", "present", "exited", "off"}[s]
}

// slotKey identifies an attempt of a task.
type slotKey struct {
	task    core.TaskID
	attempt core.Attempt
}

// slot is one attempt of a task on a machine. It is booked until it has exited or is proven to
// be off the machine.
type slot struct {
	slotKey
	state         slotState
	machine       *machine
	team          string              // of its job
	resources     placement.Resources // that the task needs
	reportedState string              // state as reported by the worker
	exitCause     string              // cause of the end as reported by the worker

	sentAt core.Time // when the start command was added to a response
	// sentSession and sentSequence identify the report in whose response the start was sent.
	sentSession  core.Session
	sentSequence core.Sequence

	expectedEnd  core.Time  // estimated
	stopRequest  stopReason // why it has to stop even though its job goes on
	stopSentAt   core.Time  // when the first stop command was added to a response; 0: none yet
	graceS       float64    // time to save, in seconds
	runningSince core.Time  // when it was first seen running
}

// booked reports whether the attempt may be on its machine or is planned for it.
func (s *slot) booked() bool { return s.state != exited && s.state != off }
