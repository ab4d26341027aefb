package state

import (
	"slices"
	"strconv"
	"strings"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// ChangeSet lists the records that a batch of events changed: the kinds of which any record was
// changed, the numbers of the inventories, and the jobs. A job is listed if its record or its tasks
// changed, if it became ready, or if it was cancelled because a dependency was.
type ChangeSet struct {
	Leader, Members, Blocks, CompletionBatches bool
	Inventories                                []int
	Jobs                                       []core.JobID

	listedJobs map[core.JobID]bool // the same as Jobs, once that is long
}

// maxSearchedJobs is the length from which ChangeSet.Jobs is no longer searched for duplicates.
const maxSearchedJobs = 32

// addJob lists a job, once.
func (t *ChangeSet) addJob(id core.JobID) {
	if len(t.Jobs) < maxSearchedJobs {
		if !slices.Contains(t.Jobs, id) {
			t.Jobs = append(t.Jobs, id)
		}
		return
	}
	if t.listedJobs == nil {
		t.listedJobs = map[core.JobID]bool{}
		for _, listed := range t.Jobs {
			t.listedJobs[listed] = true
		}
	}
	if !t.listedJobs[id] {
		t.listedJobs[id] = true
		t.Jobs = append(t.Jobs, id)
	}
}

func (t *ChangeSet) addInventory(inventory int) {
	if !slices.Contains(t.Inventories, inventory) {
		t.Inventories = append(t.Inventories, inventory)
	}
}

// applyEvents applies those events that are newer than the last applied change of their key. Once
// the mirror is complete, it reports them to OnChange.
func (m *Mirror) applyEvents(events []api.Event) {
	var t ChangeSet
	for _, e := range events {
		key := e.Set
		if key == "" {
			key = e.Remove
		}
		if core.Revision(e.Version) <= m.appliedVersion(key) {
			continue
		}
		m.versions[key] = core.Revision(e.Version)
		m.apply(key, e, &t)
	}
	m.limitUrgencyQueue()
	if len(events) > 0 && m.OnChange != nil && m.complete {
		m.OnChange(t)
	}
}

// appliedVersion returns the version of the last change of a key that was applied, 0 if none was.
func (m *Mirror) appliedVersion(key string) core.Revision {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		if j := m.Jobs[core.JobID(id)]; j != nil {
			return j.Version
		}
	}
	return m.versions[key]
}

// apply applies one event to the record of its key.
func (m *Mirror) apply(key string, e api.Event, t *ChangeSet) {
	switch {
	case key == KeyLeader:
		t.Leader = true
		m.Leader = decodeVersioned(m, key, e, func(r *Leader) *Leader { return r })
	case key == KeyTerm:
		if term := decodeVersioned(m, key, e, func(r *TermCounter) TermCounter { return *r }); term.Version > 0 {
			m.Term = term
		}
	case key == KeyTypes:
		m.applyTypes(key, e)
	case key == keyAdditions:
		if counter := decodeVersioned(m, key, e, func(r *AdditionCounter) AdditionCounter { return *r }); counter.Version > 0 {
			m.additions = counter
		}
	case strings.HasPrefix(key, memberPrefix):
		t.Members = true
		m.applyMember(key, e)
	case strings.HasPrefix(key, blockPrefix):
		t.Blocks = true
		m.applyBlock(key, e)
	case strings.HasPrefix(key, machinePrefix):
		m.applyPart(key, e, t)
	case strings.HasPrefix(key, jobPrefix):
		m.applyJob(key, e, t)
	case strings.HasPrefix(key, completionPrefix):
		t.CompletionBatches = true
		m.applyCompletionBatch(key, e, t)
	}
}

// decode decodes the record of an event. It returns false if the key was removed or the record is
// malformed.
func (m *Mirror) decode(key string, e api.Event, into any) bool {
	if e.Remove != "" {
		return false
	}
	if err := api.Decode(e.Value, into); err != nil {
		m.client.metrics.Violated(m.log, "malformed record in the state service", "key", key, "error", err)
		return false
	}
	return true
}

// decodeVersioned returns the record of an event with its version, or the zero value if the key was
// removed or the record is malformed.
func decodeVersioned[R, T any](m *Mirror, key string, e api.Event, convert func(*R) T) (out Versioned[T]) {
	var record R
	if m.decode(key, e, &record) {
		out = Versioned[T]{convert(&record), core.Revision(e.Version)}
	}
	return out
}

// applyTypes replaces the machine types; a removal is ignored.
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
	host := core.Host(strings.TrimPrefix(key, memberPrefix))
	delete(m.Members, host)
	if member := decodeVersioned(m, key, e, func(r *Member) Member { return *r }); member.Version > 0 {
		m.Members[host] = member
	}
}

// applyBlock applies a block record. A removal is ignored: blocks are never removed.
func (m *Mirror) applyBlock(key string, e api.Event) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, blockPrefix))
	if err != nil {
		return
	}
	if block := decodeVersioned(m, key, e, func(r *Block) *Block { return r }); block.Version > 0 {
		m.Blocks[number] = block
	}
}

func (m *Mirror) applyPart(key string, e api.Event, t *ChangeSet) {
	number, part, ok := parsePart(key)
	var record InventoryPart
	if ok && m.decode(key, e, &record) {
		t.addInventory(number)
		m.Inventory(number).put(part, &record, core.Revision(e.Version))
	}
}

// applyJob applies a job record. A finished job stays finished: a later record cannot reopen it.
func (m *Mirror) applyJob(key string, e api.Event, t *ChangeSet) {
	id := core.JobID(strings.TrimPrefix(key, jobPrefix))
	var record Job
	if !m.decode(key, e, &record) {
		return
	}
	t.addJob(id)
	entry := m.Jobs[id]
	if entry == nil {
		entry = m.newEntry(id)
	}
	if entry.Job.Finished() && entry.Tasks > 0 && !record.Finished() {
		m.client.metrics.Violated(m.log, "ignoring a record that reopens a finished job", "job", id)
		return
	}
	entry.Job, entry.Version = record, core.Revision(e.Version)
	switch {
	case record.Finished():
		entry.Spec, entry.Done = nil, core.IndexSet{}
		m.jobFinished(entry, t)
	case entry.dependencyCancelled:
		entry.Spec = nil
	default:
		m.linkDependencies(id, entry, t)
	}
	delete(m.versions, key) // the entry holds the version itself
}

func (m *Mirror) applyCompletionBatch(key string, e api.Event, t *ChangeSet) {
	number := blockOfCompletionBatch(key)
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
			t.addJob(id)
		}
	}
}
