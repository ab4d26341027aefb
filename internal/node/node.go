// Package node puts the parts of a controller together: its membership, the
// election, the blocks it holds, and the answers to users and workers.
package node

import (
	"log/slog"
	"math/rand/v2"
	"strconv"
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

	membership membership
	tenure     core.LeaseID
	renewedAt  core.Time
	registered core.Revision // of our member key
	renewing   bool
	ticked     core.Time // when tick last ran
	electing   bool
	leader     *leader.Leader
	holders    map[int]*block.Holder

	creates  []*create
	creating bool
	// Policy chooses how tasks are placed; set before Start.
	Policy placement.Policy

	parked        []parked
	misrouted     map[core.MachineID]misroutedReport
	prober        *worker.Prober // asks the machines of misrouted reports whether they hear us
	grants        map[int]grantSeen
	cancellations []confirmedCancellation // confirmed here lately
	shapes        capacity.GangShapes
	peers         map[core.Host]heard
	broadcast     func([]byte)
}

const (
	tick       = 200 * time.Millisecond
	indexEvery = time.Second
)

// New makes a node; Start begins its work. broadcast sends a frame to the other
// controllers.
func New(cfg *config.Config, loop core.Loop, call core.Caller, broadcast func([]byte), log *slog.Logger, rnd *rand.Rand) *Node {
	n := &Node{cfg: cfg, loop: loop, log: log, rnd: rnd, broadcast: broadcast, holders: map[int]*block.Holder{}, peers: map[core.Host]heard{}, misrouted: map[core.MachineID]misroutedReport{}, grants: map[int]grantSeen{}}
	n.state = state.NewClient(loop, call, cfg.State, cfg.StateLimits, cfg.Nodes)
	n.mirror = state.NewMirror(loop, n.state, log)
	n.cloud = cloud.NewClient(loop, call, cfg.Cloud, cfg.CloudLimits)
	n.workers = worker.NewClient(call)
	n.metrics = metrics.New()
	n.prober = worker.NewProber(n.workers, maxProbes)
	n.mirror.OnChange = n.changed
	return n
}

// Start begins the node's work.
func (n *Node) Start() {
	n.mirror.Start()
	n.loop.After(tick, n.tick)
	n.index()
	n.beat()
}

// index proves, over and over, how far the mirror is up to date.
func (n *Node) index() {
	if n.mirror.Complete() {
		n.mirror.ConfirmFresh(func(bool) {})
	}
	n.loop.After(indexEvery, n.index)
}

// sure tells whether our tenure has certainly not run out.
func (n *Node) sure() bool {
	return n.membership == member && n.loop.Now().Sub(n.renewedAt) < n.cfg.Operator.LeaseTTL
}

// standstill is how late a tick is when the process, not its timer, was to blame.
const standstill = time.Second

func (n *Node) tick() {
	n.loop.After(tick, n.tick)
	now := n.loop.Now()
	if late := now.Sub(n.ticked) - tick; n.ticked > 0 && late > standstill {
		// Reports and answers of that time still wait to be taken in: nobody was
		// silent because we did not listen.
		n.log.Info("we stood still", "for", late.String(), "tenure_sure", n.sure())
		for _, h := range n.holders {
			h.NotePause()
		}
	}
	n.ticked = now
	n.join()
	n.elect()
	if n.leader != nil {
		n.leader.Tick()
	}
	for _, num := range core.SortedKeys(n.holders) {
		n.holders[num].Tick()
	}
	n.measure()
}

// Metrics returns the controller's metrics.
func (n *Node) Metrics() *metrics.Metrics { return n.metrics }

// measure brings the metrics of roles and of the state service in line with what is so now.
func (n *Node) measure() {
	term := core.Term(0)
	if n.leader != nil {
		term = n.leader.Term()
	}
	n.metrics.LeaderTerm.Set(float64(term))
	n.metrics.StateRevision.Set(float64(n.mirror.Revision()))
	n.metrics.ProofAge.Set(n.contact().Seconds())
}

// changed takes in what has changed in the mirror.
func (n *Node) changed(t state.ChangeSet) {
	for _, id := range t.Jobs {
		if e := n.mirror.Jobs[id]; e != nil && e.Spec != nil && n.mayRun(e) {
			n.shapes.Observe(n.loop.Now(), e.Spec)
		}
	}
	n.follow()
	for _, num := range core.SortedKeys(n.holders) {
		n.holders[num].ApplyChanges(t)
	}
	if n.leader != nil {
		n.leader.Tick()
	}
	n.unpark()
}

func (n *Node) mayRun(e *state.JobEntry) bool {
	_, ok := n.mirror.ReadyAt(e)
	return ok
}

// follow starts and ends the roles that the records give this node.
func (n *Node) follow() {
	l := n.mirror.Leader
	ours := n.tenure != 0 && l.Record != nil && l.Record.Host == n.cfg.Host && l.Record.LeaseID == n.tenure
	if n.leader != nil && (!ours || n.leader.Version() != l.Version) {
		n.leader.Stop()
		n.leader = nil
	}
	if ours && n.leader == nil {
		n.leader = leader.New(leader.Env{
			Loop: n.loop, Log: n.log, Config: n.cfg, Host: n.cfg.Host, Mirror: n.mirror, State: n.state, Cloud: n.cloud, Workers: n.workers, GangKinds: n.kept, ReplacementHolder: n.isolated, HolderReady: n.settled, FailingJobs: n.failing, RunningTasks: n.allRunning, IdleMachines: n.idle, LeaseValid: n.sure,
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
		if n.holders[num] == nil && n.tenure != 0 && b.Record.Holder == n.cfg.Host && b.Record.LeaseID == n.tenure {
			n.holders[num] = block.New(block.Env{
				Loop: n.loop, Log: n.log, Config: n.cfg, Host: n.cfg.Host, Mirror: n.mirror, State: n.state, Workers: n.workers, Types: n.types, GangKinds: n.kept, Policy: n.Policy, Metrics: n.metrics,
			}, b.Record)
			n.metrics.BlockTerm.WithLabelValues(strconv.Itoa(num)).Set(float64(b.Record.Term))
		}
	}
}

// kept lists the kinds of machine that are kept for gangs even while none waits.
func (n *Node) kept() capacity.GangKinds {
	return n.shapes.GangKinds(n.loop.Now(), n.cfg.Objectives, n.types())
}

func (n *Node) types() map[string]api.MachineType { return n.mirror.Types.Record }
