package sim

import (
	"cmp"
	"slices"
	"time"

	"lichenstair/internal/core"
)

// Faults maps the names of the faults that a run can inject to the functions that inject them.
var Faults = map[string]func(w *World){
	"crash one":              func(w *World) { w.randomHost().Restart(3 * time.Second) },
	"quick restart":          func(w *World) { w.randomHost().Restart(time.Duration(w.uniform(50, 400)) * time.Millisecond) },
	"long controller outage": func(w *World) { w.randomHost().Restart(45 * time.Second) },
	"stall":                  func(w *World) { w.randomHost().Stall(time.Duration(w.uniform(0.5, 20) * float64(time.Second))) },
	"state outage":           func(w *World) { w.State.Outage(time.Duration(w.uniform(3, 40) * float64(time.Second))) },
	"state slow":             func(w *World) { w.State.Slow(time.Duration(w.uniform(5, 30) * float64(time.Second))) },
	"history compacted":      func(w *World) { w.State.CompactHistory() },
	"cloud outage":           func(w *World) { w.Cloud.Outage(time.Duration(w.uniform(5, 40) * float64(time.Second))) },
	"one controller rejected": func(w *World) {
		w.State.RejectRequestsFrom(w.randomHost().name, time.Duration(w.uniform(5, 60)*float64(time.Second)))
	},
	"crash all": (*World).crashAll,
	"rolling restart": func(w *World) {
		for i, h := range w.Hosts {
			w.After(time.Duration(i)*15*time.Second, func() { h.Restart(3 * time.Second) })
		}
	},
	"state answers lost": func(w *World) {
		w.State.LostResponseProb = 0.1
		w.After(20*time.Second, func() { w.State.LostResponseProb = 0 })
	},
	"reset connections": func(w *World) {
		w.ResetProb = 0.3
		w.After(30*time.Second, func() { w.ResetProb = 0 })
	},
	"repeated requests": func(w *World) {
		w.DuplicateProb = 0.2
		w.After(30*time.Second, func() { w.DuplicateProb = 0.002 })
	},
	"held messages of a controller": func(w *World) { w.Partition(endpoint(w.randomHost().name), "", 150*time.Second, true) },
	"worker messages held": func(w *World) {
		if m := w.randomMachine(); m != nil {
			w.Partition(endpoint(m.addr), "", 150*time.Second, true)
		}
	},
	"cut between controllers": func(w *World) {
		w.Partition(endpoint(w.Hosts[0].name), endpoint(w.Hosts[1].name), w.partitionTime(), w.chance(0.5))
	},
	"users cut": func(w *World) { w.Partition("users", endpoint(w.randomHost().name), w.partitionTime(), w.chance(0.5)) },
	"election and restart": func(w *World) {
		for _, h := range w.Hosts {
			h.Restart(time.Duration(w.uniform(20, 900)) * time.Millisecond)
			w.After(time.Duration(w.uniform(100, 1500))*time.Millisecond, func() { h.Restart(50 * time.Millisecond) })
		}
	},
	"cut from state": func(w *World) { w.Partition(endpoint(w.randomHost().name), "state", w.partitionTime(), w.chance(0.5)) },
	"one-way cut to state": func(w *World) {
		w.PartitionOneWay(endpoint(w.randomHost().name), "state", w.partitionTime(), w.chance(0.7))
	},
	"one-way cut from state": func(w *World) {
		w.PartitionOneWay("state", endpoint(w.randomHost().name), w.partitionTime(), w.chance(0.7))
	},
	"cut off": func(w *World) {
		h := endpoint(w.randomHost().name)
		w.Partition(h, "", w.partitionTime(), w.chance(0.5))
	},
	"cut from workers": func(w *World) {
		h := endpoint(w.randomHost().name)
		d, hold := w.partitionTime(), w.chance(0.5)
		for _, m := range w.Cloud.RunningMachines() {
			w.Partition(h, endpoint(m.addr), d, hold)
		}
	},
	"worker cut": func(w *World) {
		if m := w.randomMachine(); m != nil {
			w.Partition(endpoint(m.addr), "", w.partitionTime(), w.chance(0.6))
		}
	},
	"one-way worker cut": func(w *World) {
		if m := w.randomMachine(); m != nil {
			w.PartitionOneWay(endpoint(m.addr), "", w.partitionTime(), w.chance(0.6))
		}
	},
	"answers to a worker lost": func(w *World) {
		// Its reports arrive, but responses and commands do not reach it.
		if m := w.randomMachine(); m != nil {
			w.PartitionOneWay("", endpoint(m.addr), time.Duration(w.uniform(10, 90)*float64(time.Second)), w.chance(0.3))
		}
	},
	"late copies of reports": func(w *World) {
		w.LateReportProb = 0.3
		w.After(30*time.Second, func() { w.LateReportProb = 0 })
	},
	"alone with its workers": func(w *World) {
		h, d, hold := w.randomHost(), w.partitionTime(), w.chance(0.5)
		w.Partition(endpoint(h.name), "state", d, hold)
		w.partitionFromPeers(h, d, hold)
	},
	"split off with half of the workers": func(w *World) {
		// A controller keeps half of the workers, which only it reaches, and loses the state
		// service and the other controllers.
		h, d := w.randomHost(), w.partitionTime()
		w.isolateWithHalf(h, d)
	},
	"controllers partitioned from each other": func(w *World) {
		d := w.partitionTime()
		for i, a := range w.Hosts {
			for _, b := range w.Hosts[:i] {
				w.Partition(endpoint(a.name), endpoint(b.name), d, false)
			}
		}
	},
	"zone cut off": func(w *World) {
		zone, d, hold := w.Cfg.Zones[w.Rand.IntN(len(w.Cfg.Zones))], w.partitionTime(), w.chance(0.5)
		for _, m := range w.Cloud.RunningMachines() {
			if m.zone == zone {
				w.Partition(endpoint(m.addr), "", d, hold)
			}
		}
	},
	"hanging machine": func(w *World) {
		if m := w.randomMachine(); m != nil {
			m.Hang(time.Duration(w.uniform(2, 30) * float64(time.Second)))
		}
	},
	"dead machine": func(w *World) {
		if m := w.randomMachine(); m != nil {
			m.Crash()
		}
	},
	"faulty machine": func(w *World) {
		if m := w.randomMachine(); m != nil {
			m.Faulty = true
		}
	},
	"spot reclaims": func(w *World) {
		silent := w.chance(0.5)
		for _, m := range w.Cloud.RunningMachines() {
			switch {
			case !m.spot:
			case silent:
				w.Cloud.Reclaim(m)
			default:
				m.NotifyReclaim(time.Duration(w.uniform(5, 20) * float64(time.Second)))
			}
		}
	},
	"late cloud calls": func(w *World) {
		w.Cloud.LateCallProb = 0.5
		w.After(30*time.Second, func() { w.Cloud.LateCallProb = 0 })
	},
	"unexpected machine": func(w *World) { w.Cloud.Add("small", "a", false, time.Second) },
	"halts in a row": func(w *World) {
		h := w.randomHost()
		for i := range 4 {
			w.After(time.Duration(float64(i)*w.uniform(2, 9)*float64(time.Second)), func() { h.Stall(time.Duration(w.uniform(0.3, 8) * float64(time.Second))) })
		}
	},
	"two halt at once": func(w *World) {
		for _, h := range w.Hosts[:2] {
			h.Stall(time.Duration(w.uniform(3, 30) * float64(time.Second)))
		}
	},
	"halt during an election": func(w *World) {
		w.randomHost().Restart(time.Duration(w.uniform(20, 900)) * time.Millisecond)
		for _, h := range w.Hosts {
			w.After(time.Duration(w.uniform(0, 1500))*time.Millisecond, func() { h.Stall(time.Duration(w.uniform(0.2, 7) * float64(time.Second))) })
		}
	},
	"poll storm": func(w *World) {
		w.Users.PollRateFactor = 8
		w.After(40*time.Second, func() { w.Users.PollRateFactor = 0 })
	},
	"poll storm without the state service": func(w *World) {
		w.Users.PollRateFactor = 8
		w.State.Outage(time.Duration(w.uniform(3, 25) * float64(time.Second)))
		w.After(40*time.Second, func() { w.Users.PollRateFactor = 0 })
	},
	"slow boots": func(w *World) {
		w.Cloud.BootTimeFactor = w.uniform(2, 6)
		w.After(60*time.Second, func() { w.Cloud.BootTimeFactor = 0 })
	},
	"boots at once": func(w *World) {
		w.Cloud.BootTimeFactor = 0.03
		w.After(60*time.Second, func() { w.Cloud.BootTimeFactor = 0 })
	},
	"a team removed from the settings": func(w *World) {
		// The new settings of a running deployment no longer name the last team; all
		// controllers are restarted with them.
		if len(w.Cfg.Teams) > 3 {
			w.Cfg.Teams = w.Cfg.Teams[: len(w.Cfg.Teams)-1 : len(w.Cfg.Teams)-1]
			for _, h := range w.Hosts {
				h.Restart(time.Duration(w.uniform(0.1, 4) * float64(time.Second)))
			}
		}
	},
	"late writes": func(w *World) {
		w.State.LateWriteProb = w.uniform(0.1, 0.5)
		w.After(30*time.Second, func() { w.State.LateWriteProb = 0 })
	},
	"answers to writes lost": func(w *World) {
		w.State.LostWriteResponseProb = w.uniform(0.1, 0.5)
		w.After(30*time.Second, func() { w.State.LostWriteResponseProb = 0 })
	},
	"reports copied to the next leader": func(w *World) {
		w.ReplayReportsToNewLeader()
		w.After(time.Duration(w.uniform(0.5, 20)*float64(time.Second)), func() { w.Leader().Restart(3 * time.Second) })
	},
	"attempts replaced, old reports reach the new holders": func(w *World) {
		w.ReplayReportsOnGrant(60 * time.Second)
		w.After(4*time.Second, func() {
			for _, m := range w.Cloud.RunningMachines() {
				m.Hang(w.Cfg.Workers.GangPeer + time.Second)
			}
		})
		w.After(25*time.Second, func() { w.randomHost().Restart(3 * time.Second) })
		w.After(40*time.Second, w.crashAll)
	},
	"reports lost": func(w *World) {
		for _, m := range w.busiestMachines(1 + w.Rand.IntN(3)) {
			w.DropReports(m, time.Duration(w.uniform(5, 60)*float64(time.Second)))
		}
	},
	"answers lost": func(w *World) {
		for _, m := range w.busiestMachines(1 + w.Rand.IntN(3)) {
			w.DropResponses(m, time.Duration(w.uniform(5, 60)*float64(time.Second)))
		}
	},
	"leader alone with workers and users": func(w *World) { w.IsolateWithWorkers(w.Leader(), w.partitionTime()) },
	"leader rejected, then state outage": func(w *World) {
		w.State.RejectRequestsFrom(w.Leader().name, 14*time.Second)
		w.After(time.Duration(w.uniform(0.5, 3)*float64(time.Second)), func() { w.State.Outage(w.Cfg.Workers.Cancel + time.Duration(w.uniform(2, 20)*float64(time.Second))) })
	},
	"a zone and a controller partitioned off": func(w *World) {
		w.IsolateZone(w.randomHost(), w.Cfg.Zones[w.Rand.IntN(len(w.Cfg.Zones))], w.Cfg.Workers.Lease+w.partitionTime())
	},
	"all controllers down for longer than a lease": func(w *World) {
		for _, h := range w.Hosts {
			h.Restart(w.Cfg.Workers.Lease + time.Duration(w.uniform(1, 12)*float64(time.Second)))
		}
	},
	"leaders change repeatedly": func(w *World) {
		for i := range 10 {
			w.After(time.Duration(i)*12*time.Second, func() { w.Leader().Restart(time.Duration(w.uniform(0.05, 4) * float64(time.Second))) })
		}
	},
	"commands delayed": func(w *World) {
		for _, m := range w.busiestMachines(3) {
			for _, h := range w.Hosts {
				w.Partition(endpoint(h.name), endpoint(m.addr), time.Duration(w.uniform(1, 9)*float64(time.Second)), true)
			}
		}
	},
	"cancel running jobs":                func(w *World) { w.Users.CancelRunning(6, 0) },
	"cancel running jobs, machines hang": func(w *World) { w.Users.CancelRunning(6, time.Duration(w.uniform(3, 11)*float64(time.Second))) },
	"cancelled as the last task ends": func(w *World) {
		w.CancelAtEndProb = 0.3
		w.After(40*time.Second, func() { w.CancelAtEndProb = 0 })
	},
	"malformed and unexpected requests": func(w *World) {
		for i := range 20 {
			w.After(time.Duration(i)*time.Second, w.Users.SendInvalid)
		}
	},
	"client query bursts": func(w *World) {
		w.Users.BurstQueries = true
		w.After(40*time.Second, func() { w.Users.BurstQueries = false })
	},
	"machines that never boot": func(w *World) {
		w.Cloud.BootFailProb = 0.5
		w.After(40*time.Second, func() { w.Cloud.BootFailProb = 0 })
	},
}

