package placement

import (
	"container/heap"
	"sort"
	"time"

	"lichenstair/internal/core"
)

// Timing is what is known of an array's time: by when it should be complete, for
// the aim that leaves least time first, and the work that is left.
type Timing struct {
	Due  []core.WallTime
	Work float64 // CPU seconds
}

// fetchTime is added to what the last task of a job still needs.
const fetchTime = 3 * time.Second

// Defer decides which of a team's arrays cannot all be complete in time with
// the CPUs that the team can use, and marks those that are deferred. Serving them
// all by age would make each of them a little late; instead as many as possible
// are in time, and those with the most work give way (the rule of Moore and
// Hodgson for the number of late jobs). A job that cannot meet its first time
// is tried with the next, after those that meet theirs. It only ever changes
// the order: whoever is deferred takes what the others leave.
//
// cpus is what the team can use, and running the work of tasks that already run.
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
				deferred = append(deferred, j) // too late whatever is done
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
