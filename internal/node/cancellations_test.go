package node

import (
	"log/slog"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/block"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/peer"
	"lichenstair/internal/state"
	"lichenstair/internal/state/statetest"
)

const (
	ownHost  = core.Host("c0")
	ownLease = core.LeaseID(5)
	blockNum = 1
	term     = core.Term(7) // of the grant of the block
)

// testNode is a node without timers, which keeps the frames that it sends.
type testNode struct {
	*Node
	service *statetest.Service
	frames  [][]byte
}

// newTestNode returns a node that has read the records of a block with team red, which is held by a
// controller, and of four jobs: req-1 is running, req-2 cancelled, req-3 depends on it, and req-4 is
// cancelled and of a team that no block has.
func newTestNode(t *testing.T, holder core.Host) *testNode {
	t.Helper()
	n := newLoadingNode(holder, &statetest.Service{Time: core.Time(time.Minute)})
	if !n.mirror.Complete() {
		t.Fatal("the mirror is not complete")
	}
	n.updateRoles()
	return n
}

// newLoadingNode returns a node that reads these records from a state service.
func newLoadingNode(holder core.Host, s *statetest.Service) *testNode {
	s.Put(state.KeyBlock(blockNum), state.Block{Number: blockNum, Holder: holder, LeaseID: ownLease, Term: term, Teams: []string{"red"}})
	job := func(id, team string, phase state.JobPhase, dependencies ...string) {
		j := state.Job{Phase: state.JobAccepted, Tasks: 3, Team: team, CPUs: 1, MemoryGB: 1, Spec: &api.Job{
			ID: id, Team: team, Form: api.FormArray, Rank: api.RankStandard, Tasks: 3, CPUs: 1, MemoryGB: 1, Dependencies: dependencies,
		}}
		if phase == state.JobCancelled {
			j = j.End(phase, 0)
		}
		s.Put(state.KeyJob(core.JobID(id)), j)
	}
	job("req-1", "red", state.JobAccepted)
	job("req-2", "red", state.JobCancelled)
	job("req-3", "red", state.JobAccepted, "req-2")
	job("req-4", "blue", state.JobCancelled)
	cfg := &config.Config{
		Host: ownHost, Nodes: 2, Workers: config.WorkerTimings{Report: time.Second, Lease: 10 * time.Second, Cancel: 35 * time.Second},
		StateLimits: config.StateLimits{RPS: 100, WriteRPS: 40, ValueBytes: 8 << 10, TxnOps: 32},
		Operator:    config.Operator{LeaseTTL: 5 * time.Second, RetryAfter: time.Second},
	}
	n := &testNode{service: s}
	n.Node = New(cfg, s, s, func(frame []byte) { n.frames = append(n.frames, frame) }, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 1)))
	n.leaseID = ownLease
	n.mirror.Start()
	return n
}

// advance lets time pass and checks the pending cancellations, as their timers do.
func (n *testNode) advance(d time.Duration) {
	n.service.Time = n.service.Time.Add(d)
	n.trackCancellations(nil)
}

// phaseOf polls a job and returns the phase of the response, or "" as long as there is none.
func (n *testNode) phaseOf(id core.JobID) *string {
	phase := new(string)
	n.GetJob(id, func(r Response) {
		if s, ok := r.Body.(api.JobStatus); ok {
			*phase = s.Phase
		}
	})
	return phase
}

// acknowledge delivers an acknowledgement of another controller.
func (n *testNode) acknowledge(job core.JobID, block int, term core.Term) {
	n.HandleFrame(peer.EncodeAcknowledgements([]peer.Acknowledgement{{Job: job, Block: block, Term: term}}))
}

