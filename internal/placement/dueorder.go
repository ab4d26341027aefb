package placement

import (
	"cmp"
	"slices"

	"lichenstair/internal/core"
)

// OrderByDue puts a team's arrays in the order of their due times where serving the
// oldest first would make some of them late: those with little time of their own
// would wait behind older ones that have more. They share the places in line that
// they have by age, so that nothing changes for other teams. Estimates are often
// wrong by half, so the order changes once the oldest-first order would use up half
// of somebody's time; until then nothing changes. Those that are deferred come after.
//
// cpus and running are as for Defer, which has to come first.
func OrderByDue(now core.WallTime, cpus, running float64, jobs []*Job) {
	if !someLate(now, cpus, running, jobs) {
		return
	}
	type place struct {
		guaranteed bool
		at         core.WallTime
	}
	byLate := map[int][]*Job{}
	for _, j := range jobs {
		byLate[j.MissedDueTimes] = append(byLate[j.MissedDueTimes], j)
	}
	for _, late := range core.SortedKeys(byLate) {
		group := byLate[late]
		slices.SortStableFunc(group, inLine)
		var places []place
		for _, j := range group {
			places = append(places, place{j.Guaranteed, j.turn()})
		}
		due := func(j *Job) core.WallTime { return j.Timing.Due[min(late, len(j.Timing.Due)-1)] }
		slices.SortStableFunc(group, func(a, b *Job) int { return cmp.Compare(due(a), due(b)) })
		for i, j := range group {
			j.Guaranteed, j.QueueTime = places[i].guaranteed, places[i].at
		}
	}
}

// someLate tells whether serving jobs in the order of their places would take more
// than half of the time that one of them has.
func someLate(now core.WallTime, cpus, running float64, jobs []*Job) bool {
	line := slices.Clone(jobs)
	slices.SortStableFunc(line, inLine)
	used := running
	for _, j := range line {
		used += j.Timing.Work
		have := float64(j.Timing.Due[0]-now)/1000 - (j.Estimate + fetchTime).Seconds()
		if 2*used > have*cpus {
			return true
		}
	}
	return false
}
