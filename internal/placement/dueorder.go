package placement

import (
	"cmp"
	"slices"

	"lichenstair/internal/core"
)

// OrderByDue puts a team's arrays in the order of their due times where serving the oldest first
// would make some of them late: arrays with little time would wait behind older ones that have
// more. They exchange only the queue positions that they have by age, so other teams are not
// affected. Estimates are often wrong by half, so the order changes only once serving the oldest
// first would use up more than half of the time of one array. Deferred arrays come after the
// others.
//
// cpus and runningWork are as for Defer, which has to be called before.
func OrderByDue(now core.WallTime, cpus, runningWork float64, jobs []*Job) {
	if !exceedsHalfTime(now, cpus, runningWork, jobs) {
		return
	}
	type queueSlot struct {
		guaranteed bool
		at         core.WallTime
	}
	byMissed := map[int][]*Job{}
	for _, j := range jobs {
		byMissed[j.MissedDueTimes] = append(byMissed[j.MissedDueTimes], j)
	}
	for _, missed := range core.SortedKeys(byMissed) {
		group := byMissed[missed]
		slices.SortStableFunc(group, compareInQueue)
		var slots []queueSlot
		for _, j := range group {
			slots = append(slots, queueSlot{j.Guaranteed, j.queueTime()})
		}
		due := func(j *Job) core.WallTime { return j.Timing.Due[min(missed, len(j.Timing.Due)-1)] }
		slices.SortStableFunc(group, func(a, b *Job) int { return cmp.Compare(due(a), due(b)) })
		for i, j := range group {
			j.Guaranteed, j.QueueTime = slots[i].guaranteed, slots[i].at
		}
	}
}

// exceedsHalfTime reports whether serving jobs in queue order would take more than half of the time
// that one of them has left.
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
