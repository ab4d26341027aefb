package block

import (
	"time"

	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// roomWindow is the time over which lasting room is measured, in two halves that are
// renewed in turn: it covers between half of the window and all of it.
const roomWindow = 60 * time.Second

// lastingRoom is the least that has been free on a machine lately. A starving job takes
// machines that are reserved for others only if they have stood beside it with room all the
// time: where everything is in use, each such task would take the machine that the next
// gang needs.
type lastingRoom struct {
	known             bool
	since             core.Time // when the current half began
	previous, current placement.Resources
}

// note takes in what is free now.
func (r *lastingRoom) note(now core.Time, free placement.Resources) {
	if !r.known {
		*r = lastingRoom{known: true, since: now, previous: free, current: free}
		return
	}
	if now.Sub(r.since) >= roomWindow/2 {
		r.previous, r.current, r.since = r.current, free, now
	}
	r.current = r.current.Min(free)
}

// least is what has been free all the time.
func (r *lastingRoom) least() placement.Resources { return r.previous.Min(r.current) }
