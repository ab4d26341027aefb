package node

import (
	"slices"
	"time"

	"lichenstair/internal/core"
)

// readiness is the state that health checks see, as of a time.
type readiness struct {
	response Response
	asOf     core.Time
}

const (
	// readinessTTL is how old the state may be that a health check is answered with. A node whose
	// event loop stands still for longer is not ready.
	readinessTTL = 2 * time.Second
	// withdrawalMemory is how long a withdrawal counts, see withdrawalStaleness.
	withdrawalMemory = 2 * time.Minute
	maxWithdrawals   = 4 // that count at a time
)

// Ready returns the response to a health check at a time of the node's loop. It may be called from
// any goroutine and waits for nothing: a node with a long queue is better than none, and the load
// balancer takes one that fails two checks out of service, for up to a minute if it happens often.
func (n *Node) Ready(now core.Time) Response {
	r := n.readiness.Load()
	if r == nil {
		return n.retryLater("starting")
	}
	if now.Sub(r.asOf) > readinessTTL {
		return n.retryLater("event loop is late")
	}
	return r.response
}

// updateReadiness updates what health checks see. The node is not ready until it has read the state
// and the machine types, nor while it alone is cut off from the state service.
func (n *Node) updateReadiness() {
	n.updateWithdrawn()
	response := Response{Status: 200, Body: struct{}{}}
	switch {
	case !n.mirror.Complete() || len(n.types()) == 0:
		response = n.retryLater("starting")
	case n.withdrawn:
		response = n.retryLater("cut off from the state service, which others reach")
	}
	n.readiness.Store(&readiness{response, n.loop.Now()})
}

// updateWithdrawn withdraws the node from service while it cannot reach the state service and
// another one can. Users are better served there. If no node can reach it, none is withdrawn.
func (n *Node) updateWithdrawn() {
	now := n.loop.Now()
	if n.withdrawn {
		n.withdrawn = n.mirror.Staleness() >= maxStaleness && n.peerIsFresh()
		return
	}
	if n.mirror.Staleness() < n.withdrawalStaleness() || !n.peerIsFresh() {
		return
	}
	n.withdrawn = true
	n.withdrawals = append(n.withdrawals, now)
	n.log.Info("withdrawn from service: cut off from the state service, which others reach", "staleness", n.mirror.Staleness().String(), "withdrawals", len(n.withdrawals))
}

// withdrawalStaleness returns the staleness from which the node withdraws. It doubles with each
// recent withdrawal, as does the time for which the load balancer then leaves the node out: where
// the state service is slow, each node fails to reach it now and then while others succeed.
func (n *Node) withdrawalStaleness() time.Duration {
	now := n.loop.Now()
	n.withdrawals = slices.DeleteFunc(n.withdrawals, func(at core.Time) bool { return now.Sub(at) > withdrawalMemory })
	return maxStaleness << min(len(n.withdrawals), maxWithdrawals)
}

// peerIsFresh reports whether another node has reached the state service lately.
func (n *Node) peerIsFresh() bool {
	now := n.loop.Now()
	for _, h := range n.peers {
		if now.Sub(h.receivedAt) < heartbeatTTL && h.Staleness+now.Sub(h.receivedAt) < maxStaleness {
			return true
		}
	}
	return false
}