// Guards against a user who is told that a job is cancelled while another controller may still start
// its tasks: only an acknowledgement under the present grant of the job's block, or time, counts.
func TestCancellationIsToldOnceAcknowledged(t *testing.T) {
	for _, tc := range []struct {
		name  string
		block int
		term  core.Term
		want  string
	}{
		{"present grant", blockNum, term, api.PhaseCancelled},
		{"grant that the mirror does not show yet", blockNum, term + 1, api.PhaseCancelled},
		{"earlier grant", blockNum, term - 1, ""},
		{"another block", blockNum + 1, term, ""},
	} {
		n := newTestNode(t, "c1")
		got := n.phaseOf("req-2")
		if *got != "" {
			t.Fatalf("%s: told %q before an acknowledgement", tc.name, *got)
		}
		if ids, ok := peer.DecodeCancellations(n.frames[len(n.frames)-1]); !ok || !reflect.DeepEqual(ids, []core.JobID{"req-2"}) {
			t.Fatalf("%s: announced %v", tc.name, ids)
		}
		n.acknowledge("req-1", blockNum, term) // of another job
		n.acknowledge("req-2", tc.block, tc.term)
		if *got != tc.want {
			t.Errorf("%s: told %q after the acknowledgement, want %q", tc.name, *got, tc.want)
		}
		n.advance(block.StartsExpireAfter(n.cfg.Workers) - time.Millisecond)
		if *got != tc.want {
			t.Errorf("%s: told %q before the right to start has expired, want %q", tc.name, *got, tc.want)
		}
		if n.advance(time.Millisecond); *got != api.PhaseCancelled {
			t.Errorf("%s: told %q after the right to start has expired", tc.name, *got)
		}
	}
}

// Guards against a wait for cancellations of which no start can follow: the holder is this
// controller, no block has the team, a dependency was cancelled, or the cancellation is old.
func TestCancellationIsToldAtOnce(t *testing.T) {
	n := newTestNode(t, ownHost)
	if n.holders[blockNum] == nil {
		t.Fatal("the node does not hold the block")
	}
	if got := *n.phaseOf("req-2"); got != api.PhaseCancelled {
		t.Errorf("the holder tells %q", got)
	}
	n = newTestNode(t, "c1")
	for _, id := range []core.JobID{"req-3", "req-4"} {
		if got := *n.phaseOf(id); got != api.PhaseCancelled {
			t.Errorf("%s: told %q", id, got)
		}
	}
	n.advance(block.StartsExpireAfter(n.cfg.Workers))
	if got := *n.phaseOf("req-2"); got != api.PhaseCancelled || len(n.frames) > 0 {
		t.Errorf("an old cancellation: told %q, %d frames sent", got, len(n.frames))
	}
}

// Guards against a confirmation before the mirror shows the grant under which the job may be placed.
func TestCancellationWaitsForMirror(t *testing.T) {
	n := newTestNode(t, ownHost)
	told := false
	p := n.trackCancellation("req-1", n.mirror.Revision()+1, n.service.Time)
	n.whenStartsExcluded("req-1", p, func() { told = true })
	if told {
		t.Error("told although a later grant may precede the cancellation")
	}
	if j := *n.phaseOf("req-2"); j != api.PhaseCancelled {
		t.Errorf("the other cancellation waits too: told %q", j)
	}
}

// Guards against a controller that has just read the jobs and takes a cancellation for an old one
// although the watch has not shown yet how current they are.
func TestCancellationIsNotToldWhileLoading(t *testing.T) {
	n := newLoadingNode("c1", &statetest.Service{Time: core.Time(time.Minute), IgnoreWatches: true})
	if n.mirror.Complete() || n.mirror.Jobs["req-2"] == nil {
		t.Fatal("the mirror is complete, or does not hold the job")
	}
	got := n.phaseOf("req-2")
	if n.acknowledge("req-2", blockNum, term); *got != "" {
		t.Errorf("told %q while the mirror is not complete", *got)
	}
	if n.advance(block.StartsExpireAfter(n.cfg.Workers)); *got != api.PhaseCancelled {
		t.Errorf("told %q after the right to start has expired", *got)
	}
}

// Guards against acknowledgements by controllers that do not hold the job's block, or of jobs that
// they do not know to be cancelled.
func TestAcknowledgesOwnBlockOnly(t *testing.T) {
	announcement := peer.EncodeCancellations([]core.JobID{"req-1", "req-2", "req-4", "req-9"})
	n := newTestNode(t, "c1")
	if n.HandleFrame(announcement); len(n.frames) > 0 {
		t.Error("a controller that does not hold the block acknowledges")
	}
	n = newTestNode(t, ownHost)
	n.HandleFrame(announcement)
	want := []peer.Acknowledgement{{Job: "req-1", Block: blockNum, Term: term}, {Job: "req-2", Block: blockNum, Term: term}}
	if got, ok := peer.DecodeAcknowledgements(n.frames[0]); !ok || !reflect.DeepEqual(got, want) {
		t.Errorf("acknowledged %v, want %v", got, want)
	}
}
