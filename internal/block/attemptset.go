package block

import (
	"cmp"
	"slices"

	"lichenstair/internal/core"
)

// attemptSet holds every attempt of a job's tasks that is booked on a machine. Whether a
// task may be started is a function of this set and of nothing else: as long as an attempt
// of the task is in it, wherever it was seen and whatever became of other attempts, no
// other one is started. The zero value is empty.
type attemptSet struct {
	// byTask holds the attempts of each task that has any, the newest first.
	byTask map[int][]*slot
}

// add puts an attempt into the set.
func (a *attemptSet) add(s *slot) {
	if a.byTask == nil {
		a.byTask = map[int][]*slot{}
	}
	attempts := append(a.byTask[s.task.Index], s)
	slices.SortStableFunc(attempts, func(x, y *slot) int { return cmp.Compare(y.attempt, x.attempt) })
	a.byTask[s.task.Index] = attempts
}

// remove takes an attempt out of the set and tells whether it was there.
func (a *attemptSet) remove(s *slot) bool {
	attempts := a.byTask[s.task.Index]
	i := slices.Index(attempts, s)
	if i < 0 {
		return false
	}
	if len(attempts) == 1 {
		delete(a.byTask, s.task.Index)
		return true
	}
	a.byTask[s.task.Index] = slices.Delete(attempts, i, i+1)
	return true
}

// booked tells whether any attempt of a task may be on a machine.
func (a *attemptSet) booked(task int) bool { return len(a.byTask[task]) > 0 }

// current returns the attempt that a task goes on with, nil if there is none: the newest.
// An older one that is known as well was taken to be off by whoever started the newest, and
// the other members of a gang are of the newest too.
func (a *attemptSet) current(task int) *slot {
	if attempts := a.byTask[task]; len(attempts) > 0 {
		return attempts[0]
	}
	return nil
}

// empty tells whether no task of the job may be on a machine.
func (a *attemptSet) empty() bool { return len(a.byTask) == 0 }

// newest returns the highest number of an attempt, 0 if there is none.
func (a *attemptSet) newest() (number core.Attempt) {
	for _, attempts := range a.byTask {
		number = max(number, attempts[0].attempt)
	}
	return number
}

// all lists the attempts by task, the newest first.
func (a *attemptSet) all() (out []*slot) {
	for _, task := range core.SortedKeys(a.byTask) {
		out = append(out, a.byTask[task]...)
	}
	return out
}

// any tells whether something holds for one of the attempts.
func (a *attemptSet) any(holds func(*slot) bool) bool {
	for _, attempts := range a.byTask {
		if slices.ContainsFunc(attempts, holds) {
			return true
		}
	}
	return false
}

// count counts the tasks for one of whose attempts something holds.
func (a *attemptSet) count(holds func(*slot) bool) (n int) {
	for _, attempts := range a.byTask {
		if slices.ContainsFunc(attempts, holds) {
			n++
		}
	}
	return n
}
