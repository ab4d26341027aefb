package node

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// membership is where a node stands with the state service.
type membership int

const (
	outside membership = iota // has no tenure
	joining                   // asks for a tenure and writes its member key
	member                    // holds a tenure
)

func (m membership) String() string { return [...]string{"outside", "joining", "member"}[m] }

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
			n.state.GrantLease(n.cfg.Operator.LeaseTTL, func(t core.LeaseID) {
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
		n.log.Info("ending the tenure of our previous process", "tenure", old.Record.LeaseID)
		n.state.RevokeLease(old.Record.LeaseID, func(ok bool) {
			if !ok {
				again()
				return
			}
			// The mirror has to show that the key is gone before it is made anew.
			n.mirror.ConfirmFresh(func(bool) { start() })
		})
	case member:
		if n.displaced() {
			n.log.Info("our member key is not ours; joining anew", "tenure", n.tenure)
			n.state.RevokeLease(n.tenure, func(bool) {})
			n.become(outside)
			return
		}
		if n.renewing || n.loop.Now().Sub(n.renewedAt) < n.cfg.Operator.LeaseTTL/4 {
			return
		}
		n.renewing = true
		asked, tenure := n.loop.Now(), n.tenure
		n.state.RenewLease(tenure, func(status int) {
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
	return n.mirror.HasReached(n.registered) && n.mirror.Members[n.cfg.Host].Record.LeaseID != n.tenure
}

func (n *Node) register(again func()) {
	tenure := n.tenure
	put := state.Put(state.KeyMember(n.cfg.Host), state.Member{Host: n.cfg.Host, LeaseID: tenure})
	put.LeaseID = uint64(tenure)
	t := api.Txn{
		If:   []api.Condition{{Key: put.Set, Version: uint64(n.mirror.Members[n.cfg.Host].Version)}},
		Then: []api.Change{put},
	}
	n.state.TxnHighPriority(t, func(r state.Result) {
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
	return l == nil || n.mirror.Members[l.Host].Record.LeaseID != l.LeaseID
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
		put := state.Put(state.KeyLeader, state.Leader{Host: n.cfg.Host, LeaseID: tenure, Term: term})
		put.LeaseID = uint64(tenure)
		t := api.Txn{
			If: []api.Condition{{Key: state.KeyLeader, Version: uint64(n.mirror.Leader.Version)}, {Key: state.KeyTerm, Version: uint64(n.mirror.Term.Version)}},
			Then: []api.Change{
				state.Put(state.KeyTerm, state.TermCounter{Last: term}),
				put,
			},
		}
		n.state.TxnHighPriority(t, func(r state.Result) {
			if r.Outcome == state.LeaseExpired && n.tenure == tenure {
				n.become(outside)
			}
			n.mirror.ConfirmFresh(func(bool) { n.electing = false })
		})
	})
}
