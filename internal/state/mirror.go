package state

import (
	"log/slog"
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
	loadTo   core.Revision // a watch that is opened before that is reached does not wait
	loads    int           // how often all keys were read
	// catchingUp: a watch that does not wait is under way.
	catchingUp bool
	epoch      int

	Leader            Versioned[*Leader]
	Term              Versioned[TermCounter]
	Types             Versioned[map[string]api.MachineType]
	Members           map[core.Host]Versioned[Member]
	Blocks            map[int]Versioned[*Block]
	Jobs              map[core.JobID]*JobEntry
	CompletionBatches map[int]map[string]*CompletionBatch

	dependents  map[core.JobID][]core.JobID // of jobs that are not known to be over
	inventories map[int]*Inventory
	arrivals    Versioned[AdditionCounter]
	versions    map[string]core.Revision

	// OnChange is called after changes have been taken in, with what they touched.
	OnChange func(ChangeSet)

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
	Done    core.IndexSet
	Urgency Urgency

	needs     []core.JobID // jobs that have to be done first
	withdrawn bool         // cancelled with one of them
}

const (
	watchBlock = 5 * time.Second
	watchPause = 25 * time.Millisecond
	freshWait  = 2 * time.Second
	// catchUpAfter is how long a watch may take to bring what is known to have happened.
	catchUpAfter = time.Second
	maxWaiting   = 500
)

// NewMirror makes an empty mirror; Start fills it.
func NewMirror(loop core.Loop, client *Client, log *slog.Logger) *Mirror {
	m := &Mirror{loop: loop, client: client, log: log}
	m.reset()
	return m
}

func (m *Mirror) reset() {
	m.Leader, m.Term = Versioned[*Leader]{}, Versioned[TermCounter]{}
	m.inventories, m.arrivals = map[int]*Inventory{}, Versioned[AdditionCounter]{}
	m.Members = map[core.Host]Versioned[Member]{}
	m.Blocks = map[int]Versioned[*Block]{}
	if m.Jobs == nil {
		m.Jobs, m.dependents = map[core.JobID]*JobEntry{}, map[core.JobID][]core.JobID{}
	}
	m.CompletionBatches = map[int]map[string]*CompletionBatch{}
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
		m.loads++
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
	block, loads := watchBlock, m.loads
	m.catchingUp = m.ring < m.loadTo || !m.complete
	if m.catchingUp {
		block = 0
	}
	m.client.Watch(root, m.ring, block, func(a api.WatchResponse, ok, gone bool) {
		// Also the answer to a watch that was given up tells what has happened, as long as
		// the keys were not read again: a page may be older than that.
		if ok && m.phase == following && loads == m.loads {
			m.advance(core.Revision(a.Revision), a.Events)
		}
		if epoch != m.epoch {
			return
		}
		m.catchingUp = false
		switch {
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
			m.loop.After(max(watchPause, m.client.ReadInterval()), func() {
				if epoch == m.epoch {
					m.follow(epoch, 0)
				}
			})
		}
	})
}

// advance takes in what a watch has brought. Its answer holds all changes since a revision
// that the mirror had reached, so one that comes after a newer one tells nothing new.
func (m *Mirror) advance(ring core.Revision, events []api.Event) {
	if ring < m.ring {
		return
	}
	m.ring = ring
	if m.ring >= m.loadTo {
		m.complete = true
	}
	m.take(events)
	m.settle()
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
	for _, n := range core.SortedKeys(m.Blocks) {
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
