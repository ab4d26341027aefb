package state

import (
	"slices"
	"strconv"
	"strings"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// ChangeSet says which kinds of record a batch of changes concerned.
type ChangeSet struct {
	Leader, Members, Blocks, CompletionBatches bool
	Inventories                                []int
	Jobs                                       []core.JobID
}

func (t *ChangeSet) touch(inventory int) {
	if !slices.Contains(t.Inventories, inventory) {
		t.Inventories = append(t.Inventories, inventory)
	}
}

func (m *Mirror) take(events []api.Event) {
	var t ChangeSet
	for _, e := range events {
		key := e.Set
		if key == "" {
			key = e.Remove
		}
		if core.Revision(e.Version) <= m.known(key) {
			continue
		}
		m.versions[key] = core.Revision(e.Version)
		m.apply(key, e, &t)
	}
	if len(events) > 0 && m.OnChange != nil && m.complete {
		m.OnChange(t)
	}
}

// known returns the version up to which changes of a key have been taken in.
func (m *Mirror) known(key string) core.Revision {
	if id, ok := strings.CutPrefix(key, jobs); ok {
		if j := m.Jobs[core.JobID(id)]; j != nil {
			return j.Version
		}
	}
	return m.versions[key]
}

// apply takes in one change of a key.
func (m *Mirror) apply(key string, e api.Event, t *ChangeSet) {
	switch {
	case key == KeyLeader:
		t.Leader = true
		m.Leader = decoded(m, key, e, func(r *Leader) *Leader { return r })
	case key == KeyTerm:
		if term := decoded(m, key, e, func(r *TermCounter) TermCounter { return *r }); term.Version > 0 {
			m.Term = term
		}
	case key == KeyTypes:
		m.applyTypes(key, e)
	case key == keyArrivals:
		if arrivals := decoded(m, key, e, func(r *AdditionCounter) AdditionCounter { return *r }); arrivals.Version > 0 {
			m.arrivals = arrivals
		}
	case strings.HasPrefix(key, members):
		t.Members = true
		m.applyMember(key, e)
	case strings.HasPrefix(key, blocks):
		t.Blocks = true
		m.applyBlock(key, e)
	case strings.HasPrefix(key, machines):
		m.applyPart(key, e, t)
	case strings.HasPrefix(key, jobs):
		m.applyJob(key, e, t)
	case strings.HasPrefix(key, rounds):
		t.CompletionBatches = true
		m.applyRound(key, e, t)
	}
}

// decode reads the record of a change; false if the key was removed or the record cannot
// be read.
func (m *Mirror) decode(key string, e api.Event, into any) bool {
	if e.Remove != "" {
		return false
	}
	if err := api.Decode(e.Value, into); err != nil {
		m.log.Error("unreadable record", "key", key, "error", err)
		return false
	}
	return true
}

// decoded is the record of a change with its version, or nothing of either.
func decoded[R, T any](m *Mirror, key string, e api.Event, as func(*R) T) (out Versioned[T]) {
	var record R
	if m.decode(key, e, &record) {
		out = Versioned[T]{as(&record), core.Revision(e.Version)}
	}
	return out
}

func (m *Mirror) applyTypes(key string, e api.Event) {
	var list []api.MachineType
	if !m.decode(key, e, &list) {
		return
	}
	m.Types = Versioned[map[string]api.MachineType]{Record: map[string]api.MachineType{}, Version: core.Revision(e.Version)}
	for _, t := range list {
		m.Types.Record[t.Name] = t
	}
}

func (m *Mirror) applyMember(key string, e api.Event) {
	host := core.Host(strings.TrimPrefix(key, members))
	delete(m.Members, host)
	if member := decoded(m, key, e, func(r *Member) Member { return *r }); member.Version > 0 {
		m.Members[host] = member
	}
}

func (m *Mirror) applyBlock(key string, e api.Event) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, blocks))
	if err != nil {
		return
	}
	if block := decoded(m, key, e, func(r *Block) *Block { return r }); block.Version > 0 {
		m.Blocks[number] = block
	}
}

func (m *Mirror) applyPart(key string, e api.Event, t *ChangeSet) {
	number, part, ok := parsePart(key)
	var record InventoryPart
	if ok && m.decode(key, e, &record) {
		t.touch(number)
		m.Inventory(number).put(part, &record, core.Revision(e.Version))
	}
}

// applyJob takes in the record of a job. One that is over stays so: no change can make it
// unfinished again.
func (m *Mirror) applyJob(key string, e api.Event, t *ChangeSet) {
	id := core.JobID(strings.TrimPrefix(key, jobs))
	var record Job
	if !m.decode(key, e, &record) {
		return
	}
	t.job(id)
	entry := m.Jobs[id]
	known := entry != nil
	if !known {
		entry = m.newEntry(id)
	}
	if entry.Job.Finished() && entry.Tasks > 0 && !record.Finished() {
		m.log.Error("a job that was over is called unfinished", "job", id)
		return
	}
	entry.Job, entry.Version = record, core.Revision(e.Version)
	switch {
	case record.Finished():
		entry.Spec, entry.Done, entry.needs = nil, core.IndexSet{}, nil
		m.settled(id, entry, t)
	case entry.withdrawn:
		entry.Spec = nil
	default:
		m.link(id, entry, t)
		if !known {
			// Keys are loaded in their order, not in that of the jobs.
			for _, dependent := range m.dependents[id] {
				m.inherit(dependent, t)
			}
		}
	}
	delete(m.versions, key) // the entry keeps its version itself
}

// newEntry makes the entry of a job, with the tasks that rounds already tell to be done.
func (m *Mirror) newEntry(id core.JobID) *JobEntry {
	entry := &JobEntry{}
	m.Jobs[id] = entry
	for _, ofBlock := range m.CompletionBatches {
		for _, round := range ofBlock {
			entry.Done.Union(round.Done[id])
		}
	}
	return entry
}

func (m *Mirror) applyRound(key string, e api.Event, t *ChangeSet) {
	number := blockOfRound(key)
	if e.Remove != "" {
		delete(m.CompletionBatches[number], key)
		delete(m.versions, key)
		return
	}
	var record CompletionBatch
	if !m.decode(key, e, &record) {
		return
	}
	if m.CompletionBatches[number] == nil {
		m.CompletionBatches[number] = map[string]*CompletionBatch{}
	}
	m.CompletionBatches[number][key] = &record
	for id, set := range record.Done {
		if entry := m.Jobs[id]; entry != nil && !entry.Finished() {
			entry.Done.Union(set)
			t.Jobs = append(t.Jobs, id)
		}
	}
}
