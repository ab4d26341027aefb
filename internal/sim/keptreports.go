package sim

import (
	"time"

	"lichenstair/internal/core"
)

// keptReports holds a copy of one report of each machine.
type keptReports struct {
	keeping bool
	until   SimTime
	reports map[party]core.Request
}

// keep keeps a report, unless one of its sender is kept already.
func (k *keptReports) keep(from party, r core.Request) {
	if !k.keeping {
		return
	}
	if _, ok := k.reports[from]; !ok {
		k.reports[from] = r
	}
}

// again delivers a copy of a request after so many seconds. Its sender may be
// gone by then, and the receiver another process; nobody gets the answer.
func (w *World) again(from party, r core.Request, seconds float64) {
	w.After(time.Duration(seconds*float64(time.Second)), func() {
		if _, h := w.route(r.Addr); h != nil {
			h(from, r, func(core.Response) {})
		}
	})
}

// deliverKept brings a copy of every kept report to every controller, each between so many
// seconds from now.
func (w *World) deliverKept(soonest, latest float64) {
	for _, from := range core.SortedKeys(w.kept.reports) {
		for _, h := range w.Hosts {
			r := w.kept.reports[from]
			r.Addr = h.addr
			w.again(from, r, w.between(soonest, latest))
		}
	}
}

// ReplayReportsToNewLeader keeps a copy of the next report of each machine. As soon as there is a new
// leader, all of them reach every controller.
func (w *World) ReplayReportsToNewLeader() {
	w.kept = keptReports{keeping: true, reports: map[party]core.Request{}}
	w.State.OnLeaderElected = func(core.Host) {
		if w.kept.keeping {
			w.kept.keeping = false
			w.deliverKept(0.05, 1.5)
		}
	}
}

// ReplayReportsOnGrant keeps a copy of the next report of each machine. With every grant of
// a block during d, all of them reach every controller within milliseconds: some before it
// knows of the grant, some before the machines have answered the new holder's questions.
func (w *World) ReplayReportsOnGrant(d time.Duration) {
	w.kept = keptReports{keeping: true, until: w.now + d, reports: map[party]core.Request{}}
	w.State.OnBlockGranted = func() {
		if w.now < w.kept.until {
			w.deliverKept(0, 0.006)
		}
	}
}
