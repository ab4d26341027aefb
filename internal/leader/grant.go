package leader

import (
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// grantBlocks grants blocks without a live holder to live controllers, and rebalances the
// blocks once a controller has been back for a while.
func (l *Leader) grantBlocks(t *api.Txn) {
	now := l.Loop.Now()
	live := l.liveMembers()
	l.trackMembers(live, now)
	if len(live) == 0 {
		return
	}
	// Controllers that recently did not receive the reports of their machines are granted
	// no blocks as long as others can take them.
	if reachable := slices.DeleteFunc(slices.Clone(live), func(m state.Member) bool { return now < l.isolations[m.LeaseID].until }); len(reachable) > 0 {
		live = reachable
	}
	loads := l.loads(live)
	numbers := core.SortedKeys(l.Mirror.Blocks)
	moves := l.moveOrphaned(numbers, loads)
	if len(moves) == 0 && now.Sub(l.lastIsolationCheck) >= isolationCheckInterval {
		l.lastIsolationCheck = now
		moves = l.moveFromIsolated(numbers, live, now)
	}
	if len(moves) == 0 {
		moves = l.moveForBalance(numbers, loads, now)
	}
	if len(moves) == 0 {
		return
	}
	first := l.allocateTerms(t, len(moves))
	for i, b := range moves {
		l.logWhenApplied("block granted", "block", b.Number, "from", l.Mirror.Blocks[b.Number].Record.Holder, "to", b.Holder, "term", first+core.Term(i))
		b.Term = first + core.Term(i)
		l.putBlock(t, b)
	}
}

// trackMembers records since when each controller has been a member.
func (l *Leader) trackMembers(live []state.Member, now core.Time) {
	for _, m := range live {
		if _, ok := l.memberSince[m.Host]; !ok {
			l.memberSince[m.Host] = now
		}
	}
	for host := range l.memberSince {
		if _, ok := l.Mirror.Members[host]; !ok {
			delete(l.memberSince, host)
		}
	}
}

// holderLoads counts the blocks of each live holder.
type holderLoads struct {
	candidates []state.Member    // the controllers that may be granted blocks
	blocks     map[core.Host]int // also of holders that are not candidates
}

// loads counts the blocks whose holders still have the lease of their grant.
func (l *Leader) loads(candidates []state.Member) *holderLoads {
	loads := &holderLoads{candidates, map[core.Host]int{}}
	for _, b := range l.Mirror.Blocks {
		if l.holderHasLease(b.Record) {
			loads.blocks[b.Record.Holder]++
		}
	}
	return loads
}

// leastLoaded returns the candidate with the fewest blocks.
func (h *holderLoads) leastLoaded() state.Member {
	best := h.candidates[0]
	for _, m := range h.candidates {
		if h.blocks[m.Host] < h.blocks[best.Host] {
			best = m
		}
	}
	return best
}

// withHolder returns a copy of a block's record with another holder.
func withHolder(b *state.Block, to state.Member) *state.Block {
	c := b.Clone()
	c.Holder, c.LeaseID = to.Host, to.LeaseID
	return c
}

// moveOrphaned moves the blocks whose holders no longer have the lease of the grant, as
// many as fit into one transaction beside the term counter.
func (l *Leader) moveOrphaned(numbers []int, loads *holderLoads) (moves []*state.Block) {
	for _, n := range numbers {
		b := l.Mirror.Blocks[n].Record
		if l.holderHasLease(b) || len(moves) >= l.Config.StateLimits.TxnOps-2 {
			continue
		}
		to := loads.leastLoaded()
		loads.blocks[to.Host]++
		moves = append(moves, withHolder(b, to))
	}
	return moves
}

// moveForBalance moves one block to a controller that holds at least two fewer than the
// block's holder and has been a member for longer than rebalanceDelay.
func (l *Leader) moveForBalance(numbers []int, loads *holderLoads, now core.Time) []*state.Block {
	to := loads.leastLoaded()
	if now.Sub(l.memberSince[to.Host]) <= rebalanceDelay {
		return nil
	}
	for _, n := range numbers {
		b := l.Mirror.Blocks[n].Record
		// A block whose holder is still recovering is not moved: the next holder started the
		// recovery anew, and the leases of the workers expired.
		if loads.blocks[b.Holder] >= loads.blocks[to.Host]+2 && l.HolderReady(n) {
			return []*state.Block{withHolder(b, to)}
		}
	}
	return nil
}

// isolation is how long a controller counts as isolated from its machines. It is recorded
// per lease, so that a restarted controller does not count as isolated.
type isolation struct {
	until    core.Time
	duration time.Duration // of the latest isolation; it doubles with the next one, within the bounds below
}

// A controller that did not receive reports is not granted blocks again soon: if it still
// does not receive them, that costs the leases of the blocks' workers; if it would, waiting
// costs next to nothing. With 30 s, partitions of 50 s cost the leases a second time.
const (
	minIsolationTime = 60 * time.Second
	maxIsolationTime = 4 * time.Minute
)

// moveFromIsolated moves a block away from a holder that reaches the state service but does
// not receive reports from the block's machines, to the controller to which they report.
func (l *Leader) moveFromIsolated(numbers []int, live []state.Member, now core.Time) []*state.Block {
	for _, n := range numbers {
		host, ok := l.ReplacementHolder(n)
		if !ok {
			continue
		}
		for _, m := range live {
			if m.Host != host {
				continue
			}
			b := l.Mirror.Blocks[n].Record
			d := l.isolations[b.LeaseID]
			if now >= d.until {
				d.duration = min(max(2*d.duration, minIsolationTime), maxIsolationTime)
			}
			d.until = now.Add(d.duration)
			l.isolations[b.LeaseID] = d
			l.logWhenApplied("block moved from a holder that does not receive reports from its machines", "block", n, "holder", b.Holder, "heard_by", host)
			return []*state.Block{withHolder(b, m)}
		}
	}
	return nil
}
