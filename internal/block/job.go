package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// job is an unfinished job of a team of the block.
type job struct {
	id      core.JobID
	at      core.WallTime // since when it may run
	sent    core.WallTime // when it was submitted
	blocked bool          // a job that it depends on is not done yet
	due     core.WallTime // by when jobs that need it want it done; 0: any time
	spec    *api.Job
	rank    int
	seen    bool // a task of it has been seen on a machine
	need    placement.Resources
	done    core.IndexSet // known done, durable or not
	pending core.IndexSet // done, not yet durable
	// attempts is all that is known of where its tasks may be.
	attempts attemptSet
	cursor   int   // tasks below are or were started, or done
	again    []int // tasks below cursor that wait again
	// withoutTasks: none of its tasks has a machine, since withoutSince.
	withoutTasks bool
	withoutSince core.Time
	inherited    bool // it waited before this holder had the block, nobody knows for how long
	// cancelled: another controller told so; the mirror does not show it yet.
	cancelled bool
	broken    bool // gang: a member is gone; the rest has to go
	avoid     map[core.MachineID]core.Time
	// failed holds the machines on which tasks have failed, as long as none has
	// completed; after that the job is known to be good.
	failed  map[core.MachineID]bool
	fails   int // in a row
	holdoff core.Time
}

func (j *job) gang() bool { return j.spec.Form == api.FormGang }

func (j *job) estimate() time.Duration { return core.Seconds(j.spec.EstimateS) }

// probing tells whether the job is suspected to have been submitted with a mistake:
// it has failed on more than one machine and completed nothing.
func (j *job) probing() bool { return len(j.failed) > 1 && j.done.Empty() }

// waiting counts the tasks that neither are done nor may be on a machine. It is where a job that
// depends on others is kept from starting, and from all that comes with waiting: a place
// in line, a reservation, machines.
func (j *job) waiting() int {
	if j.blocked {
		return 0
	}
	return j.spec.Tasks - j.done.Len() - j.live()
}

// live counts the tasks that are not done and may be on a machine.
func (j *job) live() int {
	return j.attempts.count(func(s *slot) bool { return !j.done.Has(s.task.Index) })
}

// whole tells whether every task of a gang that is not done has an attempt of the same
// number, the newest.
func (j *job) whole() bool {
	number, members := j.attempts.newest(), 0
	for task, attempts := range j.attempts.byTask {
		if !j.done.Has(task) && attempts[0].attempt == number {
			members++
		}
	}
	return members == j.spec.Tasks-j.done.Len()
}

// noteWait follows since when the job has had nothing on a machine. What it waited before
// its holder had the block is not known; without counting it, jobs waited 90 s beside free capacity
// whenever their block changed hands in between.
func (j *job) noteWait(now core.Time, age time.Duration) {
	switch {
	case j.onMachines():
		j.withoutTasks, j.inherited = false, false
	case !j.withoutTasks:
		j.withoutTasks, j.withoutSince = true, now
		if j.inherited {
			j.withoutSince = now.Add(-min(age, inheritedWait))
		}
	}
}

// onMachines tells whether a machine has reported a task of the job. A plan, or a start
// that may still be lost, ends no wait: each that came to nothing had the wait begin anew.
func (j *job) onMachines() bool {
	return j.attempts.any(func(s *slot) bool { return s.state == present })
}

// starvation tells how far the wait of a job that has no task placed has gone.
func (j *job) starvation(now core.Time) placement.Starvation {
	if !j.withoutTasks || j.live() > 0 {
		return placement.NotStarving
	}
	return capacity.StarvationAfter(now.Sub(j.withoutSince))
}

// begun tells whether a task of the job has been on a machine. Plans do not count: a
// job whose only plan had been dropped was taken for begun, and waited for ever.
func (j *job) begun() bool { return j.seen || !j.done.Empty() }

// work estimates the work that is left, in CPU seconds; tasks that run count half.
func (j *job) work() float64 {
	live := float64(j.live())
	left := float64(j.spec.Tasks-j.done.Len()) - live/2
	return left * j.estimate().Seconds() * j.need.CPUs
}

// next takes a waiting task.
func (j *job) next() (int, bool) {
	for len(j.again) > 0 {
		i := j.again[0]
		j.again = j.again[1:]
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
