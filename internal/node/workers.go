package node

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// HandleReport handles a worker's report.
func (n *Node) HandleReport(body []byte, reply Reply) {
	var rep api.Report
	if api.Decode(body, &rep) != nil || rep.Machine == "" || rep.Session == 0 || rep.Addr == "" || rep.Type == "" {
		reply(errorResponse(400, "not a report", ""))
		return
	}
	if !n.mirror.Complete() {
		reply(n.retryLater("starting"))
		return
	}
	id := core.MachineID(rep.Machine)
	num, ok := n.mirror.MachineBlock(id)
	if !ok {
		if n.leader != nil {
			n.leader.NoteUnassigned(&rep)
		}
		n.deferReport(&rep, reply)
		return
	}
	h := n.holders[num]
	if h == nil {
		if n.looksIsolated(num) || n.holderSuspected(num) {
			n.noteMisrouted(&rep, num)
			// If redirected to the holder, the worker would lose another few seconds of its
			// lease, and the block may be ours in a moment. Some reports arrive just before their
			// holder looks isolated.
			n.deferReport(&rep, reply)
			return
		}
		n.redirect(id, reply)
		return
	}
	h.HandleReport(&rep, func(a api.ReportResponse, ok bool) {
		if ok {
			reply(Response{Status: 200, Body: a})
			return
		}
		n.deferReport(&rep, reply)
	})
}

// deferredReport is a report from a machine that has no block at the moment, or whose
// holder may be about to be replaced.
type deferredReport struct {
	rep             *api.Report
	since           core.Time
	deadline        core.Time // until when to wait at most
	suspectDeadline core.Time // until when to wait if the holder is only suspected (see holderSuspected)
	reply           Reply
}

const (
	maxDeferred = 1000
	// suspectWait is how long to wait for the replacement of a holder that is only suspected
	// (see holderSuspected).
	suspectWait = 1500 * time.Millisecond
)

// deferReport delays the response to a report until the holder of the machine's block is
// known.
func (n *Node) deferReport(rep *api.Report, reply Reply) {
	if len(n.deferred) >= maxDeferred {
		n.redirect(core.MachineID(rep.Machine), reply)
		return
	}
	now := n.loop.Now()
	n.deferred = append(n.deferred, deferredReport{rep, now, now.Add(n.cfg.Workers.MaxReportHold()), now.Add(suspectWait), reply})
	n.log.Debug("report deferred until the holder of its machine is known", "machine", rep.Machine, "session", rep.Session, "sequence", rep.Sequence)
	n.loop.After(suspectWait, n.retryDeferred)
	n.loop.After(n.cfg.Workers.MaxReportHold(), n.retryDeferred)
	n.retryDeferred()
}

// retryDeferred passes deferred reports to the holders of this node. It redirects those whose
// time is over, those whose machine has a holder elsewhere that is not suspected, and those of
// machines that no record contains, unless this node is the leader.
func (n *Node) retryDeferred() {
	now := n.loop.Now()
	waiting := n.deferred
	n.deferred = nil
	for _, p := range waiting {
		id := core.MachineID(p.rep.Machine)
		num, ok := n.mirror.MachineBlock(id)
		switch {
		case !ok && now < p.deadline && (n.leader != nil || n.mirror.Inventory(state.PoolInventory).VersionOf(id) != 0):
			n.deferred = append(n.deferred, p)
		case ok && n.holders[num] != nil:
			n.log.Debug("deferred report passed to the holder of its machine", "machine", id, "block", num, "session", p.rep.Session, "sequence", p.rep.Sequence, "waited", now.Sub(p.since).String())
			n.holders[num].HandleReport(p.rep, func(a api.ReportResponse, ok bool) {
				if ok {
					p.reply(Response{Status: 200, Body: a})
					return
				}
				n.redirect(id, p.reply)
			})
		case ok && now < p.deadline && n.looksIsolated(num), ok && now < p.suspectDeadline && n.holderSuspected(num):
			n.deferred = append(n.deferred, p)
		default:
			n.redirect(id, p.reply)
		}
	}
}

// redirect tells a worker where to report: to the holder of its machine's block, or to the
// leader if the machine has no block.
func (n *Node) redirect(id core.MachineID, reply Reply) {
	to := core.Host("")
	if num, ok := n.mirror.MachineBlock(id); ok {
		to = n.mirror.Blocks[num].Record.Holder
	} else if l := n.mirror.Leader.Record; l != nil {
		to = l.Host
	}
	if to == n.cfg.Host {
		to = ""
	}
	reply(Response{Status: 421, Body: api.Redirect{Holder: string(to)}})
}
