// Package leader implements the role of the elected controller: it grants blocks, rents and
// returns machines, and assigns them to blocks.
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

// Env holds the dependencies of a leader.
type Env struct {
	Loop    core.Loop
	Log     *slog.Logger
	Config  *config.Config
	Host    core.Host
	Mirror  *state.Mirror
	State   *state.Client
	Cloud   *cloud.Client
	Workers *worker.Client
	// GangKinds returns the kinds of machine that are reserved for gangs even while none waits.
	GangKinds func() capacity.GangKinds
	// ReplacementHolder returns the controller that should take over a block whose holder
	// does not receive reports from its machines.
	ReplacementHolder func(block int) (core.Host, bool)
	// HolderReady reports whether a block's holder has recovered the state of its machines
	// and places tasks.
	HolderReady func(block int) bool
	// FailingJobs returns the jobs that have failed on more than one machine and completed
	// no task.
	FailingJobs func() map[core.JobID]bool
	// RunningTasks counts the running tasks by job.
	RunningTasks func() map[core.JobID]int
	// LeaseValid reports whether our lease has certainly not expired.
	LeaseValid func() bool
	// IdleMachines returns the machines of blocks on which nothing is booked.
	IdleMachines func() map[core.MachineID]bool
}

// Leader acts as the leader for one term.
type Leader struct {
	Env
	record           state.Versioned[*state.Leader] // of the leader key
	stopped          bool
	committing       bool                                 // a transaction is in flight, or the mirror does not show it yet
	rentalSeq        int                                  // number of the last rental request of this term
	retryAt          core.Time                            // no transaction is sent before
	types            []api.MachineType                    // last response of the cloud, nil before the first
	listing          bool                                 // a request for the list of machines is in flight
	nextList         core.Time                            // when the list is requested again
	nextTypes        core.Time                            // when the types are requested again
	listed           map[core.MachineID]api.ListedMachine // last list, and machines found by probes since
	unavailableUntil map[capacity.Offer]core.Time         // no machines are rented of the offer until then
	freeSince        map[core.MachineID]core.Time         // since when a machine of the pool has been free
	prober           *worker.Prober                       // probes reporting machines that are in no block and not listed
	returnPending    map[core.MachineID]bool              // return queued or requested, not yet confirmed
	returnQueue      []string                             // return queued, not yet requested
	// returnScheduled: a request to return machines is in flight or scheduled.
	returnScheduled    bool
	returned           map[core.MachineID]bool // return confirmed, not yet recorded
	rented             []state.Machine         // rented, not yet recorded
	rentalsInFlight    int                     // number of rental requests in flight
	memberSince        map[core.Host]core.Time // since when this leader has seen a controller's member key
	logLines           []logLine               // log lines of the transaction being composed
	isolations         map[core.LeaseID]isolation
	demandTrend        capacity.DemandTrend
	bootTimes          capacity.BootTimes
	booting            map[core.MachineID]bool // not known to have booted, at the last plan
	lastPlan           core.Time               // time of the last plan
	planScheduled      bool                    // the next plan is scheduled
	lastIsolationCheck core.Time               // when the holders were last checked for isolation
}

// New returns a leader that acts under the given record of the leader key.
func New(env Env, record state.Versioned[*state.Leader]) *Leader {
	l := &Leader{
		Env: env, record: record, listed: map[core.MachineID]api.ListedMachine{}, unavailableUntil: map[capacity.Offer]core.Time{},
		freeSince: map[core.MachineID]core.Time{}, prober: worker.NewProber(env.Workers, maxProbes), returnPending: map[core.MachineID]bool{}, returned: map[core.MachineID]bool{}, booting: map[core.MachineID]bool{},
		memberSince: map[core.Host]core.Time{}, isolations: map[core.LeaseID]isolation{},
	}
	l.Log.Info("leadership acquired", "term", record.Record.Term)
	return l
}

// Term returns the term of this leader.
func (l *Leader) Term() core.Term { return l.record.Record.Term }

// Version returns the version of the leader key under which this leader acts.
func (l *Leader) Version() core.Revision { return l.record.Version }

// Stop stops the leader.
func (l *Leader) Stop() {
	l.stopped = true
	l.Log.Info("leadership lost", "term", l.record.Record.Term)
}

const (
	// typesInterval is the time between two requests for the machine types.
	typesInterval = 60 * time.Second
	// minPlanInterval is the minimum time between two plans: every change of a record asks
	// for one, and with hundreds of machines and jobs each takes milliseconds.
	minPlanInterval = 100 * time.Millisecond
	// isolationCheckInterval is the minimum time between two checks whether the holders
	// receive the reports of their machines.
	isolationCheckInterval = 200 * time.Millisecond
	// offerUnavailableTime is how long no more machines of an offer are rented after a rental
	// of it did not bring all the machines requested.
	offerUnavailableTime = 15 * time.Second
	// rebalanceDelay is how long a controller must have been a member before a block is
	// moved to it for balance.
	rebalanceDelay = 1500 * time.Millisecond
	maxReturns     = 100 // in one request, limited by the protocol
	maxProbes      = 50  // in flight
)

