// Package node puts the parts of a controller together: its membership, the
// election, the blocks it holds, and the answers to users and workers.
package node

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"lichenstair/api"
	"lichenstair/internal/block"
	"lichenstair/internal/capacity"
	"lichenstair/internal/cloud"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/leader"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
	"lichenstair/internal/worker"
)

// membership is where a node stands with the state service.
type membership int

const (
	outside membership = iota // has no tenure
	joining                   // asks for a tenure and writes its member key
	member                    // holds a tenure
)

func (m membership) String() string { return [...]string{"outside", "joining", "member"}[m] }

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

	membership membership
	tenure     core.Tenure
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
	shapes        capacity.Shapes
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
	n.state = state.NewClient(loop, call, cfg.State, cfg.StateLim, cfg.Nodes)
	n.mirror = state.NewMirror(loop, n.state, log)
	n.cloud = cloud.NewClient(loop, call, cfg.Cloud, cfg.CloudLim)
	n.workers = worker.NewClient(call)
	n.prober = worker.NewProber(n.workers, maxProbes)
	n.mirror.Changed = n.changed
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
		n.mirror.Fresh(func(bool) {})
	}
	n.loop.After(indexEvery, n.index)
}

// sure tells whether our tenure has certainly not run out.
func (n *Node) sure() bool {
	return n.membership == member && n.loop.Now().Sub(n.renewedAt) < n.cfg.Operator.Tenure
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
			h.StoodStill()
		}
	}
	n.ticked = now
	n.join()
	n.elect()
	if n.leader != nil {
		n.leader.Tick()
	}
	for _, num := range core.Keys(n.holders) {
		n.holders[num].Tick()
	}
}

// become is the one place where the node's membership changes.
func (n *Node) become(m membership) {
	if m != n.membership {
		n.log.Info("membership changes", "from", n.membership.String(), "to", m.String(), "tenure", n.tenure)
	}
	n.membership = m
	if m == outside {
		n.tenure = 0
	}
}

// join keeps the node's tenure. A tenure left over from before a restart is
// ended at once, so that its blocks need not wait for it to run out.
func (n *Node) join() {
	if !n.mirror.Complete() {
		return
	}
	switch n.membership {
	case outside:
		n.become(joining)
		again := func() { n.loop.After(300*time.Millisecond, func() { n.become(outside) }) }
		start := func() {
			n.state.Grant(n.cfg.Operator.Tenure, func(t core.Tenure) {
				if t == 0 {
					again()
					return
				}
				n.tenure, n.renewedAt = t, n.loop.Now()
				n.register(again)
			})
		}
		old, ok := n.mirror.Members[n.cfg.Host]
		if !ok {
			start()
			return
		}
		n.log.Info("ending the tenure of our previous process", "tenure", old.Record.Tenure)
		n.state.End(old.Record.Tenure, func(ok bool) {
			if !ok {
				again()
				return
			}
			// The mirror has to show that the key is gone before it is made anew.
			n.mirror.Fresh(func(bool) { start() })
		})
	case member:
		if n.displaced() {
			n.log.Info("our member key is not ours; joining anew", "tenure", n.tenure)
			n.state.End(n.tenure, func(bool) {})
			n.become(outside)
			return
		}
		if n.renewing || n.loop.Now().Sub(n.renewedAt) < n.cfg.Operator.Tenure/4 {
			return
		}
		n.renewing = true
		asked, tenure := n.loop.Now(), n.tenure
		n.state.Renew(tenure, func(status int) {
			n.renewing = false
			switch {
			case n.tenure != tenure:
			case status >= 200 && status < 300:
				n.renewedAt = asked
			case status == 404:
				n.log.Info("our tenure has run out", "tenure", n.tenure)
				n.become(outside)
			}
		})
	}
}

// displaced tells whether the member key names another tenure than ours, though ours was
// written. A registration of an earlier tenure, carried out late, had replaced it: the
// node renewed its own for ever, nobody counted it among the live, and as a leader it
// was deposed by everybody at once.
func (n *Node) displaced() bool {
	return n.mirror.Shows(n.registered) && n.mirror.Members[n.cfg.Host].Record.Tenure != n.tenure
}

