package node

import (
	"cmp"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/peer"
)

const (
	beatEvery   = 500 * time.Millisecond
	beatValid   = 2500 * time.Millisecond
	contactLost = 4 * time.Second
	noContact   = time.Hour
)

// heard is the last beat of a peer.
type heard struct {
	peer.Beat
	at core.Time
}

// beat tells the other controllers how this one stands.
func (n *Node) beat() {
	n.loop.After(beatEvery, n.beat)
	n.shareChanges()
	b := peer.Beat{Host: n.cfg.Host, Tenure: n.tenure, Contact: n.contact(), Changes: uint64(10 * n.state.Usage())}
	for _, num := range core.Keys(n.holders) {
		b.Blocks = append(b.Blocks, n.holders[num].Hint())
		b.Running = append(b.Running, n.holders[num].RunningHints()...)
		b.Failing = append(b.Failing, n.holders[num].Failing()...)
	}
	// If they are too many for a frame, those with the most tasks matter most.
	slices.SortStableFunc(b.Running, func(x, y peer.RunningHint) int { return cmp.Compare(y.Tasks, x.Tasks) })
	b.Misrouted = n.misroutedHints()
	n.broadcast(peer.Encode(b))
	n.repeatCancellation()
}

// confirmedCancellation is a cancellation that this node has made durable.
type confirmedCancellation struct {
	id core.JobID
	at core.Time
}

const (
	// repeatTime is how long peers are told of a cancellation again.
	repeatTime      = 3 * time.Second
	maxCancellation = 100
)

// announceCancellation tells the other controllers at once that a job is cancelled, durably. A
// holder that the state service alone refuses would learn of it only afterwards, start
// tasks of the job, and let all its workers go in time for those that it must not keep.
// It is still a hint: without it, that time is what bounds the tasks.
func (n *Node) announceCancellation(id core.JobID) {
	if len(n.cancellations) < maxCancellation {
		n.cancellations = append(n.cancellations, confirmedCancellation{id, n.loop.Now()})
	}
	n.broadcast(peer.EncodeCancelled([]core.JobID{id}))
	for _, h := range n.holders {
		h.Cancelled(id)
	}
}

func (n *Node) repeatCancellation() {
	now := n.loop.Now()
	n.cancellations = slices.DeleteFunc(n.cancellations, func(c confirmedCancellation) bool { return now.Sub(c.at) > repeatTime })
	if len(n.cancellations) == 0 {
		return
	}
	var ids []core.JobID
	for _, c := range n.cancellations {
		ids = append(ids, c.id)
	}
	n.broadcast(peer.EncodeCancelled(ids))
}

// shareChanges takes up what the others leave of the rate of changes.
func (n *Node) shareChanges() {
	var others []float64
	for _, p := range n.cfg.Peers {
		used := -1.0
		if h, ok := n.peers[p.Host]; ok && n.loop.Now().Sub(h.at) < beatValid {
			used = float64(h.Changes) / 10
		}
		others = append(others, used)
	}
	n.state.Borrow(others)
}

// contact is how long ago the mirror was proven up to date.
func (n *Node) contact() time.Duration {
	at, ok := n.mirror.Contact()
	if !ok {
		return noContact
	}
	return n.loop.Now().Sub(at)
}

// Peer takes in a frame from another controller.
func (n *Node) Peer(frame []byte) {
	if ids, ok := peer.DecodeCancelled(frame); ok {
		for _, id := range ids {
			for _, h := range n.holders {
				h.Cancelled(id)
			}
		}
		return
	}
	b, ok, err := peer.Decode(frame)
	if err != nil || !ok {
		return
	}
	for _, p := range n.cfg.Peers {
		if p.Host == b.Host {
			n.peers[b.Host] = heard{b, n.loop.Now()}
		}
	}
}

// cutOff tells whether this node cannot reach the state service while another
// one can. Users are better served there; if nobody can, nobody steps aside.
func (n *Node) cutOff() bool {
	if n.contact() < contactLost {
		return false
	}
	now := n.loop.Now()
	for _, h := range n.peers {
		if now.Sub(h.at) < beatValid && h.Contact+now.Sub(h.at) < contactLost {
			return true
		}
	}
	return false
}

// misroutedReport is a report from a machine of another holder's block.
type misroutedReport struct {
	block   int
	granted core.Term
	at      core.Time
}

// grantSeen is when this node learnt of the grant of a block.
type grantSeen struct {
	granted core.Term
	at      core.Time
}

// settleTime is how long a new holder has to find its machines.
const settleTime = 5 * time.Second

const (
	// misroutedTime is how long a misrouted report counts: a worker that cannot reach
	// its holder comes by about that often.
	misroutedTime = 8 * time.Second
	maxProbes     = 100
)

// noteMisrouted remembers a report that belongs to another holder, once the machine
// has answered a question of ours. One that nothing reaches sends its reports to
// each controller in turn: its block was moved from holder to holder, and none
// held it for long enough to be sure that the machine's lease had run out.
func (n *Node) noteMisrouted(rep *api.Report, num int) {
	id := core.MachineID(rep.Machine)
	granted := n.mirror.Blocks[num].Record.Term
	n.prober.Ask(rep, func() { n.misrouted[id] = misroutedReport{num, granted, n.loop.Now()} })
}

