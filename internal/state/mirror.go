package state

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// Versioned is a record with the version of its key.
type Versioned[T any] struct {
	Record  T
	Version core.Revision
}

// mirrorPhase is the state of the mirror.
type mirrorPhase int

const (
	loading   mirrorPhase = iota // reads all keys
	following                    // a watch feeds it
)

// Mirror is this node's copy of all keys.
type Mirror struct {
	loop   core.Loop
	client *Client
	log    *slog.Logger

	phase    mirrorPhase
	complete bool // has once held everything up to some revision
	ring     core.Revision
	loadTo   core.Revision
	epoch    int

	Leader  Versioned[*Leader]
	Term    Versioned[TermCounter]
	Types   Versioned[map[string]api.MachineType]
	Members map[core.Host]Versioned[Member]
	Blocks  map[int]Versioned[*Block]
	Jobs    map[core.JobID]*JobEntry
	Rounds  map[int]map[string]*Round

	dependents  map[core.JobID][]core.JobID // of jobs that are not known to be over
	inventories map[int]*Inventory
	arrivals    Versioned[Arrivals]
	versions    map[string]core.Revision

	// Changed is called after changes have been taken in, with what they touched.
	Changed func(Touched)

	fresh    core.Time // the mirror shows everything up to this time, at least
	hasFresh bool
	waiting  []func(bool)
	asking   bool
	awaiting []await
}

// JobEntry is a job with the tasks known to be durably done.
type JobEntry struct {
	Job
	Version core.Revision
	Done    core.Set
	Urgency Urgency

	needs     []core.JobID // jobs that have to be done first
	withdrawn bool         // cancelled with one of them
}

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

type await struct {
	ring core.Revision
	due  core.Time
	done func(bool)
}

const (
	watchBlock = 5 * time.Second
	watchPause = 25 * time.Millisecond
	freshWait  = 2 * time.Second
	maxWaiting = 500
)

// NewMirror makes an empty mirror; Start fills it.
func NewMirror(loop core.Loop, client *Client, log *slog.Logger) *Mirror {
	m := &Mirror{loop: loop, client: client, log: log}
	m.reset()
	return m
}

func (m *Mirror) reset() {
	m.Leader, m.Term = Versioned[*Leader]{}, Versioned[TermCounter]{}
	m.inventories, m.arrivals = map[int]*Inventory{}, Versioned[Arrivals]{}
	m.Members = map[core.Host]Versioned[Member]{}
	m.Blocks = map[int]Versioned[*Block]{}
	if m.Jobs == nil {
		m.Jobs, m.dependents = map[core.JobID]*JobEntry{}, map[core.JobID][]core.JobID{}
	}
	m.Rounds = map[int]map[string]*Round{}
	m.versions = map[string]core.Revision{}
}

// Start loads all keys and follows them from then on.
func (m *Mirror) Start() { m.become(loading) }

// become is the one place where the mirror's phase changes.
func (m *Mirror) become(p mirrorPhase) {
	m.phase = p
	m.epoch++
	switch p {
	case loading:
		m.loadPage("", m.epoch, nil)
	case following:
		m.follow(m.epoch, 0)
	}
}

func (m *Mirror) loadPage(from string, epoch int, got []api.ItemPage) {
	m.client.Page(root, from, func(p api.ItemPage, ok bool) {
		if epoch != m.epoch {
			return
		}
		if !ok {
			m.loop.After(300*time.Millisecond, func() {
				if epoch == m.epoch {
					m.become(loading)
				}
			})
			return
		}
		got = append(got, p)
		if p.More && len(p.Items) > 0 {
			m.loadPage(p.Items[len(p.Items)-1].Key, epoch, got)
			return
		}
		m.reset()
		var events []api.Event
		for _, page := range got {
			for _, it := range page.Items {
				events = append(events, api.Event{Set: it.Key, Value: it.Value, Version: it.Version})
			}
		}
		// Pages are read one after the other; what changed in between comes
		// again through the watch, which starts at the first page's revision.
		m.ring, m.loadTo = core.Revision(got[0].Revision), core.Revision(p.Revision)
		m.take(events)
		m.become(following)
	})
}

func (m *Mirror) follow(epoch int, failures int) {
	block := watchBlock
	if m.ring < m.loadTo || !m.complete {
		block = 0
	}
	m.client.Watch(root, m.ring, block, func(a api.WatchAnswer, ok, gone bool) {
		switch {
		case epoch != m.epoch:
		case gone:
			m.log.Info("the state service no longer keeps the changes we missed; reading all keys again")
			m.become(loading)
		case !ok:
			if failures >= 8 {
				m.become(loading)
				return
			}
			wait := min(100*time.Millisecond<<min(failures, 4), time.Second)
			m.loop.After(wait, func() {
				if epoch == m.epoch {
					m.follow(epoch, failures+1)
				}
			})
		default:
			m.advance(core.Revision(a.Revision), a.Events)
			m.loop.After(max(watchPause, m.client.Spacing()), func() {
				if epoch == m.epoch {
					m.follow(epoch, 0)
				}
			})
		}
	})
}