// isolateWithHalf cuts a controller off from the state service, the other controllers and half of
// the machines. The other controllers reach only that half.
func (w *World) isolateWithHalf(h *Host, d time.Duration) {
	w.IsolateWithWorkers(h, d)
	for i, m := range w.Cloud.RunningMachines() {
		for _, o := range w.Hosts {
			if (o == h) == (i%2 == 0) {
				w.Partition(endpoint(m.addr), endpoint(o.name), d, false)
			}
		}
	}
}

// partitionFromPeers blocks the messages between a controller and the others.
func (w *World) partitionFromPeers(h *Host, d time.Duration, hold bool) {
	for _, o := range w.Hosts {
		if o != h {
			w.Partition(endpoint(h.name), endpoint(o.name), d, hold)
		}
	}
}

// crashAll kills every controller; each restarts within seconds.
func (w *World) crashAll() {
	for _, h := range w.Hosts {
		h.Restart(time.Duration(w.uniform(0.1, 6) * float64(time.Second)))
	}
}

// partitionTime returns a random duration of a partition, 1 to 50 s.
func (w *World) partitionTime() time.Duration {
	return time.Duration(w.uniform(1, 50) * float64(time.Second))
}

// randomHost returns a random host.
func (w *World) randomHost() *Host { return w.Hosts[w.Rand.IntN(len(w.Hosts))] }

