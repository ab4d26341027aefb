package sim

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

type machinePhase int

const (
	machineBooting machinePhase = iota
	machineUp
	machineDead // stopped by itself
	machineGone // returned or taken
)

// Machine is a stand-in for a machine and its worker.
type Machine struct {
	w           *World
	ID          string
	addr        string
	typ         *api.MachineType
	zone        string
	spot        bool
	phase       machinePhase
	rented      Clock
	up          Clock
	ended       Clock
	rate        float64
	Faulty      bool
	hung        Clock
	reportsLost Clock    // it reaches no controller before
	waits       []func() // what came while it hung

	wasted   int // answers with starts that did not arrive
	season   uint64
	tally    uint64
	warrant  uint64
	answered Clock // when the last answered report was sent
	node     int
	busy     bool
	last     Clock
	due      Clock
	dueSeq   int
	notice   Clock
	images   map[string]bool
	tasks    map[taskKey]*task
}

type taskKey struct {
	id      core.TaskID
	attempt uint64
}

type task struct {
	taskKey
	m     *Machine
	state string
	cause string
	saved bool
	job   *api.Job
	gang  *gang
}

type gangKey struct {
	job     string
	attempt uint64
}

// gang is one attempt of a gang.
type gang struct {
	members map[int]*task
	running bool
	over    bool
}

func newMachine(w *World, id, addr string, typ *api.MachineType, zone string, spot bool) *Machine {
	return &Machine{
		w: w, ID: id, addr: addr, typ: typ, zone: zone, spot: spot, rented: w.now, rate: 1 + w.between(-0.0005, 0.0005),
		images: map[string]bool{}, tasks: map[taskKey]*task{}, season: 1, node: w.Rand.IntN(max(len(w.Hosts), 1)),
	}
}

// in runs f after d of the machine's own clock, once the machine does not hang.
func (m *Machine) in(d time.Duration, f func()) {
	m.w.In(time.Duration(float64(d)/m.rate), func() { m.act(f) })
}

func (m *Machine) act(f func()) {
	switch {
	case m.phase != machineUp:
	case m.w.now < m.hung:
		m.waits = append(m.waits, f)
	default:
		f()
	}
}

func (m *Machine) boot() {
	if m.phase != machineBooting {
		return
	}
	m.phase, m.up, m.answered = machineUp, m.w.now, m.w.now
	m.watchLease()
	m.report(0)
}

// Hang keeps the machine from doing anything for a while.
func (m *Machine) Hang(d time.Duration) {
	if m.phase != machineUp || m.w.now < m.hung {
		return
	}
	m.hung = m.w.now + d
	if d > m.w.Cfg.Workers.GangPeer {
		for _, t := range m.sorted() {
			if g := t.gang; g != nil && g.running && !g.over && t.state != api.TaskExited {
				m.breakGang(g)
			}
		}
	}
	m.w.At(m.hung, func() {
		waits := m.waits
		m.waits = nil
		m.checkLease()
		for _, f := range waits {
			m.act(f)
		}
	})
}

// Die stops the machine with all that is on it.
func (m *Machine) Die() { m.end(machineDead) }

func (m *Machine) end(p machinePhase) {
	if m.phase == machineUp {
		m.dropAll()
	}
	m.phase, m.ended = p, m.w.now
}

// Notice tells the machine that it will be taken.
func (m *Machine) Notice(in time.Duration) {
	m.notice = m.w.now + in
	m.act(func() { m.report(500 * time.Millisecond) })
	m.w.In(in, func() { m.w.Cloud.Take(m) })
}

// watchLease ends tasks by their lease. A machine that hangs executes nothing
// once its lease is over, so its tasks count as gone from then on as well.
func (m *Machine) watchLease() {
	m.w.In(200*time.Millisecond, func() {
		if m.phase == machineUp {
			m.checkLease()
			m.watchLease()
		}
	})
}

func (m *Machine) checkLease() {
	if m.phase == machineUp && time.Duration(float64(m.w.now-m.answered)*m.rate) > m.w.Cfg.Workers.Lease {
		for _, t := range m.tasks {
			if t.state != api.TaskExited {
				m.w.LeaseKills++
			}
		}
		m.dropAll()
		m.season++
		m.answered = m.w.now
		m.report(500 * time.Millisecond)
	}
}

func (m *Machine) dropAll() {
	for _, t := range m.sorted() {
		m.leave(t)
		delete(m.tasks, t.taskKey)
	}
}

// leave notes that a task is no longer on the machine.
func (m *Machine) leave(t *task) {
	if t.state == api.TaskExited {
		return
	}
	m.w.Check.Off(t.id, m.ID)
	if g := t.gang; g != nil && g.members[t.id.Index] == t {
		delete(g.members, t.id.Index)
		if g.running && !g.over {
			m.breakGang(g)
		}
	}
}

// breakGang lets the tasks of a gang notice that one of them is gone or hangs.
func (m *Machine) breakGang(g *gang) {
	g.over = true
	for _, i := range core.Keys(g.members) {
		o := g.members[i]
		o.m.in(time.Duration(m.w.between(0.2, 1)*float64(m.w.Cfg.Workers.GangPeer)), func() { o.m.exit(o, api.CausePeers) })
	}
}