func (n *Node) misroutedHints() []peer.MisroutedHint {
	now := n.loop.Now()
	count := map[int]int{}
	for id, s := range n.misrouted {
		b, ok := n.mirror.Blocks[s.block]
		if now.Sub(s.at) > misroutedTime || !ok || b.Record.Term != s.granted {
			delete(n.misrouted, id)
			continue
		}
		count[s.block]++
	}
	var out []peer.MisroutedHint
	for _, num := range core.Keys(count) {
		out = append(out, peer.MisroutedHint{Number: num, Machines: count[num]})
	}
	return out
}

// hint returns what a block's holder last told of it; ok is false if it has not
// told anything lately.
func (n *Node) hint(num int, holder core.Host) (peer.BlockHint, bool) {
	if h := n.holders[num]; h != nil {
		return h.Hint(), true
	}
	p, ok := n.peers[holder]
	if !ok || n.loop.Now().Sub(p.at) > beatValid {
		return peer.BlockHint{}, false
	}
	for _, b := range p.Blocks {
		if b.Number == num {
			return b, true
		}
	}
	return peer.BlockHint{}, false
}

// settled tells whether a block's holder says that it places.
func (n *Node) settled(num int) bool {
	b, ok := n.mirror.Blocks[num]
	if !ok {
		return false
	}
	hint, ok := n.hint(num, b.Record.Holder)
	return ok && hint.Granted == b.Record.Term && hint.Placing
}

// failing lists the jobs that their holders try one task at a time.
func (n *Node) failing() map[core.JobID]bool {
	out := map[core.JobID]bool{}
	for _, h := range n.holders {
		for _, id := range h.Failing() {
			out[id] = true
		}
	}
	for _, p := range n.peers {
		if n.loop.Now().Sub(p.at) < beatValid {
			for _, id := range p.Failing {
				out[id] = true
			}
		}
	}
	return out
}

// looksIsolated tells whether a block's holder seems not to hear most of the
// block's machines, though it may be well otherwise.
func (n *Node) looksIsolated(num int) bool {
	b, ok := n.mirror.Blocks[num]
	if !ok {
		return false
	}
	if g := n.grants[num]; g.granted != b.Record.Term {
		n.grants[num] = grantSeen{b.Record.Term, n.loop.Now()}
		return false
	} else if n.loop.Now().Sub(g.at) < settleTime {
		return false
	}
	hint, ok := n.hint(num, b.Record.Holder)
	return ok && hint.Silent > 0 && hint.Silent > hint.Live || !ok && n.mirror.Inventory(num).Len() > 0
}

// doubtful tells whether a block's holder has told nothing for a moment, or no longer
// hears some of the block's machines.
func (n *Node) doubtful(num int) bool {
	b, ok := n.mirror.Blocks[num]
	if !ok {
		return false
	}
	p, heard := n.peers[b.Record.Holder]
	hint, ok := n.hint(num, b.Record.Holder)
	return ok && hint.Granted == b.Record.Term && hint.Silent > 0 || heard && n.loop.Now().Sub(p.at) > 2*beatEvery+beatEvery/2
}

// isolated tells which controller should hold a block instead of its holder: one
// to which at least half of the machines come that the holder does not hear.
func (n *Node) isolated(num int) (core.Host, bool) {
	b, ok := n.mirror.Blocks[num]
	if !ok || !n.looksIsolated(num) {
		return "", false
	}
	need := 1
	if hint, ok := n.hint(num, b.Record.Holder); ok {
		need = max(1, (hint.Silent+1)/2)
	}
	best, most := core.Host(""), 0
	look := func(h core.Host, misrouted []peer.MisroutedHint) {
		for _, s := range misrouted {
			if s.Number == num && s.Machines > most && h != b.Record.Holder {
				best, most = h, s.Machines
			}
		}
	}
	now := n.loop.Now()
	look(n.cfg.Host, n.misroutedHints())
	for _, host := range core.Keys(n.peers) {
		if p := n.peers[host]; now.Sub(p.at) < beatValid && p.Contact < contactLost {
			look(host, p.Misrouted)
		}
	}
	return best, most >= need
}

// idle lists machines of blocks on which their holders have nothing.
func (n *Node) idle() map[core.MachineID]bool {
	out := map[core.MachineID]bool{}
	for _, num := range core.Keys(n.mirror.Blocks) {
		if hint, ok := n.hint(num, n.mirror.Blocks[num].Record.Holder); ok {
			for _, id := range hint.Idle {
				out[id] = true
			}
		}
	}
	return out
}

// allRunning counts the tasks that run, by job, as far as is known here.
func (n *Node) allRunning() map[core.JobID]int {
	out := map[core.JobID]int{}
	add := func(hints []peer.RunningHint) {
		for _, r := range hints {
			out[r.Job] += r.Tasks
		}
	}
	for _, h := range n.holders {
		add(h.RunningHints())
	}
	for _, p := range n.peers {
		if n.loop.Now().Sub(p.at) <= beatValid {
			add(p.Running)
		}
	}
	return out
}

// running counts the tasks of a job that run, as far as is known here.
func (n *Node) running(id core.JobID) (sum int) {
	for _, h := range n.holders {
		sum += h.Running(id)
	}
	now := n.loop.Now()
	for _, h := range n.peers {
		if now.Sub(h.at) > beatValid {
			continue
		}
		for _, r := range h.Running {
			if r.Job == id {
				sum += r.Tasks
			}
		}
	}
	return sum
}
