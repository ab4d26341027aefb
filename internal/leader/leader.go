// Package leader is what the elected controller does: it grants blocks, rents
// and returns machines, and assigns them to blocks.
package leader

import (
	"log/slog"
	"reflect"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/cloud"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
	"lichenstair/internal/worker"
)

// Env is what a leader works with.
type Env struct {
	Loop    core.Loop
	Log     *slog.Logger
	Config  *config.Config
	Host    core.Host
	Mirror  *state.Mirror
	State   *state.Client
	Cloud   *cloud.Client
	Workers *worker.Client
	// GangKinds lists the kinds of machine that are always kept for gangs.
	GangKinds func() capacity.GangKinds
	// ReplacementHolder names the controller that should hold a block whose holder does not
	// hear its machines.
	ReplacementHolder func(block int) (core.Host, bool)
	// HolderReady tells whether a block's holder has found its machines.
	HolderReady func(block int) bool
	// FailingJobs lists the jobs that have only failed so far.
	FailingJobs func() map[core.JobID]bool
	// RunningTasks counts the tasks of jobs that run.
	RunningTasks func() map[core.JobID]int
	// LeaseValid tells whether our tenure has certainly not run out.
	LeaseValid func() bool
	// IdleMachines lists machines of blocks on which nothing is booked.
	IdleMachines func() map[core.MachineID]bool
}

// Leader acts for one term.
type Leader struct {
	Env
	record  state.Versioned[*state.Leader]
	ended   bool
	busy    bool
	seq     int
	again   core.Time
	types   []api.MachineType
	listing bool
	listed  core.Time
	asked   core.Time
	list    map[core.MachineID]api.ListedMachine
	closed  map[capacity.Offer]core.Time
	free    map[core.MachineID]core.Time
	unknown *worker.Prober          // machines that nobody knows of
	sending map[core.MachineID]bool // to be returned, not yet confirmed
	due     []string                // of these, not yet asked for
	// returning: a request to return machines is on its way or about to be.
	returning   bool
	done        map[core.MachineID]bool // returns answered 200, not yet written
	rented      []state.Machine         // rented, not yet written
	rentals     int                     // in flight
	stable      map[core.Host]core.Time
	notes       []note // of the transaction being composed
	isolations  map[core.LeaseID]isolation
	trend       capacity.DemandTrend
	boots       capacity.BootTimes
	booting     map[core.MachineID]bool // not known to have come up yet
	planAt      core.Time               // of the last plan
	planDue     bool                    // the next one is on its way
	isolationAt core.Time               // when holders were last looked at
}

// New starts to lead under the record that the mirror shows.
func New(env Env, record state.Versioned[*state.Leader]) *Leader {
	l := &Leader{
		Env: env, record: record, list: map[core.MachineID]api.ListedMachine{}, closed: map[capacity.Offer]core.Time{},
		free: map[core.MachineID]core.Time{}, unknown: worker.NewProber(env.Workers, maxAsking), sending: map[core.MachineID]bool{}, done: map[core.MachineID]bool{}, booting: map[core.MachineID]bool{},
		stable: map[core.Host]core.Time{}, isolations: map[core.LeaseID]isolation{},
	}
	l.Log.Info("we lead", "term", record.Record.Term)
	return l
}

// Term returns the term under which we lead.
func (l *Leader) Term() core.Term { return l.record.Record.Term }

// Version returns the version of the leader key under which it acts.
func (l *Leader) Version() core.Revision { return l.record.Version }

// Stop stops acting.
func (l *Leader) Stop() {
	l.ended = true
	l.Log.Info("we no longer lead", "term", l.record.Record.Term)
}

const (
	typesEvery = 60 * time.Second
	// planPause is the least time between two plans: every change of any record
	// asks for one, and with hundreds of machines and jobs each takes milliseconds.
	planPause = 100 * time.Millisecond
	// isolationPause is the same for looking whether holders hear their machines.
	isolationPause = 200 * time.Millisecond
	closedFor      = 15 * time.Second
	rebalance      = 1500 * time.Millisecond
	maxReturns     = 100 // in one request, by the protocol
	maxAsking      = 50
)

// Tick does what is due.
func (l *Leader) Tick() {
	if l.ended || !l.Mirror.Complete() {
		return
	}
	l.askCloud()
	l.act()
}

