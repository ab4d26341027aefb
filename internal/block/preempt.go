package block

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

const (
	// maxStops bounds the tasks that are stopped for others in one pass.
	maxStops = 40
	// settled is how long a task runs before it may be stopped for another: saving
	// and starting again would cost as much as it did.
	settled = 10 * time.Second
	// saveSlack is added to the time that a task needs to save.
	saveSlack = 2 * time.Second
)

// yields tells whether a task may be stopped for work of a rank: it is of a lower one,
// runs by itself, and loses nothing, since it saves what it has done.
func (h *Holder) yields(s *slot, rank int, now core.Time) bool {
	j := h.jobs[s.task.Job]
	return j != nil && s.state == present && s.stop == "" && s.view != api.TaskSaving && !j.gang() && j.spec.CheckpointS > 0 && j.rank < rank &&
		(s.since == 0 || now.Sub(s.since) > settled)
}

// end tells a task to save and exit.
func (h *Holder) end(s *slot, reason stopReason) {
	j := h.jobs[s.task.Job]
	s.stop, s.grace = reason, j.spec.SaveS+saveSlack.Seconds()
}

// preempt makes room for waiting work by stopping tasks of lower ranks that save what
// they have done. Without it, idle-time work that had taken what was idle kept it for
// minutes, and those who came then were late. jobs are those that still wait after the
// pass, in its order; machines show what is free after it.
func (h *Holder) preempt(now core.Time, jobs []*placement.Job, machines []*placement.Machine, teams map[string]*placement.Team) {
	lowest, ok := h.lowestThatSaves()
	if !ok {
		return
	}
	p := &preemption{h: h, now: now, machines: machines, room: map[core.MachineID]placement.Resources{}}
	for _, m := range machines {
		p.room[m.ID] = p.freeSoon(m)
	}
	for _, j := range jobs {
		n := h.wanted(j, teams[j.Team])
		if n <= 0 || j.Failing || j.Rank <= lowest || p.stops >= maxStops {
			continue
		}
		p.makeRoom(j, n)
	}
}

// lowestThatSaves is the lowest rank of an array that has tasks on machines and saves what
// they have done; false if there is none below the top.
func (h *Holder) lowestThatSaves() (rank int, ok bool) {
	rank = placement.TopRank
	for _, j := range h.jobs {
		if !j.gang() && j.spec.CheckpointS > 0 && !j.attempts.empty() {
			rank = min(rank, j.rank)
		}
	}
	return rank, rank < placement.TopRank
}

// preemption is the choice of tasks to stop after one pass.
type preemption struct {
	h        *Holder
	now      core.Time
	machines []*placement.Machine
	// room is what is free on each machine once those that are told to stop have gone.
	room  map[core.MachineID]placement.Resources
	stops int
}

// eviction is what has to be stopped on a machine for one more task there.
type eviction struct {
	machine core.MachineID
	stops   []*slot
}

// freeSoon is what is free on a machine, or will be once those that are told to stop have
// gone.
func (p *preemption) freeSoon(m *placement.Machine) placement.Resources {
	free := m.Free()
	for _, s := range p.h.machines[m.ID].slots {
		if s.booked() && s.stop != "" {
			free = free.Add(s.need)
		}
	}
	return free
}

// makeRoom stops what it takes to start n tasks of a job; for a gang all or nothing.
func (p *preemption) makeRoom(j *placement.Job, n int) {
	zones := maps.Clone(j.TasksByZone)
	if zones == nil {
		zones = map[string]int{}
	}
	var evictions []eviction
	left := map[core.MachineID]placement.Resources{}
	for _, m := range p.machines {
		if len(evictions) >= n {
			break
		}
		if m.Draining || m.GangReserved && !j.Gang && !j.GangMachinesOnly || j.ExcludedMachines[m.ID] || !j.Allows(m.Type, m.Zone, m.Spot) {
			continue
		}
		found, free := p.evictions(j, m, zones, n-len(evictions))
		if len(found) > 0 {
			evictions, left[m.ID] = append(evictions, found...), free
		}
	}
	if j.Gang && len(evictions) < n {
		return
	}
	maps.Copy(p.room, left)
	for _, e := range evictions {
		for _, s := range e.stops {
			p.h.Log.Info("task is stopped for work of a higher rank", "task", s.task.String(), "attempt", s.attempt, "machine", e.machine, "for", j.ID)
			p.h.end(s, stopForHigher)
			p.stops++
		}
	}
}

