package sim

import (
	"time"

	"lichenstair/api"
)

type machinePhase int

const (
	machineBooting machinePhase = iota
	machineUp
	machineDead // stopped by itself
	machineGone // returned or taken
)

// Machine is a stand-in for a machine and its worker.
type Machine struct {
	w           *World
	ID          string
	addr        string
	typ         *api.MachineType
	zone        string
	spot        bool
	phase       machinePhase
	rented      SimTime
	up          SimTime
	ended       SimTime
	rate        float64
	Faulty      bool
	hung        SimTime
	reportsLost SimTime  // it reaches no controller before
	waits       []func() // what came while it hung

	wasted   int // answers with starts that did not arrive
	season   uint64
	tally    uint64
	warrant  uint64
	answered SimTime // when the last answered report was sent
	node     int
	busy     bool
	last     SimTime
	due      SimTime
	dueSeq   int
	notice   SimTime
	images   map[string]bool
	tasks    map[taskKey]*task
}

func newMachine(w *World, id, addr string, typ *api.MachineType, zone string, spot bool) *Machine {
	return &Machine{
		w: w, ID: id, addr: addr, typ: typ, zone: zone, spot: spot, rented: w.now, rate: 1 + w.between(-0.0005, 0.0005),
		images: map[string]bool{}, tasks: map[taskKey]*task{}, season: 1, node: w.Rand.IntN(max(len(w.Hosts), 1)),
	}
}

// in runs f after d of the machine's own clock, once the machine does not hang.
func (m *Machine) in(d time.Duration, f func()) {
	m.w.After(time.Duration(float64(d)/m.rate), func() { m.act(f) })
}

func (m *Machine) act(f func()) {
	switch {
	case m.phase != machineUp:
	case m.w.now < m.hung:
		m.waits = append(m.waits, f)
	default:
		f()
	}
}

func (m *Machine) boot() {
	if m.phase != machineBooting {
		return
	}
	m.phase, m.up, m.answered = machineUp, m.w.now, m.w.now
	m.watchLease()
	m.report(0)
}

// Hang keeps the machine from doing anything for a while.
func (m *Machine) Hang(d time.Duration) {
	if m.phase != machineUp || m.w.now < m.hung {
		return
	}
	m.hung = m.w.now + d
	if d > m.w.Cfg.Workers.GangPeer {
		for _, t := range m.sorted() {
			if g := t.gang; g != nil && g.running && !g.over && t.state != api.TaskExited {
				m.breakGang(g)
			}
		}
	}
	m.w.At(m.hung, func() {
		waits := m.waits
		m.waits = nil
		m.checkLease()
		for _, f := range waits {
			m.act(f)
		}
	})
}

// Crash stops the machine with all that is on it.
func (m *Machine) Crash() { m.end(machineDead) }

func (m *Machine) end(p machinePhase) {
	if m.phase == machineUp {
		m.dropAll()
	}
	m.phase, m.ended = p, m.w.now
}

// NotifyReclaim tells the machine that it will be taken.
func (m *Machine) NotifyReclaim(in time.Duration) {
	m.notice = m.w.now + in
	m.act(func() { m.report(500 * time.Millisecond) })
	m.w.After(in, func() { m.w.Cloud.Reclaim(m) })
}

// watchLease ends tasks by their lease. A machine that hangs executes nothing
// once its lease is over, so its tasks count as gone from then on as well.
func (m *Machine) watchLease() {
	m.w.After(200*time.Millisecond, func() {
		if m.phase == machineUp {
			m.checkLease()
			m.watchLease()
		}
	})
}

func (m *Machine) checkLease() {
	if m.phase == machineUp && time.Duration(float64(m.w.now-m.answered)*m.rate) > m.w.Cfg.Workers.Lease {
		for _, t := range m.tasks {
			if t.state != api.TaskExited {
				m.w.LeaseExpiredTasks++
			}
		}
		m.dropAll()
		m.season++
		m.answered = m.w.now
		m.report(500 * time.Millisecond)
	}
}

func (m *Machine) dropAll() {
	for _, t := range m.sorted() {
		m.leave(t)
		delete(m.tasks, t.taskKey)
	}
}
