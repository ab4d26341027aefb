package admission

import "testing"

// Requests that wait must not take the places of those that are answered at once or matter more.
func TestPoolsDoNotShareLimits(t *testing.T) {
	const conns = 4000
	c := New(conns)
	admitted := map[Kind]int{}
	for range conns {
		for _, k := range []Kind{Submission, Poll, Health, Report} {
			if c.Admit(k) {
				admitted[k]++
			}
		}
	}
	want := map[Kind]int{Submission: minRequests, Poll: pollShare * conns, Health: conns, Report: conns}
	for k, n := range want {
		if admitted[k] != n {
			t.Errorf("%d requests of kind %s are admitted, want %d", admitted[k], k, n)
		}
	}
	c.Release(Poll)
	if !c.Admit(Cancellation) {
		t.Error("a cancellation is refused although a poll has ended")
	}
}

// Small servers keep the least limit.
func TestLeastLimit(t *testing.T) {
	c := New(100)
	n := 0
	for c.Admit(Poll) {
		n++
	}
	if n != minRequests {
		t.Errorf("%d polls are admitted, want %d", n, minRequests)
	}
}
