// Package node assembles a controller: its membership, the election, the blocks it holds,
// and the handling of requests from users and workers.
package node

import (
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"lichenstair/api"
	"lichenstair/internal/block"
	"lichenstair/internal/capacity"
	"lichenstair/internal/cloud"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/leader"
	"lichenstair/internal/metrics"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
	"lichenstair/internal/worker"
)

// Node is one controller.
type Node struct {
	cfg     *config.Config
	loop    core.Loop
	log     *slog.Logger
	rnd     *rand.Rand
	state   *state.Client
	mirror  *state.Mirror
	cloud   *cloud.Client
	workers *worker.Client
	metrics *metrics.Metrics

	membership   membership
	leaseID      core.LeaseID          // 0: none
	renewedAt    core.Time             // when the lease was granted, or its last successful renewal was sent
	registeredAt core.Revision         // revision of our member key
	renewing     bool                  // a renewal is in flight
	lastTick     core.Time             // when tick last ran
	electing     bool                  // an attempt to become the leader is scheduled or in flight
	leader       *leader.Leader        // nil: this node is not the leader
	holders      map[int]*block.Holder // of the blocks granted to this node, by block number

	submissions []*submission // not yet sent to the state service
	committing  bool          // a transaction with submissions is in flight
	// Policy selects how tasks are placed. It must be set before Start.
	Policy placement.Policy

	deferred       []deferredReport
	readiness      atomic.Pointer[readiness]
	withdrawn      bool        // see updateWithdrawn
	withdrawals    []core.Time // when the node was withdrawn lately
	misrouted      map[core.MachineID]misroutedReport
	prober         *worker.Prober        // checks whether the machines of misrouted reports can be reached from here
	observedGrants map[int]observedGrant // by block number
	// pendingCancellations holds the cancelled jobs whose users are not told so yet.
	pendingCancellations map[core.JobID]*pendingCancellation
	gangShapes           capacity.GangShapes // of the jobs that became ready recently
	peers                map[core.Host]peerHeartbeat
	broadcast            func([]byte) // sends a frame to the other controllers
}

const (
	tickInterval      = 200 * time.Millisecond
	freshnessInterval = time.Second
)

// New returns a node, which Start starts. broadcast sends a frame to the other controllers.
func New(cfg *config.Config, loop core.Loop, call core.Caller, broadcast func([]byte), log *slog.Logger, rnd *rand.Rand) *Node {
	n := &Node{cfg: cfg, loop: loop, log: log, rnd: rnd, broadcast: broadcast, holders: map[int]*block.Holder{}, peers: map[core.Host]peerHeartbeat{}, misrouted: map[core.MachineID]misroutedReport{}, observedGrants: map[int]observedGrant{}, pendingCancellations: map[core.JobID]*pendingCancellation{}}
	n.metrics = metrics.New()
	n.state = state.NewClient(loop, call, n.metrics, cfg.State, cfg.StateLimits, cfg.Nodes)
	n.mirror = state.NewMirror(loop, n.state, log)
	n.cloud = cloud.NewClient(loop, call, cfg.Cloud, cfg.CloudLimits)
	n.workers = worker.NewClient(call)
	n.prober = worker.NewProber(n.workers, maxProbes)
	n.mirror.OnChange = n.onChange
	return n
}

// Start starts the node.
func (n *Node) Start() {
	n.mirror.Start()
	n.loop.After(tickInterval, n.tick)
	n.confirmFreshness()
	n.sendHeartbeat()
}

// confirmFreshness periodically has the mirror confirmed fresh.
func (n *Node) confirmFreshness() {
	if n.mirror.Complete() {
		n.mirror.ConfirmFresh(func(bool) {})
	}
	n.loop.After(freshnessInterval, n.confirmFreshness)
}

// leaseValid reports whether our lease has certainly not expired, at least from its first
// renewal on: until then its time counts from the response to the grant, which is later than
// the grant itself.
func (n *Node) leaseValid() bool {
	return n.membership == member && n.loop.Now().Sub(n.renewedAt) < n.cfg.Operator.LeaseTTL
}

// pauseThreshold is the delay of a tick above which the process is taken to have been
// paused, rather than its timer to be late.
const pauseThreshold = time.Second

