package sim

import (
	"cmp"
	"slices"
	"time"
)

// Faults lists the kinds of trouble that a run can meet, by name.
var Faults = map[string]func(w *World){
	"crash one":     func(w *World) { w.anyHost().Restart(3 * time.Second) },
	"quick restart": func(w *World) { w.anyHost().Restart(time.Duration(w.between(50, 400)) * time.Millisecond) },
	"long absence":  func(w *World) { w.anyHost().Restart(45 * time.Second) },
	"stall":         func(w *World) { w.anyHost().Stall(time.Duration(w.between(0.5, 20) * float64(time.Second))) },
	"state outage":  func(w *World) { w.State.Outage(time.Duration(w.between(3, 40) * float64(time.Second))) },
	"state slow":    func(w *World) { w.State.Slow(time.Duration(w.between(5, 30) * float64(time.Second))) },
	"history lost":  func(w *World) { w.State.CompactHistory() },
	"cloud outage":  func(w *World) { w.Cloud.Outage(time.Duration(w.between(5, 40) * float64(time.Second))) },
	"one node refused": func(w *World) {
		w.State.RejectRequestsFrom(w.anyHost().name, time.Duration(w.between(5, 60)*float64(time.Second)))
	},
	"crash all": (*World).crashAll,
	"roll": func(w *World) {
		for i, h := range w.Hosts {
			w.After(time.Duration(i)*15*time.Second, func() { h.Restart(3 * time.Second) })
		}
	},
	"state answers lost": func(w *World) {
		w.State.LostResponseProb = 0.1
		w.After(20*time.Second, func() { w.State.LostResponseProb = 0 })
	},
	"resets": func(w *World) {
		w.ResetProb = 0.3
		w.After(30*time.Second, func() { w.ResetProb = 0 })
	},
	"repeats": func(w *World) {
		w.DuplicateProb = 0.2
		w.After(30*time.Second, func() { w.DuplicateProb = 0.002 })
	},
	"held for minutes": func(w *World) { w.Partition(party(w.anyHost().name), "", 150*time.Second, true) },
	"worker held for minutes": func(w *World) {
		if m := w.anyMachine(); m != nil {
			w.Partition(party(m.addr), "", 150*time.Second, true)
		}
	},
	"cut between controllers": func(w *World) {
		w.Partition(party(w.Hosts[0].name), party(w.Hosts[1].name), w.cutTime(), w.chance(0.5))
	},
	"users cut": func(w *World) { w.Partition("users", party(w.anyHost().name), w.cutTime(), w.chance(0.5)) },
	"election and restart": func(w *World) {
		for _, h := range w.Hosts {
			h.Restart(time.Duration(w.between(20, 900)) * time.Millisecond)
			w.After(time.Duration(w.between(100, 1500))*time.Millisecond, func() { h.Restart(50 * time.Millisecond) })
		}
	},
	"cut from state":       func(w *World) { w.Partition(party(w.anyHost().name), "state", w.cutTime(), w.chance(0.5)) },
	"one-way cut to state": func(w *World) { w.PartitionOneWay(party(w.anyHost().name), "state", w.cutTime(), w.chance(0.7)) },
	"one-way cut from state": func(w *World) {
		w.PartitionOneWay("state", party(w.anyHost().name), w.cutTime(), w.chance(0.7))
	},
	"cut off": func(w *World) {
		h := party(w.anyHost().name)
		w.Partition(h, "", w.cutTime(), w.chance(0.5))
	},
	"cut from workers": func(w *World) {
		h := party(w.anyHost().name)
		d, hold := w.cutTime(), w.chance(0.5)
		for _, m := range w.Cloud.RunningMachines() {
			w.Partition(h, party(m.addr), d, hold)
		}
	},
	"worker cut": func(w *World) {
		if m := w.anyMachine(); m != nil {
			w.Partition(party(m.addr), "", w.cutTime(), w.chance(0.6))
		}
	},
	"one-way worker cut": func(w *World) {
		if m := w.anyMachine(); m != nil {
			w.PartitionOneWay(party(m.addr), "", w.cutTime(), w.chance(0.6))
		}
	},
	"answers to a worker lost": func(w *World) {
		// Its reports arrive; answers and commands do not reach it.
		if m := w.anyMachine(); m != nil {
			w.PartitionOneWay("", party(m.addr), time.Duration(w.between(10, 90)*float64(time.Second)), w.chance(0.3))
		}
	},
	"late copies of reports": func(w *World) {
		w.LateReportProb = 0.3
		w.After(30*time.Second, func() { w.LateReportProb = 0 })
	},
	"alone with its workers": func(w *World) {
		h, d, hold := party(w.anyHost().name), w.cutTime(), w.chance(0.5)
		w.Partition(h, "state", d, hold)
		for _, o := range w.Hosts {
			if party(o.name) != h {
				w.Partition(h, party(o.name), d, hold)
			}
		}
	},
	"split from the rest": func(w *World) {
		// A controller keeps half of the workers for itself, and loses all else.
		h, d := w.anyHost(), w.cutTime()
		w.split(h, d)
	},
	"controllers refuse each other": func(w *World) {
		d := w.cutTime()
		for i, a := range w.Hosts {
			for _, b := range w.Hosts[:i] {
				w.Partition(party(a.name), party(b.name), d, false)
			}
		}
	},
	"zone cut off": func(w *World) {
		zone, d, hold := w.Cfg.Zones[w.Rand.IntN(len(w.Cfg.Zones))], w.cutTime(), w.chance(0.5)
		for _, m := range w.Cloud.RunningMachines() {
			if m.zone == zone {
				w.Partition(party(m.addr), "", d, hold)
			}
		}
	},
	"hang": func(w *World) {
		if m := w.anyMachine(); m != nil {
			m.Hang(time.Duration(w.between(2, 30) * float64(time.Second)))
		}
	},
	"die": func(w *World) {
		if m := w.anyMachine(); m != nil {
			m.Crash()
		}
	},
	"faulty machine": func(w *World) {
		if m := w.anyMachine(); m != nil {
			m.Faulty = true
		}
	},
	"spot wave": func(w *World) {
		silent := w.chance(0.5)
		for _, m := range w.Cloud.RunningMachines() {
			switch {
			case !m.spot:
			case silent:
				w.Cloud.Reclaim(m)
			default:
				m.NotifyReclaim(time.Duration(w.between(5, 20) * float64(time.Second)))
			}
		}
	},
	"late cloud": func(w *World) {
		w.Cloud.LateCallProb = 0.5
		w.After(30*time.Second, func() { w.Cloud.LateCallProb = 0 })
	},
	"unexpected machine": func(w *World) { w.Cloud.Add("small", "a", false, time.Second) },
	"halts in a row": func(w *World) {
		h := w.anyHost()
		for i := range 4 {
			w.After(time.Duration(float64(i)*w.between(2, 9)*float64(time.Second)), func() { h.Stall(time.Duration(w.between(0.3, 8) * float64(time.Second))) })
		}
	},
	"two halt at once": func(w *World) {
		for _, h := range w.Hosts[:2] {
			h.Stall(time.Duration(w.between(3, 30) * float64(time.Second)))
		}
	},
	"halt in an election": func(w *World) {
		w.anyHost().Restart(time.Duration(w.between(20, 900)) * time.Millisecond)
		for _, h := range w.Hosts {
			w.After(time.Duration(w.between(0, 1500))*time.Millisecond, func() { h.Stall(time.Duration(w.between(0.2, 7) * float64(time.Second))) })
		}
	},
	"poll storm": func(w *World) {
		w.Users.PollRateFactor = 8
		w.After(40*time.Second, func() { w.Users.PollRateFactor = 0 })
	},
	"poll storm without the state service": func(w *World) {
		w.Users.PollRateFactor = 8
		w.State.Outage(time.Duration(w.between(3, 25) * float64(time.Second)))
		w.After(40*time.Second, func() { w.Users.PollRateFactor = 0 })
	},
	"slow boots": func(w *World) {
		w.Cloud.BootTimeFactor = w.between(2, 6)
		w.After(60*time.Second, func() { w.Cloud.BootTimeFactor = 0 })
	},
	"boots at once": func(w *World) {
		w.Cloud.BootTimeFactor = 0.03
		w.After(60*time.Second, func() { w.Cloud.BootTimeFactor = 0 })
	},
	"a team leaves the settings": func(w *World) {
		// The settings of a deployment that goes on no longer name it; all controllers
		// are started with the new ones.
		if len(w.Cfg.Teams) > 3 {
			w.Cfg.Teams = w.Cfg.Teams[: len(w.Cfg.Teams)-1 : len(w.Cfg.Teams)-1]
			for _, h := range w.Hosts {
				h.Restart(time.Duration(w.between(0.1, 4) * float64(time.Second)))
			}
		}
	},
	"late writes": func(w *World) {
		w.State.LateWriteProb = w.between(0.1, 0.5)
		w.After(30*time.Second, func() { w.State.LateWriteProb = 0 })
	},
	"answers to writes lost": func(w *World) {
		w.State.LostWriteResponseProb = w.between(0.1, 0.5)
		w.After(30*time.Second, func() { w.State.LostWriteResponseProb = 0 })
	},
	"reports kept for the next leader": func(w *World) {
		w.ReplayReportsToNewLeader()
		w.After(time.Duration(w.between(0.5, 20)*float64(time.Second)), func() { w.leader().Restart(3 * time.Second) })
	},
	"attempts change, old reports reach the next holders": func(w *World) {
		w.ReplayReportsOnGrant(60 * time.Second)
		w.After(4*time.Second, func() {
			for _, m := range w.Cloud.RunningMachines() {
				m.Hang(w.Cfg.Workers.GangPeer + time.Second)
			}
		})
		w.After(25*time.Second, func() { w.anyHost().Restart(3 * time.Second) })
		w.After(40*time.Second, w.crashAll)
	},
	"reports lost": func(w *World) {
		for _, m := range w.some(1 + w.Rand.IntN(3)) {
			w.DropReports(m, time.Duration(w.between(5, 60)*float64(time.Second)))
		}
	},
	"answers lost": func(w *World) {
		for _, m := range w.some(1 + w.Rand.IntN(3)) {
			w.DropResponses(m, time.Duration(w.between(5, 60)*float64(time.Second)))
		}
	},
	"leader alone with workers and users": func(w *World) { w.IsolateWithWorkers(w.leader(), w.cutTime()) },
	"leader refused, then everybody": func(w *World) {
		w.State.RejectRequestsFrom(w.leader().name, 14*time.Second)
		w.After(time.Duration(w.between(0.5, 3)*float64(time.Second)), func() { w.State.Outage(w.Cfg.Workers.Cancel + time.Duration(w.between(2, 20)*float64(time.Second))) })
	},
	"a zone with a controller cut off": func(w *World) {
		w.IsolateZone(w.anyHost(), w.Cfg.Zones[w.Rand.IntN(len(w.Cfg.Zones))], w.Cfg.Workers.Lease+w.cutTime())
	},
	"all away for longer than a lease": func(w *World) {
		for _, h := range w.Hosts {
			h.Restart(w.Cfg.Workers.Lease + time.Duration(w.between(1, 12)*float64(time.Second)))
		}
	},
	"leaders change again and again": func(w *World) {
		for i := range 10 {
			w.After(time.Duration(i)*12*time.Second, func() { w.leader().Restart(time.Duration(w.between(0.05, 4) * float64(time.Second))) })
		}
	},
	"commands held up": func(w *World) {
		for _, m := range w.some(3) {
			for _, h := range w.Hosts {
				w.Partition(party(h.name), party(m.addr), time.Duration(w.between(1, 9)*float64(time.Second)), true)
			}
		}
	},
	"cancel now":                func(w *World) { w.Users.CancelRunning(6, 0) },
	"cancel now, machines hang": func(w *World) { w.Users.CancelRunning(6, time.Duration(w.between(3, 11)*float64(time.Second))) },
	"cancelled as it ends": func(w *World) {
		w.CancelAtEndProb = 0.3
		w.After(40*time.Second, func() { w.CancelAtEndProb = 0 })
	},
	"odd requests": func(w *World) {
		for i := range 20 {
			w.After(time.Duration(i)*time.Second, w.Users.SendInvalid)
		}
	},
	"close looks": func(w *World) {
		w.Users.BurstQueries = true
		w.After(40*time.Second, func() { w.Users.BurstQueries = false })
	},
	"machines that never come up": func(w *World) {
		w.Cloud.BootFailProb = 0.5
		w.After(40*time.Second, func() { w.Cloud.BootFailProb = 0 })
	},
}

