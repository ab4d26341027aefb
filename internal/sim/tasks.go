package sim

import (
	"slices"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// taskKey identifies an attempt of a task.
type taskKey struct {
	id      core.TaskID
	attempt uint64
}

// task is an attempt of a task on a machine.
type task struct {
	taskKey
	m     *Machine
	state string   // as reported, api.TaskFetching and so on
	cause string   // why it exited, as reported
	saved bool     // it had time to save a checkpoint before it was stopped
	job   *api.Job // nil if there is no such task
	gang  *gang    // nil before it has joined one
}

type gangKey struct {
	job     string
	attempt uint64
}

// gang is one attempt of a gang.
type gang struct {
	members map[int]*task // those on a machine, by task index
	running bool          // all members have joined, so the gang was started
	ended   bool          // done or broken up
}

// leave records that a task is no longer on the machine, and breaks up its gang if that is
// running.
func (m *Machine) leave(t *task) {
	if t.state == api.TaskExited {
		return
	}
	m.w.Checker.TaskRemoved(t.id, m.ID)
	if g := t.gang; g != nil && g.members[t.id.Index] == t {
		delete(g.members, t.id.Index)
		if g.running && !g.ended {
			m.breakGang(g)
		}
	}
}

// breakGang ends the tasks of a gang within the peer time-out of gangs, since one of them is gone
// or hangs.
func (m *Machine) breakGang(g *gang) {
	g.ended = true
	for _, i := range core.SortedKeys(g.members) {
		o := g.members[i]
		o.m.after(time.Duration(m.w.uniform(0.2, 1)*float64(m.w.Cfg.Workers.GangPeer)), func() { o.m.exit(o, api.CausePeers) })
	}
}

// sortedTasks returns the tasks ordered by job, index and attempt.
func (m *Machine) sortedTasks() []*task {
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

// exit ends a task that is on the machine, with a cause.
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

// execute carries out the commands of a controller, which left it no earlier than at the given time.
// A task that is told to stop saves a checkpoint if its job takes any and the grace time is long
// enough for it.
func (m *Machine) execute(commands []api.Command, earliest SimTime) {
	for _, o := range commands {
		id, err := core.ParseTaskID(o.Task)
		if err != nil {
			m.w.Checker.fail("command with an invalid task name %q", o.Task)
			return
		}
		k := taskKey{id, o.Attempt}
		t := m.tasks[k]
		switch o.Verb {
		case api.VerbRun:
			if t == nil {
				m.w.Checker.StartCommanded(id, earliest)
				m.checkRestarted(k)
				m.start(k)
			}
		case api.VerbKill:
			if t == nil || t.state == api.TaskExited {
				continue
			}
			if t.state == api.TaskRunning && t.job.CheckpointS > 0 && o.GraceS != nil && *o.GraceS >= t.job.SaveS {
				t.state, t.saved = api.TaskSaving, true
				m.after(core.Seconds(t.job.SaveS), func() { m.exit(t, api.CauseHalted) })
			} else {
				if o.GraceS == nil || *o.GraceS == 0 {
					m.w.Checker.TaskStopped(t.id)
				}
				m.exit(t, api.CauseHalted)
			}
		case api.VerbClear:
			if t != nil && t.state == api.TaskExited {
				delete(m.tasks, k)
				m.noteCleared(k)
			}
		default:
			m.w.Checker.fail("command with an unknown verb %q", o.Verb)
		}
	}
}

// allowed reports whether a task of a job may be placed on the machine.
func (m *Machine) allowed(j *api.Job) bool {
	return (j.Types == nil || slices.Contains(j.Types, m.typ.Name)) && (j.Zone == nil || *j.Zone == m.zone) && (!m.spot || j.Spot)
}

// free returns the resources that no task uses.
func (m *Machine) free() placement.Resources {
	used := placement.Resources{}
	for _, o := range m.tasks {
		if o.state != api.TaskExited {
			used = used.Add(placement.Resources{CPUs: o.job.CPUs, GPUs: o.job.GPUs, MemoryGB: o.job.MemoryGB})
		}
	}
	return placement.Resources{CPUs: m.typ.CPUs, GPUs: m.typ.GPUs, MemoryGB: m.typ.MemoryGB}.Sub(used)
}

// start starts an attempt of a task, or exits it at once if it cannot run here.
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
	m.after(fetch, func() {
		if t.state != api.TaskFetching || m.tasks[k] != t {
			return
		}
		m.images[t.job.Image] = true
		if m.w.done[k.id] {
			m.exit(t, api.CauseDone)
			return
		}
		if t.job.Form == api.FormGang {
			m.joinGang(t)
			return
		}
		m.run(t)
	})
}

// joinGang adds a task to its gang, and runs the gang when all members have joined.
func (m *Machine) joinGang(t *task) {
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
		m.after(m.w.Cfg.Workers.GangWait, func() {
			if t.state == api.TaskGathering {
				m.exit(t, api.CauseIncomplete)
			}
		})
		return
	}
	g.running = true
	d := core.Seconds(t.job.EstimateS * m.w.uniform(0.5, 1.5))
	for _, i := range core.SortedKeys(g.members) {
		g.members[i].state = api.TaskRunning
		g.members[i].m.report(500 * time.Millisecond)
	}
	var complete func()
	complete = func() {
		if g.ended {
			return
		}
		for _, i := range core.SortedKeys(g.members) {
			o := g.members[i]
			if o.state != api.TaskRunning || o.m.phase != machineUp {
				return
			}
			if m.w.now < o.m.hungUntil {
				m.w.After(time.Second, complete) // a short hang does not end the gang
				return
			}
		}
		g.ended = true
		for _, i := range core.SortedKeys(g.members) {
			o := g.members[i]
			o.m.exit(o, api.CauseDone)
		}
	}
	m.w.After(d, complete)
}

// run runs a task that does not belong to a gang.
func (m *Machine) run(t *task) {
	t.state = api.TaskRunning
	m.report(500 * time.Millisecond)
	d := core.Seconds(t.job.EstimateS * m.w.uniform(0.5, 1.6))
	cause := api.CauseDone
	if m.Faulty || m.w.Users.jobs[string(t.id.Job)].failsAlways {
		d, cause = d/4, api.CauseError
	}
	m.after(d, func() {
		if t.state == api.TaskRunning {
			m.exit(t, cause)
		}
	})
}
