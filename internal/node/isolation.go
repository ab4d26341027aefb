package node

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/peer"
)

// misroutedReport records that a machine of another holder's block has reported to this
// node.
type misroutedReport struct {
	block      int
	term       core.Term // of the block's grant when the report arrived
	receivedAt core.Time // when the machine answered the probe
}

// observedGrant records when this node learned of the grant of a block.
type observedGrant struct {
	term       core.Term
	observedAt core.Time
}

// recoveryTime is how long a new holder has to recover the state of its machines.
const recoveryTime = 5 * time.Second

const (
	// misroutedTTL is how long a misrouted report counts. A worker that cannot reach its
	// holder reports to this node about that often.
	misroutedTTL = 8 * time.Second
	maxProbes    = 100 // in flight
)

// noteMisrouted records a report that belongs to another holder, once the machine has
// answered a probe from this node. A machine that can send but cannot be reached reports to
// each controller in turn: without the probe its block was moved from holder to holder, and
// none held it long enough to be sure that the machine's lease had expired.
func (n *Node) noteMisrouted(rep *api.Report, num int) {
	id := core.MachineID(rep.Machine)
	term := n.mirror.Blocks[num].Record.Term
	n.prober.Probe(rep, func() { n.misrouted[id] = misroutedReport{num, term, n.loop.Now()} })
}

// misroutedHints counts the recent misrouted reports by block and drops the outdated ones.
func (n *Node) misroutedHints() []peer.MisroutedHint {
	now := n.loop.Now()
	count := map[int]int{}
	for id, s := range n.misrouted {
		b, ok := n.mirror.Blocks[s.block]
		if now.Sub(s.receivedAt) > misroutedTTL || !ok || b.Record.Term != s.term {
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

// blockHint returns the latest hint on a block from its holder; ok is false if there is
// no recent one.
func (n *Node) blockHint(num int, holder core.Host) (peer.BlockHint, bool) {
	if h := n.holders[num]; h != nil {
		return h.BlockHint(), true
	}
	p, ok := n.peers[holder]
	if !ok || n.loop.Now().Sub(p.receivedAt) > heartbeatTTL {
		return peer.BlockHint{}, false
	}
	for _, b := range p.Blocks {
		if b.Number == num {
			return b, true
		}
	}
	return peer.BlockHint{}, false
}

// holderReady reports whether a block's holder says that it places tasks under its current
// grant.
func (n *Node) holderReady(num int) bool {
	b, ok := n.mirror.Blocks[num]
	if !ok {
		return false
	}
	hint, ok := n.blockHint(num, b.Record.Holder)
	return ok && hint.Term == b.Record.Term && hint.Placing
}

// looksIsolated reports whether a block's holder appears not to receive reports from most
// of the block's machines, though it may otherwise be healthy. A holder without a recent
// hint counts as isolated if its block has machines. A grant that this node has observed
// for less than recoveryTime does not count.
func (n *Node) looksIsolated(num int) bool {
	b, ok := n.mirror.Blocks[num]
	if !ok {
		return false
	}
	if g := n.observedGrants[num]; g.term != b.Record.Term {
		n.observedGrants[num] = observedGrant{b.Record.Term, n.loop.Now()}
		return false
	} else if n.loop.Now().Sub(g.observedAt) < recoveryTime {
		return false
	}
	hint, ok := n.blockHint(num, b.Record.Holder)
	return ok && hint.SilentMachines > 0 && hint.SilentMachines > hint.LiveMachines || !ok && n.mirror.Inventory(num).Len() > 0
}

// holderSuspected reports whether a block's holder has been silent for two and a half
// heartbeat intervals, or no longer receives reports from some of the block's machines.
func (n *Node) holderSuspected(num int) bool {
	b, ok := n.mirror.Blocks[num]
	if !ok {
		return false
	}
	p, heard := n.peers[b.Record.Holder]
	hint, ok := n.blockHint(num, b.Record.Holder)
	return ok && hint.Term == b.Record.Term && hint.SilentMachines > 0 || heard && n.loop.Now().Sub(p.receivedAt) > 2*heartbeatInterval+heartbeatInterval/2
}

// replacementHolder returns the controller that should replace a block's holder: one to
// which at least half of the machines report that the holder does not hear from, or any
// machine if there is no recent hint from the holder.
func (n *Node) replacementHolder(num int) (core.Host, bool) {
	b, ok := n.mirror.Blocks[num]
	if !ok || !n.looksIsolated(num) {
		return "", false
	}
	minMachines := 1
	if hint, ok := n.blockHint(num, b.Record.Holder); ok {
		minMachines = max(1, (hint.SilentMachines+1)/2)
	}
	best, bestCount := core.Host(""), 0
	consider := func(h core.Host, misrouted []peer.MisroutedHint) {
		for _, s := range misrouted {
			if s.Number == num && s.Machines > bestCount && h != b.Record.Holder {
				best, bestCount = h, s.Machines
			}
		}
	}
	now := n.loop.Now()
	consider(n.cfg.Host, n.misroutedHints())
	for _, host := range core.SortedKeys(n.peers) {
		if p := n.peers[host]; now.Sub(p.receivedAt) < heartbeatTTL && p.Staleness < maxStaleness {
			consider(host, p.Misrouted)
		}
	}
	return best, bestCount >= minMachines
}
