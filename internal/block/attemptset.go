package block

import (
	"cmp"
	"slices"

	"lichenstair/internal/core"
)

// attemptSet holds every booked attempt of a job's tasks. It alone decides whether a task may
// be started: as long as it holds an attempt of the task, on any machine and whatever has
// become of other attempts, no other attempt is started. The zero value is an empty set.
type attemptSet struct {
	// byTask holds the attempts of each task that has any, newest first.
	byTask map[int][]*slot
}

// add adds an attempt to the set.
func (a *attemptSet) add(s *slot) {
	if a.byTask == nil {
		a.byTask = map[int][]*slot{}
	}
	attempts := append(a.byTask[s.task.Index], s)
	slices.SortStableFunc(attempts, func(x, y *slot) int { return cmp.Compare(y.attempt, x.attempt) })
	a.byTask[s.task.Index] = attempts
}

// remove removes an attempt from the set and reports whether the set held it.
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

// booked reports whether any attempt of a task may be on a machine.
func (a *attemptSet) booked(task int) bool { return len(a.byTask[task]) > 0 }

// current returns the newest attempt of a task, or nil if it has none. The task goes on with
// this attempt: whoever started it took older ones to be off their machines, and the other
// members of a gang belong to the newest attempt too.
func (a *attemptSet) current(task int) *slot {
	if attempts := a.byTask[task]; len(attempts) > 0 {
		return attempts[0]
	}
	return nil
}

// empty reports whether no task of the job may be on a machine.
func (a *attemptSet) empty() bool { return len(a.byTask) == 0 }

// newest returns the highest attempt number, or 0 if the set is empty.
func (a *attemptSet) newest() (number core.Attempt) {
	for _, attempts := range a.byTask {
		number = max(number, attempts[0].attempt)
	}
	return number
}

// all returns the attempts in the order of their tasks, newest first within a task.
func (a *attemptSet) all() (out []*slot) {
	for _, task := range core.SortedKeys(a.byTask) {
		out = append(out, a.byTask[task]...)
	}
	return out
}

// any reports whether the predicate holds for at least one attempt.
func (a *attemptSet) any(holds func(*slot) bool) bool {
	for _, attempts := range a.byTask {
		if slices.ContainsFunc(attempts, holds) {
			return true
		}
	}
	return false
}

// count returns the number of tasks of which at least one attempt satisfies the predicate.
func (a *attemptSet) count(holds func(*slot) bool) (n int) {
	for _, attempts := range a.byTask {
		if slices.ContainsFunc(attempts, holds) {
			n++
		}
	}
	return n
}
