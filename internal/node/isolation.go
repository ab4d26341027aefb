package node

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/peer"
)

// misroutedReport is a report from a machine of another holder's block.
type misroutedReport struct {
	block   int
	granted core.Term
	at      core.Time
}

// grantSeen is when this node learnt of the grant of a block.
type grantSeen struct {
	granted core.Term
	at      core.Time
}

// settleTime is how long a new holder has to find its machines.
const settleTime = 5 * time.Second

const (
	// misroutedTime is how long a misrouted report counts: a worker that cannot reach
	// its holder comes by about that often.
	misroutedTime = 8 * time.Second
	maxProbes     = 100
)

// noteMisrouted remembers a report that belongs to another holder, once the machine
// has answered a question of ours. One that nothing reaches sends its reports to
// each controller in turn: its block was moved from holder to holder, and none
// held it for long enough to be sure that the machine's lease had run out.
func (n *Node) noteMisrouted(rep *api.Report, num int) {
	id := core.MachineID(rep.Machine)
	granted := n.mirror.Blocks[num].Record.Term
	n.prober.Probe(rep, func() { n.misrouted[id] = misroutedReport{num, granted, n.loop.Now()} })
}

func (n *Node) misroutedHints() []peer.MisroutedHint {
	now := n.loop.Now()
	count := map[int]int{}
	for id, s := range n.misrouted {
		b, ok := n.mirror.Blocks[s.block]
		if now.Sub(s.at) > misroutedTime || !ok || b.Record.Term != s.granted {
			delete(n.misrouted, id)
			continue
		}
		count[s.block]++
	}
	var out []peer.MisroutedHint
	for _, num := range core.SortedKeys(count) {
		out = append(out, peer.MisroutedHint{Number: num, Machines: count[num]})
	}
	return out
}

// hint returns what a block's holder last told of it; ok is false if it has not
// told anything lately.
func (n *Node) hint(num int, holder core.Host) (peer.BlockHint, bool) {
	if h := n.holders[num]; h != nil {
		return h.BlockHint(), true
	}
	p, ok := n.peers[holder]
	if !ok || n.loop.Now().Sub(p.at) > beatValid {
		return peer.BlockHint{}, false
	}
	for _, b := range p.Blocks {
		if b.Number == num {
			return b, true
		}
	}
	return peer.BlockHint{}, false
}

// settled tells whether a block's holder says that it places.
func (n *Node) settled(num int) bool {
	b, ok := n.mirror.Blocks[num]
	if !ok {
		return false
	}
	hint, ok := n.hint(num, b.Record.Holder)
	return ok && hint.Term == b.Record.Term && hint.Placing
}

// looksIsolated tells whether a block's holder seems not to hear most of the
// block's machines, though it may be well otherwise.
func (n *Node) looksIsolated(num int) bool {
	b, ok := n.mirror.Blocks[num]
	if !ok {
		return false
	}
	if g := n.grants[num]; g.granted != b.Record.Term {
		n.grants[num] = grantSeen{b.Record.Term, n.loop.Now()}
		return false
	} else if n.loop.Now().Sub(g.at) < settleTime {
		return false
	}
	hint, ok := n.hint(num, b.Record.Holder)
	return ok && hint.SilentMachines > 0 && hint.SilentMachines > hint.LiveMachines || !ok && n.mirror.Inventory(num).Len() > 0
}

// doubtful tells whether a block's holder has told nothing for a moment, or no longer
// hears some of the block's machines.
func (n *Node) doubtful(num int) bool {
	b, ok := n.mirror.Blocks[num]
	if !ok {
		return false
	}
	p, heard := n.peers[b.Record.Holder]
	hint, ok := n.hint(num, b.Record.Holder)
	return ok && hint.Term == b.Record.Term && hint.SilentMachines > 0 || heard && n.loop.Now().Sub(p.at) > 2*beatEvery+beatEvery/2
}

// isolated tells which controller should hold a block instead of its holder: one
// to which at least half of the machines come that the holder does not hear.
func (n *Node) isolated(num int) (core.Host, bool) {
	b, ok := n.mirror.Blocks[num]
	if !ok || !n.looksIsolated(num) {
		return "", false
	}
	need := 1
	if hint, ok := n.hint(num, b.Record.Holder); ok {
		need = max(1, (hint.SilentMachines+1)/2)
	}
	best, most := core.Host(""), 0
	look := func(h core.Host, misrouted []peer.MisroutedHint) {
		for _, s := range misrouted {
			if s.Number == num && s.Machines > most && h != b.Record.Holder {
				best, most = h, s.Machines
			}
		}
	}
	now := n.loop.Now()
	look(n.cfg.Host, n.misroutedHints())
	for _, host := range core.SortedKeys(n.peers) {
		if p := n.peers[host]; now.Sub(p.at) < beatValid && p.Staleness < contactLost {
			look(host, p.Misrouted)
		}
	}
	return best, most >= need
}
