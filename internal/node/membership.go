package node

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// membership is the status of a node at the state service.
type membership int

const (
	outside membership = iota // has no lease
	joining                   // is obtaining a lease and writing its member key
	member                    // holds a lease
)

func (m membership) String() string { return [...]string{"outside", "joining", "member"}[m] }

// setMembership changes the node's membership. No other code does.
func (n *Node) setMembership(m membership) {
	if m != n.membership {
		n.log.Info("membership changed", "from", n.membership.String(), "to", m.String(), "lease", n.leaseID)
	}
	n.membership = m
	if m == outside {
		n.leaseID = 0
	}
}

// maintainLease obtains the node's lease, and renews it after a quarter of its TTL. A lease
// left over from before a restart is revoked at once, so that its blocks need not wait until
// it expires.
func (n *Node) maintainLease() {
	if !n.mirror.Complete() {
		return
	}
	switch n.membership {
	case outside:
		n.setMembership(joining)
		retry := func() { n.loop.After(300*time.Millisecond, func() { n.setMembership(outside) }) }
		acquire := func() {
			n.state.GrantLease(n.cfg.Operator.LeaseTTL, func(id core.LeaseID) {
				if id == 0 {
					retry()
					return
				}
				n.leaseID, n.renewedAt = id, n.loop.Now()
				n.writeMemberKey(retry)
			})
		}
		old, ok := n.mirror.Members[n.cfg.Host]
		if !ok {
			acquire()
			return
		}
		n.log.Info("revoking the lease of the previous process", "lease", old.Record.LeaseID)
		n.state.RevokeLease(old.Record.LeaseID, func(ok bool) {
			if !ok {
				retry()
				return
			}
			// The mirror must show that the key is deleted before it is written again.
			n.mirror.ConfirmFresh(func(bool) { acquire() })
		})
	case member:
		if n.memberKeyReplaced() {
			n.log.Info("member key belongs to another lease; joining again", "lease", n.leaseID)
			n.state.RevokeLease(n.leaseID, func(bool) {})
			n.setMembership(outside)
			return
		}
		if n.renewing || n.loop.Now().Sub(n.renewedAt) < n.cfg.Operator.LeaseTTL/4 {
			return
		}
		n.renewing = true
		sentAt, leaseID := n.loop.Now(), n.leaseID
		n.state.RenewLease(leaseID, func(status int) {
			n.renewing = false
			switch {
			case n.leaseID != leaseID:
			case status >= 200 && status < 300:
				n.renewedAt = sentAt
			case status == 404:
				n.log.Info("lease expired", "lease", n.leaseID)
				n.setMembership(outside)
			}
		})
	}
}

// memberKeyReplaced reports whether the member key names another lease than ours, though
// ours was written. A registration under an earlier lease, applied late, had replaced it:
// the node kept renewing its own lease, no other node counted it as live, and as the leader
// it was deposed by all of them at once.
func (n *Node) memberKeyReplaced() bool {
	return n.mirror.HasReached(n.registeredAt) && n.mirror.Members[n.cfg.Host].Record.LeaseID != n.leaseID
}

// writeMemberKey writes the member key under the new lease. It calls retry if that fails.
func (n *Node) writeMemberKey(retry func()) {
	leaseID := n.leaseID
	put := state.Put(state.KeyMember(n.cfg.Host), state.Member{Host: n.cfg.Host, LeaseID: leaseID})
	put.LeaseID = uint64(leaseID)
	t := api.Txn{
		If:   []api.Condition{{Key: put.Set, Version: uint64(n.mirror.Members[n.cfg.Host].Version)}},
		Then: []api.Change{put},
	}
	n.state.TxnHighPriority(t, func(r state.Result) {
		if n.leaseID != leaseID || n.membership != joining {
			// The lease was given up in the meantime. Without this check a node took itself
			// for a member without a lease, and was elected under a leader key that no
			// lease expires.
			return
		}
		if r.Outcome != state.Applied {
			retry()
			return
		}
		n.registeredAt = r.Revision
		n.setMembership(member)
	})
}

// leaderless reports whether there is no leader: there is no leader key, or one that has
// outlived its lease, which should not happen and must not last.
func (n *Node) leaderless() bool {
	l := n.mirror.Leader.Record
	return l == nil || n.mirror.Members[l.Host].Record.LeaseID != l.LeaseID
}

// campaign tries to make this node the leader if there is none, after a random delay of up
// to 150 ms.
func (n *Node) campaign() {
	if n.membership != member || n.electing || !n.leaderless() {
		return
	}
	n.electing = true
	n.loop.After(time.Duration(n.rnd.Int64N(int64(150*time.Millisecond))), func() {
		if !n.leaderless() || n.membership != member || n.leaseID == 0 {
			n.electing = false
			return
		}
		leaseID := n.leaseID
		term := n.mirror.Term.Record.Last + 1
		put := state.Put(state.KeyLeader, state.Leader{Host: n.cfg.Host, LeaseID: leaseID, Term: term})
		put.LeaseID = uint64(leaseID)
		t := api.Txn{
			If: []api.Condition{{Key: state.KeyLeader, Version: uint64(n.mirror.Leader.Version)}, {Key: state.KeyTerm, Version: uint64(n.mirror.Term.Version)}},
			Then: []api.Change{
				state.Put(state.KeyTerm, state.TermCounter{Last: term}),
				put,
			},
		}
		n.state.TxnHighPriority(t, func(r state.Result) {
			if r.Outcome == state.LeaseExpired && n.leaseID == leaseID {
				n.setMembership(outside)
			}
			n.mirror.ConfirmFresh(func(bool) { n.electing = false })
		})
	})
}
