package placement

import (
	"container/heap"
	"sort"
	"time"

	"lichenstair/internal/core"
)

// Timing holds the due times of an array and its remaining work.
type Timing struct {
	Due  []core.WallTime // by when it should be complete, for each objective, the earliest first
	Work float64         // CPU seconds
}

// fetchTime is added to the run time of a job's last task, for fetching its image.
const fetchTime = 3 * time.Second

// Defer decides which of a team's arrays cannot all be complete in time with the CPUs that the team
// can use, and marks those that are deferred. Serving all of them by age would make each of them a
// little late. Instead as many as possible are in time, and those with the most work are deferred
// (the algorithm of Moore and Hodgson, which minimizes the number of late jobs). A job that cannot
// meet its first due time is tried with its next, after the jobs that meet theirs. Only the order
// changes: deferred jobs use what the others leave.
//
// cpus is the number of CPUs that the team can use, and runningWork the remaining work of its
// running tasks in CPU seconds.
func Defer(now core.WallTime, cpus, runningWork float64, jobs []*Job) {
	remaining := jobs
	onTime := []*Job{}
	for stage := 0; len(remaining) > 0; stage++ {
		var candidates []*Job
		for _, j := range remaining {
			if stage < len(j.Timing.Due) {
				candidates = append(candidates, j)
			}
		}
		sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].Timing.Due[stage] < candidates[b].Timing.Due[stage] })
		work := runningWork
		for _, j := range onTime {
			work += j.Timing.Work
		}
		var accepted workHeap
		var deferred []*Job
		for _, j := range candidates {
			secondsLeft := float64(j.Timing.Due[stage]-now) / 1000
			if secondsLeft < (j.Estimate + fetchTime).Seconds() {
				deferred = append(deferred, j) // cannot be in time even if it starts now
				continue
			}
			heap.Push(&accepted, j)
			work += j.Timing.Work
			for work > secondsLeft*cpus && len(accepted) > 0 {
				largest := heap.Pop(&accepted).(*Job)
				work -= largest.Timing.Work
				deferred = append(deferred, largest)
			}
		}
		for _, j := range deferred {
			j.MissedDueTimes = stage + 1
		}
		onTime, remaining = append(onTime, accepted...), deferred
	}
}

// workHeap is a heap of jobs, the one with the most work first.
type workHeap []*Job

func (w workHeap) Len() int { return len(w) }
func (w workHeap) Less(a, b int) bool {
	return w[a].Timing.Work > w[b].Timing.Work || w[a].Timing.Work == w[b].Timing.Work && w[a].ID < w[b].ID
}
func (w workHeap) Swap(a, b int) { w[a], w[b] = w[b], w[a] }
func (w *workHeap) Push(x any)   { *w = append(*w, x.(*Job)) }
func (w *workHeap) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}
