package core

import (
	"slices"
	"testing"
)

// A burst of reports must not keep the node's own timers waiting until it is over:
// among them is the renewal of its tenure. Nor may users be left out for ever.
func TestLanesTakeTurns(t *testing.T) {
	l := NewEventLoop(64)
	var order []string
	note := func(what string) func() {
		return func() {
			if order = append(order, what); len(order) == 65 {
				l.Stop()
			}
		}
	}
	for range 60 {
		if !l.PostReport(note("report")) {
			t.Fatal("a report was refused though each connection has a place")
		}
	}
	for range 4 {
		l.Post(note("own"))
	}
	l.PostUser(note("user"))
	l.Run()
	if slices.Contains(order[10:], "own") {
		t.Fatalf("own work waited behind reports: %v", order[:20])
	}
	if slices.Contains(order[10:], "user") {
		t.Fatalf("a user waited behind everything: %v", order[:20])
	}
}