// Tick queries the cloud and writes changes, as far as they are due.
func (l *Leader) Tick() {
	if l.stopped || !l.Mirror.Complete() {
		return
	}
	l.queryCloud()
	l.commitNext()
}

// queryCloud refreshes the machine types and the list of machines when they are due.
func (l *Leader) queryCloud() {
	now := l.Loop.Now()
	if now >= l.nextTypes {
		l.nextTypes = now.Add(typesInterval)
		l.Cloud.Types(func(types []api.MachineType, ok bool) {
			if !ok {
				l.nextTypes = l.Loop.Now().Add(2 * time.Second)
				return
			}
			l.types = types
			l.commitNext()
		})
	}
	if !l.listing && now >= l.nextList {
		l.listing = true
		l.Cloud.List(func(ms []api.ListedMachine, ok bool) {
			l.listing = false
			l.nextList = l.Loop.Now().Add(max(l.Config.CloudLimits.ListLag, 3*time.Second))
			if !ok || l.stopped {
				return
			}
			l.listed = map[core.MachineID]api.ListedMachine{}
			for _, m := range ms {
				l.listed[core.MachineID(m.ID)] = m
			}
			l.commitNext()
		})
	}
}

// commitNext composes and sends the next transaction, if there is anything to write.
func (l *Leader) commitNext() {
	now := l.Loop.Now()
	if l.stopped || l.committing || now < l.retryAt {
		return
	}
	t := api.Txn{If: []api.Condition{{Key: state.KeyLeader, Version: uint64(l.record.Version)}}}
	l.logLines = nil
	send := l.State.TxnHighPriority // block records and grants are needed first
	for _, step := range []func(*api.Txn){l.setUpBlocks, l.grantBlocks} {
		if step(&t); len(t.Then) > 0 {
			break
		}
	}
	if len(t.Then) == 0 {
		send = l.State.Txn
		if l.writeTypes(&t); len(t.Then) == 0 {
			l.updateMachines(&t)
		}
	}
	if len(t.Then) == 0 {
		return
	}
	l.committing = true
	lines := l.logLines
	send(t, func(r state.Result) {
		next := func(bool) {
			l.committing = false
			l.commitNext()
		}
		switch r.Outcome {
		case state.Applied:
			for _, line := range lines {
				l.Log.Info(line.text, line.args...)
			}
			l.Mirror.WaitFor(r.Revision, next)
		case state.Refused:
			l.retryAt = l.Loop.Now().Add(500 * time.Millisecond)
			next(false)
		default:
			l.Mirror.ConfirmFresh(func(ok bool) {
				if !ok {
					l.retryAt = l.Loop.Now().Add(300 * time.Millisecond)
				}
				next(ok)
			})
		}
	})
}

// logWhenApplied keeps a log line until the transaction that it describes has been applied.
func (l *Leader) logWhenApplied(text string, args ...any) {
	l.logLines = append(l.logLines, logLine{text, args})
}

// logLine is a log line that has not been written yet.
type logLine struct {
	text string
	args []any
}

// allocateTerms adds the allocation of the next n terms to a transaction and returns the
// first of them.
func (l *Leader) allocateTerms(t *api.Txn, n int) core.Term {
	c := l.Mirror.Term
	t.If = append(t.If, api.Condition{Key: state.KeyTerm, Version: uint64(c.Version)})
	t.Then = append(t.Then, state.Put(state.KeyTerm, state.TermCounter{Last: c.Record.Last + core.Term(n)}))
	return c.Record.Last + 1
}

// putBlock adds the write of a block's record to a transaction.
func (l *Leader) putBlock(t *api.Txn, b *state.Block) {
	key := state.KeyBlock(b.Number)
	t.If = append(t.If, api.Condition{Key: key, Version: uint64(l.Mirror.Blocks[b.Number].Version)})
	t.Then = append(t.Then, state.Put(key, b))
}

// requireGrant makes a transaction conditional on the current grant of a block that it does
// not write.
func (l *Leader) requireGrant(t *api.Txn, n int) {
	t.If = append(t.If, api.Condition{Key: state.KeyBlock(n), Version: uint64(l.Mirror.Blocks[n].Version)})
}

// liveMembers returns the controllers with a lease, sorted by name.
func (l *Leader) liveMembers() (out []state.Member) {
	for _, h := range core.SortedKeys(l.Mirror.Members) {
		out = append(out, l.Mirror.Members[h].Record)
	}
	return out
}

// holderHasLease reports whether a block's holder still has the lease of its grant.
func (l *Leader) holderHasLease(b *state.Block) bool {
	m, ok := l.Mirror.Members[b.Holder]
	return ok && m.Record.LeaseID == b.LeaseID
}

// writeTypes stores the machine types, so that nodes know them even while the cloud does
// not respond. A change of spot prices alone is not written.
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

// pricedTypes returns the machine types with the latest prices.
func (l *Leader) pricedTypes() map[string]api.MachineType {
	if l.types == nil {
		return l.Mirror.Types.Record
	}
	out := map[string]api.MachineType{}
	for _, t := range l.types {
		out[t.Name] = t
	}
	return out
}
