// Package block is the holder's side of a block: it books what runs on the
// block's machines, recovers that picture after a grant, starts and stops
// tasks, and writes down what is done.
package block

import (
	"log/slog"
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

// Env is what a holder works with.
type Env struct {
	Loop      core.Loop
	Log       *slog.Logger
	Config    *config.Config
	Host      core.Host
	Mirror    *state.Mirror
	State     *state.Client
	Workers   *worker.Client
	Types     func() map[string]api.MachineType
	GangKinds func() capacity.GangKinds
	Policy    placement.Policy
	Metrics   *metrics.Metrics
}

// holderState is the state of a holder.
type holderState int

const (
	recovering holderState = iota // asks the machines; places nothing
	placing                       // every machine is accounted for
	released                      // the block is no longer ours
)

func (s holderState) String() string { return [...]string{"recovering", "placing", "released"}[s] }

// Holder holds one block.
type Holder struct {
	Env
	number int
	state  holderState
	term   core.Term
	at     core.Time // when we learnt of the grant
	seq    uint64
	round  int

	machines      map[core.MachineID]*machine
	jobs          map[core.JobID]*job
	teams         map[string]*placement.Team // as the last pass left them
	dirty         bool
	passing       bool // a pass is due
	passAt        core.Time
	awake         core.Time // since when we listen without a halt
	lookAt        core.Time // when what waits is looked at again, though nothing has changed
	writing       bool
	allocating    bool
	reservedTerms struct { // terms in stock, to be shown to machines
		next, last core.Term
		short      bool // there is none for a machine that wants one
	}
}

const (
	margin         = 500 * time.Millisecond
	answerDrop     = 4 * time.Second        // workers drop later answers to reports
	reportPause    = 500 * time.Millisecond // at least, between two reports of a worker
	maxOrders      = 150
	passPause      = 150 * time.Millisecond
	roundPause     = 250 * time.Millisecond
	maxRounds      = 24
	maxBatch       = 24 // changes in one transaction
	unreliableTime = 60 * time.Second
	avoidTime      = 60 * time.Second
	manyFails      = 8 // in a row, of a job that has completed tasks
	lookPause      = 5 * time.Second
	releaseIdle    = 2 * time.Second
	// inheritedWait bounds how long a job counts as having waited before its holder had
	// the block: with what is left, it begins within the 90 s that users count.
	inheritedWait = 60 * time.Second
	askPause      = 100 * time.Millisecond // between questions without answer, doubled each time
	maxAskPause   = 3 * time.Second
)

// New starts to hold a block as its record in the mirror says.
func New(env Env, rec *state.Block) *Holder {
	h := &Holder{
		Env: env, number: rec.Number, term: rec.Term, at: env.Loop.Now(),
		machines: map[core.MachineID]*machine{}, jobs: map[core.JobID]*job{},
	}
	h.Log = env.Log.With("block", rec.Number)
	h.Log.Info("block granted to us", "term", rec.Term, "machines", h.Mirror.Inventory(rec.Number).Len(), "teams", rec.Teams, "revision", h.Mirror.Revision(), "proven_ago", h.sinceProof().String())
	h.follow(rec)
	for _, id := range core.SortedKeys(h.Mirror.Jobs) {
		h.followJob(id)
	}
	h.become(recovering)
	h.Tick()
	return h
}

// Term returns the term of the grant.
func (h *Holder) Term() core.Term { return h.term }

// termOf is the term under which a machine is commanded.
func (h *Holder) termOf(m *machine) core.Term { return max(h.term, m.term) }

// become is the one place where the holder's state changes.
func (h *Holder) become(s holderState) {
	if h.state == released {
		return
	}
	if s != h.state {
		h.Log.Info("holder changes state", "from", h.state.String(), "to", s.String(), "term", h.term, "after", h.Loop.Now().Sub(h.at).String())
	}
	h.state = s
	if s == placing {
		h.checkGangs()
		h.dirty = true
	}
}

// Release ends the holding.
func (h *Holder) Release() {
	h.become(released)
	for _, id := range core.SortedKeys(h.machines) {
		h.flush(h.machines[id])
	}
}

// maxSilence is how long a holder may go on without contact to the state
// service: a cancellation accepted elsewhere must still take effect in time,
// which needs the workers' leases to run out before its deadline.
func maxSilence(w config.WorkerTimings) time.Duration {
	return w.Cancel - w.Lease - 2*margin - time.Duration(float64(w.Cancel)*2*core.MaxClockDrift) - time.Second
}

// MayAnswerWorkers tells whether we may still answer workers.
func (h *Holder) MayAnswerWorkers() bool {
	at, ok := h.Mirror.FreshAsOf()
	return h.state != released && ok && h.Loop.Now().Sub(at) < maxSilence(h.Config.Workers)
}

// sole is the last time at which the block is proven to have been ours alone.
func (h *Holder) sole() core.Time {
	at, ok := h.Mirror.FreshAsOf()
	if !ok {
		return h.at
	}
	return at
}

// sinceProof is how long ago the mirror was last proven to show everything.
func (h *Holder) sinceProof() time.Duration {
	at, ok := h.Mirror.FreshAsOf()
	if !ok {
		return -1
	}
	return h.Loop.Now().Sub(at)
}

// moveMachine is the one place where a machine's state changes.
func (h *Holder) moveMachine(m *machine, to machineState) {
	if m.state == to {
		return
	}
	h.Log.Info("machine changes state", "machine", m.id, "from", m.state.String(), "to", to.String())
	m.state = to
	h.dirty = true
}

// NotePause tells that the process did not run for a while.
func (h *Holder) NotePause() { h.awake = h.Loop.Now() }

// quiet is how long a machine may say nothing before it counts as silent.
func (h *Holder) quiet() time.Duration { return max(3*h.Config.Workers.Report, 2*time.Second) }

// Tick does what is due by time.
func (h *Holder) Tick() {
	if h.state == released {
		return
	}
	now := h.Loop.Now()
	w := h.Config.Workers
	quiet := h.quiet()
	sole := h.sole()
	for _, id := range core.SortedKeys(h.machines) {
		m := h.machines[id]
		if (!m.fenced && m.state != lapsed || m.unreachable && m.state == live) && now >= m.askNext {
			h.fence(m)
		}
		if m.state == live && now.Sub(max(m.heard, h.awake)) > quiet {
			h.moveMachine(m, silent)
			h.cancelPlans(m)
		}
		if (m.state == live || m.state == silent || m.state == unsure) && sole > m.answer.Add(core.WithDrift(w.Lease)+margin) {
			// The lease counts from the sending of the last answered report, which
			// was before our answer; and until sole, nobody else can have answered.
			// By our clock alone it is not sure: after a halt, or without the state
			// service, another holder may have kept the machine alive, and its tasks
			// were taken to be off it.
			h.moveMachine(m, lapsed)
			h.setUnreachable(m, true)
			h.clearMachine(m, releaseLapsed)
			m.floor = m.season
			m.fenced = true
		}
		h.saveInTime(m, now)
		h.drain(m, now)
		switch {
		case !m.empty():
			m.idle = 0
		case m.idle == 0:
			m.idle = now
		}
	}
	h.checkRecovered()
	if h.state == placing {
		h.allocateTerms()
	}
	if now >= h.lookAt && len(h.jobs) > 0 {
		// How long a job has waited decides as well, and time alone changes nothing else.
		h.lookAt, h.dirty = now.Add(lookPause), true
	}
	h.passSoon()
	h.flushReady()
	h.write()
}
