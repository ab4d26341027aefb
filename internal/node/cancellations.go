package node

import (
	"slices"
	"time"

	"lichenstair/internal/core"
	"lichenstair/internal/peer"
)

// confirmedCancellation is a cancellation that this node has written durably.
type confirmedCancellation struct {
	id          core.JobID
	confirmedAt core.Time
}

const (
	// rebroadcastTime is how long a cancellation is sent to the peers again.
	rebroadcastTime  = 3 * time.Second
	maxCancellations = 100
)

// announceCancellation tells the other controllers and the holders of this node at once
// that a job is durably cancelled. Otherwise a holder that alone is refused by the state
// service would learn of it only when it is served again. It would start tasks of the job
// and, to end those that must not go on, would have to stop answering all its workers in
// time for their leases to expire. The announcement is a hint: without it, that time limit
// still bounds the tasks.
func (n *Node) announceCancellation(id core.JobID) {
	if len(n.cancellations) < maxCancellations {
		n.cancellations = append(n.cancellations, confirmedCancellation{id, n.loop.Now()})
	}
	n.broadcast(peer.EncodeCancellations([]core.JobID{id}))
	for _, h := range n.holders {
		h.ApplyCancellation(id)
	}
}

// rebroadcastCancellations sends the recent cancellations of this node to the peers again.
func (n *Node) rebroadcastCancellations() {
	now := n.loop.Now()
	n.cancellations = slices.DeleteFunc(n.cancellations, func(c confirmedCancellation) bool { return now.Sub(c.confirmedAt) > rebroadcastTime })
	if len(n.cancellations) == 0 {
		return
	}
	var ids []core.JobID
	for _, c := range n.cancellations {
		ids = append(ids, c.id)
	}
	n.broadcast(peer.EncodeCancellations(ids))
}