func (l *Leader) askCloud() {
	now := l.Loop.Now()
	if now >= l.asked {
		l.asked = now.Add(typesEvery)
		l.Cloud.Types(func(types []api.MachineType, ok bool) {
			if !ok {
				l.asked = l.Loop.Now().Add(2 * time.Second)
				return
			}
			l.types = types
			l.act()
		})
	}
	if !l.listing && now >= l.listed {
		l.listing = true
		l.Cloud.List(func(ms []api.ListedMachine, ok bool) {
			l.listing = false
			l.listed = l.Loop.Now().Add(max(l.Config.CloudLimits.ListLag, 3*time.Second))
			if !ok || l.ended {
				return
			}
			l.list = map[core.MachineID]api.ListedMachine{}
			for _, m := range ms {
				l.list[core.MachineID(m.ID)] = m
			}
			l.act()
		})
	}
}

// act composes the next transaction, if anything is to be written.
func (l *Leader) act() {
	now := l.Loop.Now()
	if l.ended || l.busy || now < l.again {
		return
	}
	t := api.Txn{If: []api.Condition{{Key: state.KeyLeader, Version: uint64(l.record.Version)}}}
	l.notes = nil
	send := l.State.TxnHighPriority // what blocks need to be held
	for _, step := range []func(*api.Txn){l.found, l.grant} {
		if step(&t); len(t.Then) > 0 {
			break
		}
	}
	if len(t.Then) == 0 {
		send = l.State.Txn
		if l.writeTypes(&t); len(t.Then) == 0 {
			l.machines(&t)
		}
	}
	if len(t.Then) == 0 {
		return
	}
	l.busy = true
	notes := l.notes
	send(t, func(r state.Result) {
		next := func(bool) {
			l.busy = false
			l.act()
		}
		switch r.Outcome {
		case state.Applied:
			for _, n := range notes {
				l.Log.Info(n.text, n.args...)
			}
			l.Mirror.WaitFor(r.Revision, next)
		case state.Refused:
			l.again = l.Loop.Now().Add(500 * time.Millisecond)
			next(false)
		default:
			l.Mirror.ConfirmFresh(func(ok bool) {
				if !ok {
					l.again = l.Loop.Now().Add(300 * time.Millisecond)
				}
				next(ok)
			})
		}
	})
}

// note keeps a line for the log until what it tells of has been carried out.
func (l *Leader) note(text string, args ...any) {
	l.notes = append(l.notes, note{text, args})
}

type note struct {
	text string
	args []any
}

// allocateTerms takes the next n terms from the counter; the first is returned.
func (l *Leader) allocateTerms(t *api.Txn, n int) core.Term {
	c := l.Mirror.Term
	t.If = append(t.If, api.Condition{Key: state.KeyTerm, Version: uint64(c.Version)})
	t.Then = append(t.Then, state.Put(state.KeyTerm, state.TermCounter{Last: c.Record.Last + core.Term(n)}))
	return c.Record.Last + 1
}

func (l *Leader) setBlock(t *api.Txn, b *state.Block) {
	key := state.KeyBlock(b.Number)
	t.If = append(t.If, api.Condition{Key: key, Version: uint64(l.Mirror.Blocks[b.Number].Version)})
	t.Then = append(t.Then, state.Put(key, b))
}

// underBlock makes a transaction depend on the grant of a block that it does
// not write.
func (l *Leader) underBlock(t *api.Txn, n int) {
	t.If = append(t.If, api.Condition{Key: state.KeyBlock(n), Version: uint64(l.Mirror.Blocks[n].Version)})
}

// live lists the controllers with a tenure, by name.
func (l *Leader) live() (out []state.Member) {
	for _, h := range core.SortedKeys(l.Mirror.Members) {
		out = append(out, l.Mirror.Members[h].Record)
	}
	return out
}

// holds tells whether a block's holder still has the tenure of its grant.
func (l *Leader) holds(b *state.Block) bool {
	m, ok := l.Mirror.Members[b.Holder]
	return ok && m.Record.LeaseID == b.LeaseID
}

// writeTypes keeps a durable copy of the machine types, so that nodes know
// them even while the cloud does not answer.
func (l *Leader) writeTypes(t *api.Txn) {
	if l.types == nil {
		return
	}
	have := map[string]api.MachineType{}
	for n, typ := range l.Mirror.Types.Record {
		typ.SpotPrice = 0
		have[n] = typ
	}
	want := map[string]api.MachineType{}
	for _, typ := range l.types {
		typ.SpotPrice = 0
		want[typ.Name] = typ
	}
	if reflect.DeepEqual(have, want) {
		return
	}
	t.If = append(t.If, api.Condition{Key: state.KeyTypes, Version: uint64(l.Mirror.Types.Version)})
	t.Then = append(t.Then, state.Put(state.KeyTypes, l.types))
}

func (l *Leader) priced() map[string]api.MachineType {
	if l.types == nil {
		return l.Mirror.Types.Record
	}
	out := map[string]api.MachineType{}
	for _, t := range l.types {
		out[t.Name] = t
	}
	return out
}
