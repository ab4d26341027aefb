package node

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// HandleReport answers a worker's report.
func (n *Node) HandleReport(body []byte, reply Reply) {
	var rep api.Report
	if api.Decode(body, &rep) != nil || rep.Machine == "" || rep.Session == 0 || rep.Addr == "" || rep.Type == "" {
		reply(refuse(400, "not a report", ""))
		return
	}
	if !n.mirror.Complete() {
		reply(n.later("starting"))
		return
	}
	id := core.MachineID(rep.Machine)
	num, ok := n.mirror.MachineBlock(id)
	if !ok {
		if n.leader != nil {
			n.leader.NoteUnassigned(&rep)
		}
		n.park(&rep, reply)
		return
	}
	h := n.holders[num]
	if h == nil {
		if n.looksIsolated(num) || n.doubtful(num) {
			n.noteMisrouted(&rep, num)
			// Sent back there, the worker would lose another few seconds of its
			// lease; the block may be ours in a moment. Some come just before
			// their holder looks isolated.
			n.park(&rep, reply)
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
		n.park(&rep, reply)
	})
}

// parked is a report from a machine that belongs to no block at the moment.
type parked struct {
	rep   *api.Report
	since core.Time
	due   core.Time
	doubt core.Time // until when a holder that is only doubtful is waited for
	reply Reply
}

const (
	maxParked = 1000
	doubtTime = 1500 * time.Millisecond
)

// park keeps the answer to a report back until the machine's block is known.
func (n *Node) park(rep *api.Report, reply Reply) {
	if len(n.parked) >= maxParked {
		n.redirect(core.MachineID(rep.Machine), reply)
		return
	}
	now := n.loop.Now()
	n.parked = append(n.parked, parked{rep, now, now.Add(n.cfg.Workers.MaxReportHold()), now.Add(doubtTime), reply})
	n.log.Debug("report waits for its machine's holder", "machine", rep.Machine, "season", rep.Session, "tally", rep.Sequence)
	n.loop.After(doubtTime, n.unpark)
	n.loop.After(n.cfg.Workers.MaxReportHold(), n.unpark)
	n.unpark()
}

// unpark sends parked machines to their holders.
func (n *Node) unpark() {
	now := n.loop.Now()
	waiting := n.parked
	n.parked = nil
	for _, p := range waiting {
		id := core.MachineID(p.rep.Machine)
		num, ok := n.mirror.MachineBlock(id)
		switch {
		case !ok && now < p.due && (n.leader != nil || n.mirror.Inventory(state.PoolInventory).VersionOf(id) != 0):
			n.parked = append(n.parked, p)
		case ok && n.holders[num] != nil:
			n.log.Debug("report is handed to its machine's holder", "machine", id, "block", num, "season", p.rep.Session, "tally", p.rep.Sequence, "waited", now.Sub(p.since).String())
			n.holders[num].HandleReport(p.rep, func(a api.ReportResponse, ok bool) {
				if ok {
					p.reply(Response{Status: 200, Body: a})
					return
				}
				n.redirect(id, p.reply)
			})
		case ok && now < p.due && n.looksIsolated(num), ok && now < p.doubt && n.doubtful(num):
			n.parked = append(n.parked, p)
		default:
			n.redirect(id, p.reply)
		}
	}
}

// redirect tells a worker where its machine belongs: to the holder of its
// block, or to the leader if it has none.
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
