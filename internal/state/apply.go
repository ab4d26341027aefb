package state

import (
	"slices"
	"strconv"
	"strings"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// Touched says which kinds of record a batch of changes concerned.
type Touched struct {
	Leader, Members, Blocks, Rounds bool
	Inventories                     []int
	Jobs                            []core.JobID
}

func (t *Touched) touch(inventory int) {
	if !slices.Contains(t.Inventories, inventory) {
		t.Inventories = append(t.Inventories, inventory)
	}
}

func (m *Mirror) take(events []api.Event) {
	var t Touched
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
	if len(events) > 0 && m.Changed != nil && m.complete {
		m.Changed(t)
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

func (m *Mirror) apply(key string, e api.Event, t *Touched) {
	v := core.Revision(e.Version)
	removed := e.Remove != ""
	decode := func(into any) bool {
		if err := api.Decode(e.Value, into); err != nil {
			m.log.Error("unreadable record", "key", key, "error", err)
			return false
		}
		return true
	}
	switch {
	case key == KeyLeader:
		t.Leader = true
		m.Leader = Versioned[*Leader]{}
		var r Leader
		if !removed && decode(&r) {
			m.Leader = Versioned[*Leader]{&r, v}
		}
	case key == KeyTerm:
		var r TermCounter
		if !removed && decode(&r) {
			m.Term = Versioned[TermCounter]{r, v}
		}
	case key == KeyTypes:
		var r []api.MachineType
		if !removed && decode(&r) {
			m.Types = Versioned[map[string]api.MachineType]{Record: map[string]api.MachineType{}, Version: v}
			for _, typ := range r {
				m.Types.Record[typ.Name] = typ
			}
		}
	case strings.HasPrefix(key, members):
		t.Members = true
		h := core.Host(strings.TrimPrefix(key, members))
		delete(m.Members, h)
		var r Member
		if !removed && decode(&r) {
			m.Members[h] = Versioned[Member]{r, v}
		}
	case strings.HasPrefix(key, blocks):
		t.Blocks = true
		n, err := strconv.Atoi(strings.TrimPrefix(key, blocks))
		var r Block
		if err == nil && !removed && decode(&r) {
			m.Blocks[n] = Versioned[*Block]{&r, v}
		}
	case key == keyArrivals:
		var r Arrivals
		if !removed && decode(&r) {
			m.arrivals = Versioned[Arrivals]{r, v}
		}
	case strings.HasPrefix(key, machines):
		inventory, part, ok := parsePart(key)
		var r Part
		if ok && !removed && decode(&r) {
			t.touch(inventory)
			m.Inventory(inventory).put(part, &r, v)
		}
	case strings.HasPrefix(key, jobs):
		id := core.JobID(strings.TrimPrefix(key, jobs))
		var r Job
		if removed || !decode(&r) {
			return
		}
		t.job(id)
		entry := m.Jobs[id]
		known := entry != nil
		if entry == nil {
			entry = &JobEntry{}
			m.Jobs[id] = entry
			for _, rs := range m.Rounds {
				for _, round := range rs {
					entry.Done.Union(round.Done[id])
				}
			}
		}
		if entry.Job.Over() && entry.Tasks > 0 && !r.Over() {
			m.log.Error("a job that was over is called unfinished", "job", id)
			return
		}
		entry.Job, entry.Version = r, v
		switch {
		case r.Over():
			entry.Spec, entry.Done, entry.needs = nil, core.Set{}, nil
			m.settled(id, entry, t)
		case entry.withdrawn:
			entry.Spec = nil
		default:
			m.link(id, entry, t)
			if !known {
				// Keys are loaded in their order, not in that of the jobs.
				for _, after := range m.dependents[id] {
					m.inherit(after, t)
				}
			}
		}
		delete(m.versions, key) // the entry keeps its version itself
	case strings.HasPrefix(key, rounds):
		t.Rounds = true
		n := blockOfRound(key)
		if removed {
			delete(m.Rounds[n], key)
			delete(m.versions, key)
			return
		}
		var r Round
		if !decode(&r) {
			return
		}
		if m.Rounds[n] == nil {
			m.Rounds[n] = map[string]*Round{}
		}
		m.Rounds[n][key] = &r
		for id, set := range r.Done {
			if j := m.Jobs[id]; j != nil && !j.Over() {
				j.Done.Union(set)
				t.Jobs = append(t.Jobs, id)
			}
		}
	}
}
