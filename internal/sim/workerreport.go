package sim

import (
	"encoding/json"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// report schedules the next report, no later than in d and no sooner than half
// a second after the last one.
func (m *Machine) report(d time.Duration) {
	at := max(m.w.now+d, m.last+500*time.Millisecond)
	if d > 0 && m.due > m.w.now && m.due <= at || m.busy {
		return
	}
	m.due = at
	m.dueSeq++
	seq := m.dueSeq
	m.w.At(at, func() {
		m.act(func() {
			if seq == m.dueSeq && !m.busy {
				m.send()
			}
		})
	})
}

func (m *Machine) next() {
	m.report(time.Duration(m.w.between(0.75, 1.25) * float64(m.w.Cfg.Workers.Report)))
}

func (m *Machine) view() api.Report {
	m.tally++
	r := api.Report{
		Machine: m.ID, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, Session: m.season, Sequence: m.tally, Term: m.warrant, Tasks: []api.TaskStatus{},
	}
	if m.notice > 0 {
		s := (m.notice - m.w.now).Seconds()
		r.NoticeS = &s
	}
	for _, t := range m.sorted() {
		r.Tasks = append(r.Tasks, api.TaskStatus{Task: t.id.String(), Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (m *Machine) send() {
	m.checkLease()
	m.busy, m.last = true, m.w.now
	sent, season := m.w.now, m.season
	raw, _ := json.Marshal(m.view())
	done := false
	if m.w.now < m.reportsLost {
		m.w.After(time.Second, func() {
			m.act(func() {
				m.busy = false
				m.take(core.Response{}, sent, season)
			})
		})
		return
	}
	m.w.exchange(party(m.addr), core.Request{Addr: m.w.Hosts[m.node].addr, Method: "POST", Path: "/hello", Body: raw, Timeout: 4 * time.Second}, func(res core.Response) {
		m.act(func() {
			if done {
				return
			}
			done = true
			m.busy = false
			m.take(res, sent, season)
		})
	})
}

func (m *Machine) take(res core.Response, sent SimTime, season uint64) {
	elsewhere := func() {
		m.node = (m.node + 1) % len(m.w.Hosts)
		m.report(time.Second)
	}
	if float64(m.w.now-sent)*m.rate > float64(4*time.Second) {
		elsewhere()
		return
	}
	switch res.Status {
	case 200:
		var a api.ReportResponse
		if json.Unmarshal(res.Body, &a) != nil {
			m.w.Checker.fail("unreadable answer to a report: %.200s", res.Body)
			return
		}
		if a.Term >= m.warrant && season == m.season {
			m.warrant = a.Term
			m.answered = max(m.answered, sent)
			m.execute(a.Commands)
		}
		m.next()
	case 421:
		var r api.Redirect
		_ = json.Unmarshal(res.Body, &r)
		for i, h := range m.w.Hosts {
			if string(h.name) == r.Holder && i != m.node {
				m.node = i
				m.report(time.Duration(m.w.between(0, 500)) * time.Millisecond)
				return
			}
		}
		elsewhere()
	default:
		elsewhere()
	}
}

func (m *Machine) handle(_ party, r core.Request, reply func(core.Response)) {
	m.act(func() {
		if r.Path == "/inspect" {
			reply(answer(200, m.view()))
			return
		}
		var d api.CommandRequest
		if json.Unmarshal(r.Body, &d) != nil || d.Session == 0 {
			reply(answer(400, api.Error{Error: "malformed"}))
			return
		}
		m.checkLease()
		if d.Term < m.warrant || d.Session != m.season {
			reply(answer(409, m.view()))
			return
		}
		if d.Term > m.warrant {
			m.warrant = d.Term
			m.report(500 * time.Millisecond)
		}
		m.execute(d.Commands)
		reply(answer(200, m.view()))
	})
}
