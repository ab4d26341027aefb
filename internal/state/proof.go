package state

import (
	"encoding/json"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// revisionWaiter is a call of WaitFor that waits for its revision.
type revisionWaiter struct {
	revision core.Revision
	deadline core.Time
	done     func(bool)
}

// HasReached reports whether the mirror is complete up to a revision.
func (m *Mirror) HasReached(r core.Revision) bool { return m.complete && m.revision >= r }

// Revision returns the revision that the mirror has reached.
func (m *Mirror) Revision() core.Revision { return m.revision }

// FreshAsOf returns the latest time as of which the mirror was confirmed fresh, and false if
// it never was.
func (m *Mirror) FreshAsOf() (core.Time, bool) { return m.freshAsOf, m.everFresh }

// NeverFresh is the staleness of a mirror that has never been confirmed fresh.
const NeverFresh = time.Hour

// Staleness returns the time since the mirror was last confirmed fresh, or NeverFresh.
func (m *Mirror) Staleness() time.Duration {
	if !m.everFresh {
		return NeverFresh
	}
	return m.loop.Now().Sub(m.freshAsOf)
}

// WaitFor calls done(true) once the mirror has reached a revision, or done(false) after
// revisionTimeout.
func (m *Mirror) WaitFor(revision core.Revision, done func(bool)) {
	if m.HasReached(revision) {
		done(true)
		return
	}
	deadline := m.loop.Now().Add(revisionTimeout)
	m.revisionWaiters = append(m.revisionWaiters, revisionWaiter{revision, deadline, done})
	m.loop.After(revisionTimeout, m.notifyWaiters)
}

// notifyWaiters calls back the waiters whose revision was reached or whose deadline has passed.
func (m *Mirror) notifyWaiters() {
	now := m.loop.Now()
	var ready []func()
	keep := m.revisionWaiters[:0:0]
	for _, waiter := range m.revisionWaiters {
		switch {
		case m.HasReached(waiter.revision):
			ready = append(ready, func() { waiter.done(true) })
		case now >= waiter.deadline:
			ready = append(ready, func() { waiter.done(false) })
		default:
			keep = append(keep, waiter)
		}
	}
	m.revisionWaiters = keep
	for _, f := range ready {
		f()
	}
}

// ConfirmFresh calls done(true) once the mirror shows everything that had been committed when
// ConfirmFresh was called, or done(false) if that cannot be confirmed. Concurrent callers share one
// confirmation: a request to the state service for a transaction without writes, whose revision the
// mirror must reach within revisionTimeout.
func (m *Mirror) ConfirmFresh(done func(bool)) {
	if len(m.pendingConfirmations) >= maxPendingConfirmations {
		m.client.metrics.Confirmations.WithLabelValues("too many").Inc()
		done(false)
		return
	}
	m.pendingConfirmations = append(m.pendingConfirmations, done)
	if !m.confirmationInFlight {
		m.requestConfirmation()
	}
}

// requestConfirmation reads the current revision for all pending confirmations.
func (m *Mirror) requestConfirmation() {
	callbacks := m.pendingConfirmations
	m.pendingConfirmations = nil
	m.confirmationInFlight = true
	reply := func(ok bool) {
		for _, f := range callbacks {
			f(ok)
		}
	}
	requestedAt, sentAt := m.loop.Now(), core.Time(0)
	observe := func(stage string, since core.Time) {
		m.client.metrics.ConfirmationStages.WithLabelValues(stage).Observe(m.loop.Now().Sub(since).Seconds())
	}
	m.client.readIndex(func() {
		observe("queued", requestedAt)
		sentAt = m.loop.Now()
	}, func(r Result) {
		m.confirmationInFlight = false
		if sentAt > 0 {
			observe("in flight", sentAt)
		}
		if r.Outcome == Applied || r.Outcome == Conflict {
			respondedAt := m.loop.Now()
			m.WaitFor(r.Revision, func(ok bool) {
				observe("catching up", respondedAt)
				m.countConfirmation(ok, "not caught up")
				if ok && (!m.everFresh || sentAt > m.freshAsOf) {
					m.freshAsOf, m.everFresh = sentAt, true
				}
				reply(ok)
			})
			m.loop.After(catchUpAfter, func() { m.catchUp(r.Revision) })
		} else {
			m.countConfirmation(false, r.Outcome.String())
			reply(false)
		}
		if len(m.pendingConfirmations) > 0 && !m.confirmationInFlight {
			m.confirmationInFlight = true
			m.loop.After(m.client.ReadInterval(), m.requestConfirmation)
		}
	})
}

// countConfirmation counts the result of a confirmation of freshness.
func (m *Mirror) countConfirmation(ok bool, failure string) {
	result := "confirmed"
	if !ok {
		result = failure
	}
	m.client.metrics.Confirmations.WithLabelValues(result).Inc()
}

// catchUp requests the changes up to a revision that the watch has not delivered. Its connection
// may hang, or there may be no change to deliver: a transaction that is executed late and changes
// nothing can raise the revision, and a blocking watch then responds only when its timeout ends.
// When a watch was reopened after every failed confirmation, none lived that long, and no
// controller could answer requests until another key was written. So this watch does not block, and
// is not replaced until it is answered.
func (m *Mirror) catchUp(to core.Revision) {
	if m.HasReached(to) || m.phase != watching || m.catchingUp {
		return
	}
	m.targetRevision = max(m.targetRevision, to)
	m.setPhase(watching)
}

// readIndex sends a transaction without writes, whose response carries the current revision;
// beforeSend is called just before it is sent.
func (c *Client) readIndex(beforeSend func(), done func(Result)) {
	body, _ := json.Marshal(api.Txn{If: []api.Condition{{Key: keyNonexistent}}})
	c.enqueue(classRead, 0, func() {
		beforeSend()
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: "/txn", Body: body, Timeout: txnTimeout}, func(r core.Response) {
			done(txnResult(r))
		})
	}, func() { done(Result{Outcome: Refused}) })
}
