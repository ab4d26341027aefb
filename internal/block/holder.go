// Package block is the holder's side of a block: it books what runs on the
// block's machines, recovers that picture after a grant, starts and stops
// tasks, and writes down what is done.
package block

import (
	"encoding/json"
	"log/slog"
	"slices"
	"sort"
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
	Kept    func() map[capacity.Kind]bool
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
	number  int
	state   holderState
	term    core.Term
	granted core.Term
	at      core.Time // when we learnt of the grant
	seq     uint64
	round   int

	machines map[core.MachineID]*machine
	jobs     map[core.JobID]*job
	dirty    bool
	passing  bool // a pass is due
	passAt   core.Time
	writing  bool
}

const (
	margin      = 500 * time.Millisecond
	answerDrop  = 4 * time.Second        // workers drop later answers to reports
	reportPause = 500 * time.Millisecond // at least, between two reports of a worker
	maxOrders   = 150
	passPause   = 150 * time.Millisecond
	roundPause  = 250 * time.Millisecond
	maxRounds   = 24
	maxParts    = 12 // of machines' records, in one transaction
	shunTime    = 60 * time.Second
	avoidTime   = 60 * time.Second
	releaseIdle = 2 * time.Second
)

// New starts to hold a block as its record in the mirror says.
func New(env Env, rec *state.Block) *Holder {
	h := &Holder{
		Env: env, number: rec.Number, term: rec.Term, granted: rec.Granted, at: env.Loop.Now(),
		machines: map[core.MachineID]*machine{}, jobs: map[core.JobID]*job{},
	}
	h.Log = env.Log.With("block", rec.Number)
	h.Log.Info("block granted to us", "term", rec.Term, "machines", h.Mirror.Shelf(rec.Number).Len(), "teams", rec.Teams)
	h.follow(rec)
	for _, id := range core.Keys(h.Mirror.Jobs) {
		h.followJob(id)
	}
	h.become(recovering)
	h.Tick()
	return h
}

// Granted returns the term of the grant.
func (h *Holder) Granted() core.Term { return h.granted }

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

