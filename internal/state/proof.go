package state

import (
	"encoding/json"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// revisionWaiter is a call of WaitFor that waits for its revision.
type revisionWaiter struct {
	revision core.Revision
	deadline core.Time
	done     func(bool)
}

// HasReached reports whether the replica is complete up to a revision.
func (m *Mirror) HasReached(r core.Revision) bool { return m.complete && m.revision >= r }

// Revision returns the revision that the replica has reached.
func (m *Mirror) Revision() core.Revision { return m.revision }

// FreshAsOf returns the latest time up to which the replica is known to have been complete, and
// false if freshness was never confirmed.
func (m *Mirror) FreshAsOf() (core.Time, bool) { return m.freshAsOf, m.everFresh }

// WaitFor calls done(true) once the replica has reached a revision, or done(false) after
// proofTimeout.
func (m *Mirror) WaitFor(revision core.Revision, done func(bool)) {
	if m.HasReached(revision) {
		done(true)
		return
	}
	deadline := m.loop.Now().Add(proofTimeout)
	m.revisionWaiters = append(m.revisionWaiters, revisionWaiter{revision, deadline, done})
	m.loop.After(proofTimeout, m.notifyWaiters)
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

// ConfirmFresh calls done(true) once the replica shows everything that had been committed when
// ConfirmFresh was called, or done(false) if that cannot be proven. Concurrent callers share one
// proof: a request to the state service for a transaction without writes, whose revision the replica
// must reach within proofTimeout.
func (m *Mirror) ConfirmFresh(done func(bool)) {
	if len(m.pendingProofs) >= maxPendingProofs {
		done(false)
		return
	}
	m.pendingProofs = append(m.pendingProofs, done)
	if !m.proofInFlight {
		m.requestProof()
	}
}

// requestProof reads the current revision for all pending proofs.
func (m *Mirror) requestProof() {
	callbacks := m.pendingProofs
	m.pendingProofs = nil
	m.proofInFlight = true
	reply := func(ok bool) {
		for _, f := range callbacks {
			f(ok)
		}
	}
	sentAt := core.Time(0)
	m.client.readIndex(func() { sentAt = m.loop.Now() }, func(r Result) {
		m.proofInFlight = false
		if r.Outcome == Applied || r.Outcome == Conflict {
			m.WaitFor(r.Revision, func(ok bool) {
				if ok && (!m.everFresh || sentAt > m.freshAsOf) {
					m.freshAsOf, m.everFresh = sentAt, true
				}
				reply(ok)
			})
			m.loop.After(catchUpAfter, func() { m.catchUp(r.Revision) })
		} else {
			reply(false)
		}
		if len(m.pendingProofs) > 0 && !m.proofInFlight {
			m.proofInFlight = true
			m.loop.After(m.client.ReadInterval(), m.requestProof)
		}
	})
}

// catchUp requests the changes up to a revision that the watch has not delivered. Its connection
// may hang, or there may be no change to deliver: a transaction that is executed late and changes
// nothing can raise the revision, and a blocking watch then responds only when its timeout ends.
// When a watch was reopened after every failed proof, none lived that long, and no controller could
// answer requests until another key was written. So this watch does not block, and is not replaced
// until it is answered.
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
