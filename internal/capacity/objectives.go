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
	// maxDeferral bounds the age up to which a job is deferred for being late: no work may wait
	// forever because it could not be in time.
	maxDeferral = 15 * time.Minute
	// maxStartWait is how long a job may wait without a started task before it is scheduled first:
	// no user's job should seem forgotten because others are more urgent. Users expect the start
	// within four minutes; the remaining time is for draining a machine.
	maxStartWait = 150 * time.Second
)

// Overdue reports whether a job has waited too long without having started.
func Overdue(readyAt, now core.WallTime, started bool) bool {
	return !started && time.Duration(now-readyAt)*time.Millisecond > maxStartWait
}

const (
	// starvingAfter is how long a job may wait with nothing running before one of its tasks may use
	// room that no other job can use.
	starvingAfter = 45 * time.Second
	// starvedAfter is how long it may wait before one of its tasks may use any room. Users take it
	// as a fault if a job waits for 90 s beside a machine with room; the remaining time is for a new
	// holder of the block to recover.
	starvedAfter = 70 * time.Second
)

// StarvationAfter is the starvation of a job that has waited with nothing running for this long,
// since it could run or since its last task left its machine.
func StarvationAfter(waited time.Duration) placement.Starvation {
	switch {
	case waited > starvedAfter:
		return placement.Starved
	case waited > starvingAfter:
		return placement.Starving
	}
	return placement.NotStarving
}

// DueTimes lists by when an array should be complete, for each objective on its completion, the
// earliest first: the objectives on its deadline if it has one, else those on the completion time
// of its class. A deadline counts from submittedAt, when the job was submitted, all else from
// readyAt, since when it may run. neededBy is by when jobs that depend on it need it done (0: no
// limit).
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

// TimeSensitive reports whether users have stated by when a job should start or be complete: by an
// objective for its class, or by its deadline.
func TimeSensitive(objectives []config.Objective, spec *api.Job) bool {
	return spec.DeadlineS != nil || slices.ContainsFunc(objectives, func(a config.Objective) bool {
		return a.Class == spec.Class && (a.Kind == "wait" || a.Kind == "finished")
	})
}

// MissesObjectives reports whether a waiting job can no longer meet any of the objectives stated
// for its class, nor its own deadline. Such a job yields to those that can still be in time, up to
// the age of maxDeferral.
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
