package node

import (
	"encoding/json"
	"errors"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
)

// Answer is what a request is answered with.
type Answer struct {
	Status     int
	Body       any
	RetryAfter time.Duration
	// Due is when the answer is too old to be sent, for one that may change (0: it may
	// not). A process can stand still between making and sending it, while another
	// controller tells the user something newer.
	Due core.Time
}

// proofTime is how long an answer that may change can be sent.
const proofTime = time.Second

// known answers with what the mirror, proven up to date, shows of a job.
func (n *Node) known(id core.JobID, e *state.JobEntry) Answer {
	a := Answer{Status: 200, Body: n.status(id, e)}
	if !e.Over() {
		a.Due = n.loop.Now().Add(proofTime)
	}
	return a
}

// Reply hands over the answer, exactly once.
type Reply func(Answer)

const (
	createWait  = 3 * time.Second
	maxCreates  = 200
	createBytes = 48 << 10
)

func refuse(status int, why, field string) Answer {
	return Answer{Status: status, Body: api.Error{Error: why, Field: field}}
}

// later asks the user to come back.
func (n *Node) later(why string) Answer {
	return Answer{Status: 503, Body: api.Error{Error: why}, RetryAfter: n.cfg.Operator.RetryAfter}
}

// Ready answers health checks.
func (n *Node) Ready(reply Reply) {
	switch {
	case !n.mirror.Complete() || len(n.types()) == 0:
		reply(n.later("starting"))
		return
	case n.cutOff():
		reply(n.later("cut off from the state service, which others reach"))
		return
	}
	reply(Answer{Status: 200, Body: struct{}{}})
}

// status describes a job as the mirror shows it.
func (n *Node) status(id core.JobID, e *state.JobEntry) api.JobStatus {
	s := api.JobStatus{ID: string(id)}
	switch {
	case e.Phase == state.JobDone:
		s.Phase, s.Done = api.PhaseDone, e.Tasks
	case e.Cancelled():
		s.Phase = api.PhaseCancelled
	default:
		s.Phase, s.Done = api.PhaseQueued, min(e.Done.Len(), e.Tasks-1)
		s.Running = n.running(id)
		if s.Running > 0 {
			s.Phase = api.PhaseRunning
		}
	}
	return s
}

// Get answers a poll. What is over stays as it is; anything else is answered
// only once the mirror is proven to be up to date.
func (n *Node) Get(id core.JobID, reply Reply) {
	if e := n.mirror.Jobs[id]; e != nil && e.Over() {
		reply(n.known(id, e))
		return
	}
	if !api.ValidJobID(string(id)) {
		reply(refuse(404, "no such job", ""))
		return
	}
	n.fresh(reply, func() {
		if e := n.mirror.Jobs[id]; e != nil {
			reply(n.known(id, e))
			return
		}
		reply(refuse(404, "no such job", ""))
	})
}

// fresh goes on once the mirror is proven up to date, or refuses.
func (n *Node) fresh(reply Reply, then func()) {
	if !n.mirror.Complete() {
		reply(n.later("starting"))
		return
	}
	n.mirror.Fresh(func(ok bool) {
		if !ok {
			reply(n.later("the state service does not answer"))
			return
		}
		then()
	})
}

// create is a submission on its way to the state service.
type create struct {
	id  core.JobID
	raw []byte
	due core.Time
	// after: it depends on others, and may have been cancelled with one of them by now.
	after bool
	reply Reply
}

// unknown names a job that a submission depends on and that the mirror does not show.
func (n *Node) unknown(j *api.Job) string {
	for _, id := range j.Dependencies {
		if n.mirror.Jobs[core.JobID(id)] == nil {
			return id
		}
	}
	return ""
}