// split cuts a controller off with every second machine; the others reach only the rest.
func (w *World) split(h *Host, d time.Duration) {
	w.Partition(party(h.name), "state", d, false)
	for _, o := range w.Hosts {
		if o != h {
			w.Partition(party(h.name), party(o.name), d, false)
		}
	}
	for i, m := range w.Cloud.RunningMachines() {
		for _, o := range w.Hosts {
			if (o == h) == (i%2 == 0) {
				w.Partition(party(m.addr), party(o.name), d, false)
			}
		}
	}
}

// crashAll ends every controller; each comes back within seconds.
func (w *World) crashAll() {
	for _, h := range w.Hosts {
		h.Restart(time.Duration(w.between(0.1, 6) * float64(time.Second)))
	}
}

func (w *World) cutTime() time.Duration {
	return time.Duration(w.between(1, 50) * float64(time.Second))
}

func (w *World) anyHost() *Host { return w.Hosts[w.Rand.IntN(len(w.Hosts))] }

func (w *World) anyMachine() *Machine {
	up := w.Cloud.RunningMachines()
	if len(up) == 0 {
		return nil
	}
	return up[w.Rand.IntN(len(up))]
}

// DropReports keeps a machine from reaching any controller, while direct commands reach it and
// are answered.
func (w *World) DropReports(m *Machine, d time.Duration) { m.reportsLost = max(m.reportsLost, w.now+d) }

