package leader

import (
	"slices"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// found creates the blocks, gives teams that are new to a block, and writes down what
// each may use.
func (l *Leader) found(t *api.Txn) {
	teams := append([]config.Team{}, l.Config.Teams...)
	sort.SliceStable(teams, func(a, b int) bool { return teams[a].CPUs > teams[b].CPUs })
	weight := map[int]float64{}
	known := map[string]bool{}
	out := map[int]*state.Block{}
	if len(l.Mirror.Blocks) == 0 {
		n := min(l.Config.Operator.Blocks, l.Config.StateLim.TxnOps-4, len(teams))
		live := l.live()
		if len(live) == 0 {
			return
		}
		first := l.allocateTerms(t, n)
		for i := range n {
			m := live[i%len(live)]
			out[i] = &state.Block{Number: i, Holder: m.Host, Tenure: m.Tenure, Term: first + core.Term(i)}
		}
	}
	numbers := []int{}
	for n, b := range l.Mirror.Blocks {
		numbers = append(numbers, n)
		for _, name := range b.Record.Teams {
			known[name] = true
			for _, team := range teams {
				if team.Name == name {
					weight[n] += team.CPUs
				}
			}
		}
	}
	for n := range out {
		numbers = append(numbers, n)
	}
	sort.Ints(numbers)
	draft := func(n int) *state.Block {
		if out[n] == nil {
			out[n] = l.Mirror.Blocks[n].Record.Clone()
		}
		return out[n]
	}
	for _, team := range teams {
		if known[team.Name] || len(numbers) == 0 {
			continue
		}
		least := numbers[0]
		for _, n := range numbers {
			if weight[n] < weight[least] {
				least = n
			}
		}
		draft(least).Teams = append(draft(least).Teams, team.Name)
		weight[least] += team.CPUs
	}
	for _, n := range numbers {
		rec := out[n]
		if rec == nil {
			rec = l.Mirror.Blocks[n].Record
		}
		for _, team := range teams {
			limit := state.Limit{CPUs: team.CPUsMax, GPUs: team.GPUsMax}
			if slices.Contains(rec.Teams, team.Name) && rec.Limits[team.Name] != limit {
				rec = draft(n)
				if rec.Limits == nil {
					rec.Limits = map[string]state.Limit{}
				}
				rec.Limits[team.Name] = limit
			}
		}
	}
	for _, n := range numbers {
		if out[n] != nil {
			l.setBlock(t, out[n])
		}
	}
}

// grant gives blocks without a live holder to a live controller, and spreads
// them again once a controller has been back for a moment.
func (l *Leader) grant(t *api.Txn) {
	now := l.Loop.Now()
	live := l.live()
	for _, m := range live {
		if _, ok := l.stable[m.Host]; !ok {
			l.stable[m.Host] = now
		}
	}
	for h := range l.stable {
		if _, ok := l.Mirror.Members[h]; !ok {
			delete(l.stable, h)
		}
	}
	if len(live) == 0 {
		return
	}
	count := map[core.Host]int{}
	var numbers []int
	for n, b := range l.Mirror.Blocks {
		numbers = append(numbers, n)
		if l.holds(b.Record) {
			count[b.Record.Holder]++
		}
	}
	sort.Ints(numbers)
	fewest := func() state.Member {
		best := live[0]
		for _, m := range live {
			if count[m.Host] < count[best.Host] {
				best = m
			}
		}
		return best
	}
	// Controllers that lately did not hear their machines get no blocks as long
	// as others can take them.
	if hearing := slices.DeleteFunc(slices.Clone(live), func(m state.Member) bool { return now < l.isolations[m.Tenure].until }); len(hearing) > 0 {
		live = hearing
	}
	var moves []*state.Block
	for _, n := range numbers {
		b := l.Mirror.Blocks[n].Record
		if l.holds(b) || len(moves) >= (l.Config.StateLim.TxnOps-2) {
			continue
		}
		to := fewest()
		c := b.Clone()
		c.Holder, c.Tenure = to.Host, to.Tenure
		count[to.Host]++
		moves = append(moves, c)
	}
	if len(moves) == 0 && now.Sub(l.isolationAt) >= isolationPause {
		l.isolationAt = now
		moves = l.moveFromIsolated(numbers, live, now)
	}
	if len(moves) == 0 {
		to := fewest()
		for _, n := range numbers {
			b := l.Mirror.Blocks[n].Record
			// A block that is still looking for its machines is left alone: moved on
			// in the midst of that, it began anew, and its workers' leases ran out.
			if count[b.Holder] >= count[to.Host]+2 && now.Sub(l.stable[to.Host]) > rebalance && l.Settled(n) {
				c := b.Clone()
				c.Holder, c.Tenure = to.Host, to.Tenure
				moves = append(moves, c)
				break
			}
		}
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
		host, ok := l.Isolated(n)
		if !ok {
			continue
		}
		for _, m := range live {
			if m.Host != host {
				continue
			}
			b := l.Mirror.Blocks[n].Record
			d := l.isolations[b.Tenure]
			if now >= d.until {
				d.last = min(max(2*d.last, isolationTime), maxIsolationTime)
			}
			d.until = now.Add(d.last)
			l.isolations[b.Tenure] = d
			l.note("holder does not hear its machines", "block", n, "holder", b.Holder, "heard_by", host)
			c := b.Clone()
			c.Holder, c.Tenure = m.Host, m.Tenure
			return []*state.Block{c}
		}
	}
	return nil
}
