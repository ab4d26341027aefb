// Package block implements the holder of a block: it books what runs on the block's machines,
// recovers that state after a grant, starts and stops tasks, and persists which tasks are
// done.
package block

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/metrics"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
	"lichenstair/internal/worker"
)

// Env holds the dependencies and settings of a holder.
type Env struct {
	Loop      core.Loop
	Log       *slog.Logger
	Config    *config.Config
	Host      core.Host
	Mirror    *state.Mirror
	State     *state.Client
	Workers   *worker.Client
	Types     func() map[string]api.MachineType // the cloud's machine types, by name
	GangKinds func() capacity.GangKinds         // the kinds of machine reserved for gangs even while none waits
	Policy    placement.Policy                  // variant of the placement to run
	Metrics   *metrics.Metrics
}

// holderState is the state of a holder.
type holderState int

const (
	recovering holderState = iota // queries the machines; places nothing
	placing                       // every machine in use was accounted for; places tasks
	released                      // the block is no longer held
)

func (s holderState) String() string { return [...]string{"recovering", "placing", "released"}[s] }

// Holder manages one block while this controller holds it.
type Holder struct {
	Env
	number     int // of the block
	state      holderState
	term       core.Term // of the grant
	grantedAt  core.Time // when the grant was seen
	attemptSeq uint64    // number of attempts planned under this grant
	batchSeq   int       // number of completion batches written under this grant

	machines           map[core.MachineID]*machine
	sortedMachines     []*machine // cache of orderedMachines, nil after a machine was added or removed
	jobs               map[core.JobID]*job
	attemptsWithoutJob map[core.JobID][]*slot     // attempts on the machines whose jobs are not in jobs
	teams              map[string]*placement.Team // as of the last pass (run of the placement), nil before the first
	dirty              bool                       // something has changed since the last pass
	passScheduled      bool                       // a pass is scheduled
	lastPass           core.Time
	passInterval       time.Duration // least time from the begin of the last pass to that of the next
	nextGroup          int           // where the next pass goes on, see placement.Result
	resumedAt          core.Time     // when the process last resumed after a pause
	reevaluateAt       core.Time     // when to run a pass again although nothing has changed
	writeInFlight      bool          // a write of records has not been confirmed yet
	allocatingTerms    bool          // terms are being allocated
	reservedTerms      struct {      // terms allocated in advance, to prompt machines with
		next, last core.Term // the reserved terms; none if next is above last
		exhausted  bool      // a machine needs a term and no suitable one is left
	}
}

const (
	timingMargin          = 500 * time.Millisecond // added to bounds on lease expiry and message delivery
	responseTimeout       = 4 * time.Second        // a worker drops a response that arrives later than this after it sent the report
	minReportInterval     = 500 * time.Millisecond // least time between two reports of a worker
	maxStartsPerResponse  = 150                    // start commands in one response
	minPassInterval       = 150 * time.Millisecond // least time between two passes
	passSpacing           = 4                      // least time between two passes, in durations of the first
	writeInterval         = 250 * time.Millisecond // the next write follows half of this after one was confirmed
	maxCompletionBatches  = 24                     // from this many on, batches with entries of unfinished jobs are merged too
	maxTxnChanges         = 24                     // changes in one transaction
	unreliableFor         = 60 * time.Second       // how long any other machine is preferred to one that failed tasks
	excludeFor            = 60 * time.Second       // how long a job is not tried on a machine on which it failed
	failuresBeforeBackoff = 8                      // consecutive failures of a job that has completed tasks
	reevaluateInterval    = 5 * time.Second        // between passes without any change
	minIdleToLeave        = 2 * time.Second        // idle time before a machine may leave the block
	// maxInheritedWait bounds the waiting time credited to a job for the time before this
	// holder had the block. It is chosen so that such a job starts within the 90 s that users
	// measure.
	maxInheritedWait = 60 * time.Second
	queryBackoff     = 100 * time.Millisecond // backoff after a query without response, doubled each time
	maxQueryBackoff  = 3 * time.Second        // bound of that backoff
)

// New creates the holder of a block from the block's record in the mirror, and starts
// recovery.
func New(env Env, rec *state.Block) *Holder {
	h := &Holder{
		Env: env, number: rec.Number, term: rec.Term, grantedAt: env.Loop.Now(),
		machines: map[core.MachineID]*machine{}, jobs: map[core.JobID]*job{},
	}
	h.Log = env.Log.With("block", rec.Number)
	h.Log.Info("holder started", "term", rec.Term, "machines", h.Mirror.Inventory(rec.Number).Len(), "teams", rec.Teams, "revision", h.Mirror.Revision(), "proven_ago", h.Mirror.Staleness().String())
	h.syncMachines(rec)
	for _, id := range h.Mirror.UnfinishedJobs() {
		h.syncJob(id)
	}
	h.setState(recovering)
	h.Tick()
	return h
}

