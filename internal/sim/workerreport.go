package sim

import (
	"encoding/json"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// responseTimeout is how long a worker waits for the response to a report.
const responseTimeout = 4 * time.Second

// report schedules the next report, within d but no sooner than half a second after the last
// one. It does nothing while a report is in flight or, unless d is 0, if one is due as soon.
func (m *Machine) report(d time.Duration) {
	at := max(m.w.now+d, m.lastReport+500*time.Millisecond)
	if d > 0 && m.nextReport > m.w.now && m.nextReport <= at || m.reporting {
		return
	}
	m.nextReport = at
	m.reportTimer++
	seq := m.reportTimer
	m.w.At(at, func() {
		m.whenResponsive(func() {
			if seq == m.reportTimer && !m.reporting {
				m.send()
			}
		})
	})
}

// scheduleNextReport schedules a report after about the report interval, varied by 25 %.
func (m *Machine) scheduleNextReport() {
	m.report(time.Duration(m.w.uniform(0.75, 1.25) * float64(m.w.Cfg.Workers.Report)))
}

// snapshot returns a report on the machine's current state.
func (m *Machine) snapshot() api.Report {
	m.reportSeq++
	r := api.Report{
		Machine: m.ID, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, Session: m.session, Sequence: m.reportSeq, Term: m.term, Tasks: []api.TaskStatus{},
	}
	if m.reclaimAt > 0 {
		s := (m.reclaimAt - m.w.now).Seconds()
		r.NoticeS = &s
	}
	for _, t := range m.sortedTasks() {
		r.Tasks = append(r.Tasks, api.TaskStatus{Task: t.id.String(), Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// send sends a report and handles its response.
func (m *Machine) send() {
	m.checkLease()
	m.reporting, m.lastReport = true, m.w.now
	sent, session := m.w.now, m.session
	raw, _ := json.Marshal(m.snapshot())
	done := false
	if m.w.now < m.reportsLostUntil {
		m.w.After(time.Second, func() {
			m.whenResponsive(func() {
				m.reporting = false
				m.handleResponse(core.Response{}, sent, session)
			})
		})
		return
	}
	request := core.Request{Addr: m.w.Hosts[m.controller].addr, Method: "POST", Path: "/hello", Body: raw, Timeout: responseTimeout}
	m.keepReport(request, session)
	m.w.exchange(endpoint(m.addr), request, func(res core.Response) {
		m.whenResponsive(func() {
			if done {
				return
			}
			done = true
			m.reporting = false
			m.handleResponse(res, sent, session)
		})
	})
}

// handleResponse handles the response to a report. The worker switches controllers if it is
// redirected, if the response is missing or an error, or if it took more than 4 s by the worker's
// clock.
func (m *Machine) handleResponse(res core.Response, sent SimTime, session uint64) {
	tryNextController := func() {
		m.controller = (m.controller + 1) % len(m.w.Hosts)
		m.report(time.Second)
	}
	if m.late(sent) {
		tryNextController()
		return
	}
	switch res.Status {
	case 200:
		var a api.ReportResponse
		if json.Unmarshal(res.Body, &a) != nil {
			m.w.Checker.fail("response to a report cannot be decoded: %.200s", res.Body)
			return
		}
		if a.Term >= m.term && session == m.session {
			m.term = a.Term
			m.lastAnswered = max(m.lastAnswered, sent)
			m.keepStarts(commandCopy{a.Commands, a.Term, session, sent})
			m.execute(a.Commands, sent)
		}
		m.scheduleNextReport()
	case 421:
		var r api.Redirect
		_ = json.Unmarshal(res.Body, &r)
		for i, h := range m.w.Hosts {
			if string(h.name) == r.Holder && i != m.controller {
				m.controller = i
				m.report(time.Duration(m.w.uniform(0, 500)) * time.Millisecond)
				return
			}
		}
		tryNextController()
	default:
		tryNextController()
	}
}

// handle answers a query or a direct command from a controller.
func (m *Machine) handle(_ endpoint, r core.Request, reply func(core.Response)) {
	m.whenResponsive(func() {
		if r.Path == "/inspect" {
			reply(newResponse(200, m.snapshot()))
			return
		}
		var d api.CommandRequest
		if json.Unmarshal(r.Body, &d) != nil || d.Session == 0 {
			reply(newResponse(400, api.Error{Error: "malformed"}))
			return
		}
		m.checkLease()
		if d.Term < m.term || d.Session != m.session {
			reply(newResponse(409, m.snapshot()))
			return
		}
		if d.Term > m.term {
			m.term = d.Term
			m.report(500 * time.Millisecond)
		}
		m.checkDirect(d.Commands)
		m.keepStarts(commandCopy{d.Commands, d.Term, d.Session, 0})
		m.execute(d.Commands, 0)
		reply(newResponse(200, m.snapshot()))
	})
}
