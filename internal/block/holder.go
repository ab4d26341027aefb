// Package block is the holder's side of a block: it books what runs on the
// block's machines, recovers that picture after a grant, starts and stops
// tasks, and writes down what is done.
package block

import (
	"log/slog"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/peer"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
	"lichenstair/internal/worker"
)

// Env is what a holder works with.
type Env struct {
	Loop    core.Loop
	Log     *slog.Logger
	Config  *config.Config
	Host    core.Host
	Mirror  *state.Mirror
	State   *state.Client
	Workers *worker.Client
	Types   func() map[string]api.MachineType
	Kept    func() capacity.KeptKinds
	Policy  placement.Policy
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
	h.Log.Info("block granted to us", "term", rec.Term, "machines", h.Mirror.Inventory(rec.Number).Len(), "teams", rec.Teams)
	h.follow(rec)
	for _, id := range core.Keys(h.Mirror.Jobs) {
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
	for _, id := range core.Keys(h.machines) {
		h.flush(h.machines[id])
	}
}

// maxSilence is how long a holder may go on without contact to the state
// service: a cancellation accepted elsewhere must still take effect in time,
// which needs the workers' leases to run out before its deadline.
func maxSilence(w config.Workers) time.Duration {
	return w.Cancel - w.Lease - 2*margin - time.Duration(float64(w.Cancel)*2*core.Drift) - time.Second
}

// Entitled tells whether we may still answer workers.
func (h *Holder) Entitled() bool {
	at, ok := h.Mirror.Contact()
	return h.state != released && ok && h.Loop.Now().Sub(at) < maxSilence(h.Config.Workers)
}

// sole is the last time at which the block is proven to have been ours alone.
func (h *Holder) sole() core.Time {
	at, ok := h.Mirror.Contact()
	if !ok {
		return h.at
	}
	return at
}

// Changed takes in what has changed in the mirror.
func (h *Holder) Changed(t state.Touched) {
	if h.state == released {
		return
	}
	if t.Blocks || slices.Contains(t.Inventories, h.number) || slices.Contains(t.Inventories, state.PoolInventory) {
		if b, ok := h.Mirror.Blocks[h.number]; ok {
			h.follow(b.Record)
			h.write()
		}
	}
	for _, id := range t.Jobs {
		h.followJob(id)
	}
	if len(t.Jobs) > 0 {
		h.dirty = true
	}
	h.passSoon()
	h.flushReady()
}

// follow brings the machines in line with the block's record.
func (h *Holder) follow(rec *state.Block) {
	now := h.Loop.Now()
	listed := map[core.MachineID]bool{}
	for r := range h.Mirror.Inventory(h.number).All() {
		listed[r.ID] = true
		m := h.machines[r.ID]
		if m == nil {
			m = &machine{
				id: r.ID, addr: r.Addr, typ: r.Type, zone: r.Zone, spot: r.Spot, up: r.Up, joined: now, idle: now,
				images: map[string]bool{}, slots: map[slotKey]*slot{},
			}
			if r.Up {
				m.state = unsure
				// Any holder before us may have answered it until its own
				// time without contact was over.
				m.answer = now.Add(maxSilence(h.Config.Workers))
			}
			m.term = r.Term
			m.prompted = now
			h.machines[r.ID] = m
			h.dirty = true
			h.fence(m)
		}
		m.up, m.asked, m.lost, m.term = r.Up, r.Asked, r.Lost, max(m.term, r.Term)
	}
	for _, id := range core.Keys(h.machines) {
		m := h.machines[id]
		if !listed[id] {
			if !m.empty() {
				h.Log.Error("a machine left the block while something was booked on it", "machine", id)
			}
			h.clearMachine(m, "machine left the block")
			delete(h.machines, id)
			h.flush(m)
		}
	}
	for p := range h.Mirror.Inventory(state.PoolInventory).All() {
		if m := h.machines[p.ID]; m != nil && p.Fate == state.Gone && m.state != lapsed {
			// The cloud has answered 200 to its return: it and all on it are gone.
			h.clearMachine(m, "returned to the cloud")
			h.moveMachine(m, lapsed)
			m.floor = ^core.Season(0)
		}
	}
}

// clearMachine takes everything off a machine of which that has been proven.
func (h *Holder) clearMachine(m *machine, why string) {
	for _, s := range m.list() {
		h.setOff(s, why)
	}
}

func (h *Holder) followJob(id core.JobID) {
	e := h.Mirror.Jobs[id]
	if e == nil {
		return
	}
	j := h.jobs[id]
	if e.Over() {
		if j != nil {
			h.dropPlans(j)
			delete(h.jobs, id)
			h.Log.Info("job is over", "job", id, "phase", e.Phase)
			h.dirty = true
		}
		return
	}
	if j == nil {
		if n, ok := h.Mirror.TeamBlock(e.Team); !ok || n != h.number || e.Spec == nil {
			return
		}
		j = &job{
			id: id, at: e.At, sent: e.At, blocked: true, spec: e.Spec, rank: placement.Rank(e.Spec.Rank), need: placement.Need{CPUs: e.CPUs, GPUs: e.GPUs, MemoryGB: e.MemoryGB},
			slots: map[int]*slot{}, avoid: map[core.MachineID]core.Time{}, failed: map[core.MachineID]bool{}, inherited: h.state == recovering,
		}
		h.jobs[id] = j
		h.Log.Info("job to place", "job", id, "class", j.spec.Class, "team", j.spec.Team, "form", j.spec.Form, "tasks", j.spec.Tasks, "cpus", j.spec.CPUs, "memory_gb", j.spec.MemoryGB, "spot", j.spec.Spot, "image", j.spec.Image, "estimate_s", j.spec.EstimateS, "age_ms", h.Loop.Wall()-j.at)
		for _, mid := range core.Keys(h.machines) {
			for _, s := range h.machines[mid].list() {
				if s.task.Job == id && s.booked() {
					j.slots[s.task.Index] = s
				}
			}
		}
	}
	// done is final, so the mirror can only be late in showing that the job may run.
	if at, ok := h.Mirror.ReadyAt(e); ok && j.blocked {
		j.at, j.blocked = at, false
		h.dirty = true
		if len(j.spec.Dependencies) > 0 {
			h.Log.Info("all jobs before it are done", "job", id, "waited_ms", at-j.sent)
		}
	}
	j.rank, j.due = max(j.rank, e.Urgency.Rank), e.Urgency.Due
	j.done.Union(e.Done)
	if !j.pending.Empty() {
		var still core.Set
		for i := j.pending.NextIn(0); i >= 0; i = j.pending.NextIn(i + 1) {
			if !e.Done.Has(i) {
				still.Add(i)
			}
		}
		j.pending = still
	}
}

// Cancelled takes in that a job is durably cancelled, before the mirror shows it.
func (h *Holder) Cancelled(id core.JobID) {
	j := h.jobs[id]
	if h.state == released || j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	h.dropPlans(j)
	h.dirty = true
	h.flushReady()
}

// dropPlans takes back what is planned of a job that is over.
func (h *Holder) dropPlans(j *job) {
	for _, i := range core.Keys(j.slots) {
		if s := j.slots[i]; s != nil && s.state == planned {
			h.setOff(s, "job over")
		}
	}
}

// moveSlot is the one place where a slot's state changes.
func (h *Holder) moveSlot(s *slot, to slotState) {
	if s.state == to {
		return
	}
	h.Log.Debug("task changes state", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "from", s.state.String(), "to", to.String())
	s.state = to
}

// setOff notes that a slot's attempt is proven not to be on its machine.
func (h *Holder) setOff(s *slot, why string) {
	was := s.state
	h.moveSlot(s, off)
	s.machine.drop(s)
	if was != planned && was != exited && why != "" {
		h.Log.Info("task is off its machine", "task", s.task.String(), "attempt", s.attempt, "machine", s.machine.id, "was", was.String(), "why", why)
	}
	h.unplace(s)
}

// unplace lets a slot's task wait again, unless it is done.
func (h *Holder) unplace(s *slot) {
	h.dirty = true
	j := h.jobs[s.task.Job]
	if j == nil || j.slots[s.task.Index] != s {
		return
	}
	delete(j.slots, s.task.Index)
	if j.done.Has(s.task.Index) {
		return
	}
	j.again = append(j.again, s.task.Index)
	if j.gang() {
		h.breakGang(j)
	}
}

// breakGang stops what is left of a gang that lost a member.
func (h *Holder) breakGang(j *job) {
	if len(j.slots) == 0 {
		j.broken = false
		return
	}
	j.broken = true
	for _, i := range core.Keys(j.slots) {
		if s := j.slots[i]; s != nil && s.state == planned {
			s.machine.drop(s)
			h.moveSlot(s, off)
			delete(j.slots, s.task.Index)
			j.again = append(j.again, s.task.Index)
		} else if s != nil {
			s.stop = true
		}
	}
	if len(j.slots) == 0 {
		j.broken = false
	}
}

// checkGangs breaks gangs of which recovery found only a part.
func (h *Holder) checkGangs() {
	for _, id := range core.Keys(h.jobs) {
		if j := h.jobs[id]; j.gang() && len(j.slots) > 0 && j.waiting() > 0 {
			h.breakGang(j)
		}
	}
}

// finish notes that a task has completed.
func (h *Holder) finish(j *job, index int) {
	if j.done.Has(index) {
		return
	}
	j.done.Add(index)
	j.pending.Add(index)
	h.dirty = true
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

// fence shows our term to a machine and asks what is on it.
func (h *Holder) fence(m *machine) {
	if m.asking || m.fenced && !m.unreachable || m.addr == "" || h.state == released {
		return
	}
	m.asking = true
	asked := h.Loop.Now()
	var done func(rep *api.Report, again bool)
	done = func(rep *api.Report, again bool) {
		m.asking = false
		if h.state == released || h.machines[m.id] != m {
			return
		}
		if rep == nil || core.MachineID(rep.Machine) != m.id {
			// A question to a machine that is gone hangs for seconds. Asked
			// without a pause, a zone of them took up every call there is, and
			// recovery waited for machines that would have answered at once.
			m.askNext = h.Loop.Now().Add(min(askPause<<min(m.unheeded, 8), maxAskPause))
			m.unheeded++
			return
		}
		m.unheeded = 0
		h.take(m, rep, false, asked)
		if again && core.Season(rep.Season) > m.floor && core.Term(rep.Term) < h.termOf(m) {
			// A worker that sees a higher term reports at once, and so comes to
			// us, instead of with its next report some seconds later.
			h.show(m, done)
		}
		h.checkRecovered()
	}
	if m.season == 0 {
		h.Workers.Inspect(m.addr, func(rep *api.Report) { done(rep, true) })
		return
	}
	h.show(m, done)
}

// show shows a machine the term under which it is commanded.
func (h *Holder) show(m *machine, done func(rep *api.Report, again bool)) {
	m.asking = true
	h.Workers.Fence(m.addr, h.termOf(m), m.season, func(rep *api.Report) { done(rep, false) })
}

// checkRecovered starts to place once every machine is accounted for.
func (h *Holder) checkRecovered() {
	if h.state != recovering {
		return
	}
	for _, m := range h.machines {
		if m.up && !m.fenced && m.state != lapsed {
			return
		}
	}
	h.become(placing)
}

// StoodStill tells that the process did not run for a while.
func (h *Holder) StoodStill() { h.awake = h.Loop.Now() }

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
	for _, id := range core.Keys(h.machines) {
		m := h.machines[id]
		if (!m.fenced && m.state != lapsed || m.unreachable && m.state == live) && now >= m.askNext {
			h.fence(m)
		}
		if m.state == live && now.Sub(max(m.heard, h.awake)) > quiet {
			h.moveMachine(m, silent)
			h.cancelPlans(m)
		}
		if (m.state == live || m.state == silent || m.state == unsure) && sole > m.answer.Add(core.Stretch(w.Lease)+margin) {
			// The lease counts from the sending of the last answered report, which
			// was before our answer; and until sole, nobody else can have answered.
			// By our clock alone it is not sure: after a halt, or without the state
			// service, another holder may have kept the machine alive, and its tasks
			// were taken to be off it.
			h.moveMachine(m, lapsed)
			h.setUnreachable(m, true)
			h.clearMachine(m, "lease surely ran out")
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

// Hint tells the other controllers how the block stands.
func (h *Holder) Hint() peer.BlockHint {
	hint := peer.BlockHint{Number: h.number, Granted: h.term, Placing: h.state == placing}
	for _, j := range h.jobs {
		hint.Waiting += max(j.waiting(), 0)
	}
	for _, id := range core.Keys(h.machines) {
		switch m := h.machines[id]; {
		case m.state == live:
			hint.Live++
			if m.empty() {
				hint.Idle = append(hint.Idle, id)
			}
		case m.state == silent || m.state == unsure || m.state == lapsed && m.up:
			hint.Silent++
		}
	}
	return hint
}

// RunningHints tells the other controllers what runs in the block, for display.
func (h *Holder) RunningHints() (out []peer.RunningHint) {
	for _, id := range core.Keys(h.jobs) {
		if n := h.Running(id); n > 0 {
			out = append(out, peer.RunningHint{Job: id, Tasks: n})
		}
	}
	return out
}

// Failing lists the jobs that are tried one task at a time.
func (h *Holder) Failing() (out []core.JobID) {
	for _, id := range core.Keys(h.jobs) {
		if h.jobs[id].probing() {
			out = append(out, id)
		}
	}
	return out
}

// Running counts the tasks of a job that run, for display.
func (h *Holder) Running(id core.JobID) int {
	j := h.jobs[id]
	if j == nil {
		return 0
	}
	n := 0
	for _, s := range j.slots {
		if s.state == present && s.view != api.TaskFetching {
			n++
		}
	}
	return n
}
