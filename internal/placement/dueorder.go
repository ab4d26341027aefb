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
func OrderByDue(now core.WallTime, cpus, runningWork float64, jobs []*Job) {
	if !exceedsHalfTime(now, cpus, runningWork, jobs) {
		return
	}
	type queueSlot struct {
		guaranteed bool
		at         core.WallTime
	}
	byLate := map[int][]*Job{}
	for _, j := range jobs {
		byLate[j.MissedDueTimes] = append(byLate[j.MissedDueTimes], j)
	}
	for _, late := range core.SortedKeys(byLate) {
		group := byLate[late]
		slices.SortStableFunc(group, compareInQueue)
		var slots []queueSlot
		for _, j := range group {
			slots = append(slots, queueSlot{j.Guaranteed, j.queueTime()})
		}
		due := func(j *Job) core.WallTime { return j.Timing.Due[min(late, len(j.Timing.Due)-1)] }
		slices.SortStableFunc(group, func(a, b *Job) int { return cmp.Compare(due(a), due(b)) })
		for i, j := range group {
			j.Guaranteed, j.QueueTime = slots[i].guaranteed, slots[i].at
		}
	}
}

// exceedsHalfTime tells whether serving jobs in the order of their places would take more
// than half of the time that one of them has.
func exceedsHalfTime(now core.WallTime, cpus, runningWork float64, jobs []*Job) bool {
	queue := slices.Clone(jobs)
	slices.SortStableFunc(queue, compareInQueue)
	work := runningWork
	for _, j := range queue {
		work += j.Timing.Work
		secondsLeft := float64(j.Timing.Due[0]-now)/1000 - (j.Estimate + fetchTime).Seconds()
		if 2*work > secondsLeft*cpus {
			return true
		}
	}
	return false
}
