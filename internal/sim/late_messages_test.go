package sim

import (
	"strings"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/block"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// The state service rejects requests of the holder of running tasks, another controller confirms
// that their jobs are cancelled, and then the service is unavailable for longer than a cancellation
// may take. The old leader still answers its workers and receives no cancellation hint. It must
// stop renewing their leases because its mirror was last confirmed fresh too long ago.
func TestCancellationConfirmedWithoutOldLeader(t *testing.T) {
	for seed := range seeds(6) {
		settings := Settings(3)
		settings.Operator.LeaseTTL = 10 * time.Second // the outage begins before the blocks move
		w := NewWorld(settings, 4500+seed, nil)
		w.Populate()
		at(w, 5, func() { fillTeamQuotas(w, 100) })
		confirmed, ran := 0, 0
		for _, start := range []float64{60, 160} {
			at(w, start, func() {
				leader := w.Leader()
				for _, h := range w.Hosts {
					if h != leader {
						w.Partition(endpoint(leader.name), endpoint(h.name), 70*time.Second, false)
						w.Partition("users", endpoint(leader.name), 70*time.Second, false)
					}
				}
				w.State.RejectRequestsFrom(leader.name, 14*time.Second)
				at(w, start+0.5, func() { w.Users.CancelRunning(4, 0) })
				at(w, start+0.5+block.StartsExpireAfter(w.Cfg.Workers).Seconds()+0.5, func() {
					for _, j := range w.Checker.jobs {
						if j.final == api.PhaseCancelled && j.placed > 0 {
							confirmed++
							ran += j.placed
						}
					}
					w.State.Outage(w.Cfg.Workers.Cancel + 25*time.Second)
				})
			})
		}
		w.Run(280 * time.Second)
		if len(w.Checker.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Checker.Violations)
		}
		if confirmed == 0 || ran == 0 {
			t.Fatalf("seed %d: the faults did not combine: %d confirmed cancellations with %d running tasks", seed, confirmed, ran)
		}
	}
}

// A holder whose requests only the state service rejects learns of a cancellation from the
// controller that confirmed it, and stops the tasks at once. It used to start more of them, and
// in the end let the leases of all its workers run out.
func TestCancellationsReachPeers(t *testing.T) {
	late, left := 0, 0
	for seed := range seeds(6) {
		w := NewWorld(Settings(3), 4600+seed, nil)
		w.Populate()
		at(w, 5, func() { fillTeamQuotas(w, 100) })
		at(w, 60, func() {
			w.State.RejectRequestsFrom(w.Leader().name, 14*time.Second)
			w.Partition("users", endpoint(w.Leader().name), 14*time.Second, false)
		})
		at(w, 60.5, func() { w.Users.CancelRunning(100, 0) }) // also jobs of the leader's blocks
		at(w, 62, func() { w.State.Outage(12 * time.Second) })
		w.Run(70 * time.Second)
		if len(w.Checker.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Checker.Violations)
		}
		late += w.Checker.StartsAfterCancel
		for _, j := range w.Checker.jobs {
			if j.final == api.PhaseCancelled {
				left += j.placed
			}
		}
	}
	if late > 0 || left > 0 {
		t.Fatalf("%d tasks started after a confirmed cancellation; %d tasks still on machines 8 s after it", late, left)
	}
}

// A registration under an earlier lease that is applied late must not replace the current one.
// The controller then kept renewing its lease, was counted as live by none of the others, and
// never held a block again.
func TestLateRegistrationDoesNotReplaceCurrent(t *testing.T) {
	w := NewWorld(Settings(3), 31, nil)
	w.Populate()
	w.GenerateLoad(200*time.Second, 4*time.Second)
	victim := w.Hosts[2]
	late := 0
	at(w, 60, func() {
		w.State.OnTxn = func(from core.Host, t api.Txn) (f TxnFault) {
			for _, c := range t.Then {
				if from == victim.name && strings.HasPrefix(c.Set, state.KeyMember("")) && late == 0 {
					late++
					f.ApplyDelay = 3500 * time.Millisecond
				}
			}
			return f
		}
		victim.Restart(200 * time.Millisecond)
	})
	w.Run(120 * time.Second)
	if late != 1 {
		t.Fatal("no registration was delayed")
	}
	if len(w.Checker.Violations) > 0 {
		t.Fatal(w.Checker.Violations)
	}
	held := 0
	for key, e := range w.State.keys {
		var b state.Block
		if strings.HasPrefix(key, state.KeyBlock(0)[:len(state.KeyBlock(0))-1]) && api.Decode(e.value, &b) == nil && b.Holder == victim.name {
			held++
		}
	}
	if held == 0 {
		t.Fatal("a minute after its restart the controller holds no block")
	}
}

