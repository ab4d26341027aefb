package sim

import (
	"encoding/json"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// LateCopies makes copies of messages that were carried out and answered before arrive after the clear
// of the attempts that they started, and counts what the machines did with those that carry
// commands.
type LateCopies struct {
	Active bool
	// Share is the probability that copies follow a clear.
	Share    float64
	Executed int // token and session matched and, in a response, the report was recent
	Dropped  int // lower token, other session or too late
	Reports  int // copies of reports that reached a controller
	// RestartProb is the probability that a controller restarts within half a second as the copies
	// begin to arrive.
	RestartProb float64
}

// commandCopy is a response to a report, or a direct command, that reached a machine once.
type commandCopy struct {
	commands []api.Command
	term     uint64
	session  uint64
	// reportSent is when the report was sent that the commands answer. It is 0 for a direct
	// command, which can be executed at any later time.
	reportSent SimTime
}

// copiedReport is a report that a machine sent.
type copiedReport struct {
	request core.Request
	session uint64
	sent    SimTime
}

// keptReports is how many of its last reports a machine keeps copies of.
const keptReports = 3

// copyDelays are the times from the clear of an attempt to the arrivals of the copies.
var copyDelays = []time.Duration{time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second, 30 * time.Second, 3 * time.Minute}

// keepReport keeps a copy of a report.
func (m *Machine) keepReport(r core.Request, session uint64) {
	if m.w.LateCopies.Active {
		m.recentReports = append(m.recentReports[max(0, len(m.recentReports)-keptReports+1):], copiedReport{r, session, m.w.now})
	}
}

// keepStarts keeps a copy of the message that starts attempts which the machine does not know yet.
func (m *Machine) keepStarts(c commandCopy) {
	if !m.w.LateCopies.Active {
		return
	}
	for _, command := range c.commands {
		if key, ok := startedAttempt(command); ok && m.tasks[key] == nil {
			m.startedBy[key] = c
		}
	}
}

// startedAttempt returns the attempt that a command starts, and false if it starts none.
func startedAttempt(command api.Command) (taskKey, bool) {
	id, err := core.ParseTaskID(command.Task)
	return taskKey{id, command.Attempt}, err == nil && command.Verb == api.VerbRun
}

// noteCleared records that the machine no longer knows an attempt. Copies of the message that started it
// and of the machine's last reports follow.
func (m *Machine) noteCleared(key taskKey) {
	m.cleared[key] = true
	start, ok := m.startedBy[key]
	if !ok {
		return
	}
	delete(m.startedBy, key)
	if !m.w.LateCopies.Active || !m.w.chance(m.w.LateCopies.Share) {
		return
	}
	reports := m.recentReports
	for _, delay := range copyDelays {
		m.w.After(delay, func() {
			m.whenResponsive(func() { m.receiveCopy(start) })
			for _, r := range reports {
				m.resendReport(r)
			}
		})
	}
	if m.w.chance(m.w.LateCopies.RestartProb) {
		m.w.randomHost().Restart(time.Duration(m.w.uniform(20, 500)) * time.Millisecond)
	}
}

// resendReport delivers a copy of a report to a random controller. The response reaches the machine, which
// takes it for the response to that report.
func (m *Machine) resendReport(r copiedReport) {
	m.w.LateCopies.Reports++
	h := m.w.Hosts[m.w.Rand.IntN(len(m.w.Hosts))]
	r.request.Addr = h.addr
	h.handle(endpoint(m.addr), r.request, func(res core.Response) {
		var a api.ReportResponse
		if res.Status == 200 && json.Unmarshal(res.Body, &a) == nil {
			m.whenResponsive(func() { m.receiveCopy(commandCopy{a.Commands, a.Term, r.session, r.sent}) })
		}
	})
}

// receiveCopy executes the copy of a message as the worker executes the message itself: if its
// token and session still match and, for a response, if it is not late. Unlike a worker, the
// machine does not mind that the report has been answered before.
func (m *Machine) receiveCopy(c commandCopy) {
	m.checkLease()
	if c.reportSent > 0 && m.late(c.reportSent) || c.term < m.term || c.session != m.session {
		m.w.LateCopies.Dropped++
		return
	}
	m.w.LateCopies.Executed++
	m.term = c.term
	m.execute(c.commands, 0)
}

// late reports whether a response is dropped that arrives now for a report sent at a time.
func (m *Machine) late(sent SimTime) bool {
	return float64(m.w.now-sent)*m.clockRate > float64(responseTimeout)
}

// checkDirect fails the run if a direct command starts or clears an attempt: such a command can be
// executed again at any later time under the same token and session.
func (m *Machine) checkDirect(commands []api.Command) {
	for _, command := range commands {
		if command.Verb != api.VerbKill {
			m.w.Checker.fail("direct_command: machine %s gets %s of attempt %d of task %s directly", m.ID, command.Verb, command.Attempt, command.Task)
		}
	}
}

// checkRestarted fails the run if a command starts an attempt that the machine was told to clear.
func (m *Machine) checkRestarted(key taskKey) {
	if m.cleared[key] {
		m.w.Checker.fail("restarted: attempt %d of task %s starts on machine %s, which had been told to clear it", key.attempt, key.id, m.ID)
	}
}
