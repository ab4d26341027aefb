package capacity

import (
	"cmp"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

const (
	// lateFor bounds how long a job stands back for being late: work must not
	// wait for ever because it could not be in time.
	lateFor = 15 * time.Minute
	// beginBy is how long a job may have waited without a task started before it
	// goes first: nobody's work should seem forgotten because others hurry. Users
	// expect the beginning within four minutes; what is left is for the drain.
	beginBy = 150 * time.Second
)

// Overdue tells whether a job has waited too long without having begun.
func Overdue(at, now core.Wall, begun bool) bool {
	return !begun && time.Duration(now-at)*time.Millisecond > beginBy
}

// Due lists by when an array should be complete, for each of the users' aims on
// deadlines of its class, the one that leaves least time first.
func Due(aims []config.Aim, spec *api.Job, at core.Wall) (due []core.Wall) {
	if spec.DeadlineS == nil || spec.Form == api.FormGang {
		return nil
	}
	times := []float64{}
	for _, a := range aims {
		if a.Kind == "deadline" && a.Class == spec.Class {
			times = append(times, cmp.Or(a.Times, 1))
		}
	}
	if len(times) == 0 {
		times = append(times, 1)
	}
	slices.Sort(times)
	for _, t := range times {
		due = append(due, at+core.Wall(*spec.DeadlineS*t*1000))
	}
	return due
}

// Late tells whether a waiting job can no longer meet any of the aims that its
// users stated for its class, nor its own deadline. Such a job yields to those
// that can still be in time.
func Late(aims []config.Aim, spec *api.Job, at, now core.Wall) bool {
	age := time.Duration(now-at) * time.Millisecond
	if age > lateFor {
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
		times := 1.0
		for _, a := range aims {
			if a.Kind == "deadline" && a.Class == spec.Class {
				times = max(times, a.Times)
			}
		}
		if !check(time.Duration(float64(deadline)*times) - age - estimate) {
			return false
		}
	}
	for _, a := range aims {
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
