package node

import (
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
	peer.Beat
	at core.Time
}

// beat tells the other controllers how this one stands.
func (n *Node) beat() {
	if n.stopped {
		return
	}
	n.loop.After(beatEvery, n.beat)
	b := peer.Beat{Host: n.cfg.Host, Tenure: n.tenure, Contact: n.contact()}
	for _, num := range core.Keys(n.holders) {
		hint, running := n.holders[num].Hint()
		b.Blocks = append(b.Blocks, hint)
		b.Running = append(b.Running, running...)
	}
	n.broadcast(peer.Encode(b))
}

// contact is how long ago the mirror was proven up to date.
func (n *Node) contact() time.Duration {
	at, ok := n.mirror.Contact()
	if !ok {
		return noContact
	}
	return n.loop.Now().Sub(at)
}

// Peer takes in a frame from another controller.
func (n *Node) Peer(frame []byte) {
	b, ok, err := peer.Decode(frame)
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
		if now.Sub(h.at) < beatValid && h.Contact+now.Sub(h.at) < contactLost {
			return true
		}
	}
	return false
}

// running counts the tasks of a job that run, as far as is known here.
func (n *Node) running(id core.JobID) (sum int) {
	for _, h := range n.holders {
		sum += h.Running(id)
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
