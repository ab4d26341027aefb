package sim

import (
	"time"

	"lichenstair/internal/core"
)

// recordedReports holds a copy of one report of each machine.
type recordedReports struct {
	recording bool
	until     SimTime // block grants after this time replay nothing
	reports   map[endpoint]core.Request
}

// add records a report unless one of the same sender is recorded already.
func (k *recordedReports) add(from endpoint, r core.Request) {
	if !k.recording {
		return
	}
	if _, ok := k.reports[from]; !ok {
		k.reports[from] = r
	}
}

// resend delivers a copy of a request after the given number of seconds. By then the sender may
// be gone and the receiver may be another process; the response is dropped.
func (w *World) resend(from endpoint, r core.Request, seconds float64) {
	w.After(time.Duration(seconds*float64(time.Second)), func() {
		if _, h := w.route(r.Addr); h != nil {
			h(from, r, func(core.Response) {})
		}
	})
}

// replay sends a copy of every recorded report to every controller, each at a random time
// between the two given numbers of seconds from now.
func (w *World) replay(soonest, latest float64) {
	for _, from := range core.SortedKeys(w.recorded.reports) {
		for _, h := range w.Hosts {
			r := w.recorded.reports[from]
			r.Addr = h.addr
			w.resend(from, r, w.uniform(soonest, latest))
		}
	}
}

// ReplayReportsToNewLeader records the next report of each machine, and replays all of them to
// every controller as soon as a new leader is elected.
func (w *World) ReplayReportsToNewLeader() {
	w.recorded = recordedReports{recording: true, reports: map[endpoint]core.Request{}}
	w.State.OnLeaderElected = func(core.Host) {
		if w.recorded.recording {
			w.recorded.recording = false
			w.replay(0.05, 1.5)
		}
	}
}

// ReplayReportsOnGrant records the next report of each machine. At every block grant during d,
// all of them are replayed to every controller within milliseconds: some before it learns of
// the grant, some before the machines have answered the new holder's queries.
func (w *World) ReplayReportsOnGrant(d time.Duration) {
	w.recorded = recordedReports{recording: true, until: w.now + d, reports: map[endpoint]core.Request{}}
	w.State.OnBlockGranted = func() {
		if w.now < w.recorded.until {
			w.replay(0, 0.006)
		}
	}
}
