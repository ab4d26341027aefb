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

// deferArrays chooses, for each team, the arrays to defer if not all of its arrays can be
// complete in time. A team can use what its arrays have booked plus what is free, or its
// guarantee if that is more, up to its quota less what its gangs have booked.
func (h *Holder) deferArrays(jobs []*placement.Job, machines []*placement.Machine, teams map[string]*placement.Team) {
	free := 0.0
	for _, m := range machines {
		if !m.GangReserved && !m.Draining {
			free += m.Free().CPUs
		}
	}
	withDueTime := map[string][]*placement.Job{}
	listed := map[core.JobID]bool{}
	for _, j := range jobs {
		listed[j.ID] = true
		if len(j.Timing.Due) > 0 && j.MissedDueTimes == 0 {
			withDueTime[j.Team] = append(withDueTime[j.Team], j)
		}
	}
	booked := map[string]float64{}    // CPUs booked by arrays, by team
	otherWork := map[string]float64{} // CPU seconds of work left in arrays that are not candidates, by team
	for _, j := range h.jobs {
		if j.gang() {
			continue
		}
		booked[j.spec.Team] += j.resources.CPUs * float64(j.bookedTasks())
		if !listed[j.id] {
			otherWork[j.spec.Team] += j.remainingWork()
		}
	}
	for _, t := range h.Mirror.Teams(h.Config.Teams) {
		team := teams[t.Name]
		cpus := min(max(booked[t.Name]+free, t.CPUs), t.CPUsMax-(team.Used.CPUs-booked[t.Name]))
		placement.Defer(h.Loop.WallNow(), cpus, otherWork[t.Name], withDueTime[t.Name])
		placement.OrderByDue(h.Loop.WallNow(), cpus, otherWork[t.Name], withDueTime[t.Name])
	}
}

// gangKindsNow returns the kinds of machine that arrays must not use: those always reserved
// for gangs, and those that a waiting gang needs now.
func (h *Holder) gangKindsNow(jobs []*placement.Job, types map[string]api.MachineType) capacity.GangKinds {
	gangKinds := h.GangKinds()
	for _, j := range jobs {
		if !j.Gang || j.Failing {
			continue
		}
		for _, name := range capacity.RestrictedTypes(j, types) {
			gangKinds.Add(name, j)
		}
	}
	return gangKinds
}

// candidates returns the jobs with waiting tasks as input for the placement. It also updates
// how long each job has been waiting, and keeps the holder dirty while a job is backing off.
func (h *Holder) candidates(now core.Time) (out []*placement.Job) {
	guarantees := capacity.NewGuarantees(h.Config.Teams)
	zones := h.bookedZones()
	wall := h.Loop.WallNow()
	for _, j := range h.readyJobs() {
		h.updateUrgency(j)
		guaranteed := guarantees.AddJob(j.spec.Team, j.resources.CPUs*float64(j.spec.Tasks-j.done.Len()))
		j.updateWait(now, time.Duration(wall-j.readyAt)*time.Millisecond)
		if j.backoffUntil > now {
			h.dirty = true
			continue
		}
		if j.waitingTasks() <= 0 || j.broken || j.cancelled || j.gang() && !j.attempts.empty() {
			continue
		}
		candidate := h.candidate(j, now, wall, guaranteed)
		candidate.TasksByZone = zones[j.id]
		if candidate.Waiting > 0 {
			out = append(out, candidate)
		}
	}
	return out
}

// updateUrgency updates what a job inherits from the jobs that depend on it.
func (h *Holder) updateUrgency(j *job) {
	if e := h.Mirror.Jobs[j.id]; e != nil {
		urgency := h.Mirror.Urgency(e)
		j.rank, j.neededBy = max(j.rank, urgency.Rank), urgency.Deadline
	}
}

// readyJobs returns the jobs that do not wait for a dependency, the oldest first.
func (h *Holder) readyJobs() (ready []*job) {
	for _, j := range h.jobs {
		if !j.blocked {
			ready = append(ready, j)
		}
	}
	slices.SortFunc(ready, func(a, b *job) int { return cmp.Or(cmp.Compare(a.readyAt, b.readyAt), cmp.Compare(a.id, b.id)) })
	return ready
}

// candidate describes a job with waiting tasks for the placement.
func (h *Holder) candidate(j *job, now core.Time, wall core.WallTime, guaranteed bool) *placement.Job {
	p := placement.NewJob(j.id, j.readyAt, j.spec)
	p.Rank, p.Waiting, p.Guaranteed = j.rank, j.waitingTasks(), guaranteed
	p.ExcludedMachines = h.excludedMachines(j, now)
	if capacity.MissesObjectives(h.Config.Objectives, j.spec, j.submittedAt, j.readyAt, wall) {
		p.MissedDueTimes = len(h.Config.Objectives)
	}
	p.TimeSensitive = guaranteed || j.neededBy > 0 || capacity.TimeSensitive(h.Config.Objectives, j.spec)
	p.Timing = placement.Timing{Due: capacity.DueTimes(h.Config.Objectives, j.spec, j.submittedAt, j.readyAt, j.neededBy), Work: j.remainingWork()}
	p.Starvation = j.starvation(now)
	p.Failing = j.failing()
	if p.Overdue = capacity.Overdue(j.readyAt, wall, j.hasStarted()); p.Overdue {
		// An overdue job starts before all others whatever its rank, with a single task if it
		// is an array; its other tasks wait as its rank says. Without this, jobs of low ranks
		// that arrived while others used all capacity had not started after four minutes.
		p.Rank = placement.TopRank
	}
	if j.gang() {
		return &p
	}
	if p.Starvation != placement.NotStarving || p.Overdue {
		p.Waiting = 1
	}
	if p.Failing {
		p.Waiting = min(p.Waiting, 1-j.bookedTasks())
	}
	return &p
}

// excludedMachines returns the machines on which a job must not be tried for now, and forgets
// those whose time has passed. The holder stays dirty while any are left.
func (h *Holder) excludedMachines(j *job, now core.Time) map[core.MachineID]bool {
	excluded := map[core.MachineID]bool{}
	for id, until := range j.excludedUntil {
		if until <= now {
			delete(j.excludedUntil, id)
			continue
		}
		excluded[id] = true
		h.dirty = true
	}
	return excluded
}

// bookedZones counts the tasks booked on machines, by job and zone, for the jobs with a rule
// on zones.
func (h *Holder) bookedZones() map[core.JobID]map[string]int {
	out := map[core.JobID]map[string]int{}
	for id, j := range h.jobs {
		if j.spec.OneZone || j.spec.SpreadZones {
			out[id] = map[string]int{}
		}
	}
	if len(out) == 0 {
		return out
	}
	for _, m := range h.machines {
		for _, s := range m.slots {
			if zones := out[s.task.Job]; zones != nil && s.booked() {
				zones[m.zone]++
			}
		}
	}
	return out
}