func (n *Node) register(again func()) {
	tenure := n.tenure
	put := state.Put(state.KeyMember(n.cfg.Host), state.Member{Host: n.cfg.Host, Tenure: tenure})
	put.Tenure = uint64(tenure)
	t := api.Txn{
		If:   []api.Condition{{Key: put.Set, Version: uint64(n.mirror.Members[n.cfg.Host].Version)}},
		Then: []api.Change{put},
	}
	n.state.TxnFirst(t, func(r state.Result) {
		if n.tenure != tenure || n.membership != joining {
			// The tenure was given up meanwhile. A node that took itself for a
			// member without one was elected under a key that no tenure ends.
			return
		}
		if r.Outcome != state.Applied {
			again()
			return
		}
		n.registered = r.Revision
		n.become(member)
	})
}

// leaderless tells whether nobody leads: there is no leader's key, or one that
// outlived its tenure, which should not be and must not last.
func (n *Node) leaderless() bool {
	l := n.mirror.Leader.Record
	return l == nil || n.mirror.Members[l.Host].Record.Tenure != l.Tenure
}

// elect makes this node the leader if there is none.
func (n *Node) elect() {
	if n.membership != member || n.electing || !n.leaderless() {
		return
	}
	n.electing = true
	n.loop.After(time.Duration(n.rnd.Int64N(int64(150*time.Millisecond))), func() {
		if !n.leaderless() || n.membership != member || n.tenure == 0 {
			n.electing = false
			return
		}
		tenure := n.tenure
		term := n.mirror.Term.Record.Last + 1
		put := state.Put(state.KeyLeader, state.Leader{Host: n.cfg.Host, Tenure: tenure, Term: term})
		put.Tenure = uint64(tenure)
		t := api.Txn{
			If: []api.Condition{{Key: state.KeyLeader, Version: uint64(n.mirror.Leader.Version)}, {Key: state.KeyTerm, Version: uint64(n.mirror.Term.Version)}},
			Then: []api.Change{
				state.Put(state.KeyTerm, state.TermCounter{Last: term}),
				put,
			},
		}
		n.state.TxnFirst(t, func(r state.Result) {
			if r.Outcome == state.NoTenure && n.tenure == tenure {
				n.become(outside)
			}
			n.mirror.Fresh(func(bool) { n.electing = false })
		})
	})
}

// changed takes in what has changed in the mirror.
func (n *Node) changed(t state.Touched) {
	for _, id := range t.Jobs {
		if e := n.mirror.Jobs[id]; e != nil && e.Spec != nil && n.mayRun(e) {
			n.shapes.Note(n.loop.Now(), e.Spec)
		}
	}
	n.follow()
	for _, num := range core.Keys(n.holders) {
		n.holders[num].Changed(t)
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
	ours := n.tenure != 0 && l.Record != nil && l.Record.Host == n.cfg.Host && l.Record.Tenure == n.tenure
	if n.leader != nil && (!ours || n.leader.Version() != l.Version) {
		n.leader.End()
		n.leader = nil
	}
	if ours && n.leader == nil {
		n.leader = leader.New(leader.Env{
			Loop: n.loop, Log: n.log, Config: n.cfg, Host: n.cfg.Host, Mirror: n.mirror, State: n.state, Cloud: n.cloud, Workers: n.workers, Kept: n.kept, Isolated: n.isolated, Settled: n.settled, Failing: n.failing, Running: n.allRunning, Idle: n.idle, Sure: n.sure,
		}, l)
	}
	for _, num := range core.Keys(n.holders) {
		h := n.holders[num]
		b, ok := n.mirror.Blocks[num]
		if !ok || b.Record.Term != h.Term() || b.Record.Holder != n.cfg.Host {
			h.Release()
			delete(n.holders, num)
		}
	}
	for _, num := range core.Keys(n.mirror.Blocks) {
		b := n.mirror.Blocks[num]
		if n.holders[num] == nil && n.tenure != 0 && b.Record.Holder == n.cfg.Host && b.Record.Tenure == n.tenure {
			n.holders[num] = block.New(block.Env{
				Loop: n.loop, Log: n.log, Config: n.cfg, Host: n.cfg.Host, Mirror: n.mirror, State: n.state, Workers: n.workers, Types: n.types, Kept: n.kept, Policy: n.Policy,
			}, b.Record)
		}
	}
}

// kept lists the kinds of machine that are kept for gangs even while none waits.
func (n *Node) kept() capacity.KeptKinds {
	return n.shapes.Kept(n.loop.Now(), n.cfg.Aims, n.types())
}

func (n *Node) types() map[string]api.MachineType { return n.mirror.Types.Record }
