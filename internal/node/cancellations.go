package node

import (
	"slices"
	"time"

	"lichenstair/internal/core"
	"lichenstair/internal/peer"
)

// confirmedCancellation is a cancellation that this node has made durable.
type confirmedCancellation struct {
	id core.JobID
	at core.Time
}

const (
	// repeatTime is how long peers are told of a cancellation again.
	repeatTime      = 3 * time.Second
	maxCancellation = 100
)

// announceCancellation tells the other controllers at once that a job is cancelled, durably. A
// holder that the state service alone refuses would learn of it only afterwards, start
// tasks of the job, and let all its workers go in time for those that it must not keep.
// It is still a hint: without it, that time is what bounds the tasks.
func (n *Node) announceCancellation(id core.JobID) {
	if len(n.cancellations) < maxCancellation {
		n.cancellations = append(n.cancellations, confirmedCancellation{id, n.loop.Now()})
	}
	n.broadcast(peer.EncodeCancellations([]core.JobID{id}))
	for _, h := range n.holders {
		h.ApplyCancellation(id)
	}
}

func (n *Node) repeatCancellation() {
	now := n.loop.Now()
	n.cancellations = slices.DeleteFunc(n.cancellations, func(c confirmedCancellation) bool { return now.Sub(c.at) > repeatTime })
	if len(n.cancellations) == 0 {
		return
	}
	var ids []core.JobID
	for _, c := range n.cancellations {
		ids = append(ids, c.id)
	}
	n.broadcast(peer.EncodeCancellations(ids))
}
