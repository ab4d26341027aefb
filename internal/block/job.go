package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// job is an unfinished job of one of the block's teams.
type job struct {
	id          core.JobID
	readyAt     core.WallTime // since when it may run
	submittedAt core.WallTime // when it was submitted
	blocked     bool          // a job that it depends on is not done yet
	neededBy    core.WallTime // time by which dependent jobs need it to be done; 0: none
	spec        *api.Job
	rank        int                 // highest of its own rank and those of jobs that depend on it
	reported    bool                // one of its tasks has been reported by a machine
	resources   placement.Resources // that one task needs
	done        core.IndexSet       // tasks known to be done, durably or not
	pending     core.IndexSet       // done, not yet durable
	// attempts holds the booked attempts of its tasks.
	attempts attemptSet
	cursor   int   // every task below has been started or is done
	requeued []int // tasks below cursor that wait again
	// unplaced is set while no machine has reported a task of the job; unplacedSince is when
	// that began.
	unplaced      bool
	unplacedSince core.Time
	// waitInherited: it waited before this holder had the block, for an unknown time.
	waitInherited bool
	// cancelled: another controller has announced the cancellation; the mirror may not show it
	// yet.
	cancelled     bool
	broken        bool                         // gang with a missing member; the others must stop
	excludedUntil map[core.MachineID]core.Time // machines not to be used, with the end of the exclusion
	// failedMachines holds the machines on which tasks have failed. It is cleared when a task
	// completes: from then on the job is known to work.
	failedMachines map[core.MachineID]bool
	failures       int       // consecutive failures
	backoffUntil   core.Time // no task is placed before this time
}

func (j *job) gang() bool { return j.spec.Form == api.FormGang }

func (j *job) estimate() time.Duration { return core.Seconds(j.spec.EstimateS) }

// failing reports whether the job is suspected to be faulty: it has failed on more than one
// machine and completed nothing.
func (j *job) failing() bool { return len(j.failedMachines) > 1 && j.done.Empty() }

// hasUnrecordedEnd reports whether completions of tasks, or of the job, are to be made durable.
func (j *job) hasUnrecordedEnd() bool { return !j.pending.Empty() || j.done.Len() >= j.spec.Tasks }

// waitingTasks counts the tasks that are not done and not booked on any machine. It is 0 for a
// job with unfinished dependencies, which keeps the job from starting and from taking a place
// in the queue, a reservation or machines.
func (j *job) waitingTasks() int {
	if j.blocked {
		return 0
	}
	return j.spec.Tasks - j.done.Len() - j.bookedTasks()
}

// bookedTasks counts the tasks that are not done and may be on a machine.
func (j *job) bookedTasks() int {
	return j.attempts.count(func(s *slot) bool { return !j.done.Has(s.task.Index) })
}

// gangComplete reports whether every task of a gang that is not done has an attempt with the
// newest attempt number.
func (j *job) gangComplete() bool {
	number, members := j.attempts.newest(), 0
	for task, attempts := range j.attempts.byTask {
		if !j.done.Has(task) && attempts[0].attempt == number {
			members++
		}
	}
	return members == j.spec.Tasks-j.done.Len()
}

// updateWait tracks since when the job has had no task on a machine. How long it waited under
// an earlier holder is not known, so its age counts, up to maxInheritedWait; without that,
// jobs waited 90 s beside free capacity whenever their block changed hands in between.
func (j *job) updateWait(now core.Time, age time.Duration) {
	switch {
	case j.onMachines():
		j.unplaced, j.waitInherited = false, false
	case !j.unplaced:
		j.unplaced, j.unplacedSince = true, now
		if j.waitInherited {
			j.unplacedSince = now.Add(-min(age, maxInheritedWait))
		}
	}
}

// onMachines reports whether a machine has reported a task of the job. A planned start, or one
// that may still be lost, does not end the wait: otherwise the wait started again with each
// start that failed.
func (j *job) onMachines() bool {
	return j.attempts.any(func(s *slot) bool { return s.state == present })
}

// starvation returns how starved a job without booked tasks is.
func (j *job) starvation(now core.Time) placement.Starvation {
	if !j.unplaced || j.bookedTasks() > 0 {
		return placement.NotStarving
	}
	return capacity.StarvationAfter(now.Sub(j.unplacedSince))
}

// hasStarted reports whether a task of the job has been on a machine. Planned starts do not
// count: a job whose only planned start had been dropped was taken to have started, and waited
// forever.
func (j *job) hasStarted() bool { return j.reported || !j.done.Empty() }

// remainingWork estimates the work left in CPU seconds; booked tasks count half.
func (j *job) remainingWork() float64 {
	booked := float64(j.bookedTasks())
	left := float64(j.spec.Tasks-j.done.Len()) - booked/2
	return left * j.estimate().Seconds() * j.resources.CPUs
}

// nextWaiting takes the next waiting task and returns its index.
func (j *job) nextWaiting() (int, bool) {
	for len(j.requeued) > 0 {
		i := j.requeued[0]
		j.requeued = j.requeued[1:]
		if !j.done.Has(i) && !j.attempts.booked(i) {
			return i, true
		}
	}
	for j.cursor < j.spec.Tasks {
		i := j.done.NextMissing(j.cursor)
		if i >= j.spec.Tasks {
			j.cursor = j.spec.Tasks
			break
		}
		j.cursor = i + 1
		if !j.attempts.booked(i) {
			return i, true
		}
	}
	return 0, false
}