// jobsThat returns the jobs for which a condition holds, ordered by their ids. Most jobs may be waiting for
// others, so only those that are returned are sorted.
func (h *Holder) jobsThat(holds func(*job) bool) (out []*job) {
	for _, j := range h.jobs {
		if holds(j) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}

// Term returns the term of the grant.
func (h *Holder) Term() core.Term { return h.term }

// commandTerm returns the term under which a machine is commanded.
func (h *Holder) commandTerm(m *machine) core.Term { return max(h.term, m.term) }

// setState changes the holder's state. No other function does so.
func (h *Holder) setState(s holderState) {
	if h.state == released {
		return
	}
	if s != h.state {
		h.Log.Info("holder state changed", "from", h.state.String(), "to", s.String(), "term", h.term, "after", h.Loop.Now().Sub(h.grantedAt).String())
	}
	h.state = s
	if s == placing {
		h.checkGangs()
		h.dirty = true
	}
}

// Release stops the holder; held reports are refused.
func (h *Holder) Release() {
	h.setState(released)
	for _, m := range h.orderedMachines() {
		h.answerHeldReport(m)
	}
}

// maxContactAge is how long a holder may go on answering workers without contact to the state
// service. A cancellation accepted by another controller must still take effect by its
// deadline, so the leases renewed here have to expire before then.
func maxContactAge(w config.WorkerTimings) time.Duration {
	return w.Cancel - w.Lease - 2*timingMargin - time.Duration(float64(w.Cancel)*2*core.MaxClockDrift) - time.Second
}

// MayAnswerWorkers reports whether this holder may still answer workers: it holds the block
// and its mirror was confirmed fresh recently enough.
func (h *Holder) MayAnswerWorkers() bool {
	return h.state != released && h.Mirror.Staleness() < min(maxContactAge(h.Config.Workers), state.NeverFresh)
}

// provenHolderAt returns the last time at which the block is proven to have been held by us
// alone; that is the time of the grant if the mirror was never confirmed fresh.
func (h *Holder) provenHolderAt() core.Time {
	at, ok := h.Mirror.FreshAsOf()
	if !ok {
		return h.grantedAt
	}
	return at
}

// setMachineState changes the state of a machine that is in the block. No other function does
// so.
func (h *Holder) setMachineState(m *machine, to machineState) {
	if m.state == to {
		return
	}
	h.Log.Info("machine state changed", "machine", m.id, "from", m.state.String(), "to", to.String())
	m.state = to
	h.dirty = true
}

// NotePause records that the process was paused and has just resumed.
func (h *Holder) NotePause() { h.resumedAt = h.Loop.Now() }

// silenceTimeout returns how long a machine may send nothing before it counts as silent.
func (h *Holder) silenceTimeout() time.Duration { return max(3*h.Config.Workers.Report, 2*time.Second) }

// Tick runs the periodic work: time-outs, queries, term allocation, passes and writes.
func (h *Holder) Tick() {
	if h.state == released {
		return
	}
	now := h.Loop.Now()
	w := h.Config.Workers
	maxSilence := h.silenceTimeout()
	provenAt := h.provenHolderAt()
	for _, m := range h.orderedMachines() {
		if (!m.fenced && m.state != lapsed || m.unreachable && m.state == live) && now >= m.nextQuery {
			h.fence(m)
		}
		if m.state == live && now.Sub(max(m.lastMessage, h.resumedAt)) > maxSilence {
			h.setMachineState(m, silent)
			h.dropPlans(m.orderedSlots())
		}
		if (m.state == live || m.state == silent || m.state == unsure) && provenAt > m.lastRenewal.Add(core.WithDrift(w.Lease)+timingMargin) {
			// The worker's lease counts from the sending of the last answered report, which
			// was before our response, and no other holder can have answered until provenAt. Our
			// own clock alone proves nothing: after a pause of the process, or without the
			// state service, another holder may have renewed the lease, and running tasks
			// would be taken to be off the machine.
			h.setMachineState(m, lapsed)
			h.setUnreachable(m, true)
			h.releaseAllAttempts(m, releaseLeaseExpired)
			m.ignoredThrough = m.session
			m.fenced = true
		}
		h.saveBeforeReclaim(m, now)
		h.drain(m, now)
		switch {
		case !m.empty():
			m.idleSince = 0
		case m.idleSince == 0:
			m.idleSince = now
		}
	}
	h.checkRecovered()
	if h.state == placing {
		h.allocateTerms()
	}
	if now >= h.reevaluateAt && len(h.jobs) > 0 {
		// The placement also depends on how long jobs have waited, which changes without any
		// event.
		h.reevaluateAt, h.dirty = now.Add(reevaluateInterval), true
	}
	h.schedulePass()
	h.answerHeldReports()
	h.writeRecords()
}
