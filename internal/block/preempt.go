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
	// maxPreemptions bounds the tasks that are preempted in one pass.
	maxPreemptions = 40
	// minRunTime is how long a task must run before it may be preempted: saving and starting
	// again would cost as much as a shorter run.
	minRunTime = 10 * time.Second
	// saveMargin is added to the time that a task needs to save.
	saveMargin = 2 * time.Second
)

// preemptible reports whether a task may be stopped for work of the given rank: its own rank
// is lower, it is not part of a gang, it is not stopping already, it checkpoints, so that no
// work is lost, and it has run for minRunTime or has not begun to run.
func (h *Holder) preemptible(s *slot, rank int, now core.Time) bool {
	j := h.jobs[s.task.Job]
	return j != nil && s.state == present && s.stopRequest == "" && s.reportedState != api.TaskSaving && !j.gang() && j.spec.CheckpointS > 0 && j.rank < rank &&
		(s.runningSince == 0 || now.Sub(s.runningSince) > minRunTime)
}

// requestStop marks an attempt to be told to save and exit.
func (h *Holder) requestStop(s *slot, reason stopReason) {
	j := h.jobs[s.task.Job]
	s.stopRequest, s.graceS = reason, j.spec.SaveS+saveMargin.Seconds()
}

// preempt makes room for waiting work by stopping checkpointing tasks of lower ranks. Without
// it, opportunistic work kept the machines that it had found free for minutes, and jobs that
// arrived then started late. jobs are those that still wait after the pass, in its order;
// machines show what is free after it.
func (h *Holder) preempt(now core.Time, jobs []*placement.Job, machines []*placement.Machine, teams map[string]*placement.Team) {
	lowest, ok := h.lowestCheckpointingRank()
	if !ok {
		return
	}
	p := &preemption{h: h, now: now, machines: machines, free: map[core.MachineID]placement.Resources{}}
	for _, m := range machines {
		p.free[m.ID] = p.freeAfterStops(m)
	}
	for _, j := range jobs {
		n := h.startsWanted(j, teams[j.Team])
		if n <= 0 || j.Failing || j.Rank <= lowest || p.stops >= maxPreemptions {
			continue
		}
		p.evictFor(j, n)
	}
}

// lowestCheckpointingRank returns the lowest rank among the arrays that have booked tasks and
// checkpoint; ok is false if there is none below the top rank.
func (h *Holder) lowestCheckpointingRank() (rank int, ok bool) {
	rank = placement.TopRank
	for _, j := range h.jobs {
		if !j.gang() && j.spec.CheckpointS > 0 && !j.attempts.empty() {
			rank = min(rank, j.rank)
		}
	}
	return rank, rank < placement.TopRank
}

// preemption collects the attempts to stop after one pass.
type preemption struct {
	h        *Holder
	now      core.Time
	machines []*placement.Machine
	// free holds what will be free on each machine once the attempts that are told to stop
	// have left.
	free  map[core.MachineID]placement.Resources
	stops int
}

// eviction lists the attempts to stop on a machine to make room for one more task there.
type eviction struct {
	machine core.MachineID
	stops   []*slot
}

// freeAfterStops returns what is free on a machine, counting the attempts that are told to
// stop as off the machine.
func (p *preemption) freeAfterStops(m *placement.Machine) placement.Resources {
	free := m.Free()
	for _, s := range p.h.machines[m.ID].slots {
		if s.booked() && s.stopRequest != "" {
			free = free.Add(s.resources)
		}
	}
	return free
}

// evictFor stops what is necessary to start n tasks of a job; for a gang all n or none.
func (p *preemption) evictFor(j *placement.Job, n int) {
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
		found, free := p.findEvictions(j, m, zones, n-len(evictions))
		if len(found) > 0 {
			evictions, left[m.ID] = append(evictions, found...), free
		}
	}
	if j.Gang && len(evictions) < n {
		return
	}
	maps.Copy(p.free, left)
	for _, e := range evictions {
		for _, s := range e.stops {
			p.h.Log.Info("task selected for preemption by work of a higher rank", "task", s.task.String(), "attempt", s.attempt, "machine", e.machine, "for", j.ID)
			p.h.requestStop(s, stopPreempted)
			p.stops++
		}
	}
}