// evictions finds what has to be stopped on a machine for up to n tasks of a job, and what
// is free there afterwards. It counts the tasks in their zones.
func (p *preemption) evictions(j *placement.Job, m *placement.Machine, zones map[string]int, n int) (found []eviction, free placement.Resources) {
	free = p.room[m.ID]
	var victims []*slot
	for _, s := range p.h.machines[m.ID].list() {
		if p.h.yields(s, j.Rank, p.now) {
			victims = append(victims, s)
		}
	}
	// The least is lost with those that have run least since they began.
	slices.SortStableFunc(victims, func(a, b *slot) int { return cmp.Compare(b.since, a.since) })
	for len(found) < n && j.AllowsZone(m.Zone, zones) {
		stops, have := 0, free
		for !j.Need.Fits(have) && stops < len(victims) {
			have = have.Add(victims[stops].need)
			stops++
		}
		if !j.Need.Fits(have) {
			break
		}
		found = append(found, eviction{m.ID, victims[:stops]})
		victims, free = victims[stops:], have.Sub(j.Need)
		zones[m.Zone]++
	}
	return found, free
}

// wanted is how many tasks of a job should run beside those that do: all of work
// within a guarantee, else as many as it takes to be in time; none if a larger job of its
// team is next. Tasks were stopped for one that could not start, again and again.
func (h *Holder) wanted(j *placement.Job, t *placement.Team) int {
	n := j.Waiting
	if t == nil || n <= 0 || t.WithholdsFrom(j) {
		return 0
	}
	if own := h.jobs[j.ID]; !j.Gang && !j.Guaranteed && len(j.Timing.Due) > 0 {
		live := own.live()
		n = min(n, capacity.Concurrency(own.spec.Tasks-own.done.Len(), j.Estimate, time.Duration(j.Timing.Due[0]-h.Loop.WallNow())*time.Millisecond)-live)
	}
	room := t.Quota.Sub(t.Used)
	if j.Gang {
		if !j.Need.Scale(float64(n)).FitsQuota(room) {
			return 0
		}
		return n
	}
	for n > 0 && !j.Need.Scale(float64(n)).FitsQuota(room) {
		n = min(n-1, int(room.CPUs/max(j.Need.CPUs, 1e-9)))
	}
	return n
}

// drain stops idle-time tasks on a machine that is asked back for others, if they save
// what they have done. A machine went back only when the last of them had ended.
func (h *Holder) drain(m *machine, now core.Time) {
	if !m.asked || h.state != placing {
		return
	}
	for _, s := range m.list() {
		if j := h.jobs[s.task.Job]; h.yields(s, placement.Rank(api.RankStandard), now) && !capacity.TimeSensitive(h.Config.Objectives, j.spec) {
			h.Log.Info("task is stopped, its machine is asked back", "task", s.task.String(), "attempt", s.attempt, "machine", m.id)
			h.end(s, stopMachineDue)
		}
	}
}

// saveInTime tells tasks on a machine that the cloud takes back to save, as late as
// possible. What they have done since they last saved by themselves would be lost.
func (h *Holder) saveInTime(m *machine, now core.Time) {
	if m.notice == 0 {
		return
	}
	for _, s := range m.slots {
		j := h.jobs[s.task.Job]
		if j == nil || j.gang() || s.stop != "" || s.state != present || s.view != api.TaskRunning || j.spec.CheckpointS <= 0 {
			continue
		}
		if m.notice.Sub(now) < core.Seconds(j.spec.SaveS)+h.Config.Workers.Report*5/4+saveSlack {
			h.end(s, stopMachineEnd)
		}
	}
}
