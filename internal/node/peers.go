package node

import (
	"cmp"
	"slices"
	"time"

	"lichenstair/internal/core"
	"lichenstair/internal/peer"
)

const (
	beatEvery   = 500 * time.Millisecond
	beatValid   = 2500 * time.Millisecond
	contactLost = 4 * time.Second
	noContact   = time.Hour
)

// heard is the last beat of a peer.
type heard struct {
	peer.Heartbeat
	at core.Time
}

// beat tells the other controllers how this one stands.
func (n *Node) beat() {
	n.loop.After(beatEvery, n.beat)
	n.shareChanges()
	b := peer.Heartbeat{Host: n.cfg.Host, LeaseID: n.tenure, Staleness: n.contact(), WriteRate: uint64(10 * n.state.WriteRate())}
	for _, num := range core.SortedKeys(n.holders) {
		b.Blocks = append(b.Blocks, n.holders[num].BlockHint())
		b.Running = append(b.Running, n.holders[num].RunningHints()...)
		b.Failing = append(b.Failing, n.holders[num].FailingJobs()...)
	}
	// If they are too many for a frame, those with the most tasks matter most.
	slices.SortStableFunc(b.Running, func(x, y peer.RunningHint) int { return cmp.Compare(y.Tasks, x.Tasks) })
	b.Misrouted = n.misroutedHints()
	n.broadcast(peer.EncodeHeartbeat(b))
	n.repeatCancellation()
}

// shareChanges takes up what the others leave of the rate of changes.
func (n *Node) shareChanges() {
	var others []float64
	for _, p := range n.cfg.Peers {
		used := -1.0
		if h, ok := n.peers[p.Host]; ok && n.loop.Now().Sub(h.at) < beatValid {
			used = float64(h.WriteRate) / 10
		}
		others = append(others, used)
	}
	n.state.RedistributeWrites(others)
}

// contact is how long ago the mirror was proven up to date.
func (n *Node) contact() time.Duration {
	at, ok := n.mirror.FreshAsOf()
	if !ok {
		return noContact
	}
	return n.loop.Now().Sub(at)
}

// HandleFrame takes in a frame from another controller.
func (n *Node) HandleFrame(frame []byte) {
	if ids, ok := peer.DecodeCancellations(frame); ok {
		for _, id := range ids {
			for _, h := range n.holders {
				h.ApplyCancellation(id)
			}
		}
		return
	}
	b, ok, err := peer.DecodeHeartbeat(frame)
	if err != nil || !ok {
		return
	}
	for _, p := range n.cfg.Peers {
		if p.Host == b.Host {
			n.peers[b.Host] = heard{b, n.loop.Now()}
		}
	}
}

// cutOff tells whether this node cannot reach the state service while another
// one can. Users are better served there; if nobody can, nobody steps aside.
func (n *Node) cutOff() bool {
	if n.contact() < contactLost {
		return false
	}
	now := n.loop.Now()
	for _, h := range n.peers {
		if now.Sub(h.at) < beatValid && h.Staleness+now.Sub(h.at) < contactLost {
			return true
		}
	}
	return false
}

// failing lists the jobs that their holders try one task at a time.
func (n *Node) failing() map[core.JobID]bool {
	out := map[core.JobID]bool{}
	for _, h := range n.holders {
		for _, id := range h.FailingJobs() {
			out[id] = true
		}
	}
	for _, p := range n.peers {
		if n.loop.Now().Sub(p.at) < beatValid {
			for _, id := range p.Failing {
				out[id] = true
			}
		}
	}
	return out
}

// idle lists machines of blocks on which their holders have nothing.
func (n *Node) idle() map[core.MachineID]bool {
	out := map[core.MachineID]bool{}
	for _, num := range core.SortedKeys(n.mirror.Blocks) {
		if hint, ok := n.hint(num, n.mirror.Blocks[num].Record.Holder); ok {
			for _, id := range hint.IdleMachines {
				out[id] = true
			}
		}
	}
	return out
}

// allRunning counts the tasks that run, by job, as far as is known here.
func (n *Node) allRunning() map[core.JobID]int {
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
		if n.loop.Now().Sub(p.at) <= beatValid {
			add(p.Running)
		}
	}
	return out
}

// running counts the tasks of a job that run, as far as is known here.
func (n *Node) running(id core.JobID) (sum int) {
	for _, h := range n.holders {
		sum += h.RunningCount(id)
	}
	now := n.loop.Now()
	for _, h := range n.peers {
		if now.Sub(h.at) > beatValid {
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