func (m *Machine) sorted() []*task {
	var out []*task
	for _, t := range m.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.id != y.id {
			return x.id.Job < y.id.Job || x.id.Job == y.id.Job && x.id.Index < y.id.Index
		}
		return x.attempt < y.attempt
	})
	return out
}

func (m *Machine) exit(t *task, cause string) {
	if t.state == api.TaskExited || m.tasks[t.taskKey] != t {
		return
	}
	m.leave(t)
	t.state, t.cause = api.TaskExited, cause
	if cause == api.CauseDone {
		m.w.done[t.id] = true
		m.w.Check.Completed(t.id)
		if m.w.CancelAtEnd > 0 && len(m.w.Check.jobs[string(t.id.Job)].done) == t.job.Tasks && m.w.chance(m.w.CancelAtEnd) {
			m.w.Users.Cancel(string(t.id.Job))
		}
	}
	m.report(500 * time.Millisecond)
}

// report schedules the next report, no later than in d and no sooner than half
// a second after the last one.
func (m *Machine) report(d time.Duration) {
	at := max(m.w.now+d, m.last+500*time.Millisecond)
	if d > 0 && m.due > m.w.now && m.due <= at || m.busy {
		return
	}
	m.due = at
	m.dueSeq++
	seq := m.dueSeq
	m.w.At(at, func() {
		m.act(func() {
			if seq == m.dueSeq && !m.busy {
				m.send()
			}
		})
	})
}

func (m *Machine) next() {
	m.report(time.Duration(m.w.between(0.75, 1.25) * float64(m.w.Cfg.Workers.Report)))
}

