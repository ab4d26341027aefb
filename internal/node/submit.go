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
	submitTimeout  = 3 * time.Second // until a submission is no longer retried
	maxSubmissions = 200             // queued
	maxBatchBytes  = 48 << 10        // of one transaction, estimated
)

// submission is a job that is to be written to the state service.
type submission struct {
	id       core.JobID
	record   []byte    // as JSON
	deadline core.Time // until when it is retried
	// dependencies is how many jobs it depends on. It may have been cancelled with one of them
	// before the submission is confirmed.
	dependencies int
	reply        Reply
}

// unknownDependency returns a job that a submission depends on and that the mirror does not
// show, or an empty string.
func (n *Node) unknownDependency(j *api.Job) string {
	for _, id := range j.Dependencies {
		if n.mirror.Jobs[core.JobID(id)] == nil {
			return id
		}
	}
	return ""
}

// Submit handles the submission of a job.
func (n *Node) Submit(body []byte, reply Reply) {
	j, err := api.ParseJob(body)
	id := core.JobID(j.ID)
	if err != nil {
		n.rejectMalformed(id, err, reply)
		return
	}
	if !n.mirror.Complete() || len(n.types()) == 0 {
		reply(n.retryLater("machine types are not known yet"))
		return
	}
	if n.mirror.Jobs[id] != nil {
		n.GetJob(id, reply)
		return
	}
	if message, field := n.infeasible(&j); message != "" {
		n.unlessAccepted(id, reply, func() { reply(errorResponse(422, message, field)) })
		return
	}
	if n.unknownDependency(&j) != "" {
		n.unlessAccepted(id, reply, func() {
			if missing := n.unknownDependency(&j); missing != "" {
				reply(errorResponse(422, "no such job: "+missing, api.FieldDependencies))
				return
			}
			n.Submit(body, reply)
		})
		return
	}
	if n.linkLimitReached(len(j.Dependencies)) {
		n.log.Info("submission put off: too many dependencies between unfinished jobs", "job", id, "dependencies", len(j.Dependencies), "links", n.mirror.Links())
		reply(Response{Status: 429, Body: api.Error{Error: "too many dependencies between unfinished jobs", Field: api.FieldDependencies}, RetryAfter: n.cfg.Operator.RetryAfter})
		return
	}
	n.pruneTypes(&j)
	raw, err := json.Marshal(state.Job{
		Phase: state.JobAccepted, Tasks: j.Tasks, AcceptedAt: n.loop.WallNow(), Team: j.Team, CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, Spec: &j,
	})
	if err != nil || len(raw) > n.cfg.StateLimits.ValueBytes {
		field := ""
		if len(j.Dependencies) > 0 {
			field = api.FieldDependencies
		}
		n.unlessAccepted(id, reply, func() { reply(errorResponse(400, "job description too large", field)) })
		return
	}
	if len(n.submissions) >= maxSubmissions {
		reply(Response{Status: 429, Body: api.Error{Error: "too many submissions"}, RetryAfter: n.cfg.Operator.RetryAfter})
		return
	}
	n.submissions = append(n.submissions, &submission{id, raw, n.loop.Now().Add(submitTimeout), len(j.Dependencies), reply})
	n.commitSubmissions()
}

const (
	// linkBytes is the memory that a link between two unfinished jobs takes, in bytes.
	linkBytes = 24
	// linkMemoryShare is the part of a controller's memory that such links may take.
	linkMemoryShare = 0.25
	// fewDependencies is the largest number of dependencies of a job that may use the last quarter of
	// the links, so that one large pipeline does not keep all others out.
	fewDependencies = 32
)

// linkLimitReached reports whether a job with so many dependencies has to wait until others are finished.
// Every controller holds the links of all accepted jobs, and does so again after each restart: jobs
// accepted beyond its memory would end it for good.
func (n *Node) linkLimitReached(dependencies int) bool {
	limit := int(linkMemoryShare * float64(n.cfg.Limits.MemoryBytes) / linkBytes)
	if dependencies > fewDependencies {
		limit -= limit / 4
	}
	return dependencies > 0 && n.mirror.Links()+n.queuedLinks()+dependencies > limit
}

// queuedLinks returns the number of dependencies of the submissions that are not yet sent to the state
// service.
func (n *Node) queuedLinks() (links int) {
	for _, s := range n.submissions {
		links += s.dependencies
	}
	return links
}

