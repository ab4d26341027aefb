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
func Defer(now core.WallTime, cpus, running float64, jobs []*Job) {
	left := jobs
	kept := []*Job{}
	for stage := 0; len(left) > 0; stage++ {
		var due []*Job
		for _, j := range left {
			if stage < len(j.Timing.Due) {
				due = append(due, j)
			}
		}
		sort.SliceStable(due, func(a, b int) bool { return due[a].Timing.Due[stage] < due[b].Timing.Due[stage] })
		used := running
		for _, j := range kept {
			used += j.Timing.Work
		}
		var taken byWork
		var dropped []*Job
		for _, j := range due {
			have := float64(j.Timing.Due[stage]-now) / 1000
			if have < (j.Estimate + fetchTime).Seconds() {
				dropped = append(dropped, j) // too late whatever is done
				continue
			}
			heap.Push(&taken, j)
			used += j.Timing.Work
			for used > have*cpus && len(taken) > 0 {
				most := heap.Pop(&taken).(*Job)
				used -= most.Timing.Work
				dropped = append(dropped, most)
			}
		}
		for _, j := range dropped {
			j.MissedDueTimes = stage + 1
		}
		kept, left = append(kept, taken...), dropped
	}
}

// byWork is a heap of jobs, the one with the most work first.
type byWork []*Job

func (w byWork) Len() int { return len(w) }
func (w byWork) Less(a, b int) bool {
	return w[a].Timing.Work > w[b].Timing.Work || w[a].Timing.Work == w[b].Timing.Work && w[a].ID < w[b].ID
}
func (w byWork) Swap(a, b int) { w[a], w[b] = w[b], w[a] }
func (w *byWork) Push(x any)   { *w = append(*w, x.(*Job)) }
func (w *byWork) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}
