package block

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// The log states the time to save that the stop command carries: none once nobody wants the task, even if
// it was told to save before.
func TestLoggedGraceIsThatOfTheCommand(t *testing.T) {
	for _, tc := range []struct {
		unwanted bool
		want     string
	}{{false, "grace_s=10"}, {true, "grace_s=0"}} {
		h, j, first, _ := twoMachineHolder(api.FormArray, 1)
		var log bytes.Buffer
		h.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
		applyReport(h, first, 1, runningTask("req-1/0", 5))
		s := first.slots[slotKey{core.TaskID{Job: "req-1"}, 5}]
		s.stopRequest, s.graceS = stopPreempted, 10
		j.cancelled = tc.unwanted
		commands := h.commands(first)
		if len(commands) != 1 || commands[0].Verb != api.VerbKill || (*commands[0].GraceS == 0) != tc.unwanted {
			t.Fatalf("unwanted %v: unexpected commands %+v", tc.unwanted, commands)
		}
		if !strings.Contains(log.String(), tc.want+"\n") {
			t.Errorf("unwanted %v: log lacks %s: %s", tc.unwanted, tc.want, log.String())
		}
	}
}

// Guards against a repeated start: an attempt that ended is cleared only once the response that started it
// has expired at the worker. One that an earlier holder started is cleared at once, since its
// response carried a lower token.
func TestClearWaitsUntilTheStartHasExpired(t *testing.T) {
	h, m := testHolder()
	loop := h.Loop.(*manualLoop)
	loop.now = core.Time(time.Minute)
	expired := core.WithDrift(responseTimeout) + timingMargin
	own := &slot{slotKey: slotKey{core.TaskID{Job: "req-1"}, 5}, machine: m, state: exited, exitCause: api.CauseError, sentAt: loop.now}
	earlier := &slot{slotKey: slotKey{core.TaskID{Job: "req-2"}, 4}, machine: m, state: exited, exitCause: api.CauseError}
	m.addSlot(own)
	m.addSlot(earlier)
	cleared := func() (tasks []string) {
		for _, command := range h.commands(m) {
			if command.Verb != api.VerbClear {
				t.Fatalf("unexpected command %+v", command)
			}
			tasks = append(tasks, command.Task)
		}
		return tasks
	}
	for _, tc := range []struct {
		after time.Duration
		want  string
	}{{0, "req-2/0"}, {expired, "req-2/0"}, {expired + 1, "req-1/0 req-2/0"}} {
		loop.now = core.Time(time.Minute).Add(tc.after)
		if got := strings.Join(cleared(), " "); got != tc.want {
			t.Errorf("after %s: cleared %q, want %q", tc.after, got, tc.want)
		}
	}
}
