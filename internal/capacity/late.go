package capacity

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// lateFor bounds how long a job stands back for being late: work must not wait
// for ever because it could not be in time.
const lateFor = 15 * time.Minute

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
