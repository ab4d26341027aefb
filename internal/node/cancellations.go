package node

import (
	"slices"

	"lichenstair/internal/block"
	"lichenstair/internal/core"
	"lichenstair/internal/peer"
	"lichenstair/internal/state"
)

// A user is told that a job is cancelled only once none of its tasks can be started any more. It is
// not enough that the cancellation is durable: the holder of the job's block may not have read it
// yet, and goes on sending starts until its right to do so expires (block.StartsExpireAfter).

// pendingCancellation is a durable cancellation of a job whose tasks a holder may still start.
type pendingCancellation struct {
	// revision is one at or after that of the cancellation. The mirror has to reach it before it
	// shows which grants count.
	revision core.Revision
	seenAt   core.Time // when this node learned that the job is cancelled
	// announced: this node tells the other controllers of the cancellation, repeatedly.
	announced bool
	// acknowledged is the acknowledgement under the latest grant, if there is one.
	acknowledged peer.Acknowledgement
	waiters      []func()  // called once no task can be started any more
	waitingSince core.Time // when the first of them came
}

// exclusion is why no task of a cancelled job can be started any more; empty if one can.
type exclusion string

const (
	excludedNoBlock      exclusion = "no block has the team"
	excludedHolderHere   exclusion = "holder is this controller"
	excludedAcknowledged exclusion = "acknowledged by the holder"
	excludedExpired      exclusion = "right to start has expired"
)

// trackCancellation records a durable cancellation that this node has learned of.
func (n *Node) trackCancellation(id core.JobID, revision core.Revision, seenAt core.Time) *pendingCancellation {
	if p := n.pendingCancellations[id]; p != nil {
		return p
	}
	p := &pendingCancellation{revision: revision, seenAt: seenAt}
	n.pendingCancellations[id] = p
	n.loop.After(seenAt.Add(block.StartsExpireAfter(n.cfg.Workers)).Sub(n.loop.Now()), func() { n.checkCancellation(id) })
	return p
}

// findCancellation returns the pending cancellation of a cancelled job, or nil if none of its
// tasks can be started any more. Cancellations that the mirror held when it became complete may have
// been made just before.
func (n *Node) findCancellation(id core.JobID, e *state.JobEntry) *pendingCancellation {
	if p := n.pendingCancellations[id]; p != nil || e.CancelledByDependency() {
		return p
	}
	since, complete := n.mirror.CompleteSince()
	if !complete {
		since = n.loop.Now()
	}
	if n.loop.Now() >= since.Add(block.StartsExpireAfter(n.cfg.Workers)) {
		return nil
	}
	return n.trackCancellation(id, n.mirror.Revision(), since)
}

// trackCancellations records the cancellations among the changed jobs, and checks those that are
// pending.
func (n *Node) trackCancellations(changed []core.JobID) {
	for _, id := range changed {
		if e := n.mirror.Jobs[id]; e != nil && e.Cancelled() && !e.CancelledByDependency() {
			n.trackCancellation(id, n.mirror.Revision(), n.loop.Now())
		}
	}
	for _, id := range core.SortedKeys(n.pendingCancellations) {
		n.checkCancellation(id)
	}
}

// whenStartsExcluded calls then once no task of a cancelled job can be started any more. The mirror
// may not show the cancellation yet. Until then the other controllers are told of it, repeatedly: the
// holder of the job's block stops the tasks, even if the state service rejects it, and acknowledges.
func (n *Node) whenStartsExcluded(id core.JobID, p *pendingCancellation, then func()) {
	if len(p.waiters) == 0 {
		p.waitingSince = n.loop.Now()
	}
	p.waiters = append(p.waiters, then)
	n.applyCancellation(id)
	if n.checkCancellation(id); n.pendingCancellations[id] != nil {
		p.announced = true
		n.broadcast(peer.EncodeCancellations([]core.JobID{id}))
	}
}

// repeatAnnouncements announces the pending cancellations for which users wait again.
func (n *Node) repeatAnnouncements() {
	var ids []core.JobID
	for _, id := range core.SortedKeys(n.pendingCancellations) {
		if n.pendingCancellations[id].announced {
			ids = append(ids, id)
		}
	}
	for frame := range slices.Chunk(ids, peer.MaxCancellations) {
		n.broadcast(peer.EncodeCancellations(frame))
	}
}

