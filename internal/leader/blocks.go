package leader

import (
	"slices"
	"sort"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// found creates the blocks, gives teams that are new to a block, and writes down what
// each may use.
func (l *Leader) found(t *api.Txn) {
	drafts := &blockDrafts{mirror: l.Mirror, changed: map[int]*state.Block{}}
	if len(l.Mirror.Blocks) == 0 && !l.createBlocks(t, drafts) {
		return
	}
	teams := slices.Clone(l.Config.Teams)
	sort.SliceStable(teams, func(a, b int) bool { return teams[a].CPUs > teams[b].CPUs })
	numbers := drafts.numbers()
	drafts.placeTeams(numbers, teams)
	for _, n := range numbers {
		drafts.writeLimits(n, teams)
	}
	for _, n := range numbers {
		if block := drafts.changed[n]; block != nil {
			l.setBlock(t, block)
		}
	}
}

// createBlocks drafts the first blocks, spread over the live controllers; false if there
// are none.
func (l *Leader) createBlocks(t *api.Txn, drafts *blockDrafts) bool {
	live := l.live()
	if len(live) == 0 {
		return false
	}
	n := min(l.Config.Operator.Blocks, l.Config.StateLimits.TxnOps-4, len(l.Config.Teams))
	first := l.allocateTerms(t, n)
	for i := range n {
		m := live[i%len(live)]
		drafts.changed[i] = &state.Block{Number: i, Holder: m.Host, LeaseID: m.LeaseID, Term: first + core.Term(i)}
	}
	return true
}

// blockDrafts are the records of blocks as they are to be written.
type blockDrafts struct {
	mirror  *state.Mirror
	changed map[int]*state.Block
}

// numbers lists all blocks, new ones included.
func (d *blockDrafts) numbers() []int {
	numbers := core.SortedKeys(d.mirror.Blocks)
	for n := range d.changed {
		numbers = append(numbers, n)
	}
	sort.Ints(numbers)
	return numbers
}

// record is a block as it stands or is to be written; it must not be changed.
func (d *blockDrafts) record(n int) *state.Block {
	if block := d.changed[n]; block != nil {
		return block
	}
	return d.mirror.Blocks[n].Record
}

// draft is a block's record that may be changed.
func (d *blockDrafts) draft(n int) *state.Block {
	if d.changed[n] == nil {
		d.changed[n] = d.mirror.Blocks[n].Record.Clone()
	}
	return d.changed[n]
}

// placeTeams gives each team that is in no block to the one that is guaranteed least.
func (d *blockDrafts) placeTeams(numbers []int, teams []config.Team) {
	guaranteed := map[int]float64{}
	placed := map[string]bool{}
	for _, n := range numbers {
		for _, name := range d.record(n).Teams {
			placed[name] = true
			for _, team := range teams {
				if team.Name == name {
					guaranteed[n] += team.CPUs
				}
			}
		}
	}
	for _, team := range teams {
		if placed[team.Name] || len(numbers) == 0 {
			continue
		}
		least := numbers[0]
		for _, n := range numbers {
			if guaranteed[n] < guaranteed[least] {
				least = n
			}
		}
		block := d.draft(least)
		block.Teams = append(block.Teams, team.Name)
		guaranteed[least] += team.CPUs
	}
}

// writeLimits writes down what the teams of a block may use, where that has changed.
func (d *blockDrafts) writeLimits(n int, teams []config.Team) {
	for _, team := range teams {
		limit := state.Limit{CPUs: team.CPUsMax, GPUs: team.GPUsMax}
		block := d.record(n)
		if !slices.Contains(block.Teams, team.Name) || block.Limits[team.Name] == limit {
			continue
		}
		block = d.draft(n)
		if block.Limits == nil {
			block.Limits = map[string]state.Limit{}
		}
		block.Limits[team.Name] = limit
	}
}