// A machine whose reports reach no controller, although it answers commands, gets no work and is
// returned to the cloud. It used to be planned for repeatedly, each time for seconds, while the
// planned tasks waited.
func TestMachineWithoutReportsGetsNoWork(t *testing.T) {
	w := NewWorld(Settings(3), 41, nil)
	w.Populate()
	at(w, 5, func() { fillTeamQuotas(w, 100) })
	var isolated *Machine
	at(w, 40, func() {
		isolated = w.busiestMachines(1)[0]
		w.DropReports(isolated, 300*time.Second)
	})
	w.Run(150 * time.Second)
	if len(w.Checker.Violations) > 0 {
		t.Fatal(w.Checker.Violations)
	}
	if isolated.phase == machineUp {
		t.Fatal("the machine without reports is still up")
	}
}

// Different controllers write a job's completion and its cancellation at the same moment, and
// one of the two writes is applied a second late, after the wait for its response has ended. The
// first write applied stands, and no user is told otherwise.
func TestCompletionRacesCancellation(t *testing.T) {
	for _, phase := range []state.JobPhase{state.JobDone, state.JobCancelled} {
		w := NewWorld(Settings(3), 43, nil)
		w.Populate()
		delayed := map[string]bool{}
		w.State.OnTxn = func(from core.Host, t api.Txn) (f TxnFault) {
			for _, c := range t.Then {
				id, isJob := strings.CutPrefix(c.Set, state.KeyJob(""))
				var j state.Job
				if !isJob || api.Decode(c.Value, &j) != nil || delayed[id] {
					continue
				}
				switch {
				case j.Phase == state.JobDone && phase == state.JobDone:
					delayed[id] = true
					w.Users.Cancel(id)
					f.ApplyDelay = time.Second
				case j.Phase == state.JobCancelled && phase == state.JobCancelled:
					delayed[id] = true
					f.ApplyDelay = time.Second
				}
			}
			return f
		}
		for i := range 20 {
			j := unconstrainedJob(w, 1+i)
			j.CPUs, j.Tasks, j.EstimateS, j.ImageGB = 1, 1, 8, 0.1
			at(w, 5+float64(i), func() { w.Users.Submit(j) })
		}
		if phase == state.JobCancelled {
			w.CancelAtEndProb = 1
		}
		w.Run(90 * time.Second)
		if len(w.Checker.Violations) > 0 {
			t.Fatalf("%s late: %v", phase, w.Checker.Violations)
		}
		done, cancelled := 0, 0
		for _, j := range w.Checker.jobs {
			switch j.final {
			case api.PhaseDone:
				done++
			case api.PhaseCancelled:
				cancelled++
			}
		}
		if len(delayed) < 10 || done+cancelled < 20 || phase == state.JobDone && cancelled == 0 {
			t.Fatalf("%s late: %d writes delayed, %d jobs done, %d cancelled", phase, len(delayed), done, cancelled)
		}
	}
}

// A holder ends while its release of an idle machine is in flight, and the next holder starts
// tasks on that machine, which changes no record. A release applied after that would move the
// machine and its running tasks to another block. It is therefore conditional on the block
// grant under which it was decided.
func TestLateReleaseOfAPreviousHolder(t *testing.T) {
	ran := 0
	for seed := range seeds(6) {
		w := NewWorld(Settings(3), 4700+seed, nil)
		w.Populate()
		at(w, 5, func() { submitArrays(w, 100, 8) })
		var held core.Host
		w.State.OnTxn = func(from core.Host, t api.Txn) (f TxnFault) {
			release := false
			for _, c := range t.Then {
				release = release || strings.HasPrefix(c.Set, "lichenstair/machines/pool/")
			}
			if w.Now() < 20*time.Second || held != "" || !release || t.If[0].Key == state.KeyLeader {
				return f
			}
			held, f.ApplyDelay = from, 9*time.Second
			w.host(from).Restart(100 * time.Millisecond)
			w.After(time.Second, func() { submitArrays(w, 300, 60) })
			w.After(8500*time.Millisecond, func() {
				for _, m := range w.Cloud.RunningMachines() {
					ran += len(m.tasks)
				}
			})
			return f
		}
		w.Run(60 * time.Second)
		if len(w.Checker.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Checker.Violations)
		}
		if held == "" {
			t.Fatalf("seed %d: no release was delayed", seed)
		}
	}
	if ran == 0 {
		t.Fatal("no task was running shortly before the releases were applied")
	}
}