// Submit takes a job.
func (n *Node) Submit(body []byte, reply Reply) {
	j, err := api.ParseJob(body)
	id := core.JobID(j.ID)
	if err != nil {
		n.refuseMalformed(id, err, reply)
		return
	}
	if !n.mirror.Complete() || len(n.types()) == 0 {
		reply(n.later("machine types are not known yet"))
		return
	}
	if n.mirror.Jobs[id] != nil {
		n.Get(id, reply)
		return
	}
	if why, field := n.impossible(&j); why != "" {
		n.unlessKnown(id, reply, func() { reply(refuse(422, why, field)) })
		return
	}
	if n.unknown(&j) != "" {
		n.unlessKnown(id, reply, func() {
			if before := n.unknown(&j); before != "" {
				reply(refuse(422, "no such job: "+before, api.FieldDependencies))
				return
			}
			n.Submit(body, reply)
		})
		return
	}
	n.trim(&j)
	raw, err := json.Marshal(state.Job{
		Phase: state.JobAccepted, Tasks: j.Tasks, At: n.loop.Wall(), Team: j.Team, CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, Spec: &j,
	})
	if err != nil || len(raw) > n.cfg.StateLim.ValueBytes {
		field := ""
		if len(j.Dependencies) > 0 {
			field = api.FieldDependencies
		}
		n.unlessKnown(id, reply, func() { reply(refuse(400, "job description too large", field)) })
		return
	}
	if len(n.creates) >= maxCreates {
		reply(Answer{Status: 429, Body: api.Error{Error: "too many submissions"}, RetryAfter: n.cfg.Operator.RetryAfter})
		return
	}
	n.creates = append(n.creates, &create{id, raw, n.loop.Now().Add(createWait), len(j.Dependencies) > 0, reply})
	n.commit()
}

// unlessKnown answers with the state of a job that has been accepted, and goes on if the
// mirror is proven to show none: what is refused for good may have been accepted by another
// node a moment ago.
func (n *Node) unlessKnown(id core.JobID, reply Reply, then func()) {
	n.fresh(reply, func() {
		if e := n.mirror.Jobs[id]; e != nil {
			reply(n.known(id, e))
			return
		}
		then()
	})
}

// refuseMalformed answers a submission that cannot be read. If it repeats one that was
// accepted, that one's state is the answer, whatever the repeat carries: a refusal would
// tell its user that the job is not known.
func (n *Node) refuseMalformed(id core.JobID, err error, reply Reply) {
	refusal := refuse(400, err.Error(), "")
	var fieldError *api.FieldError
	if errors.As(err, &fieldError) {
		refusal = refuse(400, fieldError.Problem, fieldError.Field)
	}
	if id == "" {
		reply(refusal)
		return
	}
	n.unlessKnown(id, reply, func() { reply(refusal) })
}

// trim keeps of the allowed types those that exist, so that the record stays small.
func (n *Node) trim(j *api.Job) {
	if j.Types == nil {
		return
	}
	kept := []string{}
	seen := map[string]bool{}
	for _, t := range j.Types {
		if _, ok := n.types()[t]; ok && !seen[t] {
			kept, seen[t] = append(kept, t), true
		}
	}
	j.Types = kept
}

