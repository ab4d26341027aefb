package leader

import (
	"slices"
	"sort"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// setUpBlocks creates the blocks, assigns teams without a block to one, and records the
// quotas of the teams.
func (l *Leader) setUpBlocks(t *api.Txn) {
	drafts := &blockDrafts{mirror: l.Mirror, changed: map[int]*state.Block{}}
	if len(l.Mirror.Blocks) == 0 && !l.createBlocks(t, drafts) {
		return
	}
	teams := slices.Clone(l.Config.Teams)
	sort.SliceStable(teams, func(a, b int) bool { return teams[a].CPUs > teams[b].CPUs })
	numbers := drafts.numbers()
	drafts.placeTeams(numbers, teams)
	for _, n := range numbers {
		drafts.draftLimits(n, teams)
	}
	for _, n := range numbers {
		if block := drafts.changed[n]; block != nil {
			l.putBlock(t, block)
		}
	}
}

// createBlocks drafts the first blocks and distributes them over the live controllers. There
// are as many as configured, but at most one per team and as many as fit into a transaction.
// It returns false if there are no live controllers.
func (l *Leader) createBlocks(t *api.Txn, drafts *blockDrafts) bool {
	live := l.liveMembers()
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

// blockDrafts holds the records of blocks that are to be written.
type blockDrafts struct {
	mirror  *state.Mirror
	changed map[int]*state.Block // by block number
}

// numbers returns the numbers of all blocks, including new ones.
func (d *blockDrafts) numbers() []int {
	numbers := core.SortedKeys(d.mirror.Blocks)
	for n := range d.changed {
		numbers = append(numbers, n)
	}
	sort.Ints(numbers)
	return numbers
}

// record returns the current or drafted record of a block, which must not be modified.
func (d *blockDrafts) record(n int) *state.Block {
	if block := d.changed[n]; block != nil {
		return block
	}
	return d.mirror.Blocks[n].Record
}

// draft returns a record of a block that may be modified.
func (d *blockDrafts) draft(n int) *state.Block {
	if d.changed[n] == nil {
		d.changed[n] = d.mirror.Blocks[n].Record.Clone()
	}
	return d.changed[n]
}

// placeTeams assigns each team without a block to the block with the fewest guaranteed
// CPUs.
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

// draftLimits drafts the recorded quotas of the teams of a block where they have changed.
func (d *blockDrafts) draftLimits(n int, teams []config.Team) {
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
