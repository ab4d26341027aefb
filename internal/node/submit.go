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

const (
	createWait  = 3 * time.Second
	maxCreates  = 200
	createBytes = 48 << 10
)

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
		n.GetJob(id, reply)
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
		Phase: state.JobAccepted, Tasks: j.Tasks, AcceptedAt: n.loop.WallNow(), Team: j.Team, CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, Spec: &j,
	})
	if err != nil || len(raw) > n.cfg.StateLimits.ValueBytes {
		field := ""
		if len(j.Dependencies) > 0 {
			field = api.FieldDependencies
		}
		n.unlessKnown(id, reply, func() { reply(refuse(400, "job description too large", field)) })
		return
	}
	if len(n.creates) >= maxCreates {
		reply(Response{Status: 429, Body: api.Error{Error: "too many submissions"}, RetryAfter: n.cfg.Operator.RetryAfter})
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
	need := placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
	p := placement.Job{Types: j.Types}
	fits := false
	for name, t := range n.types() {
		for _, zone := range t.Zones {
			if (j.Zone == nil || *j.Zone == zone) && p.Allows(name, zone, false) && need.Fits(placement.CapacityOf(t)) {
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
	most := n.state.WriteBudget(n.cfg.StateLimits.TxnOps)
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
					c.reply(Response{Status: 201, Body: api.JobStatus{ID: string(c.id), Phase: api.PhaseQueued}})
					continue
				}
				n.mirror.WaitFor(r.Revision, func(ok bool) {
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
	n.mirror.ConfirmFresh(func(ok bool) {
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