// impossible tells why a job can never run, or nothing.
func (n *Node) impossible(j *api.Job) (why, field string) {
	need := placement.Need{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
	p := placement.Job{Types: j.Types}
	fits := false
	for name, t := range n.types() {
		for _, zone := range t.Zones {
			if (j.Zone == nil || *j.Zone == zone) && p.Allows(name, zone, false) && need.Fits(placement.Room(t)) {
				fits = true
			}
		}
	}
	tasks := 1.0
	if j.Form == api.FormGang {
		tasks = float64(j.Tasks)
	}
	for _, t := range n.cfg.Teams {
		if t.Name != j.Team {
			continue
		}
		switch {
		case !fits:
			return "a task fits no allowed machine type", "cpus"
		case need.CPUs*tasks > t.CPUsMax+1e-9 || need.GPUs*tasks > t.GPUsMax+1e-9:
			return "more than the team may use", "cpus"
		}
		return "", ""
	}
	return "unknown team", "crew"
}

// commit writes waiting submissions, many in one transaction, one transaction
// at a time.
func (n *Node) commit() {
	if n.creating || len(n.creates) == 0 {
		return
	}
	t := api.Txn{}
	size := 0
	var batch []*create
	most := n.state.Affordable(n.cfg.StateLim.TxnOps)
	seen := map[core.JobID]bool{}
	for len(n.creates) > 0 && len(batch) < most {
		c := n.creates[0]
		if size += len(c.raw) + 200; size > createBytes && len(batch) > 0 || seen[c.id] {
			break
		}
		seen[c.id] = true
		n.creates = n.creates[1:]
		batch = append(batch, c)
		t.If = append(t.If, api.Condition{Key: state.KeyJob(c.id)})
		t.Then = append(t.Then, api.Change{Set: state.KeyJob(c.id), Value: c.raw})
	}
	n.creating = true
	n.state.Txn(t, func(r state.Result) {
		n.creating = false
		switch r.Outcome {
		case state.Applied:
			for _, c := range batch {
				if !c.after {
					c.reply(Answer{Status: 201, Body: api.JobStatus{ID: string(c.id), Phase: api.PhaseQueued}})
					continue
				}
				n.mirror.Await(r.Revision, func(ok bool) {
					if e := n.mirror.Jobs[c.id]; ok && e != nil {
						created := n.known(c.id, e)
						created.Status = 201
						c.reply(created)
						return
					}
					c.reply(n.later("the state service does not answer"))
				})
			}
		case state.Conflict, state.Unknown:
			// Some are there already, or all may be: look before deciding.
			n.settle(batch)
		default:
			for _, c := range batch {
				c.reply(n.later("the state service does not take changes"))
			}
		}
		n.commit()
	})
}

// settle looks which of a batch exist, and tries the others again.
func (n *Node) settle(batch []*create) {
	n.mirror.Fresh(func(ok bool) {
		for _, c := range batch {
			e := n.mirror.Jobs[c.id]
			switch {
			case ok && e != nil:
				c.reply(n.known(c.id, e))
			case !ok || n.loop.Now() > c.due:
				c.reply(n.later("the state service does not answer"))
			default:
				n.creates = append(n.creates, c)
			}
		}
		n.commit()
	})
}

// Cancel cancels a job.
func (n *Node) Cancel(id core.JobID, reply Reply) { n.cancel(id, reply, 0) }

func (n *Node) cancel(id core.JobID, reply Reply, tries int) {
	if !api.ValidJobID(string(id)) {
		reply(refuse(404, "no such job", ""))
		return
	}
	if tries >= 6 {
		reply(n.later("the job keeps changing"))
		return
	}
	n.fresh(reply, func() {
		e := n.mirror.Jobs[id]
		switch {
		case e == nil:
			reply(refuse(404, "no such job", ""))
			return
		case e.Over():
			reply(n.known(id, e))
			return
		}
		t := api.Txn{
			If:   []api.Condition{{Key: state.KeyJob(id), Version: uint64(e.Version)}},
			Then: []api.Change{state.Put(state.KeyJob(id), e.Job.End(state.JobCancelled, 0))},
		}
		n.state.Txn(t, func(r state.Result) {
			switch r.Outcome {
			case state.Applied:
				n.announceCancellation(id)
				reply(Answer{Status: 200, Body: api.JobStatus{ID: string(id), Phase: api.PhaseCancelled}})
			case state.Refused, state.NoTenure:
				reply(n.later("the state service does not take changes"))
			default:
				n.cancel(id, reply, tries+1)
			}
		})
	})
}

// Hello answers a worker's report.
func (n *Node) Hello(body []byte, reply Reply) {
	var rep api.Report
	if api.Decode(body, &rep) != nil || rep.Machine == "" || rep.Season == 0 || rep.Addr == "" || rep.Type == "" {
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
			n.leader.Saw(&rep)
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
	h.Report(&rep, func(a api.ReportAnswer, ok bool) {
		if ok {
			reply(Answer{Status: 200, Body: a})
			return
		}
		n.park(&rep, reply)
	})
}

// parked is a report from a machine that belongs to no block at the moment.
type parked struct {
	rep   *api.Report
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
	n.parked = append(n.parked, parked{rep, now.Add(n.cfg.Workers.Hold()), now.Add(doubtTime), reply})
	n.loop.After(doubtTime, n.unpark)
	n.loop.After(n.cfg.Workers.Hold(), n.unpark)
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
			n.holders[num].Report(p.rep, func(a api.ReportAnswer, ok bool) {
				if ok {
					p.reply(Answer{Status: 200, Body: a})
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
	reply(Answer{Status: 421, Body: api.Redirect{Steward: string(to)}})
}