func (m *Mirror) advance(ring core.Revision, events []api.Event) {
	if ring > m.ring {
		m.ring = ring
	}
	if m.ring >= m.loadTo {
		m.complete = true
	}
	m.take(events)
	m.settle()
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

// TeamBlock returns the block to which a team belongs.
func (m *Mirror) TeamBlock(team string) (int, bool) {
	for n, b := range m.Blocks {
		for _, t := range b.Record.Teams {
			if t == team {
				return n, true
			}
		}
	}
	return 0, false
}

// Teams adds to the stated teams those that the settings no longer name. Their jobs
// are served within the limit they had, without a guarantee; forgotten, they would wait
// for ever.
func (m *Mirror) Teams(stated []config.Team) []config.Team {
	known := map[string]bool{}
	for _, t := range stated {
		known[t.Name] = true
	}
	out := stated[:len(stated):len(stated)]
	for _, n := range core.Keys(m.Blocks) {
		for _, name := range m.Blocks[n].Record.Teams {
			if l, ok := m.Blocks[n].Record.Limits[name]; ok && !known[name] {
				out = append(out, config.Team{Name: name, CPUsMax: l.CPUs, GPUsMax: l.GPUs})
			}
		}
	}
	return out
}

// Inventory returns the machines of a block or, for PoolInventory, of the pool.
func (m *Mirror) Inventory(n int) *Inventory {
	s := m.inventories[n]
	if s == nil {
		s = newInventory()
		m.inventories[n] = s
	}
	return s
}

// MachineBlock returns the block to which a machine belongs.
func (m *Mirror) MachineBlock(id core.MachineID) (int, bool) {
	for n := range m.Blocks {
		if _, ok := m.Inventory(n).place[id]; ok {
			return n, true
		}
	}
	return 0, false
}

// Complete tells whether the mirror has once held every key.
func (m *Mirror) Complete() bool { return m.complete }

// Shows tells whether the mirror shows everything up to a revision.
func (m *Mirror) Shows(r core.Revision) bool { return m.complete && m.ring >= r }

// Contact returns a time up to which the mirror is known to show everything.
func (m *Mirror) Contact() (core.Time, bool) { return m.fresh, m.hasFresh }

// Await calls done(true) once the mirror has reached a revision, or done(false)
// when that takes too long.
func (m *Mirror) Await(ring core.Revision, done func(bool)) {
	if m.Shows(ring) {
		done(true)
		return
	}
	due := m.loop.Now().Add(freshWait)
	m.awaiting = append(m.awaiting, await{ring, due, done})
	m.loop.After(freshWait, m.settle)
}

func (m *Mirror) settle() {
	now := m.loop.Now()
	var ready []func()
	keep := m.awaiting[:0:0]
	for _, a := range m.awaiting {
		switch {
		case m.Shows(a.ring):
			ready = append(ready, func() { a.done(true) })
		case now >= a.due:
			ready = append(ready, func() { a.done(false) })
		default:
			keep = append(keep, a)
		}
	}
	m.awaiting = keep
	for _, f := range ready {
		f()
	}
}

// Fresh calls done(true) once the mirror shows everything that had happened
// when Fresh was called. All who ask meanwhile share one question to the state
// service: a transaction without changes, whose revision the mirror must reach.
func (m *Mirror) Fresh(done func(bool)) {
	if len(m.waiting) >= maxWaiting {
		done(false)
		return
	}
	m.waiting = append(m.waiting, done)
	if !m.asking {
		m.ask()
	}
}

func (m *Mirror) ask() {
	batch := m.waiting
	m.waiting = nil
	m.asking = true
	answer := func(ok bool) {
		for _, f := range batch {
			f(ok)
		}
	}
	asked := core.Time(0)
	m.client.index(func() { asked = m.loop.Now() }, func(r Result) {
		m.asking = false
		if r.Outcome == Applied || r.Outcome == Conflict {
			m.Await(r.Revision, func(ok bool) {
				if ok && (!m.hasFresh || asked > m.fresh) {
					m.fresh, m.hasFresh = asked, true
				}
				if !ok && m.phase == following {
					// The service answers but the watch brings nothing: its
					// connection may hang. Open another.
					m.become(following)
				}
				answer(ok)
			})
		} else {
			answer(false)
		}
		if len(m.waiting) > 0 && !m.asking {
			m.asking = true
			m.loop.After(m.client.Spacing(), m.ask)
		}
	})
}

// index sends the compare-only transaction; sending runs just before.
func (c *Client) index(sending func(), done func(Result)) {
	body, _ := json.Marshal(api.Txn{If: []api.Condition{{Key: keyNever}}})
	c.enqueue(reads, 0, func() {
		sending()
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: "/txn", Body: body, Timeout: txnTimeout}, func(r core.Response) {
			done(txnResult(r))
		})
	}, func() { done(Result{Outcome: Refused}) })
}
