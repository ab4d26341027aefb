package block

import (
	"time"

	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// freeWindowLength is the time over which the minimum of free resources is measured, in two
// halves that are renewed in turn; the measurement covers between half the window and all of
// it.
const freeWindowLength = 60 * time.Second

// freeWindow tracks the minimum that has been free on a machine lately. A starving job takes a
// machine that is reserved for others only if it has had room for the whole window: where
// everything is in use, each such task would otherwise take the machine that the next gang
// needs.
type freeWindow struct {
	known             bool
	since             core.Time // when the current half began
	previous, current placement.Resources
}

// record adds a measurement of what is free now.
func (w *freeWindow) record(now core.Time, free placement.Resources) {
	if !w.known {
		*w = freeWindow{known: true, since: now, previous: free, current: free}
		return
	}
	if now.Sub(w.since) >= freeWindowLength/2 {
		w.previous, w.current, w.since = w.current, free, now
	}
	w.current = w.current.Min(free)
}

// minimum returns what has been free during the whole window.
func (w *freeWindow) minimum() placement.Resources { return w.previous.Min(w.current) }
