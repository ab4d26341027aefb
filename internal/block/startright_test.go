package block

import (
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/state/statetest"
	"lichenstair/internal/worker"
)

// holderWithPlannedStart returns a holder whose mirror has just been confirmed fresh and which has
// planned a start on a machine, and the service that sets the mirror's time.
func holderWithPlannedStart() (*Holder, *machine, *statetest.Service) {
	h, m := testHolder()
	mirror, service := freshMirror(h)
	h.Mirror = mirror
	h.Types = func() map[string]api.MachineType { return nil }
	h.GangKinds = func() capacity.GangKinds { return capacity.GangKinds{} }
	m.addr, m.session, m.sequence, m.lastPrompt = "x:1", 1, 1, core.Time(-time.Hour)
	m.addSlot(&slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 3}, machine: m, state: planned})
	return h, m, service
}

// countStarts counts the start commands in a response.
func countStarts(commands []api.Command) (n int) {
	for _, c := range commands {
		if c.Verb == api.VerbRun {
			n++
		}
	}
	return n
}

// Guards against starts that are sent or planned on knowledge so old that a cancellation which it
// lacks may have been confirmed: in a response to a report, a held response, after a prompt, by a
// pass.
func TestNoStartOnOldKnowledge(t *testing.T) {
	inResponse := func(h *Holder, m *machine) int { return countStarts(h.commands(m)) }
	inHeldResponse := func(h *Holder, m *machine) (n int) {
		m.heldReport = &heldReport{func(r api.ReportResponse, _ bool) {
			if n = countStarts(r.Commands); n == 0 {
				t.Error("a held report is answered without a start")
			}
		}}
		h.answerHeldReports()
		return n
	}
	afterPrompt := func(h *Holder, m *machine) int {
		loop := &commandLoop{manualLoop: manualLoop{now: core.Time(10 * time.Second)}}
		h.Loop, h.Workers = loop, worker.NewClient(loop)
		h.Config.Workers.Report = 4 * time.Second
		h.reservedTerms.next, h.reservedTerms.last = 100, 200
		m.lastReport = loop.now
		h.prompt(m)
		return len(loop.terms)
	}
	byPass := func(h *Holder, _ *machine) int {
		h.lastPass, h.dirty = core.Time(-time.Hour), true
		h.schedulePass()
		if h.dirty {
			return 0
		}
		return 1
	}
	h, _, _ := holderWithPlannedStart()
	limit := maxStartProofAge(h.Config.Workers)
	for _, path := range []struct {
		name string
		try  func(*Holder, *machine) int
	}{{"response", inResponse}, {"held response", inHeldResponse}, {"prompt", afterPrompt}, {"pass", byPass}} {
		for _, tc := range []struct {
			age  time.Duration
			want int
		}{{0, 1}, {limit - time.Millisecond, 1}, {limit, 0}, {time.Minute, 0}} {
			h, m, service := holderWithPlannedStart()
			service.Time = service.Time.Add(tc.age)
			if got := path.try(h, m); got != tc.want {
				t.Errorf("%s, %s after the last proof: got %d, want %d", path.name, tc.age, got, tc.want)
			}
		}
	}
}

// Guards against an acknowledgement by a holder that may start a task all the same, or whose
// predecessor may: the job is unknown or not cancelled here, or a machine is not accounted for.
func TestHolderExcludesStarts(t *testing.T) {
	h := holderWithJobs(t, jobRecord("req-1", api.RankStandard, 0), jobRecord("req-2", api.RankStandard, 0))
	h.setState(placing)
	if h.ExcludesStarts("req-1") || h.ExcludesStarts("req-9") {
		t.Error("starts of a job that is not cancelled, or not known, are excluded")
	}
	h.ApplyCancellation("req-1")
	if !h.ExcludesStarts("req-1") || h.ExcludesStarts("req-2") {
		t.Error("starts of the cancelled job are not excluded, or those of another are")
	}
	h.state = recovering
	if h.ExcludesStarts("req-1") {
		t.Error("starts are excluded although an earlier holder may send them to a machine that is not accounted for")
	}
}

// Guards against a time after which cancellations are confirmed that is shorter than the one for
// which holders may start tasks, by clocks that drift apart.
func TestStartsExpireAfterRightToStart(t *testing.T) {
	h, _ := testHolder()
	for _, cancel := range []time.Duration{15 * time.Second, 35 * time.Second, time.Hour} {
		w := h.Config.Workers
		w.Cancel = cancel
		right, expiry := maxStartProofAge(w), StartsExpireAfter(w)
		if right > maxContactAge(w) || right > 0 && expiry <= core.WithDrift(right) {
			t.Errorf("cancel_s %s: starts are sent for %s after a proof, cancellations confirmed after %s", cancel, right, expiry)
		}
	}
}
