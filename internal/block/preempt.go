package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// clearTime is how long a machine on which tasks were stopped for a job is left
// to that job. It covers the way of the command, the report and the next pass.
const clearTime = 4 * time.Second

// clearingOf describes a machine on which tasks are being stopped for a job.
func (h *Holder) clearingOf(m *machine, p *placement.Machine, now core.Time) {
	for _, s := range m.slots {
		if s.stop && s.booked() {
			p.Stopping = p.Stopping.Plus(s.need)
		}
	}
	if m.clearedFor == "" {
		return
	}
	if j := h.jobs[m.clearedFor]; j == nil || j.waiting() <= 0 || now > m.clearedUntil {
		m.clearedFor = ""
		h.dirty = true
		return
	}
	p.For = m.clearedFor
	h.dirty = true // to look again when the time is over
}

// preempt stops tasks for jobs that still wait after a pass. Tasks of gangs are
// left alone: one that goes takes the others with it.
func (h *Holder) preempt(now core.Time, machines []*placement.Machine, jobs []*placement.Job, teams map[string]*placement.Team) {
	var slots []*slot
	var victims []placement.Victim
	for _, p := range machines {
		m := h.machines[p.ID]
		for _, s := range m.list() {
			j := h.jobs[s.task.Job]
			if j == nil || j.gang() || s.stop || s.state != present && s.state != planned {
				continue
			}
			v := placement.Victim{Machine: m.id, Team: s.team, Rank: placement.JobOf(j.id, j.at, j.spec).Rank, Beyond: !j.guaranteed, Need: s.need}
			if s.since > 0 && j.spec.CheckpointS == 0 {
				v.Lost = now.Sub(s.since)
			}
			slots, victims = append(slots, s), append(victims, v)
		}
	}
	if len(victims) == 0 {
		return
	}
	touched := map[core.MachineID]bool{}
	for _, st := range placement.Preempt(machines, jobs, victims, teams) {
		s := slots[st.Victim]
		m := s.machine
		h.Log.Info("task is stopped to make room", "task", s.task.String(), "machine", m.id, "for", st.For, "was", s.state.String())
		m.clearedFor, m.clearedUntil = st.For, now.Add(clearTime)
		if s.state == planned {
			h.setOff(s, "")
			continue
		}
		s.stop = true
		if j := h.jobs[s.task.Job]; j.spec.CheckpointS > 0 {
			s.grace = j.spec.SaveS
		}
		touched[m.id] = true
	}
	for _, id := range core.Keys(touched) {
		h.stopNow(h.machines[id])
	}
}

// stopNow sends the commands to stop tasks straight to a machine; its next
// report's answer repeats them.
func (h *Holder) stopNow(m *machine) {
	if m.addr == "" || !h.Entitled() {
		return
	}
	var orders []api.Order
	for _, s := range m.list() {
		if s.stop && s.state == present && s.stopped == 0 && len(orders) < maxOrders {
			grace := s.grace
			s.stopped = h.Loop.Now()
			orders = append(orders, api.Order{Verb: api.VerbKill, Task: s.task.String(), Attempt: uint64(s.attempt), GraceS: &grace})
		}
	}
	if len(orders) == 0 {
		return
	}
	asked := h.Loop.Now()
	h.Workers.Stop(m.addr, h.term, m.season, orders, func(rep *api.Report) {
		if rep == nil || h.state == released || h.machines[m.id] != m || core.MachineID(rep.Machine) != m.id {
			return
		}
		h.take(m, rep, false, asked)
		h.passSoon()
	})
}
