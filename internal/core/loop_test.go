package core

import (
	"slices"
	"testing"
)

// The queues must take turns: a burst of reports must not delay the node's own timers until
// it is over, as the renewal of its lease is among them, and users must not starve.
func TestQueuesTakeTurns(t *testing.T) {
	l := NewEventLoop(64)
	var order []string
	record := func(what string) func() {
		return func() {
			if order = append(order, what); len(order) == 65 {
				l.Stop()
			}
		}
	}
	for range 60 {
		if !l.PostReport(record("report")) {
			t.Fatal("a report was refused though the queue has a place for each connection")
		}
	}
	for range 4 {
		l.Post(record("own"))
	}
	l.PostUser(record("user"))
	l.Run()
	if slices.Contains(order[10:], "own") {
		t.Fatalf("own work was delayed by reports: %v", order[:20])
	}
	if slices.Contains(order[10:], "user") {
		t.Fatalf("a user request was delayed by everything else: %v", order[:20])
	}
}
