package sim

import (
	"time"

	"lichenstair/api"
)

type machinePhase int

const (
	machineBooting machinePhase = iota
	machineUp
	machineCrashed
	machineRemoved // returned to the cloud or reclaimed by it
)

// Machine simulates a machine and its worker.
type Machine struct {
	w                *World
	ID               string
	addr             string
	typ              *api.MachineType
	zone             string
	spot             bool
	phase            machinePhase
	rentedAt         SimTime
	bootedAt         SimTime
	endedAt          SimTime
	clockRate        float64  // speed of its clock relative to virtual time
	Faulty           bool     // every task on it fails, except gangs
	hungUntil        SimTime  // it executes nothing until then
	reportsLostUntil SimTime  // its reports are lost until then
	deferred         []func() // callbacks that came due while it hung

	lostStarts   int     // lost responses that held a start command
	session      uint64  // increases when the worker's lease expires
	reportSeq    uint64  // sequence number of the last report
	term         uint64  // highest term seen
	lastAnswered SimTime // when the last answered report was sent
	controller   int     // index of the host that it reports to
	reporting    bool    // a report is in flight
	lastReport   SimTime
	nextReport   SimTime         // when the next report is due
	reportTimer  int             // number of the current report timer; earlier timers do nothing
	reclaimAt    SimTime         // when the cloud reclaims it; 0: no notice
	images       map[string]bool // container images already fetched
	tasks        map[taskKey]*task
	cleared      map[taskKey]bool // attempts that it was told to clear
	// startedBy and recentReports hold messages that LateCopies repeats.
	startedBy     map[taskKey]commandCopy
	recentReports []copiedReport
}

func newMachine(w *World, id, addr string, typ *api.MachineType, zone string, spot bool) *Machine {
	return &Machine{
		w: w, ID: id, addr: addr, typ: typ, zone: zone, spot: spot, rentedAt: w.now, clockRate: 1 + w.uniform(-0.0005, 0.0005),
		images: map[string]bool{}, tasks: map[taskKey]*task{}, cleared: map[taskKey]bool{}, startedBy: map[taskKey]commandCopy{}, session: 1, controller: w.Rand.IntN(max(len(w.Hosts), 1)),
	}
}

// after runs f after d by the machine's own clock, and not before a hang has ended.
func (m *Machine) after(d time.Duration, f func()) {
	m.w.After(time.Duration(float64(d)/m.clockRate), func() { m.whenResponsive(f) })
}

// whenResponsive runs f now or, if the machine hangs, afterwards. It drops f if the machine is not
// up.
func (m *Machine) whenResponsive(f func()) {
	switch {
	case m.phase != machineUp:
	case m.w.now < m.hungUntil:
		m.deferred = append(m.deferred, f)
	default:
		f()
	}
}

// boot brings the machine up.
func (m *Machine) boot() {
	if m.phase != machineBooting {
		return
	}
	m.phase, m.bootedAt, m.lastAnswered = machineUp, m.w.now, m.w.now
	m.watchLease()
	m.report(0)
}

// Hang keeps the machine from executing anything for the given time. A hang that is longer than
// the peer time-out of gangs breaks up the gangs running on it.
func (m *Machine) Hang(d time.Duration) {
	if m.phase != machineUp || m.w.now < m.hungUntil {
		return
	}
	m.hungUntil = m.w.now + d
	if d > m.w.Cfg.Workers.GangPeer {
		for _, t := range m.sortedTasks() {
			if g := t.gang; g != nil && g.running && !g.ended && t.state != api.TaskExited {
				m.breakGang(g)
			}
		}
	}
	m.w.At(m.hungUntil, func() {
		deferred := m.deferred
		m.deferred = nil
		m.checkLease()
		for _, f := range deferred {
			m.whenResponsive(f)
		}
	})
}

// Crash ends the machine and all tasks on it.
func (m *Machine) Crash() { m.shutDown(machineCrashed) }

// shutDown removes all tasks and moves the machine to a final phase.
func (m *Machine) shutDown(p machinePhase) {
	if m.phase == machineUp {
		m.removeTasks()
	}
	m.phase, m.endedAt = p, m.w.now
}

// NotifyReclaim gives the machine notice that the cloud will reclaim it after the given time.
func (m *Machine) NotifyReclaim(in time.Duration) {
	m.reclaimAt = m.w.now + in
	m.whenResponsive(func() { m.report(500 * time.Millisecond) })
	m.w.After(in, func() { m.w.Cloud.Reclaim(m) })
}

// watchLease ends the tasks when the worker's lease expires. A machine that hangs executes
// nothing after its lease has expired, so its tasks count as gone from then on as well.
func (m *Machine) watchLease() {
	m.w.After(200*time.Millisecond, func() {
		if m.phase == machineUp {
			m.checkLease()
			m.watchLease()
		}
	})
}

// checkLease starts a new session without tasks if the worker's lease has expired by its own clock.
func (m *Machine) checkLease() {
	if m.phase == machineUp && time.Duration(float64(m.w.now-m.lastAnswered)*m.clockRate) > m.w.Cfg.Workers.Lease {
		for _, t := range m.tasks {
			if t.state != api.TaskExited {
				m.w.LeaseExpiredTasks++
			}
		}
		m.removeTasks()
		m.session++
		m.lastAnswered = m.w.now
		m.report(500 * time.Millisecond)
	}
}

// removeTasks removes all tasks from the machine.
func (m *Machine) removeTasks() {
	for _, t := range m.sortedTasks() {
		m.leave(t)
		delete(m.tasks, t.taskKey)
	}
}