// Changed takes in what has changed in the mirror.
func (h *Holder) Changed(t state.Touched) {
	if h.state == released {
		return
	}
	if t.Blocks || slices.Contains(t.Shelves, h.number) || slices.Contains(t.Shelves, state.PoolShelf) {
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
	if rec.Term != h.term {
		h.Log.Info("term raised", "from", h.term, "to", rec.Term)
		h.term = rec.Term
	}
	listed := map[core.MachineID]bool{}
	for r := range h.Mirror.Shelf(h.number).All() {
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
			h.machines[r.ID] = m
			h.dirty = true
			h.fence(m)
		}
		m.up, m.asked, m.lost = r.Up, r.Asked, r.Lost
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
	for p := range h.Mirror.Shelf(state.PoolShelf).All() {
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
			for _, i := range core.Keys(j.slots) {
				if s := j.slots[i]; s != nil && s.state == planned {
					h.setOff(s, "job over")
				}
			}
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
			id: id, at: e.At, spec: e.Spec, need: placement.Need{CPUs: e.CPUs, GPUs: e.GPUs, MemoryGB: e.MemoryGB},
			slots: map[int]*slot{}, avoid: map[core.MachineID]core.Time{},
		}
		h.jobs[id] = j
		h.Log.Info("job to place", "job", id, "class", j.spec.Class, "team", j.spec.Team, "form", j.spec.Form, "tasks", j.spec.Tasks, "age_ms", h.Loop.Wall()-j.at)
		for _, mid := range core.Keys(h.machines) {
			for _, s := range h.machines[mid].list() {
				if s.task.Job == id && s.booked() {
					j.slots[s.task.Index] = s
				}
			}
		}
	}
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
	delete(s.machine.slots, s.slotKey)
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
			delete(s.machine.slots, s.slotKey)
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

// Report answers a worker's report, now or, if it has nothing to do, a little
// later; done(_, false) means that the machine is not ours to answer.
func (h *Holder) Report(rep *api.Report, done func(api.ReportAnswer, bool)) {
	m := h.machines[core.MachineID(rep.Machine)]
	if m == nil || !h.Entitled() || core.Term(rep.Term) > h.term || m.floor == ^core.Season(0) {
		done(api.ReportAnswer{}, false)
		return
	}
	now := h.Loop.Now()
	if h.lateCopy(m, rep, now) {
		done(api.ReportAnswer{}, false)
		return
	}
	h.flush(m)
	m.addr = rep.Addr
	fresh := h.take(m, rep, true, now)
	if !m.fenced {
		h.fence(m)
		if m.unheard == 0 {
			m.unheard = now
		}
		if now.Sub(m.unheard) > h.Config.Workers.Lease/2 {
			// Whatever we answer, its reports do not show our term: nothing
			// reaches it. An answer held to renew its lease would put off for
			// ever the time at which that has surely run out, and the whole
			// block would wait for it.
			done(api.ReportAnswer{}, false)
			return
		}
	}
	m.answer = max(m.answer, now)
	if !fresh {
		done(api.ReportAnswer{Term: uint64(h.term), Orders: []api.Order{}}, true)
		return
	}
	h.passSoon()
	if h.urgent(m) {
		done(api.ReportAnswer{Term: uint64(h.term), Orders: h.orders(m)}, true)
		return
	}
	x := &held{done}
	m.held = x
	h.Loop.After(h.holdTime(m), func() {
		if m.held == x {
			h.flush(m)
		}
	})
	if m.asked {
		h.write()
	}
}

// lateCopy tells whether a report was sent long ago. A worker gives a report up
// after a while, so one that is in flight can be older only than a message that
// we have had since. A late copy must neither show a machine alive nor count as
// answered: copies that kept coming put off the time at which the lease of a
// dead machine had surely run out.
func (h *Holder) lateCopy(m *machine, rep *api.Report, now core.Time) bool {
	return m.season > 0 && !core.Newer(core.Season(rep.Season), core.Tally(rep.Tally), m.season, m.tally) &&
		now > m.heard.Add(core.Stretch(answerDrop)+margin)
}

// holdTime is how long the answer to a worker may be kept back. Its lease counts
// from the sending of the report, and it gives up after four seconds. One that
// is busy may soon have something to tell, but not before its next report is
// allowed: until then, what the next pass plans on it goes out at once instead
// of with a report that may be seconds away.
func (h *Holder) holdTime(m *machine) time.Duration {
	if !m.empty() && !m.planned() {
		return reportPause - 50*time.Millisecond
	}
	return min(answerDrop*5/8, h.Config.Workers.Lease/4)
}

// flush answers a report that was kept back.
func (h *Holder) flush(m *machine) {
	x := m.held
	if x == nil {
		return
	}
	m.held = nil
	if h.state == released || h.machines[m.id] != m || !h.Entitled() {
		x.done(api.ReportAnswer{}, false)
		return
	}
	x.done(api.ReportAnswer{Term: uint64(h.term), Orders: h.orders(m)}, true)
}

// flushReady answers the reports for which there is something to say by now.
func (h *Holder) flushReady() {
	for _, id := range core.Keys(h.machines) {
		if m := h.machines[id]; m.held != nil && h.urgent(m) {
			h.flush(m)
		}
	}
}

// urgent tells whether a machine should hear of something at once: a start, or
// a task that has to stop.
func (h *Holder) urgent(m *machine) bool {
	for _, s := range m.slots {
		if s.state == planned && h.ready(m) || s.state == present && s.stopped == 0 && (s.stop || h.unwanted(s)) {
			return true
		}
	}
	return false
}

// unwanted tells whether a task on a machine should not be there: its job is
// over, or unknown to us, or has the task elsewhere.
func (h *Holder) unwanted(s *slot) bool {
	e, j := h.Mirror.Jobs[s.task.Job], h.jobs[s.task.Job]
	return e == nil || e.Over() || j == nil || j.slots[s.task.Index] != s
}

// ready tells whether starts may be sent to a machine.
func (h *Holder) ready(m *machine) bool {
	return h.state == placing && m.up && m.fenced && !m.deaf && m.state == live && !h.lowered(m)
}

// passSoon plans what can start, not too often.
func (h *Holder) passSoon() {
	now := h.Loop.Now()
	if !h.dirty || h.state != placing {
		return
	}
	if now.Sub(h.passAt) >= passPause {
		h.pass()
		return
	}
	if !h.passing {
		h.passing = true
		h.Loop.After(h.passAt.Add(passPause).Sub(now), func() {
			h.passing = false
			h.passSoon()
		})
	}
}

// orders composes the commands for a machine that has just reported.
func (h *Holder) orders(m *machine) []api.Order {
	now := h.Loop.Now()
	var kills, clears, runs []api.Order
	for _, s := range m.list() {
		order := api.Order{Task: s.task.String(), Attempt: uint64(s.attempt)}
		e := h.Mirror.Jobs[s.task.Job]
		switch s.state {
		case exited:
			if s.cause != api.CauseDone || e == nil || e.Over() || e.Done.Has(s.task.Index) {
				order.Verb = api.VerbClear
				clears = append(clears, order)
			}
		case present:
			if unwanted := h.unwanted(s); unwanted || s.stop {
				grace := s.grace
				if unwanted {
					grace = 0
				}
				if s.stopped == 0 {
					s.stopped = now
				}
				order.Verb, order.GraceS = api.VerbKill, &grace
				kills = append(kills, order)
			}
		case planned:
			if h.ready(m) && len(runs) < maxOrders {
				h.moveSlot(s, starting)
				s.sentAt, s.sentSeason, s.sentTally = now, m.season, m.tally
				s.ends = now.Add(h.expected(s, m))
				order.Verb = api.VerbRun
				runs = append(runs, order)
			}
		}
	}
	out := append(append(kills, clears...), runs...)
	if out == nil {
		out = []api.Order{}
	}
	return out
}

// expected estimates how long a task will be on a machine.
func (h *Holder) expected(s *slot, m *machine) time.Duration {
	j := h.jobs[s.task.Job]
	if j == nil {
		return 0
	}
	d := j.estimate()
	if !m.images[j.spec.Image] {
		if t, ok := h.Types()[m.typ]; ok && t.FetchGBPerS > 0 {
			d += core.Seconds(j.spec.ImageGB / t.FetchGBPerS)
		}
	}
	return d
}

// take brings what we know of a machine in line with a report. asked is when
// the message was requested (direct) or received (report). It tells whether
// the report was news.
func (h *Holder) take(m *machine, rep *api.Report, viaReport bool, asked core.Time) bool {
	now := h.Loop.Now()
	season, tally := core.Season(rep.Season), core.Tally(rep.Tally)
	if season <= m.floor || !core.Newer(season, tally, m.season, m.tally) {
		return false
	}
	if season > m.season {
		if m.fenced && m.season > 0 && m.state == live && now.Sub(m.answer) < h.Config.Workers.Lease/2 {
			// Its lease ran out though we answered its reports.
			h.setDeaf(m, true)
		}
		// The worker has killed and forgotten everything of earlier seasons,
		// and drops answers to reports of those.
		for _, s := range m.list() {
			if s.state != planned {
				h.setOff(s, "worker's lease ran out")
			}
		}
		m.images = map[string]bool{}
		m.recent = nil
	}
	m.season, m.tally, m.heard = season, tally, now
	if !viaReport {
		h.setDeaf(m, false) // it answered a command
	}
	if rep.NoticeS != nil {
		if m.notice == 0 {
			h.Log.Info("the cloud takes a machine back", "machine", m.id, "in_s", *rep.NoticeS)
			h.dirty = true
		}
		m.notice = now.Add(core.Seconds(max(*rep.NoticeS, 0))) + 1
	}
	seen := map[slotKey]bool{}
	for _, v := range rep.Tasks {
		id, err := core.ParseTask(v.Task)
		if err != nil {
			continue
		}
		k := slotKey{id, core.Attempt(v.Attempt)}
		seen[k] = true
		h.see(m, k, v)
	}
	for _, s := range m.list() {
		if seen[s.slotKey] || s.state == planned {
			continue
		}
		if s.state == starting {
			// A start sent in an answer is settled by the next report, since a
			// worker has one report in flight; a direct message says so only
			// once the answer would have been dropped.
			settled := viaReport && core.Newer(season, tally, s.sentSeason, s.sentTally) ||
				asked > s.sentAt.Add(core.Stretch(answerDrop)+margin)
			if !settled {
				continue
			}
			if viaReport {
				h.setDeaf(m, true)
			}
			h.setOff(s, "start was not executed")
			continue
		}
		h.setOff(s, "")
	}
	if core.Term(rep.Term) >= h.granted && !m.fenced {
		// It has seen our term: no command of an earlier holder counts any more.
		m.fenced = true
		m.unheard = 0
		m.answer = now
		h.dirty = true
		h.Log.Debug("machine accounted for", "machine", m.id)
	}
	if m.fenced {
		h.moveMachine(m, live)
	} else if m.state == booting || m.state == lapsed {
		h.moveMachine(m, unsure)
	}
	return true
}

// setDeaf notes whether what we say reaches a machine. One that reports but does
// not act on the answers gets no work until it has answered a command; else its
// starts were lost again and again, each with a lease.
func (h *Holder) setDeaf(m *machine, deaf bool) {
	if m.deaf == deaf {
		return
	}
	h.Log.Info("machine hears us", "machine", m.id, "hears", !deaf)
	m.deaf, m.deafSince = deaf, h.Loop.Now()
	h.dirty = true
	if deaf {
		h.unplan(m)
		h.fence(m)
	}
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

// see takes in one task of a report.
func (h *Holder) see(m *machine, k slotKey, v api.TaskView) {
	now := h.Loop.Now()
	s := m.slots[k]
	j := h.jobs[k.task.Job]
	if j != nil && k.task.Index >= j.spec.Tasks {
		j = nil
	}
	if s == nil {
		s = &slot{slotKey: k, machine: m, state: present, ends: now}
		if e := h.Mirror.Jobs[k.task.Job]; e != nil {
			s.team, s.need = e.Team, placement.Need{CPUs: e.CPUs, GPUs: e.GPUs, MemoryGB: e.MemoryGB}
		}
		if j != nil {
			s.ends = now.Add(h.expected(s, m))
		}
		m.slots[k] = s
		if j != nil && v.State != api.TaskExited && !j.done.Has(k.task.Index) {
			if other := j.slots[k.task.Index]; other == nil {
				j.slots[k.task.Index] = s
			} else if other.state == planned {
				// It already runs here; the plan is dropped.
				delete(other.machine.slots, other.slotKey)
				h.moveSlot(other, off)
				j.slots[k.task.Index] = s
			}
		}
		h.dirty = true
	}
	if s.state == exited {
		return
	}
	s.view = v.State
	if j != nil && (v.State == api.TaskRunning || v.State == api.TaskGathering || v.State == api.TaskSaving) {
		m.sawImage(j.spec.Image)
		if s.since == 0 && v.State == api.TaskRunning {
			h.Log.Debug("task runs", "task", k.task.String(), "attempt", k.attempt, "machine", m.id)
			s.since = now
			s.ends = now.Add(j.estimate())
		}
	}
	if v.State != api.TaskExited {
		h.moveSlot(s, present)
		return
	}
	h.moveSlot(s, exited)
	s.cause = v.Cause
	h.dirty = true
	if j == nil {
		return
	}
	if v.Cause == api.CauseDone {
		m.fails = 0
		h.finish(j, k.task.Index)
		if j.gang() {
			// A gang completes together: if one task is done, all are.
			for i := range j.spec.Tasks {
				h.finish(j, i)
			}
		}
	} else {
		h.Log.Info("task ended without completing", "task", k.task.String(), "attempt", k.attempt, "machine", m.id, "cause", v.Cause, "saved", v.Saved)
		h.blame(m, j, v.Cause)
	}
	h.unplace(s)
}

// blame remembers which machines fail tasks, and which jobs fail everywhere.
func (h *Holder) blame(m *machine, j *job, cause string) {
	now := h.Loop.Now()
	switch cause {
	case api.CauseError:
		m.fails++
		j.fails++
		j.avoid[m.id] = now.Add(avoidTime)
		if m.fails >= 2 && j.fails < 4 {
			m.shunned = now.Add(shunTime)
		}
		if j.fails >= 4 {
			// It fails wherever it runs: try it ever more seldom.
			j.holdoff = now.Add(min(time.Second<<min(j.fails-4, 5), 30*time.Second))
		}
	case api.CauseNoSuch:
		j.fails++
		j.holdoff = now.Add(min(time.Second<<min(j.fails, 4), 15*time.Second))
	case api.CauseNoRoom, api.CauseInUse:
		j.avoid[m.id] = now.Add(3 * time.Second)
	}
}

// fence shows our term to a machine and asks what is on it.
func (h *Holder) fence(m *machine) {
	if m.asking || m.fenced && !m.deaf || m.addr == "" || h.state == released {
		return
	}
	m.asking = true
	asked := h.Loop.Now()
	done := func(rep *api.Report, again bool) {
		m.asking = false
		if h.state == released || h.machines[m.id] != m || rep == nil || core.MachineID(rep.Machine) != m.id {
			return
		}
		h.take(m, rep, false, asked)
		if !m.fenced && again && core.Season(rep.Season) > m.floor {
			h.fence(m)
		}
		h.checkRecovered()
	}
	if m.season == 0 {
		h.Workers.Inspect(m.addr, func(rep *api.Report) { done(rep, true) })
		return
	}
	h.Workers.Fence(m.addr, h.term, m.season, func(rep *api.Report) { done(rep, false) })
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

// Tick does what is due by time.
func (h *Holder) Tick() {
	if h.state == released {
		return
	}
	now := h.Loop.Now()
	w := h.Config.Workers
	quiet := max(3*w.Report, 2*time.Second)
	for _, id := range core.Keys(h.machines) {
		m := h.machines[id]
		if !m.fenced && m.state != lapsed || m.deaf && m.state == live {
			h.fence(m)
		}
		if m.state == live && now.Sub(m.heard) > quiet {
			h.moveMachine(m, silent)
			h.unplan(m)
		}
		if (m.state == live || m.state == silent || m.state == unsure) && now > m.answer.Add(core.Stretch(w.Lease)+margin) {
			// The lease counts from the sending of the last answered report,
			// which was before our answer: it has surely run out.
			h.moveMachine(m, lapsed)
			h.setDeaf(m, true)
			h.clearMachine(m, "lease surely ran out")
			m.floor = m.season
			m.fenced = true
		}
		switch {
		case !m.empty():
			m.idle = 0
		case m.idle == 0:
			m.idle = now
		}
	}
	h.checkRecovered()
	h.passSoon()
	h.flushReady()
	h.write()
}

// lowered tells whether a write that calls the machine unused may still be
// carried out: a start that went out before it would be unknown to a later holder.
func (h *Holder) lowered(m *machine) bool {
	return m.lowering != 0 && m.lowering == h.Mirror.Shelf(h.number).VersionOf(m.id)
}

// unplan drops plans for a machine that does not fetch them.
func (h *Holder) unplan(m *machine) {
	for _, s := range m.list() {
		if s.state == planned {
			h.setOff(s, "")
		}
	}
}

func (h *Holder) usable(m *machine) bool {
	return m.state == live && m.fenced && !m.deaf && m.notice == 0 && !m.asked && !m.lost && m.total.CPUs > 0 &&
		!h.lowered(m) && (m.leaving == 0 || m.leaving != h.Mirror.Shelf(h.number).VersionOf(m.id))
}

// pass plans starts.
func (h *Holder) pass() {
	now := h.Loop.Now()
	h.passAt = now
	h.dirty = false
	types := h.Types()
	jobs := h.candidates(now)
	kept := h.keptNow(jobs, types)
	teams := map[string]*placement.Team{}
	for _, t := range h.Config.Teams {
		teams[t.Name] = &placement.Team{Max: placement.Need{CPUs: t.CPUsMax, GPUs: t.GPUsMax}}
	}
	var machines []*placement.Machine
	for _, id := range core.Keys(h.machines) {
		m := h.machines[id]
		if t, ok := types[m.typ]; ok {
			m.total = placement.Room(t)
		}
		for _, s := range m.list() {
			if s.booked() && teams[s.team] != nil {
				teams[s.team].Used = teams[s.team].Used.Plus(s.need)
			}
		}
		if !h.usable(m) {
			continue
		}
		p := &placement.Machine{ID: m.id, Type: m.typ, Zone: m.zone, Spot: m.spot, Total: m.total, Booked: m.booked(), Images: m.images, Shunned: m.shunned > now, Tasks: len(m.slots), MaxTasks: placement.MaxTasks, Kept: kept[capacity.Kind{Type: m.typ, Spot: m.spot}]}
		for _, s := range m.slots {
			if s.booked() {
				p.Releases = append(p.Releases, placement.Release{At: h.ends(s, now), Need: s.need})
			}
		}
		machines = append(machines, p)
	}
	h.standBack(jobs, machines, teams)
	for _, j := range jobs {
		j.NoChoice = capacity.NoChoice(j, types, kept)
	}
	res := placement.Pass(now, machines, jobs, teams, h.Policy)
	for _, st := range res.Starts {
		h.plan(h.jobs[st.Job], h.machines[st.Machine])
	}
	if res.Reserved != "" {
		h.Log.Debug("oldest waiting job holds a reservation", "job", res.Reserved, "in", res.ReservedAt.Sub(now).String())
	}
	h.requestUp()
	h.flushReady()
}

// standBack chooses, team by team, the arrays that give way where not all can be
// in time. A team can use what its arrays have and what is free, or what it is
// guaranteed, up to its limit.
func (h *Holder) standBack(jobs []*placement.Job, machines []*placement.Machine, teams map[string]*placement.Team) {
	free := 0.0
	for _, m := range machines {
		if !m.Kept {
			free += m.Free().CPUs
		}
	}
	hasty := map[string][]*placement.Job{}
	listed := map[core.JobID]bool{}
	for _, j := range jobs {
		listed[j.ID] = true
		if len(j.Haste.Due) > 0 && j.Late == 0 {
			hasty[j.Team] = append(hasty[j.Team], j)
		}
	}
	have := map[string]float64{}
	running := map[string]float64{}
	for _, j := range h.jobs {
		if j.gang() {
			continue
		}
		have[j.spec.Team] += j.need.CPUs * float64(j.live())
		if !listed[j.id] {
			running[j.spec.Team] += j.work()
		}
	}
	for _, t := range h.Config.Teams {
		team := teams[t.Name]
		cpus := min(max(have[t.Name]+free, t.CPUs), t.CPUsMax-(team.Used.CPUs-have[t.Name]))
		placement.StandBack(h.Loop.Wall(), cpus, running[t.Name], hasty[t.Name])
	}
}

// keptNow lists the kinds of machine that arrays must leave alone: those always
// kept for gangs, and those that a gang waits for now.
func (h *Holder) keptNow(jobs []*placement.Job, types map[string]api.MachineType) map[capacity.Kind]bool {
	kept := h.Kept()
	for _, j := range jobs {
		if !j.Gang {
			continue
		}
		for _, name := range capacity.Scarce(j, types) {
			kept[capacity.Kind{Type: name}] = true
			if j.Spot {
				kept[capacity.Kind{Type: name, Spot: true}] = true
			}
		}
	}
	return kept
}

// ends is when a task ends by estimate; one that overruns is given more time,
// in growing steps, instead of being expected to end at any moment.
func (h *Holder) ends(s *slot, now core.Time) core.Time {
	if s.ends > now {
		return s.ends
	}
	over := now.Sub(s.ends)
	return now.Add(max(over/2, time.Second))
}

// candidates lists the jobs with waiting tasks for the placement.
func (h *Holder) candidates(now core.Time) []*placement.Job {
	var all []*job
	for _, j := range h.jobs {
		all = append(all, j)
	}
	sort.Slice(all, func(a, b int) bool {
		if all[a].at != all[b].at {
			return all[a].at < all[b].at
		}
		return all[a].id < all[b].id
	})
	sum := map[string]float64{}
	guaranteed := map[string]float64{}
	for _, t := range h.Config.Teams {
		guaranteed[t.Name] = t.CPUs
	}
	var out []*placement.Job
	for _, j := range all {
		team := j.spec.Team
		sum[team] += j.need.CPUs * float64(j.spec.Tasks-j.done.Len())
		waiting := j.waiting()
		if waiting <= 0 || j.broken || j.holdoff > now {
			if j.holdoff > now {
				h.dirty = true
			}
			continue
		}
		if j.gang() && len(j.slots) > 0 {
			continue
		}
		described := placement.JobOf(j.id, j.at, j.spec)
		p := &described
		p.Waiting, p.Zones, p.Avoid, p.Guaranteed = waiting, map[string]int{}, map[core.MachineID]bool{}, sum[team] <= guaranteed[team]
		wall := h.Loop.Wall()
		if capacity.Late(h.Config.Aims, j.spec, j.at, wall) {
			p.Late = len(h.Config.Aims)
		}
		p.Overdue = capacity.Overdue(j.at, wall, j.begun())
		p.Haste = placement.Haste{Due: capacity.Due(h.Config.Aims, j.spec, j.at), Work: j.work()}
		for _, m := range h.machines {
			for _, s := range m.slots {
				if s.task.Job == j.id && s.booked() {
					p.Zones[m.zone]++
				}
			}
		}
		for id, until := range j.avoid {
			if until > now {
				p.Avoid[id] = true
				h.dirty = true
			} else {
				delete(j.avoid, id)
			}
		}
		out = append(out, p)
	}
	return out
}

// plan books a task on a machine; the start goes out with its next report.
func (h *Holder) plan(j *job, m *machine) {
	i, ok := j.next()
	if !ok {
		h.Log.Error("no task waits though the placement counted one", "job", j.id)
		return
	}
	var attempt core.Attempt
	if j.gang() {
		for _, s := range j.slots {
			attempt = s.attempt
		}
	}
	if attempt == 0 {
		// The term makes it unique among holders, the count among our own.
		h.seq++
		attempt = core.Attempt(uint64(h.granted)<<24 + h.seq)
	}
	s := &slot{slotKey: slotKey{core.TaskID{Job: j.id, Index: i}, attempt}, machine: m, team: j.spec.Team, need: j.need}
	s.ends = h.Loop.Now().Add(h.expected(s, m))
	j.slots[i] = s
	m.slots[s.slotKey] = s
	m.idle = 0
}

// requestUp makes it durable that machines are in use before anything starts.
func (h *Holder) requestUp() {
	for _, m := range h.machines {
		if !m.up && !m.empty() {
			h.write()
			return
		}
	}
}

// write brings the records in line with what we know, one transaction at a time.
func (h *Holder) write() {
	if h.writing || h.state == released {
		return
	}
	b, ok := h.Mirror.Blocks[h.number]
	if !ok || b.Record.Granted != h.granted || b.Record.Holder != h.Host {
		return
	}
	t := api.Txn{If: []api.Condition{{Key: state.KeyBlock(h.number), Version: uint64(b.Version)}}}
	h.writeMachines(&t)
	h.writeDone(&t)
	if len(t.Then) == 0 {
		return
	}
	h.writing = true
	h.State.Txn(t, func(r state.Result) {
		next := func(bool) {
			h.Loop.After(roundPause/2, func() {
				h.writing = false
				h.write()
			})
		}
		switch r.Outcome {
		case state.Applied:
			h.Mirror.Await(r.Revision, next)
		case state.Refused:
			h.Loop.After(500*time.Millisecond, func() { next(false) })
		default:
			// It may have been carried out, or still be: look again before
			// deciding anything.
			h.Log.Info("write not confirmed", "outcome", r.Outcome.String(), "failed", r.Failed)
			h.Mirror.Fresh(next)
		}
	})
}

// writeMachines adds what is to change in the records of the block's machines.
func (h *Holder) writeMachines(t *api.Txn) {
	now := h.Loop.Now()
	own, pool := h.Mirror.Shelf(h.number), h.Mirror.Shelf(state.PoolShelf)
	edit := h.Mirror.Edit(h.Config.StateLim, min(h.Config.StateLim.TxnOps/2, maxParts), h.number+1)
	for r := range own.All() {
		m := h.machines[r.ID]
		if m == nil {
			continue
		}
		if p, ok := pool.Find(r.ID); ok && p.Fate == state.Gone && m.empty() {
			edit.Remove(h.number, r.ID) // it is gone; the leader forgets it once no block lists it
			continue
		}
		version := own.VersionOf(r.ID)
		if h.state == placing && m.fenced && h.vacant(m) && !m.lost && !m.deaf && m.state == live && (m.leaving == version || h.releasable(m, now)) {
			free := r
			free.Up, free.Asked, free.Doomed, free.Addr, free.Seen = false, false, false, m.addr, h.term
			if edit.Move(h.number, state.PoolShelf, free) {
				h.Log.Info("machine goes to the pool", "machine", m.id, "asked", m.asked)
				m.leaving = version
			}
			continue
		}
		was := r
		if !m.up && !m.empty() || m.up && m.addr != "" && r.Addr != m.addr {
			r.Up, r.Addr = true, m.addr
		}
		if m.state == lapsed && m.empty() && r.Up {
			// Nothing can be on it: a later holder need not wait for it.
			r.Up = false
			m.lowering = version
		}
		r.Lost = r.Lost || h.shouldReturn(m, now)
		r.Doomed = m.notice != 0 || m.state == lapsed
		if r != was && edit.Set(h.number, r) && r.Lost != was.Lost {
			h.Log.Info("machine does not answer; it is to be returned", "machine", m.id, "state", m.state.String())
		}
	}
	edit.Apply(t)
}

// vacant tells whether nothing is booked on a machine and nothing is left on it
// that only this block could still write down.
func (h *Holder) vacant(m *machine) bool {
	for _, s := range m.slots {
		e := h.Mirror.Jobs[s.task.Job]
		if s.booked() || s.cause == api.CauseDone && e != nil && !e.Over() && !e.Done.Has(s.task.Index) {
			return false
		}
	}
	return true
}

// releasable tells whether an empty machine should leave the block.
func (h *Holder) releasable(m *machine, now core.Time) bool {
	if m.asked {
		return true
	}
	if m.notice != 0 || m.idle == 0 || now.Sub(m.idle) < releaseIdle {
		return false
	}
	if now.Sub(m.idle) > h.Config.Operator.Idle {
		return true // whoever waits cannot use it as it is
	}
	for _, j := range h.jobs {
		if j.waiting() > 0 && h.allows(j, m) {
			return false
		}
	}
	return true
}

func (h *Holder) allows(j *job, m *machine) bool {
	p := placement.JobOf(j.id, j.at, j.spec)
	return p.Allows(m.typ, m.zone, m.spot) && j.need.Fits(m.total)
}

// shouldReturn tells whether a machine that does not answer should be given up.
func (h *Holder) shouldReturn(m *machine, now core.Time) bool {
	w := h.Config.Workers
	if m.deaf && now.Sub(m.deafSince) > 3*w.Lease {
		return m.empty()
	}
	switch m.state {
	case unsure:
		return m.heard == 0 && now.Sub(h.at) > w.Lease+margin
	case lapsed:
		return now.Sub(max(m.heard, m.joined)) > 3*w.Lease
	case booting:
		t, ok := h.Types()[m.typ]
		return ok && now.Sub(m.joined) > core.Seconds(4*t.BootS+30)
	}
	return false
}

// writeDone adds what has been completed: one record for the tasks of a round,
// and the final phase of jobs that are complete.
func (h *Holder) writeDone(t *api.Txn) {
	room := min(h.Config.StateLim.TxnOps, 24) - len(t.Then)
	size := 0
	round := state.Round{Done: map[core.JobID]core.Set{}}
	limit := h.Config.StateLim.ValueBytes - 256
	for _, id := range core.Keys(h.jobs) {
		j, e := h.jobs[id], h.Mirror.Jobs[id]
		if e == nil || e.Over() || j.pending.Empty() && j.done.Len() < j.spec.Tasks {
			continue
		}
		if j.done.Len() >= j.spec.Tasks {
			if room > 2 {
				t.If = append(t.If, api.Condition{Key: state.KeyJob(id), Version: uint64(e.Version)})
				t.Then = append(t.Then, state.Put(state.KeyJob(id), e.Job.End(state.JobDone)))
				room--
			}
			continue
		}
		raw, _ := json.Marshal(j.pending)
		if size+len(raw)+len(id)+8 > limit {
			if size == 0 {
				// Too scattered for one record: as many ranges as fit go first.
				part := j.pending.Split(limit / 16)[0]
				round.Done[id] = part
				size = limit
			}
			continue
		}
		size += len(raw) + len(id) + 8
		round.Done[id] = j.pending.Clone()
	}
	if len(round.Done) > 0 && room > 0 {
		h.round++
		t.Then = append(t.Then, state.Put(state.KeyRound(h.number, h.granted, h.round), round))
		room--
	}
	h.prune(t, room)
}

// prune removes rounds that speak only of jobs that are over, and melts many
// small ones into one.
func (h *Holder) prune(t *api.Txn, room int) {
	rounds := h.Mirror.Rounds[h.number]
	if len(rounds) < 8 || room < 4 {
		return
	}
	removed := 0
	merged := state.Round{Done: map[core.JobID]core.Set{}}
	size := 0
	for _, k := range core.Keys(rounds) {
		if removed >= min(room-1, 12) {
			break
		}
		fits := true
		add := 0
		for id, s := range rounds[k].Done {
			if e := h.Mirror.Jobs[id]; e != nil && !e.Over() {
				raw, _ := json.Marshal(s)
				add += len(raw) + len(id) + 8
			}
		}
		if add > 0 && (len(rounds) < maxRounds || size+add > h.Config.StateLim.ValueBytes-256) {
			fits = false
		}
		if !fits {
			continue
		}
		for id, s := range rounds[k].Done {
			if e := h.Mirror.Jobs[id]; e != nil && !e.Over() {
				u := merged.Done[id].Clone()
				u.Union(s)
				merged.Done[id] = u
			}
		}
		size += add
		t.Then = append(t.Then, api.Change{Remove: k})
		removed++
	}
	if len(merged.Done) > 0 {
		h.round++
		t.Then = append(t.Then, state.Put(state.KeyRound(h.number, h.granted, h.round), merged))
	}
}

// Hint tells the other controllers how the block stands.
func (h *Holder) Hint() peer.BlockHint {
	hint := peer.BlockHint{Number: h.number, Granted: h.granted, Placing: h.state == placing}
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