// randomMachine returns a random machine that is up, or nil.
func (w *World) randomMachine() *Machine {
	up := w.Cloud.RunningMachines()
	if len(up) == 0 {
		return nil
	}
	return up[w.Rand.IntN(len(up))]
}

// DropReports drops a machine's reports to all controllers, while direct commands reach it and
// are answered.
func (w *World) DropReports(m *Machine, d time.Duration) {
	m.reportsLostUntil = max(m.reportsLostUntil, w.now+d)
}

// DropResponses drops responses and commands to a machine, while its reports arrive.
func (w *World) DropResponses(m *Machine, d time.Duration) {
	w.PartitionOneWay("", endpoint(m.addr), d, false)
}

// IsolateWithWorkers cuts a controller off from the state service and the other controllers,
// but not from workers and users.
func (w *World) IsolateWithWorkers(h *Host, d time.Duration) {
	w.Partition(endpoint(h.name), "state", d, false)
	w.partitionFromPeers(h, d, false)
}

// IsolateZone cuts a zone's machines and one controller off from everything else; they still
// reach each other.
func (w *World) IsolateZone(h *Host, zone string, d time.Duration) {
	w.IsolateWithWorkers(h, d)
	w.Partition(endpoint(h.name), "users", d, false)
	w.Partition(endpoint(h.name), "cloud", d, false)
	for _, m := range w.Cloud.RunningMachines() {
		for _, o := range w.Hosts {
			if (o == h) != (m.zone == zone) {
				w.Partition(endpoint(m.addr), endpoint(o.name), d, false)
			}
		}
	}
}

