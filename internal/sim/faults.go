package sim

import (
	"cmp"
	"slices"
	"time"
)

// Faults lists the kinds of trouble that a run can meet, by name.
var Faults = map[string]func(w *World){
	"crash one":        func(w *World) { w.anyHost().Restart(3 * time.Second) },
	"quick restart":    func(w *World) { w.anyHost().Restart(time.Duration(w.between(50, 400)) * time.Millisecond) },
	"long absence":     func(w *World) { w.anyHost().Restart(45 * time.Second) },
	"stall":            func(w *World) { w.anyHost().Stall(time.Duration(w.between(0.5, 20) * float64(time.Second))) },
	"state outage":     func(w *World) { w.State.Outage(time.Duration(w.between(3, 40) * float64(time.Second))) },
	"state slow":       func(w *World) { w.State.Slow(time.Duration(w.between(5, 30) * float64(time.Second))) },
	"history lost":     func(w *World) { w.State.Forget() },
	"cloud outage":     func(w *World) { w.Cloud.Outage(time.Duration(w.between(5, 40) * float64(time.Second))) },
	"one node refused": func(w *World) { w.State.Refuse(w.anyHost().name, time.Duration(w.between(5, 60)*float64(time.Second))) },
	"crash all":        (*World).crashAll,
	"roll": func(w *World) {
		for i, h := range w.Hosts {
			w.In(time.Duration(i)*15*time.Second, func() { h.Restart(3 * time.Second) })
		}
	},
	"state answers lost": func(w *World) {
		w.State.Lose = 0.1
		w.In(20*time.Second, func() { w.State.Lose = 0 })
	},
	"resets": func(w *World) {
		w.Reset = 0.3
		w.In(30*time.Second, func() { w.Reset = 0 })
	},
	"repeats": func(w *World) {
		w.Repeat = 0.2
		w.In(30*time.Second, func() { w.Repeat = 0.002 })
	},
	"held for minutes": func(w *World) { w.CutBoth(party(w.anyHost().name), "", 150*time.Second, true) },
	"worker held for minutes": func(w *World) {
		if m := w.anyMachine(); m != nil {
			w.CutBoth(party(m.addr), "", 150*time.Second, true)
		}
	},
	"cut between controllers": func(w *World) {
		w.CutBoth(party(w.Hosts[0].name), party(w.Hosts[1].name), w.cutTime(), w.chance(0.5))
	},
	"users cut": func(w *World) { w.CutBoth("users", party(w.anyHost().name), w.cutTime(), w.chance(0.5)) },
	"election and restart": func(w *World) {
		for _, h := range w.Hosts {
			h.Restart(time.Duration(w.between(20, 900)) * time.Millisecond)
			w.In(time.Duration(w.between(100, 1500))*time.Millisecond, func() { h.Restart(50 * time.Millisecond) })
		}
	},
	"cut from state":       func(w *World) { w.CutBoth(party(w.anyHost().name), "state", w.cutTime(), w.chance(0.5)) },
	"one-way cut to state": func(w *World) { w.Cut(party(w.anyHost().name), "state", w.cutTime(), w.chance(0.7)) },
	"one-way cut from state": func(w *World) {
		w.Cut("state", party(w.anyHost().name), w.cutTime(), w.chance(0.7))
	},
	"cut off": func(w *World) {
		h := party(w.anyHost().name)
		w.CutBoth(h, "", w.cutTime(), w.chance(0.5))
	},
	"cut from workers": func(w *World) {
		h := party(w.anyHost().name)
		d, hold := w.cutTime(), w.chance(0.5)
		for _, m := range w.Cloud.Up() {
			w.CutBoth(h, party(m.addr), d, hold)
		}
	},
	"worker cut": func(w *World) {
		if m := w.anyMachine(); m != nil {
			w.CutBoth(party(m.addr), "", w.cutTime(), w.chance(0.6))
		}
	},
	"one-way worker cut": func(w *World) {
		if m := w.anyMachine(); m != nil {
			w.Cut(party(m.addr), "", w.cutTime(), w.chance(0.6))
		}
	},
	"answers to a worker lost": func(w *World) {
		// Its reports arrive; answers and commands do not reach it.
		if m := w.anyMachine(); m != nil {
			w.Cut("", party(m.addr), time.Duration(w.between(10, 90)*float64(time.Second)), w.chance(0.3))
		}
	},
	"late copies of reports": func(w *World) {
		w.LateReports = 0.3
		w.In(30*time.Second, func() { w.LateReports = 0 })
	},
	"alone with its workers": func(w *World) {
		h, d, hold := party(w.anyHost().name), w.cutTime(), w.chance(0.5)
		w.CutBoth(h, "state", d, hold)
		for _, o := range w.Hosts {
			if party(o.name) != h {
				w.CutBoth(h, party(o.name), d, hold)
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
				w.CutBoth(party(a.name), party(b.name), d, false)
			}
		}
	},
	"zone cut off": func(w *World) {
		zone, d, hold := w.Cfg.Zones[w.Rand.IntN(len(w.Cfg.Zones))], w.cutTime(), w.chance(0.5)
		for _, m := range w.Cloud.Up() {
			if m.zone == zone {
				w.CutBoth(party(m.addr), "", d, hold)
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
			m.Die()
		}
	},
	"faulty machine": func(w *World) {
		if m := w.anyMachine(); m != nil {
			m.Faulty = true
		}
	},
	"spot wave": func(w *World) {
		silent := w.chance(0.5)
		for _, m := range w.Cloud.Up() {
			switch {
			case !m.spot:
			case silent:
				w.Cloud.Take(m)
			default:
				m.Notice(time.Duration(w.between(5, 20) * float64(time.Second)))
			}
		}
	},
	"late cloud": func(w *World) {
		w.Cloud.Late = 0.5
		w.In(30*time.Second, func() { w.Cloud.Late = 0 })
	},
	"unexpected machine": func(w *World) { w.Cloud.Add("small", "a", false, time.Second) },
	"halts in a row": func(w *World) {
		h := w.anyHost()
		for i := range 4 {
			w.In(time.Duration(float64(i)*w.between(2, 9)*float64(time.Second)), func() { h.Stall(time.Duration(w.between(0.3, 8) * float64(time.Second))) })
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
			w.In(time.Duration(w.between(0, 1500))*time.Millisecond, func() { h.Stall(time.Duration(w.between(0.2, 7) * float64(time.Second))) })
		}
	},
	"poll storm": func(w *World) {
		w.Users.Often = 8
		w.In(40*time.Second, func() { w.Users.Often = 0 })
	},
	"poll storm without the state service": func(w *World) {
		w.Users.Often = 8
		w.State.Outage(time.Duration(w.between(3, 25) * float64(time.Second)))
		w.In(40*time.Second, func() { w.Users.Often = 0 })
	},
	"slow boots": func(w *World) {
		w.Cloud.BootTimes = w.between(2, 6)
		w.In(60*time.Second, func() { w.Cloud.BootTimes = 0 })
	},
	"boots at once": func(w *World) {
		w.Cloud.BootTimes = 0.03
		w.In(60*time.Second, func() { w.Cloud.BootTimes = 0 })
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
		w.State.LateWrites = w.between(0.1, 0.5)
		w.In(30*time.Second, func() { w.State.LateWrites = 0 })
	},
	"answers to writes lost": func(w *World) {
		w.State.LostWrites = w.between(0.1, 0.5)
		w.In(30*time.Second, func() { w.State.LostWrites = 0 })
	},
	"reports kept for the next leader": func(w *World) {
		w.KeepReports()
		w.In(time.Duration(w.between(0.5, 20)*float64(time.Second)), func() { w.leader().Restart(3 * time.Second) })
	},
	"attempts change, old reports reach the next holders": func(w *World) {
		w.KeepReportsForHolders(60 * time.Second)
		w.In(4*time.Second, func() {
			for _, m := range w.Cloud.Up() {
				m.Hang(w.Cfg.Workers.GangPeer + time.Second)
			}
		})
		w.In(25*time.Second, func() { w.anyHost().Restart(3 * time.Second) })
		w.In(40*time.Second, w.crashAll)
	},
	"reports lost": func(w *World) {
		for _, m := range w.some(1 + w.Rand.IntN(3)) {
			w.LoseReports(m, time.Duration(w.between(5, 60)*float64(time.Second)))
		}
	},
	"answers lost": func(w *World) {
		for _, m := range w.some(1 + w.Rand.IntN(3)) {
			w.LoseAnswers(m, time.Duration(w.between(5, 60)*float64(time.Second)))
		}
	},
	"leader alone with workers and users": func(w *World) { w.Alone(w.leader(), w.cutTime()) },
	"leader refused, then everybody": func(w *World) {
		w.State.Refuse(w.leader().name, 14*time.Second)
		w.In(time.Duration(w.between(0.5, 3)*float64(time.Second)), func() { w.State.Outage(w.Cfg.Workers.Cancel + time.Duration(w.between(2, 20)*float64(time.Second))) })
	},
	"a zone with a controller cut off": func(w *World) {
		w.Inside(w.anyHost(), w.Cfg.Zones[w.Rand.IntN(len(w.Cfg.Zones))], w.Cfg.Workers.Lease+w.cutTime())
	},
	"all away for longer than a lease": func(w *World) {
		for _, h := range w.Hosts {
			h.Restart(w.Cfg.Workers.Lease + time.Duration(w.between(1, 12)*float64(time.Second)))
		}
	},
	"leaders change again and again": func(w *World) {
		for i := range 10 {
			w.In(time.Duration(i)*12*time.Second, func() { w.leader().Restart(time.Duration(w.between(0.05, 4) * float64(time.Second))) })
		}
	},
	"commands held up": func(w *World) {
		for _, m := range w.some(3) {
			for _, h := range w.Hosts {
				w.CutBoth(party(h.name), party(m.addr), time.Duration(w.between(1, 9)*float64(time.Second)), true)
			}
		}
	},
	"cancel now":                func(w *World) { w.Users.CancelNow(6, 0) },
	"cancel now, machines hang": func(w *World) { w.Users.CancelNow(6, time.Duration(w.between(3, 11)*float64(time.Second))) },
	"cancelled as it ends": func(w *World) {
		w.CancelAtEnd = 0.3
		w.In(40*time.Second, func() { w.CancelAtEnd = 0 })
	},
	"odd requests": func(w *World) {
		for i := range 20 {
			w.In(time.Duration(i)*time.Second, w.Users.Odd)
		}
	},
	"close looks": func(w *World) {
		w.Users.CloseLooks = true
		w.In(40*time.Second, func() { w.Users.CloseLooks = false })
	},
	"machines that never come up": func(w *World) {
		w.Cloud.BootFail = 0.5
		w.In(40*time.Second, func() { w.Cloud.BootFail = 0 })
	},
}

// split cuts a controller off with every second machine; the others reach only the rest.
func (w *World) split(h *Host, d time.Duration) {
	w.CutBoth(party(h.name), "state", d, false)
	for _, o := range w.Hosts {
		if o != h {
			w.CutBoth(party(h.name), party(o.name), d, false)
		}
	}
	for i, m := range w.Cloud.Up() {
		for _, o := range w.Hosts {
			if (o == h) == (i%2 == 0) {
				w.CutBoth(party(m.addr), party(o.name), d, false)
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
	up := w.Cloud.Up()
	if len(up) == 0 {
		return nil
	}
	return up[w.Rand.IntN(len(up))]
}

// LoseReports keeps a machine from reaching any controller, while direct commands reach it and
// are answered.
func (w *World) LoseReports(m *Machine, d time.Duration) { m.reportsLost = max(m.reportsLost, w.now+d) }

// LoseAnswers loses the answers and commands to a machine, while its reports arrive.
func (w *World) LoseAnswers(m *Machine, d time.Duration) { w.Cut("", party(m.addr), d, false) }

// Alone cuts a controller from the state service and the other controllers, but not from
// workers and users.
func (w *World) Alone(h *Host, d time.Duration) {
	w.CutBoth(party(h.name), "state", d, false)
	for _, o := range w.Hosts {
		if o != h {
			w.CutBoth(party(h.name), party(o.name), d, false)
		}
	}
}

// Inside cuts a zone's machines and one controller from everything else; they still reach
// each other.
func (w *World) Inside(h *Host, zone string, d time.Duration) {
	w.Alone(h, d)
	w.CutBoth(party(h.name), "users", d, false)
	w.CutBoth(party(h.name), "cloud", d, false)
	for _, m := range w.Cloud.Up() {
		for _, o := range w.Hosts {
			if (o == h) != (m.zone == zone) {
				w.CutBoth(party(m.addr), party(o.name), d, false)
			}
		}
	}
}

// some returns up to n machines that are up, those with tasks first.
func (w *World) some(n int) []*Machine {
	up := w.Cloud.Up()
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
