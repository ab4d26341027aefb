package block

import (
	"time"

	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// A holder has the right to start tasks for a limited time after each proof of freshness, as if it
// renewed a lease. Users are told that a job is cancelled once the holder has acknowledged it or the
// right of every holder that cannot know of it has expired (node/cancellations.go).

// startProofAge is how long after its mirror was last confirmed fresh a holder may send starts.
// Users are told of a cancellation that the holder has not acknowledged only after that, and wait
// 5 s for it.
const startProofAge = 3500 * time.Millisecond

// maxStartProofAge bounds startProofAge by the time for which the holder may answer workers at all.
func maxStartProofAge(w config.WorkerTimings) time.Duration {
	return min(startProofAge, maxContactAge(w))
}

// StartsExpireAfter returns how long after a cancellation became durable no holder that has not
// read it can send a start of the job any more.
func StartsExpireAfter(w config.WorkerTimings) time.Duration {
	return core.WithDrift(maxStartProofAge(w)) + timingMargin
}

// maySendStarts reports whether this holder may send starts: it has recovered the state of its
// machines, and its mirror was confirmed fresh so recently that no user can have been told of a
// cancellation that the mirror does not show.
func (h *Holder) maySendStarts() bool {
	return h.state == placing && h.Mirror.Staleness() < maxStartProofAge(h.Config.Workers)
}

// ExcludesStarts reports whether no task of a cancelled job will be started any more, neither by
// this holder, which has read or been told of the cancellation, nor by an earlier one: every machine
// that is in use has shown the present term or was proven empty.
func (h *Holder) ExcludesStarts(id core.JobID) bool {
	if h.state != placing {
		return false
	}
	if e := h.Mirror.Jobs[id]; e != nil && e.Finished() {
		return true
	}
	j := h.jobs[id]
	return j != nil && j.cancelled
}