// DropResponses loses the answers and commands to a machine, while its reports arrive.
func (w *World) DropResponses(m *Machine, d time.Duration) {
	w.PartitionOneWay("", party(m.addr), d, false)
}

// IsolateWithWorkers cuts a controller from the state service and the other controllers, but not from
// workers and users.
func (w *World) IsolateWithWorkers(h *Host, d time.Duration) {
	w.Partition(party(h.name), "state", d, false)
	for _, o := range w.Hosts {
		if o != h {
			w.Partition(party(h.name), party(o.name), d, false)
		}
	}
}

// IsolateZone cuts a zone's machines and one controller from everything else; they still reach
// each other.
func (w *World) IsolateZone(h *Host, zone string, d time.Duration) {
	w.IsolateWithWorkers(h, d)
	w.Partition(party(h.name), "users", d, false)
	w.Partition(party(h.name), "cloud", d, false)
	for _, m := range w.Cloud.RunningMachines() {
		for _, o := range w.Hosts {
			if (o == h) != (m.zone == zone) {
				w.Partition(party(m.addr), party(o.name), d, false)
			}
		}
	}
}

// some returns up to n machines that are up, those with tasks first.
func (w *World) some(n int) []*Machine {
	up := w.Cloud.RunningMachines()
	slices.SortStableFunc(up, func(a, b *Machine) int { return cmp.Compare(len(b.tasks), len(a.tasks)) })
	return up[:min(n, len(up))]
}

// leader returns the controller that leads, or any.
func (w *World) leader() *Host {
	if h := w.State.Leader(); h != nil {
		return h
	}
	return w.anyHost()
}
