package block

import (
	"cmp"
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
	return j != nil && s.state == present && !s.stop && s.view != api.TaskSaving && !j.gang() && j.spec.CheckpointS > 0 && j.rank < rank &&
		(s.since == 0 || now.Sub(s.since) > settled)
}

// end tells a task to save and exit.
func (h *Holder) end(s *slot) {
	j := h.jobs[s.task.Job]
	s.stop, s.grace = true, j.spec.SaveS+saveSlack.Seconds()
}

// preempt makes room for waiting work by stopping tasks of lower ranks that save what
// they have done. Without it, idle-time work that had taken what was idle kept it for
// minutes, and those who came then were late. jobs are those that still wait after the
// pass, in its order; machines show what is free after it.
func (h *Holder) preempt(now core.Time, jobs []*placement.Job, machines []*placement.Machine, teams map[string]*placement.Team) {
	low := placement.TopRank
	for _, j := range h.jobs {
		if !j.gang() && j.spec.CheckpointS > 0 && len(j.slots) > 0 {
			low = min(low, j.rank)
		}
	}
	if low == placement.TopRank {
		return
	}
	// What is free, or will be once those that are told to stop have gone.
	room := map[core.MachineID]placement.Need{}
	for _, m := range machines {
		free := m.Free()
		for _, s := range h.machines[m.ID].slots {
			if s.booked() && s.stop {
				free = free.Plus(s.need)
			}
		}
		room[m.ID] = free
	}
	stops := 0
	for _, j := range jobs {
		n := h.wanted(j, teams[j.Team])
		if n <= 0 || j.Probe || j.Rank <= low || stops >= maxStops {
			continue
		}
		type choice struct {
			m    *placement.Machine
			ends []*slot
		}
		var picks []choice
		zones := map[string]int{}
		for z, n := range j.Zones {
			zones[z] = n
		}
		left := map[core.MachineID]placement.Need{}
		for _, m := range machines {
			if len(picks) >= n || m.Asked || m.Kept && !j.Gang && !j.NoChoice || j.Avoid[m.ID] || !j.Allows(m.Type, m.Zone, m.Spot) {
				continue
			}
			free := room[m.ID]
			var victims []*slot
			for _, s := range h.machines[m.ID].list() {
				if h.yields(s, j.Rank, now) {
					victims = append(victims, s)
				}
			}
			// The least is lost with those that have run least since they began.
			slices.SortStableFunc(victims, func(a, b *slot) int { return cmp.Compare(b.since, a.since) })
			for len(picks) < n && j.ZoneAllows(m.Zone, zones) {
				var ends []*slot
				have := free
				for !j.Need.Fits(have) && len(victims) > len(ends) {
					have = have.Plus(victims[len(ends)].need)
					ends = append(ends, victims[len(ends)])
				}
				if !j.Need.Fits(have) {
					break
				}
				victims, free = victims[len(ends):], have.Minus(j.Need)
				zones[m.Zone]++
				picks = append(picks, choice{m, ends})
				left[m.ID] = free
			}
		}
		if j.Gang && len(picks) < n {
			continue
		}
		for id, free := range left {
			room[id] = free
		}
		for _, c := range picks {
			for _, s := range c.ends {
				h.Log.Info("task is stopped for work of a higher rank", "task", s.task.String(), "attempt", s.attempt, "machine", c.m.ID, "for", j.ID)
				h.end(s)
				stops++
			}
		}
	}
}

// wanted is how many tasks of a job should run beside those that do: all of work
// within a guarantee, else as many as it takes to be in time; none if a larger job of its
// team is next. Tasks were stopped for one that could not start, again and again.
func (h *Holder) wanted(j *placement.Job, t *placement.Team) int {
	n := j.Waiting
	if t == nil || n <= 0 || t.Holds(j) {
		return 0
	}
	if own := h.jobs[j.ID]; !j.Gang && !j.Guaranteed && len(j.Timing.Due) > 0 {
		live := own.live()
		n = min(n, capacity.Pace(own.spec.Tasks-own.done.Len(), j.Estimate, time.Duration(j.Timing.Due[0]-h.Loop.Wall())*time.Millisecond)-live)
	}
	room := t.Max.Minus(t.Used)
	if j.Gang {
		if !j.Need.Times(float64(n)).FitsCounts(room) {
			return 0
		}
		return n
	}
	for n > 0 && !j.Need.Times(float64(n)).FitsCounts(room) {
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
		if j := h.jobs[s.task.Job]; h.yields(s, placement.Rank(api.RankStandard), now) && !capacity.Timed(h.Config.Aims, j.spec) {
			h.Log.Info("task is stopped, its machine is asked back", "task", s.task.String(), "attempt", s.attempt, "machine", m.id)
			h.end(s)
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
		if j == nil || j.gang() || s.stop || s.state != present || s.view != api.TaskRunning || j.spec.CheckpointS <= 0 {
			continue
		}
		if m.notice.Sub(now) < core.Seconds(j.spec.SaveS)+h.Config.Workers.Report*5/4+saveSlack {
			h.end(s)
		}
	}
}
