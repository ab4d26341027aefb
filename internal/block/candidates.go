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

// deferArrays chooses, team by team, the arrays that give way where not all can be
// in time. A team can use what its arrays have and what is free, or what it is
// guaranteed, up to its limit.
func (h *Holder) deferArrays(jobs []*placement.Job, machines []*placement.Machine, teams map[string]*placement.Team) {
	free := 0.0
	for _, m := range machines {
		if !m.GangReserved && !m.Draining {
			free += m.Free().CPUs
		}
	}
	timed := map[string][]*placement.Job{}
	listed := map[core.JobID]bool{}
	for _, j := range jobs {
		listed[j.ID] = true
		if len(j.Timing.Due) > 0 && j.MissedDueTimes == 0 {
			timed[j.Team] = append(timed[j.Team], j)
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
	for _, t := range h.Mirror.Teams(h.Config.Teams) {
		team := teams[t.Name]
		cpus := min(max(have[t.Name]+free, t.CPUs), t.CPUsMax-(team.Used.CPUs-have[t.Name]))
		placement.Defer(h.Loop.WallNow(), cpus, running[t.Name], timed[t.Name])
		placement.OrderByDue(h.Loop.WallNow(), cpus, running[t.Name], timed[t.Name])
	}
}

// keptNow lists the kinds of machine that arrays must leave alone: those always
// kept for gangs, and those that a gang waits for now.
func (h *Holder) keptNow(jobs []*placement.Job, types map[string]api.MachineType) capacity.GangKinds {
	kept := h.GangKinds()
	for _, j := range jobs {
		if !j.Gang || j.Failing {
			continue
		}
		for _, name := range capacity.RestrictedTypes(j, types) {
			kept.Add(name, j)
		}
	}
	return kept
}

// candidates lists the jobs with waiting tasks for the placement.
func (h *Holder) candidates(now core.Time) (out []*placement.Job) {
	guarantees := capacity.NewGuarantees(h.Config.Teams)
	zones := h.zones()
	wall := h.Loop.WallNow()
	for _, j := range h.readyJobs() {
		guaranteed := guarantees.AddJob(j.spec.Team, j.need.CPUs*float64(j.spec.Tasks-j.done.Len()))
		j.noteWait(now, time.Duration(wall-j.at)*time.Millisecond)
		if j.holdoff > now {
			h.dirty = true
			continue
		}
		if j.waiting() <= 0 || j.broken || j.cancelled || j.gang() && !j.attempts.empty() {
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

// readyJobs lists the jobs that wait for no other, the oldest first.
func (h *Holder) readyJobs() (ready []*job) {
	for _, j := range h.jobs {
		if !j.blocked {
			ready = append(ready, j)
		}
	}
	slices.SortFunc(ready, func(a, b *job) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	return ready
}

// candidate describes a job with waiting tasks for the placement.
func (h *Holder) candidate(j *job, now core.Time, wall core.WallTime, guaranteed bool) *placement.Job {
	p := placement.NewJob(j.id, j.at, j.spec)
	p.Rank, p.Waiting, p.Guaranteed = j.rank, j.waiting(), guaranteed
	p.ExcludedMachines = h.avoided(j, now)
	if capacity.MissesObjectives(h.Config.Objectives, j.spec, j.sent, j.at, wall) {
		p.MissedDueTimes = len(h.Config.Objectives)
	}
	p.TimeSensitive = guaranteed || j.due > 0 || capacity.TimeSensitive(h.Config.Objectives, j.spec)
	p.Timing = placement.Timing{Due: capacity.DueTimes(h.Config.Objectives, j.spec, j.sent, j.at, j.due), Work: j.work()}
	p.Starvation = j.starvation(now)
	p.Failing = j.probing()
	if p.Overdue = capacity.Overdue(j.at, wall, j.begun()); p.Overdue {
		// It begins before all else, whatever its rank, but with one task if it
		// can: the rest waits as its rank says. Low ranks that came while others
		// used everything had not begun after four minutes.
		p.Rank = placement.TopRank
	}
	if j.gang() {
		return &p
	}
	if p.Starvation != placement.NotStarving || p.Overdue {
		p.Waiting = 1
	}
	if p.Failing {
		p.Waiting = min(p.Waiting, 1-j.live())
	}
	return &p
}

// avoided lists the machines on which a job must not be tried for now.
func (h *Holder) avoided(j *job, now core.Time) map[core.MachineID]bool {
	avoid := map[core.MachineID]bool{}
	for id, until := range j.avoid {
		if until <= now {
			delete(j.avoid, id)
			continue
		}
		avoid[id] = true
		h.dirty = true
	}
	return avoid
}

// zones counts the tasks booked on machines, by job and zone, for the jobs to which
// zones matter.
func (h *Holder) zones() map[core.JobID]map[string]int {
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
