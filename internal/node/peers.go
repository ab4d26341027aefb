package node

import (
	"cmp"
	"slices"
	"time"

	"lichenstair/internal/core"
	"lichenstair/internal/peer"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTTL is how long a heartbeat of a peer counts as recent.
	heartbeatTTL = 2500 * time.Millisecond
	// maxStaleness is the staleness from which a node is taken not to reach the state
	// service.
	maxStaleness = 4 * time.Second
)

// peerHeartbeat is the latest heartbeat of a peer.
type peerHeartbeat struct {
	peer.Heartbeat
	receivedAt core.Time
}

// sendHeartbeat sends this node's status to the other controllers, periodically.
func (n *Node) sendHeartbeat() {
	n.loop.After(heartbeatInterval, n.sendHeartbeat)
	n.shareWriteRate()
	b := peer.Heartbeat{Host: n.cfg.Host, LeaseID: n.leaseID, Staleness: n.mirror.Staleness(), WriteRate: uint64(10 * n.state.WriteRate())}
	for _, num := range core.SortedKeys(n.holders) {
		b.Blocks = append(b.Blocks, n.holders[num].BlockHint())
		b.Running = append(b.Running, n.holders[num].RunningHints()...)
		b.Failing = append(b.Failing, n.holders[num].FailingJobs()...)
	}
	// If there are too many for a frame, those with the most tasks are kept.
	slices.SortStableFunc(b.Running, func(x, y peer.RunningHint) int { return cmp.Compare(y.Tasks, x.Tasks) })
	b.Misrouted = n.misroutedHints()
	n.broadcast(peer.EncodeHeartbeat(b))
	n.repeatAnnouncements()
}

// shareWriteRate lets this node use the part of the write rate that the others do not need.
func (n *Node) shareWriteRate() {
	var peerRates []float64
	for _, p := range n.cfg.Peers {
		rate := -1.0 // unknown
		if h, ok := n.peers[p.Host]; ok && n.loop.Now().Sub(h.receivedAt) < heartbeatTTL {
			rate = float64(h.WriteRate) / 10
		}
		peerRates = append(peerRates, rate)
	}
	n.state.RedistributeWrites(peerRates)
}

// HandleFrame handles a frame from another controller.
func (n *Node) HandleFrame(frame []byte) {
	if ids, ok := peer.DecodeCancellations(frame); ok {
		n.handleAnnouncement(ids)
		return
	}
	if acknowledgements, ok := peer.DecodeAcknowledgements(frame); ok {
		n.handleAcknowledgements(acknowledgements)
		return
	}
	b, ok, err := peer.DecodeHeartbeat(frame)
	if err != nil || !ok {
		return
	}
	for _, p := range n.cfg.Peers {
		if p.Host == b.Host {
			n.peers[b.Host] = peerHeartbeat{b, n.loop.Now()}
		}
	}
}

// failingJobs returns the jobs that their holders try one task at a time.
func (n *Node) failingJobs() map[core.JobID]bool {
	out := map[core.JobID]bool{}
	for _, h := range n.holders {
		for _, id := range h.FailingJobs() {
			out[id] = true
		}
	}
	for _, p := range n.peers {
		if n.loop.Now().Sub(p.receivedAt) < heartbeatTTL {
			for _, id := range p.Failing {
				out[id] = true
			}
		}
	}
	return out
}

// idleMachines returns the machines on which their blocks' holders have booked nothing.
func (n *Node) idleMachines() map[core.MachineID]bool {
	out := map[core.MachineID]bool{}
	for _, num := range core.SortedKeys(n.mirror.Blocks) {
		if hint, ok := n.blockHint(num, n.mirror.Blocks[num].Record.Holder); ok {
			for _, id := range hint.IdleMachines {
				out[id] = true
			}
		}
	}
	return out
}

// runningTasks counts the running tasks by job, as far as they are known here.
func (n *Node) runningTasks() map[core.JobID]int {
	out := map[core.JobID]int{}
	add := func(hints []peer.RunningHint) {
		for _, r := range hints {
			out[r.Job] += r.Tasks
		}
	}
	for _, h := range n.holders {
		add(h.RunningHints())
	}
	for _, p := range n.peers {
		if n.loop.Now().Sub(p.receivedAt) <= heartbeatTTL {
			add(p.Running)
		}
	}
	return out
}

// runningCount counts the running tasks of a job, as far as they are known here.
func (n *Node) runningCount(id core.JobID) (sum int) {
	for _, h := range n.holders {
		sum += h.RunningCount(id)
	}
	now := n.loop.Now()
	for _, h := range n.peers {
		if now.Sub(h.receivedAt) > heartbeatTTL {
			continue
		}
		for _, r := range h.Running {
			if r.Job == id {
				sum += r.Tasks
			}
		}
	}
	return sum
}
