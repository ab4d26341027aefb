package sim

import (
	"slices"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

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

// leave notes that a task is no longer on the machine.
func (m *Machine) leave(t *task) {
	if t.state == api.TaskExited {
		return
	}
	m.w.Checker.TaskRemoved(t.id, m.ID)
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
	for _, i := range core.SortedKeys(g.members) {
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
		m.w.Checker.TaskCompleted(t.id)
		if m.w.CancelAtEndProb > 0 && len(m.w.Checker.jobs[string(t.id.Job)].done) == t.job.Tasks && m.w.chance(m.w.CancelAtEndProb) {
			m.w.Users.Cancel(string(t.id.Job))
		}
	}
	m.report(500 * time.Millisecond)
}

func (m *Machine) execute(orders []api.Command) {
	for _, o := range orders {
		id, err := core.ParseTaskID(o.Task)
		if err != nil {
			m.w.Checker.fail("order for %q", o.Task)
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
				if o.GraceS == nil || *o.GraceS == 0 {
					m.w.Checker.TaskStopped(t.id)
				}
				m.exit(t, api.CauseHalted)
			}
		case api.VerbClear:
			if t != nil && t.state == api.TaskExited {
				delete(m.tasks, k)
			}
		default:
			m.w.Checker.fail("unknown order %q", o.Verb)
		}
	}
}

// allowed tells whether a task of a job may be on the machine.
func (m *Machine) allowed(j *api.Job) bool {
	return (j.Types == nil || slices.Contains(j.Types, m.typ.Name)) && (j.Zone == nil || *j.Zone == m.zone) && (!m.spot || j.Spot)
}

// free is what no task uses.
func (m *Machine) free() placement.Resources {
	used := placement.Resources{}
	for _, o := range m.tasks {
		if o.state != api.TaskExited {
			used = used.Add(placement.Resources{CPUs: o.job.CPUs, GPUs: o.job.GPUs, MemoryGB: o.job.MemoryGB})
		}
	}
	return placement.Resources{CPUs: m.typ.CPUs, GPUs: m.typ.GPUs, MemoryGB: m.typ.MemoryGB}.Sub(used)
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
	need := placement.Resources{CPUs: t.job.CPUs, GPUs: t.job.GPUs, MemoryGB: t.job.MemoryGB}
	if !need.Fits(m.free()) {
		t.cause = api.CauseNoRoom
		return
	}
	t.state = api.TaskFetching
	m.w.Checker.TaskPlaced(k.id, MachineInfo{m.ID, m.typ.Name, m.zone, m.spot})
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
	for _, i := range core.SortedKeys(g.members) {
		g.members[i].state = api.TaskRunning
		g.members[i].m.report(500 * time.Millisecond)
	}
	var complete func()
	complete = func() {
		if g.over {
			return
		}
		for _, i := range core.SortedKeys(g.members) {
			o := g.members[i]
			if o.state != api.TaskRunning || o.m.phase != machineUp {
				return
			}
			if m.w.now < o.m.hung {
				m.w.After(time.Second, complete) // it stood still for a moment; the gang goes on
				return
			}
		}
		g.over = true
		for _, i := range core.SortedKeys(g.members) {
			o := g.members[i]
			o.m.exit(o, api.CauseDone)
		}
	}
	m.w.After(d, complete)
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