// busiestMachines returns up to n machines that are up, those with the most tasks first.
func (w *World) busiestMachines(n int) []*Machine {
	up := w.Cloud.RunningMachines()
	slices.SortStableFunc(up, func(a, b *Machine) int { return cmp.Compare(len(b.tasks), len(a.tasks)) })
	return up[:min(n, len(up))]
}

// Leader returns the current leader, or a random controller if there is none.
func (w *World) Leader() *Host {
	if h := w.State.Leader(); h != nil {
		return h
	}
	return w.randomHost()
}

// EndFaults ends all faults that are active and starts all controllers. Messages that a partition
// held still arrive late.
func (w *World) EndFaults() {
	w.partitions = nil
	w.ResetProb, w.DuplicateProb, w.LateReportProb, w.CancelAtEndProb = 0, 0, 0, 0
	w.LateCopies.Active = false
	w.Users.PollRateFactor, w.Users.BurstQueries = 0, false
	w.Cloud.downUntil, w.Cloud.BootTimeFactor, w.Cloud.LateCallProb, w.Cloud.BootFailProb = 0, 0, 0, 0
	w.State.endFaults()
	for _, h := range w.Hosts {
		h.stalledUntil = w.now
		if h.real != nil {
			h.real.resume(h)
		}
		h.Start()
	}
}

// endFaults ends all faults of the state service.
func (s *StateService) endFaults() {
	outage := s.w.now < s.downUntil
	s.downUntil, s.slowUntil = 0, 0
	clear(s.rejectedUntil)
	s.LostResponseProb, s.LateWriteProb, s.LostWriteResponseProb = 0, 0, 0
	if outage {
		for _, id := range core.SortedKeys(s.leases) {
			s.renewLease(id)
		}
	}
	s.answerWatches()
}