// tick does the periodic work of the node.
func (n *Node) tick() {
	n.loop.After(tickInterval, n.tick)
	now := n.loop.Now()
	if late := now.Sub(n.lastTick) - tickInterval; n.lastTick > 0 && late > pauseThreshold {
		// Reports and responses that arrived in the meantime are still queued: machines are
		// not silent just because we were not reading.
		n.log.Info("process was paused", "for", late.String(), "lease_valid", n.leaseValid())
		for _, h := range n.holders {
			h.NotePause()
		}
	}
	n.lastTick = now
	n.maintainLease()
	n.campaign()
	if n.leader != nil {
		n.leader.Tick()
	}
	for _, num := range core.SortedKeys(n.holders) {
		n.holders[num].Tick()
	}
	n.updateReadiness()
	n.updateMetrics()
}

// Metrics returns the controller's metrics.
func (n *Node) Metrics() *metrics.Metrics { return n.metrics }

// updateMetrics updates the metrics of the leader role and of the state service.
func (n *Node) updateMetrics() {
	term := core.Term(0)
	if n.leader != nil {
		term = n.leader.Term()
	}
	n.metrics.LeaderTerm.Set(float64(term))
	n.metrics.StateRevision.Set(float64(n.mirror.Revision()))
	n.metrics.DependencyLinks.Set(float64(n.mirror.Links()))
	n.metrics.ProofAge.Set(n.mirror.Staleness().Seconds())
	n.state.ReportQueues()
}

// onChange handles changes of the mirror.
func (n *Node) onChange(t state.ChangeSet) {
	for _, id := range t.Jobs {
		if e := n.mirror.Jobs[id]; e != nil && e.Spec != nil && isReady(e) {
			n.gangShapes.Observe(n.loop.Now(), e.Spec)
		}
	}
	n.updateRoles()
	for _, num := range core.SortedKeys(n.holders) {
		n.holders[num].ApplyChanges(t)
	}
	n.trackCancellations(t.Jobs)
	if n.leader != nil {
		n.leader.Tick()
	}
	n.retryDeferred()
	n.updateReadiness()
}

// isReady reports whether a job may run: all jobs that it depends on are done.
func isReady(e *state.JobEntry) bool {
	_, ok := e.ReadyAt()
	return ok
}

// updateRoles starts and stops the leader and the holders according to the records.
func (n *Node) updateRoles() {
	l := n.mirror.Leader
	ours := n.leaseID != 0 && l.Record != nil && l.Record.Host == n.cfg.Host && l.Record.LeaseID == n.leaseID
	if n.leader != nil && (!ours || n.leader.Version() != l.Version) {
		n.leader.Stop()
		n.leader = nil
	}
	if ours && n.leader == nil {
		n.leader = leader.New(leader.Env{
			Loop: n.loop, Log: n.log, Config: n.cfg, Host: n.cfg.Host, Mirror: n.mirror, State: n.state, Cloud: n.cloud, Workers: n.workers, GangKinds: n.gangKinds, ReplacementHolder: n.replacementHolder, HolderReady: n.holderReady, FailingJobs: n.failingJobs, RunningTasks: n.runningTasks, IdleMachines: n.idleMachines, LeaseValid: n.leaseValid,
		}, l)
	}
	for _, num := range core.SortedKeys(n.holders) {
		h := n.holders[num]
		b, ok := n.mirror.Blocks[num]
		if !ok || b.Record.Term != h.Term() || b.Record.Holder != n.cfg.Host {
			h.Release()
			delete(n.holders, num)
			n.metrics.BlockTerm.DeleteLabelValues(strconv.Itoa(num))
		}
	}
	for _, num := range core.SortedKeys(n.mirror.Blocks) {
		b := n.mirror.Blocks[num]
		if n.holders[num] == nil && n.leaseID != 0 && b.Record.Holder == n.cfg.Host && b.Record.LeaseID == n.leaseID {
			n.holders[num] = block.New(block.Env{
				Loop: n.loop, Log: n.log, Config: n.cfg, Host: n.cfg.Host, Mirror: n.mirror, State: n.state, Workers: n.workers, Types: n.types, GangKinds: n.gangKinds, Policy: n.Policy, Metrics: n.metrics,
			}, b.Record)
			n.metrics.BlockTerm.WithLabelValues(strconv.Itoa(num)).Set(float64(b.Record.Term))
		}
	}
}

// gangKinds returns the kinds of machine that are reserved for gangs even while none waits.
func (n *Node) gangKinds() capacity.GangKinds {
	return n.gangShapes.GangKinds(n.loop.Now(), n.cfg.Objectives, n.types())
}

func (n *Node) types() map[string]api.MachineType { return n.mirror.Types.Record }