// applyCancellation tells the holders of this node that a job is durably cancelled.
func (n *Node) applyCancellation(id core.JobID) {
	for _, num := range core.SortedKeys(n.holders) {
		n.holders[num].ApplyCancellation(id)
	}
}

// handleAnnouncement handles cancellations that another controller announces, and acknowledges
// those of jobs in the blocks of this node.
func (n *Node) handleAnnouncement(ids []core.JobID) {
	var acknowledgements []peer.Acknowledgement
	for _, id := range ids {
		n.log.Debug("cancellation announced by another controller", "job", id, "proven_ago", n.mirror.Staleness().String())
		n.applyCancellation(id)
		if a, ok := n.acknowledgement(id); ok {
			acknowledgements = append(acknowledgements, a)
		}
	}
	if len(acknowledgements) > 0 {
		n.broadcast(peer.EncodeAcknowledgements(acknowledgements))
	}
}

// acknowledgement returns the acknowledgement of a job's cancellation, and false if this node does
// not hold the job's block, or cannot exclude that a task is started.
func (n *Node) acknowledgement(id core.JobID) (peer.Acknowledgement, bool) {
	e := n.mirror.Jobs[id]
	if e == nil {
		return peer.Acknowledgement{}, false
	}
	num, ok := n.mirror.TeamBlock(e.Team)
	h := n.holders[num]
	if !ok || h == nil || !h.ExcludesStarts(id) {
		return peer.Acknowledgement{}, false
	}
	return peer.Acknowledgement{Job: id, Block: num, Term: h.Term()}, true
}

// handleAcknowledgements handles acknowledgements of other controllers.
func (n *Node) handleAcknowledgements(acknowledgements []peer.Acknowledgement) {
	for _, a := range acknowledgements {
		p := n.pendingCancellations[a.Job]
		if p == nil || a.Term < p.acknowledged.Term {
			continue
		}
		p.acknowledged = a
		n.checkCancellation(a.Job)
	}
}

// checkCancellation removes a pending cancellation if no task of the job can be started any more,
// and tells those who wait for that.
func (n *Node) checkCancellation(id core.JobID) {
	p := n.pendingCancellations[id]
	if p == nil {
		return
	}
	reason := n.startsExcluded(id, p)
	if reason == "" {
		return
	}
	delete(n.pendingCancellations, id)
	if len(p.waiters) > 0 {
		waited := n.loop.Now().Sub(p.waitingSince)
		n.metrics.CancellationWaits.WithLabelValues(string(reason)).Observe(waited.Seconds())
		n.log.Info("cancellation confirmed", "job", id, "because", reason, "waited", waited.String(), "waiters", len(p.waiters))
	}
	for _, then := range p.waiters {
		then()
	}
}

// startsExcluded returns why no task of a cancelled job can be started any more. Of the grants of
// the job's block, one that the mirror does not show yet is later than the cancellation, so its
// holder has read the cancellation; under the one that it shows, the holder has to say that it
// excludes starts, which covers all earlier grants. Otherwise time does: what a holder has not read
// was written after its last proof of freshness.
func (n *Node) startsExcluded(id core.JobID, p *pendingCancellation) exclusion {
	if n.loop.Now() >= p.seenAt.Add(block.StartsExpireAfter(n.cfg.Workers)) {
		return excludedExpired
	}
	e := n.mirror.Jobs[id]
	if e == nil || !n.mirror.HasReached(p.revision) {
		return ""
	}
	num, ok := n.mirror.TeamBlock(e.Team)
	if !ok {
		return excludedNoBlock
	}
	term := n.mirror.Blocks[num].Record.Term
	if h := n.holders[num]; h != nil && h.Term() >= term && h.ExcludesStarts(id) {
		return excludedHolderHere
	}
	if p.acknowledged.Block == num && p.acknowledged.Term >= term {
		return excludedAcknowledged
	}
	return ""
}
