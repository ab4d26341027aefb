package state

import (
	"encoding/json"

	"lichenstair/api"
	"lichenstair/internal/core"
)

type await struct {
	ring core.Revision
	due  core.Time
	done func(bool)
}

// HasReached tells whether the mirror shows everything up to a revision.
func (m *Mirror) HasReached(r core.Revision) bool { return m.complete && m.ring >= r }

// Revision returns the revision that the mirror has reached.
func (m *Mirror) Revision() core.Revision { return m.ring }

// FreshAsOf returns a time up to which the mirror is known to show everything.
func (m *Mirror) FreshAsOf() (core.Time, bool) { return m.fresh, m.hasFresh }

// WaitFor calls done(true) once the mirror has reached a revision, or done(false)
// when that takes too long.
func (m *Mirror) WaitFor(ring core.Revision, done func(bool)) {
	if m.HasReached(ring) {
		done(true)
		return
	}
	due := m.loop.Now().Add(freshWait)
	m.awaiting = append(m.awaiting, await{ring, due, done})
	m.loop.After(freshWait, m.settle)
}

func (m *Mirror) settle() {
	now := m.loop.Now()
	var ready []func()
	keep := m.awaiting[:0:0]
	for _, a := range m.awaiting {
		switch {
		case m.HasReached(a.ring):
			ready = append(ready, func() { a.done(true) })
		case now >= a.due:
			ready = append(ready, func() { a.done(false) })
		default:
			keep = append(keep, a)
		}
	}
	m.awaiting = keep
	for _, f := range ready {
		f()
	}
}

// ConfirmFresh calls done(true) once the mirror shows everything that had happened
// when ConfirmFresh was called. All who ask meanwhile share one question to the state
// service: a transaction without changes, whose revision the mirror must reach.
func (m *Mirror) ConfirmFresh(done func(bool)) {
	if len(m.waiting) >= maxWaiting {
		done(false)
		return
	}
	m.waiting = append(m.waiting, done)
	if !m.asking {
		m.ask()
	}
}

func (m *Mirror) ask() {
	batch := m.waiting
	m.waiting = nil
	m.asking = true
	answer := func(ok bool) {
		for _, f := range batch {
			f(ok)
		}
	}
	asked := core.Time(0)
	m.client.index(func() { asked = m.loop.Now() }, func(r Result) {
		m.asking = false
		if r.Outcome == Applied || r.Outcome == Conflict {
			m.WaitFor(r.Revision, func(ok bool) {
				if ok && (!m.hasFresh || asked > m.fresh) {
					m.fresh, m.hasFresh = asked, true
				}
				answer(ok)
			})
			m.loop.After(catchUpAfter, func() { m.catchUp(r.Revision) })
		} else {
			answer(false)
		}
		if len(m.waiting) > 0 && !m.asking {
			m.asking = true
			m.loop.After(m.client.ReadInterval(), m.ask)
		}
	})
}

// catchUp asks for the changes up to a revision that the watch has not brought. Its
// connection may hang, or there is nothing to bring: a transaction that is carried out late
// and changes nothing can raise the revision all the same, and a watch that waits for a
// change then answers only when its time is over. Opened anew with each proof that failed,
// it never got that far, and no controller could answer anybody until something else was
// written. So this watch does not wait, and is left alone until it is answered.
func (m *Mirror) catchUp(to core.Revision) {
	if m.HasReached(to) || m.phase != following || m.catchingUp {
		return
	}
	m.loadTo = max(m.loadTo, to)
	m.become(following)
}

// index sends the compare-only transaction; sending runs just before.
func (c *Client) index(sending func(), done func(Result)) {
	body, _ := json.Marshal(api.Txn{If: []api.Condition{{Key: keyNever}}})
	c.enqueue(reads, 0, func() {
		sending()
		c.call.Call(core.Request{Addr: c.addr, Method: "POST", Path: "/txn", Body: body, Timeout: txnTimeout}, func(r core.Response) {
			done(txnResult(r))
		})
	}, func() { done(Result{Outcome: Refused}) })
}