func (m *Machine) view() api.Report {
	m.tally++
	r := api.Report{
		Machine: m.ID, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, Season: m.season, Tally: m.tally, Term: m.warrant, Tasks: []api.TaskView{},
	}
	if m.notice > 0 {
		s := (m.notice - m.w.now).Seconds()
		r.NoticeS = &s
	}
	for _, t := range m.sorted() {
		r.Tasks = append(r.Tasks, api.TaskView{Task: t.id.String(), Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (m *Machine) send() {
	m.checkLease()
	m.busy, m.last = true, m.w.now
	sent, season := m.w.now, m.season
	raw, _ := json.Marshal(m.view())
	done := false
	if m.w.now < m.reportsLost {
		m.w.In(time.Second, func() {
			m.act(func() {
				m.busy = false
				m.take(core.Response{}, sent, season)
			})
		})
		return
	}
	m.w.exchange(party(m.addr), core.Request{Addr: m.w.Hosts[m.node].addr, Method: "POST", Path: "/hello", Body: raw, Timeout: 4 * time.Second}, func(res core.Response) {
		m.act(func() {
			if done {
				return
			}
			done = true
			m.busy = false
			m.take(res, sent, season)
		})
	})
}

func (m *Machine) take(res core.Response, sent Clock, season uint64) {
	elsewhere := func() {
		m.node = (m.node + 1) % len(m.w.Hosts)
		m.report(time.Second)
	}
	if float64(m.w.now-sent)*m.rate > float64(4*time.Second) {
		elsewhere()
		return
	}
	switch res.Status {
	case 200:
		var a api.ReportAnswer
		if json.Unmarshal(res.Body, &a) != nil {
			m.w.Check.fail("unreadable answer to a report: %.200s", res.Body)
			return
		}
		if a.Term >= m.warrant && season == m.season {
			m.warrant = a.Term
			m.answered = max(m.answered, sent)
			m.execute(a.Orders)
		}
		m.next()
	case 421:
		var r api.Redirect
		_ = json.Unmarshal(res.Body, &r)
		for i, h := range m.w.Hosts {
			if string(h.name) == r.Steward && i != m.node {
				m.node = i
				m.report(time.Duration(m.w.between(0, 500)) * time.Millisecond)
				return
			}
		}
		elsewhere()
	default:
		elsewhere()
	}
}

func (m *Machine) handle(_ party, r core.Request, reply func(core.Response)) {
	m.act(func() {
		if r.Path == "/inspect" {
			reply(answer(200, m.view()))
			return
		}
		var d api.Direct
		if json.Unmarshal(r.Body, &d) != nil || d.Season == 0 {
			reply(answer(400, api.Error{Error: "malformed"}))
			return
		}
		m.checkLease()
		if d.Term < m.warrant || d.Season != m.season {
			reply(answer(409, m.view()))
			return
		}
		if d.Term > m.warrant {
			m.warrant = d.Term
			m.report(500 * time.Millisecond)
		}
		m.execute(d.Orders)
		reply(answer(200, m.view()))
	})
}

func (m *Machine) execute(orders []api.Order) {
	for _, o := range orders {
		id, err := core.ParseTask(o.Task)
		if err != nil {
			m.w.Check.fail("order for %q", o.Task)
			return
		}
		k := taskKey{id, o.Attempt}
		t := m.tasks[k]
		switch o.Verb {
		case api.VerbRun:
			if t == nil {
				m.start(k)
			}
		case api.VerbKill:
			if t == nil || t.state == api.TaskExited {
				continue
			}
			if t.state == api.TaskRunning && t.job.CheckpointS > 0 && o.GraceS != nil && *o.GraceS >= t.job.SaveS {
				t.state, t.saved = api.TaskSaving, true
				m.in(core.Seconds(t.job.SaveS), func() { m.exit(t, api.CauseHalted) })
			} else {
				m.exit(t, api.CauseHalted)
			}
		case api.VerbClear:
			if t != nil && t.state == api.TaskExited {
				delete(m.tasks, k)
			}
		default:
			m.w.Check.fail("unknown order %q", o.Verb)
		}
	}
}

// allowed tells whether a task of a job may be on the machine.
func (m *Machine) allowed(j *api.Job) bool {
	return (j.Types == nil || slices.Contains(j.Types, m.typ.Name)) && (j.Zone == nil || *j.Zone == m.zone) && (!m.spot || j.Spot)
}

// free is what no task uses.
func (m *Machine) free() placement.Need {
	used := placement.Need{}
	for _, o := range m.tasks {
		if o.state != api.TaskExited {
			used = used.Plus(placement.Need{CPUs: o.job.CPUs, GPUs: o.job.GPUs, MemoryGB: o.job.MemoryGB})
		}
	}
	return placement.Need{CPUs: m.typ.CPUs, GPUs: m.typ.GPUs, MemoryGB: m.typ.MemoryGB}.Minus(used)
}

func (m *Machine) start(k taskKey) {
	t := &task{taskKey: k, m: m, state: api.TaskExited}
	m.tasks[k] = t
	m.report(500 * time.Millisecond)
	uj := m.w.Users.jobs[string(k.id.Job)]
	if uj == nil || k.id.Index >= uj.spec.Tasks {
		t.cause = api.CauseNoSuch
		return
	}
	t.job = &uj.spec
	for _, o := range m.tasks {
		if o.state != api.TaskExited && o.id == k.id {
			t.cause = api.CauseInUse
			return
		}
	}
	need := placement.Need{CPUs: t.job.CPUs, GPUs: t.job.GPUs, MemoryGB: t.job.MemoryGB}
	if !need.Fits(m.free()) {
		t.cause = api.CauseNoRoom
		return
	}
	t.state = api.TaskFetching
	m.w.Check.On(k.id, Place{m.ID, m.typ.Name, m.zone, m.spot})
	fetch := time.Duration(0)
	if !m.images[t.job.Image] {
		fetch = core.Seconds(t.job.ImageGB / m.typ.FetchGBPerS)
	}
	m.in(fetch, func() {
		if t.state != api.TaskFetching || m.tasks[k] != t {
			return
		}
		m.images[t.job.Image] = true
		if m.w.done[k.id] {
			m.exit(t, api.CauseDone)
			return
		}
		if t.job.Form == api.FormGang {
			m.gather(t)
			return
		}
		m.run(t)
	})
}

func (m *Machine) gather(t *task) {
	t.state = api.TaskGathering
	key := gangKey{string(t.id.Job), t.attempt}
	g := m.w.gangs[key]
	if g == nil {
		g = &gang{members: map[int]*task{}}
		m.w.gangs[key] = g
	}
	t.gang = g
	g.members[t.id.Index] = t
	if len(g.members) < t.job.Tasks {
		m.in(m.w.Cfg.Workers.GangWait, func() {
			if t.state == api.TaskGathering {
				m.exit(t, api.CauseIncomplete)
			}
		})
		return
	}
	g.running = true
	d := core.Seconds(t.job.EstimateS * m.w.between(0.5, 1.5))
	for _, i := range core.Keys(g.members) {
		g.members[i].state = api.TaskRunning
		g.members[i].m.report(500 * time.Millisecond)
	}
	var complete func()
	complete = func() {
		if g.over {
			return
		}
		for _, i := range core.Keys(g.members) {
			o := g.members[i]
			if o.state != api.TaskRunning || o.m.phase != machineUp {
				return
			}
			if m.w.now < o.m.hung {
				m.w.In(time.Second, complete) // it stood still for a moment; the gang goes on
				return
			}
		}
		g.over = true
		for _, i := range core.Keys(g.members) {
			o := g.members[i]
			o.m.exit(o, api.CauseDone)
		}
	}
	m.w.In(d, complete)
}

func (m *Machine) run(t *task) {
	t.state = api.TaskRunning
	m.report(500 * time.Millisecond)
	d := core.Seconds(t.job.EstimateS * m.w.between(0.5, 1.6))
	cause := api.CauseDone
	if m.Faulty || m.w.Users.jobs[string(t.id.Job)].hopeless {
		d, cause = d/4, api.CauseError
	}
	m.in(d, func() {
		if t.state == api.TaskRunning {
			m.exit(t, cause)
		}
	})
}