// findEvictions returns the evictions on a machine for up to n tasks of a job, and what is
// free there afterwards. It adds the tasks to the counts of their zones.
func (p *preemption) findEvictions(j *placement.Job, m *placement.Machine, zones map[string]int, n int) (found []eviction, free placement.Resources) {
	free = p.free[m.ID]
	var victims []*slot
	for _, s := range p.h.machines[m.ID].orderedSlots() {
		if p.h.preemptible(s, j.Rank, p.now) {
			victims = append(victims, s)
		}
	}
	// Attempts that started last lose the least work.
	slices.SortStableFunc(victims, func(a, b *slot) int { return cmp.Compare(b.runningSince, a.runningSince) })
	for len(found) < n && j.AllowsZone(m.Zone, zones) {
		stops, available := 0, free
		for !j.Need.Fits(available) && stops < len(victims) {
			available = available.Add(victims[stops].resources)
			stops++
		}
		if !j.Need.Fits(available) {
			break
		}
		found = append(found, eviction{m.ID, victims[:stops]})
		victims, free = victims[stops:], available.Sub(j.Need)
		zones[m.Zone]++
	}
	return found, free
}

// startsWanted returns how many more tasks of a job should run, within its team's quota: all
// waiting tasks, but of an array with a due time outside a guarantee only as many as it needs
// to be complete in time, and none while the rest of the quota is withheld for a larger job.
// Without that last rule, tasks were stopped again and again for a job that could not start.
func (h *Holder) startsWanted(j *placement.Job, t *placement.Team) int {
	n := j.Waiting
	if t == nil || n <= 0 || t.WithholdsFrom(j) {
		return 0
	}
	if own := h.jobs[j.ID]; !j.Gang && !j.Guaranteed && len(j.Timing.Due) > 0 {
		booked := own.bookedTasks()
		n = min(n, capacity.Concurrency(own.spec.Tasks-own.done.Len(), j.Estimate, time.Duration(j.Timing.Due[0]-h.Loop.WallNow())*time.Millisecond)-booked)
	}
	quotaLeft := t.Quota.Sub(t.Used)
	if j.Gang {
		if !j.Need.Scale(float64(n)).FitsQuota(quotaLeft) {
			return 0
		}
		return n
	}
	for n > 0 && !j.Need.Scale(float64(n)).FitsQuota(quotaLeft) {
		n = min(n-1, int(quotaLeft.CPUs/max(j.Need.CPUs, 1e-9)))
	}
	return n
}

// drain stops, on a draining machine, checkpointing tasks of jobs of the lowest rank that have
// neither a deadline nor an objective for their class. Without this, the machine left the
// block only when the last of them had ended.
func (h *Holder) drain(m *machine, now core.Time) {
	if !m.draining || h.state != placing {
		return
	}
	for _, s := range m.orderedSlots() {
		if j := h.jobs[s.task.Job]; h.preemptible(s, placement.Rank(api.RankStandard), now) && !capacity.TimeSensitive(h.Config.Objectives, j.spec) {
			h.Log.Info("task selected to stop on a draining machine", "task", s.task.String(), "attempt", s.attempt, "machine", m.id)
			h.requestStop(s, stopMachineDraining)
		}
	}
}

// saveBeforeReclaim tells checkpointing tasks on a machine that the cloud takes back to save
// and exit, as late as possible. Otherwise the work since their last checkpoint would be lost.
// The command may have to wait for the next report, for up to 5/4 of the report interval.
func (h *Holder) saveBeforeReclaim(m *machine, now core.Time) {
	if m.reclaimAt == 0 {
		return
	}
	for _, s := range m.slots {
		j := h.jobs[s.task.Job]
		if j == nil || j.gang() || s.stopRequest != "" || s.state != present || s.reportedState != api.TaskRunning || j.spec.CheckpointS <= 0 {
			continue
		}
		if m.reclaimAt.Sub(now) < core.Seconds(j.spec.SaveS)+h.Config.Workers.Report*5/4+saveMargin {
			h.requestStop(s, stopMachineReclaimed)
		}
	}
}
