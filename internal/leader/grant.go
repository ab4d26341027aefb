package leader

import (
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// grant gives blocks without a live holder to a live controller, and spreads
// them again once a controller has been back for a moment.
func (l *Leader) grant(t *api.Txn) {
	now := l.Loop.Now()
	live := l.live()
	l.noteStable(live, now)
	if len(live) == 0 {
		return
	}
	// Controllers that lately did not hear their machines get no blocks as long
	// as others can take them.
	if hearing := slices.DeleteFunc(slices.Clone(live), func(m state.Member) bool { return now < l.isolations[m.LeaseID].until }); len(hearing) > 0 {
		live = hearing
	}
	loads := l.loads(live)
	numbers := core.SortedKeys(l.Mirror.Blocks)
	moves := l.moveOrphaned(numbers, loads)
	if len(moves) == 0 && now.Sub(l.isolationAt) >= isolationPause {
		l.isolationAt = now
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
		l.note("granting block", "block", b.Number, "from", l.Mirror.Blocks[b.Number].Record.Holder, "to", b.Holder, "term", first+core.Term(i))
		b.Term = first + core.Term(i)
		l.setBlock(t, b)
	}
}

// noteStable follows since when each controller has been a member.
func (l *Leader) noteStable(live []state.Member, now core.Time) {
	for _, m := range live {
		if _, ok := l.stable[m.Host]; !ok {
			l.stable[m.Host] = now
		}
	}
	for host := range l.stable {
		if _, ok := l.Mirror.Members[host]; !ok {
			delete(l.stable, host)
		}
	}
}

// holderLoads counts the blocks of each controller that may get one.
type holderLoads struct {
	candidates []state.Member
	blocks     map[core.Host]int
}

func (l *Leader) loads(candidates []state.Member) *holderLoads {
	loads := &holderLoads{candidates, map[core.Host]int{}}
	for _, b := range l.Mirror.Blocks {
		if l.holds(b.Record) {
			loads.blocks[b.Record.Holder]++
		}
	}
	return loads
}

// fewest is the controller with the fewest blocks.
func (h *holderLoads) fewest() state.Member {
	best := h.candidates[0]
	for _, m := range h.candidates {
		if h.blocks[m.Host] < h.blocks[best.Host] {
			best = m
		}
	}
	return best
}

// movedTo is a block's record with another holder.
func movedTo(b *state.Block, to state.Member) *state.Block {
	c := b.Clone()
	c.Holder, c.LeaseID = to.Host, to.LeaseID
	return c
}

// moveOrphaned moves the blocks whose holders have no tenure any more, as many as one
// transaction can.
func (l *Leader) moveOrphaned(numbers []int, loads *holderLoads) (moves []*state.Block) {
	for _, n := range numbers {
		b := l.Mirror.Blocks[n].Record
		if l.holds(b) || len(moves) >= l.Config.StateLimits.TxnOps-2 {
			continue
		}
		to := loads.fewest()
		loads.blocks[to.Host]++
		moves = append(moves, movedTo(b, to))
	}
	return moves
}

// moveForBalance moves one block to a controller that has two fewer than its holder.
func (l *Leader) moveForBalance(numbers []int, loads *holderLoads, now core.Time) []*state.Block {
	to := loads.fewest()
	if now.Sub(l.stable[to.Host]) <= rebalance {
		return nil
	}
	for _, n := range numbers {
		b := l.Mirror.Blocks[n].Record
		// A block that is still looking for its machines is left alone: moved on
		// in the midst of that, it began anew, and its workers' leases ran out.
		if loads.blocks[b.Holder] >= loads.blocks[to.Host]+2 && l.HolderReady(n) {
			return []*state.Block{movedTo(b, to)}
		}
	}
	return nil
}

// isolation is how long a controller counts as not hearing machines. It is kept by
// tenure: a restarted controller starts afresh.
type isolation struct {
	until core.Time
	last  time.Duration
}

// Blocks do not go back soon to one that did not hear: it costs their workers' leases if
// it still does not, and next to nothing if it would. After 30 s, cuts of 50 s cost a
// second time.
const (
	isolationTime    = 60 * time.Second
	maxIsolationTime = 4 * time.Minute
)

// moveFromIsolated moves a block away from a holder that is well with the state
// service but does not hear the block's machines, to one that they come to.
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
				d.last = min(max(2*d.last, isolationTime), maxIsolationTime)
			}
			d.until = now.Add(d.last)
			l.isolations[b.LeaseID] = d
			l.note("holder does not hear its machines", "block", n, "holder", b.Holder, "heard_by", host)
			return []*state.Block{movedTo(b, m)}
		}
	}
	return nil
}