// unlessAccepted replies with the status of a job that has been accepted, and calls then if
// the mirror is confirmed not to show one: another node may just have accepted a job that
// would be refused for good here.
func (n *Node) unlessAccepted(id core.JobID, reply Reply, then func()) {
	n.whenFresh(reply, func() {
		if e := n.mirror.Jobs[id]; e != nil {
			n.replyStatus(200, id, e, reply)
			return
		}
		then()
	})
}

// rejectMalformed replies to a submission that cannot be parsed. If it repeats the ID of an
// accepted job, the reply is the status of that job, whatever else the repetition contains:
// a refusal would tell the user that the job is not known.
func (n *Node) rejectMalformed(id core.JobID, err error, reply Reply) {
	refusal := errorResponse(400, err.Error(), "")
	var fieldError *api.FieldError
	if errors.As(err, &fieldError) {
		refusal = errorResponse(400, fieldError.Problem, fieldError.Field)
	}
	if id == "" {
		reply(refusal)
		return
	}
	n.unlessAccepted(id, reply, func() { reply(refusal) })
}

// pruneTypes removes unknown and repeated types from the allowed types, so that the record
// stays small.
func (n *Node) pruneTypes(j *api.Job) {
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

// infeasible returns why a job can never run, or an empty string, and the field at fault.
func (n *Node) infeasible(j *api.Job) (message, field string) {
	perTask := placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
	p := placement.Job{Types: j.Types}
	fits := false
	for name, t := range n.types() {
		for _, zone := range t.Zones {
			if (j.Zone == nil || *j.Zone == zone) && p.Allows(name, zone, false) && perTask.Fits(placement.CapacityOf(t)) {
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
		case perTask.CPUs*tasks > t.CPUsMax+1e-9 || perTask.GPUs*tasks > t.GPUsMax+1e-9:
			return "more than the team may use", "cpus"
		}
		return "", ""
	}
	return "unknown team", "crew"
}

// commitSubmissions writes the pending submissions, many per transaction, with one
// transaction in flight at a time. A repeated job ID waits for the next transaction,
// which conflicts with the record of the first if that was written.
func (n *Node) commitSubmissions() {
	if n.committing || len(n.submissions) == 0 {
		return
	}
	t := api.Txn{}
	size := 0
	var batch []*submission
	maxOps := n.state.WriteBudget(n.cfg.StateLimits.TxnOps)
	seen := map[core.JobID]bool{}
	for len(n.submissions) > 0 && len(batch) < maxOps {
		c := n.submissions[0]
		if size += len(c.record) + 200; size > maxBatchBytes && len(batch) > 0 || seen[c.id] {
			break
		}
		seen[c.id] = true
		n.submissions = n.submissions[1:]
		batch = append(batch, c)
		t.If = append(t.If, api.Condition{Key: state.KeyJob(c.id)})
		t.Then = append(t.Then, api.Change{Set: state.KeyJob(c.id), Value: c.record})
	}
	n.committing = true
	n.state.Txn(t, func(r state.Result) {
		n.committing = false
		switch r.Outcome {
		case state.Applied:
			for _, c := range batch {
				if c.dependencies == 0 {
					c.reply(Response{Status: 201, Body: api.JobStatus{ID: string(c.id), Phase: api.PhaseQueued}})
					continue
				}
				n.mirror.WaitFor(r.Revision, func(ok bool) {
					if e := n.mirror.Jobs[c.id]; ok && e != nil {
						n.replyStatus(201, c.id, e, c.reply)
						return
					}
					c.reply(n.retryLater("the state service does not answer"))
				})
			}
		case state.Conflict, state.Unknown:
			// Some or all of the jobs may already exist: check before deciding.
			n.resolveBatch(batch)
		default:
			for _, c := range batch {
				c.reply(n.retryLater("the state service does not take changes"))
			}
		}
		n.commitSubmissions()
	})
}

// resolveBatch replies for the jobs of a batch that exist, and queues the others again
// until they time out.
func (n *Node) resolveBatch(batch []*submission) {
	n.mirror.ConfirmFresh(func(ok bool) {
		for _, c := range batch {
			e := n.mirror.Jobs[c.id]
			switch {
			case ok && e != nil:
				n.replyStatus(200, c.id, e, c.reply)
			case !ok || n.loop.Now() > c.deadline:
				c.reply(n.retryLater("the state service does not answer"))
			default:
				n.submissions = append(n.submissions, c)
			}
		}
		n.commitSubmissions()
	})
}
