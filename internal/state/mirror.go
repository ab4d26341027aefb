package state

import (
	"log/slog"
	"slices"
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

// mirrorPhase is the phase of the mirror.
type mirrorPhase int

const (
	loading  mirrorPhase = iota // all keys are being read
	watching                    // a watch supplies the changes
)

// Mirror is this node's local replica of all keys.
type Mirror struct {
	loop   core.Loop
	client *Client
	log    *slog.Logger

	phase          mirrorPhase
	complete       bool          // has once held all keys up to some revision
	completeSince  core.Time     // when that was first so
	revision       core.Revision // revision up to which all changes were applied
	targetRevision core.Revision // a watch opened below this revision does not block
	loadCount      int           // how often all keys were read
	loadStarted    core.Time     // when the load in progress, or the last one, began
	// catchingUp: a non-blocking watch is in flight.
	catchingUp bool
	epoch      int // incremented with each phase; callbacks of earlier epochs are ignored

	Leader            Versioned[*Leader]
	Term              Versioned[TermCounter]
	Types             Versioned[map[string]api.MachineType]
	Members           map[core.Host]Versioned[Member]
	Blocks            map[int]Versioned[*Block] // by block number
	Jobs              map[core.JobID]*JobEntry
	CompletionBatches map[int]map[string]*CompletionBatch // by block number and key

	awaited      map[core.JobID]*dependencyNode // dependencies whose records were not applied yet
	links        int                            // between unfinished jobs and their unfinished dependencies
	urgencyQueue []*dependencyNode              // jobs whose urgency was not passed on to their dependencies yet
	running      []*dependencyNode              // those marked as running
	inventories  map[int]*Inventory
	additions    Versioned[AdditionCounter]
	versions     map[string]core.Revision // version of the last applied change of each key, without jobs

	// OnChange is called after a batch of events was applied, with the records that it changed.
	OnChange func(ChangeSet)

	freshAsOf            core.Time // confirmed fresh as of this time
	everFresh            bool
	pendingConfirmations []func(bool) // callbacks of ConfirmFresh that wait for the next confirmation
	confirmationInFlight bool         // a confirmation is requested or scheduled
	revisionWaiters      []revisionWaiter
}

// JobEntry is a job with those of its tasks that are durably recorded as done.
type JobEntry struct {
	Job
	Version core.Revision
	Done    core.IndexSet

	node                *dependencyNode // links an unfinished job to its dependencies and dependents; nil if it has none
	dependencyCancelled bool            // cancelled because a dependency was
}

const (
	watchTimeout    = 5 * time.Second       // how long a watch waits for a change
	watchPause      = 25 * time.Millisecond // minimum time between a response and the next watch
	revisionTimeout = 2 * time.Second       // how long the mirror may take to reach a revision
	// catchUpAfter is how long after a confirmation request is answered the watch may take to
	// deliver its revision before a non-blocking watch is opened.
	catchUpAfter            = time.Second
	manyEvents              = 2000 // changes in a watch response that are worth a log line
	maxPendingConfirmations = 5000 // calls of ConfirmFresh that may wait for the next confirmation
)

// NewMirror returns an empty mirror; Start fills it.
func NewMirror(loop core.Loop, client *Client, log *slog.Logger) *Mirror {
	m := &Mirror{loop: loop, client: client, log: log}
	m.reset()
	return m
}

// reset empties the mirror, except for the jobs: their records are never removed.
func (m *Mirror) reset() {
	m.Leader, m.Term = Versioned[*Leader]{}, Versioned[TermCounter]{}
	m.inventories, m.additions = map[int]*Inventory{}, Versioned[AdditionCounter]{}
	m.Members = map[core.Host]Versioned[Member]{}
	m.Blocks = map[int]Versioned[*Block]{}
	if m.Jobs == nil {
		m.Jobs, m.awaited = map[core.JobID]*JobEntry{}, map[core.JobID]*dependencyNode{}
	}
	m.CompletionBatches = map[int]map[string]*CompletionBatch{}
	m.versions = map[string]core.Revision{}
}

// Start loads all keys and watches them from then on.
func (m *Mirror) Start() { m.setPhase(loading) }

// setPhase enters a phase. No other function changes the phase.
func (m *Mirror) setPhase(p mirrorPhase) {
	m.phase = p
	m.epoch++
	switch p {
	case loading:
		m.loadStarted = m.loop.Now()
		m.loadPage("", m.epoch, nil)
	case watching:
		m.watch(m.epoch, 0)
	}
}

// loadPage reads the keys after the key from, adds them to pages and, after the last page, replaces
// the mirror's content with all of them.
func (m *Mirror) loadPage(from string, epoch int, pages []api.ItemPage) {
	m.client.Page(root, from, func(p api.ItemPage, ok bool) {
		if epoch != m.epoch {
			return
		}
		if !ok {
			m.observeLoad("failed", len(pages))
			m.loop.After(300*time.Millisecond, func() {
				if epoch == m.epoch {
					m.setPhase(loading)
				}
			})
			return
		}
		pages = append(pages, p)
		if p.More && len(p.Items) > 0 {
			m.loadPage(p.Items[len(p.Items)-1].Key, epoch, pages)
			return
		}
		m.reset()
		m.loadCount++
		var events []api.Event
		for _, page := range pages {
			for _, it := range page.Items {
				events = append(events, api.Event{Set: it.Key, Value: it.Value, Version: it.Version})
			}
		}
		// Pages are read one after the other. Changes made in between are delivered again by the
		// watch, which starts at the first page's revision.
		m.revision, m.targetRevision = core.Revision(pages[0].Revision), core.Revision(p.Revision)
		m.applyEvents(events)
		m.observeLoad("completed", len(pages))
		m.setPhase(watching)
	})
}

// observeLoad logs and counts a load of all keys that has ended.
func (m *Mirror) observeLoad(result string, pages int) {
	took := m.loop.Now().Sub(m.loadStarted)
	m.client.metrics.Reloads.WithLabelValues(result).Observe(took.Seconds())
	m.log.Info("load of all keys ended", "result", result, "pages", pages, "took", took.String(), "revision", m.revision, "target", m.targetRevision)
}

// watch opens a watch and, after its response, the next one. It loads all keys again if the service
// no longer has the changes or nine watches in a row have failed; failures is how many have.
func (m *Mirror) watch(epoch int, failures int) {
	block, loadCount := watchTimeout, m.loadCount
	m.catchingUp = m.revision < m.targetRevision || !m.complete
	if m.catchingUp {
		block = 0
	}
	m.client.Watch(root, m.revision, block, func(a api.WatchResponse, ok, gone bool) {
		// The response to an abandoned watch is applied too, unless all keys were reloaded since:
		// the pages may be older than its events.
		if ok && m.phase == watching && loadCount == m.loadCount {
			m.applyWatch(core.Revision(a.Revision), a.Events)
		}
		if epoch != m.epoch {
			return
		}
		m.catchingUp = false
		m.observeWatch(ok, gone, failures, len(a.Events))
		switch {
		case gone:
			m.log.Info("state service no longer has the changes since our revision; reloading all keys")
			m.setPhase(loading)
		case !ok:
			if failures >= 8 {
				m.setPhase(loading)
				return
			}
			wait := min(100*time.Millisecond<<min(failures, 4), time.Second)
			m.loop.After(wait, func() {
				if epoch == m.epoch {
					m.watch(epoch, failures+1)
				}
			})
		default:
			m.loop.After(max(watchPause, m.client.ReadInterval()), func() {
				if epoch == m.epoch {
					m.watch(epoch, 0)
				}
			})
		}
	})
}

// observeWatch counts the response to a watch, and logs one that failed or carried unusually many
// changes.
func (m *Mirror) observeWatch(ok, gone bool, failures, events int) {
	result := "answered"
	switch {
	case gone:
		result = "compacted"
	case !ok:
		result = "failed"
	}
	m.client.metrics.Watches.WithLabelValues(result).Inc()
	if !ok || events > manyEvents {
		m.log.Info("watch ended", "result", result, "events", events, "failures", failures, "revision", m.revision, "target", m.targetRevision)
	}
}

// applyWatch applies a watch response. It holds all changes since a revision that the mirror had
// reached, so a response that arrives after a newer one adds nothing.
func (m *Mirror) applyWatch(revision core.Revision, events []api.Event) {
	if revision < m.revision {
		return
	}
	m.revision = revision
	if m.revision >= m.targetRevision && !m.complete {
		m.complete, m.completeSince = true, m.loop.Now()
	}
	m.applyEvents(events)
	m.notifyWaiters()
}

// UnfinishedJobs returns the ids of the jobs that are neither done nor cancelled, in order.
func (m *Mirror) UnfinishedJobs() (ids []core.JobID) {
	for id, e := range m.Jobs {
		if !e.Finished() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TeamBlock returns the block to which a team is assigned.
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

// Teams returns the configured teams and those that are no longer configured but still assigned to
// a block. Jobs of the latter are served within their team's last quota and without a guarantee;
// otherwise they would wait forever.
func (m *Mirror) Teams(configured []config.Team) []config.Team {
	known := map[string]bool{}
	for _, t := range configured {
		known[t.Name] = true
	}
	out := configured[:len(configured):len(configured)]
	for _, n := range core.SortedKeys(m.Blocks) {
		for _, name := range m.Blocks[n].Record.Teams {
			if l, ok := m.Blocks[n].Record.Limits[name]; ok && !known[name] {
				out = append(out, config.Team{Name: name, CPUsMax: l.CPUs, GPUsMax: l.GPUs})
			}
		}
	}
	return out
}

// Inventory returns the inventory of block n or, for PoolInventory, of the pool.
func (m *Mirror) Inventory(n int) *Inventory {
	s := m.inventories[n]
	if s == nil {
		s = newInventory()
		m.inventories[n] = s
	}
	return s
}

// MachineBlock returns the block that holds a machine.
func (m *Mirror) MachineBlock(id core.MachineID) (int, bool) {
	for n := range m.Blocks {
		if _, ok := m.Inventory(n).partIndex[id]; ok {
			return n, true
		}
	}
	return 0, false
}

// Complete reports whether the mirror has once held all keys up to some revision.
func (m *Mirror) Complete() bool { return m.complete }

// CompleteSince returns when the mirror first held all keys, and false if it never did.
func (m *Mirror) CompleteSince() (core.Time, bool) { return m.completeSince, m.complete }
