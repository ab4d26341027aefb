package capacity

import (
	"cmp"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

const (
	// maxDeferral bounds how long a job is deferred for being late: work must not
	// wait for ever because it could not be in time.
	maxDeferral = 15 * time.Minute
	// maxStartWait is how long a job may have waited without a task started before it
	// goes first: nobody's work should seem forgotten because others hurry. Users
	// expect the beginning within four minutes; what is left is for the drain.
	maxStartWait = 150 * time.Second
)

// Overdue tells whether a job has waited too long without having begun.
func Overdue(readyAt, now core.WallTime, begun bool) bool {
	return !begun && time.Duration(now-readyAt)*time.Millisecond > maxStartWait
}

const (
	// starvingAfter is how long a job may wait with nothing running before one of its
	// tasks may take room that nobody else can use.
	starvingAfter = 45 * time.Second
	// starvedAfter is when one of its tasks may take any room. Users count 90 s beside a
	// machine with room; what is left is for a new holder to find its machines.
	starvedAfter = 70 * time.Second
)

// StarvationAfter is the starvation of a job that has waited for a time, since it could
// run or since its last task left its machine, with nothing running.
func StarvationAfter(waited time.Duration) placement.Starvation {
	switch {
	case waited > starvedAfter:
		return placement.Starved
	case waited > starvingAfter:
		return placement.Starving
	}
	return placement.NotStarving
}

// DueTimes lists by when an array should be complete, for each of the users' aims on its
// completion, the one that leaves least time first: those on its deadline, if it has
// one, else those on the time that jobs of its class may take. A deadline counts from
// sent, when the job was submitted, all else from at, since when it may run. needed is by
// when jobs that depend on it want it done (0: any time).
func DueTimes(objectives []config.Objective, spec *api.Job, submittedAt, readyAt, neededBy core.WallTime) (due []core.WallTime) {
	if spec.Form == api.FormGang {
		return nil
	}
	deadlines, within := []float64{}, []float64{}
	for _, a := range objectives {
		switch {
		case a.Class != spec.Class:
		case a.Kind == "deadline" && spec.DeadlineS != nil:
			deadlines = append(deadlines, *spec.DeadlineS*cmp.Or(a.DeadlineFactor, 1))
		case a.Kind == "finished" && spec.DeadlineS == nil:
			within = append(within, a.Within.Seconds())
		}
	}
	if len(deadlines) == 0 && spec.DeadlineS != nil {
		deadlines = append(deadlines, *spec.DeadlineS)
	}
	for _, s := range deadlines {
		due = append(due, submittedAt+core.WallTime(s*1000))
	}
	for _, s := range within {
		due = append(due, readyAt+core.WallTime(s*1000))
	}
	if neededBy > 0 {
		due = append(due, neededBy)
	}
	slices.Sort(due)
	return due
}

// TimeSensitive tells whether users have stated by when a job should begin or be complete:
// by an aim on its class, or by its deadline.
func TimeSensitive(objectives []config.Objective, spec *api.Job) bool {
	return spec.DeadlineS != nil || slices.ContainsFunc(objectives, func(a config.Objective) bool {
		return a.Class == spec.Class && (a.Kind == "wait" || a.Kind == "finished")
	})
}

// MissesObjectives tells whether a waiting job can no longer meet any of the aims that its
// users stated for its class, nor its own deadline. Such a job yields to those
// that can still be in time.
func MissesObjectives(objectives []config.Objective, spec *api.Job, submittedAt, readyAt, now core.WallTime) bool {
	age := time.Duration(now-readyAt) * time.Millisecond
	if age > maxDeferral {
		return false
	}
	estimate := core.Seconds(spec.EstimateS)
	stated := false
	check := func(left time.Duration) bool {
		stated = true
		return left < 0
	}
	if spec.DeadlineS != nil {
		deadline := core.Seconds(*spec.DeadlineS)
		factor := 1.0
		for _, a := range objectives {
			if a.Kind == "deadline" && a.Class == spec.Class {
				factor = max(factor, a.DeadlineFactor)
			}
		}
		if !check(time.Duration(float64(deadline)*factor) - time.Duration(now-submittedAt)*time.Millisecond - estimate) {
			return false
		}
	}
	for _, a := range objectives {
		if a.Class != spec.Class {
			continue
		}
		switch a.Kind {
		case "wait":
			if !check(a.Within - age) {
				return false
			}
		case "finished":
			if !check(a.Within - age - estimate) {
				return false
			}
		}
	}
	return stated
}
