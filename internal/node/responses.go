package node

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// Response is what a request is answered with.
type Response struct {
	Status     int
	Body       any
	RetryAfter time.Duration
	// ExpiresAt is when the answer is too old to be sent, for one that may change (0: it may
	// not). A process can stand still between making and sending it, while another
	// controller tells the user something newer.
	ExpiresAt core.Time
}

// proofTime is how long an answer that may change can be sent.
const proofTime = time.Second

// known answers with what the mirror, proven up to date, shows of a job.
func (n *Node) known(id core.JobID, e *state.JobEntry) Response {
	a := Response{Status: 200, Body: n.status(id, e)}
	if !e.Finished() {
		a.ExpiresAt = n.loop.Now().Add(proofTime)
	}
	return a
}

// Reply hands over the answer, exactly once.
type Reply func(Response)

func refuse(status int, why, field string) Response {
	return Response{Status: status, Body: api.Error{Error: why, Field: field}}
}

// later asks the user to come back.
func (n *Node) later(why string) Response {
	return Response{Status: 503, Body: api.Error{Error: why}, RetryAfter: n.cfg.Operator.RetryAfter}
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
	reply(Response{Status: 200, Body: struct{}{}})
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

// GetJob answers a poll. What is over stays as it is; anything else is answered
// only once the mirror is proven to be up to date.
func (n *Node) GetJob(id core.JobID, reply Reply) {
	if e := n.mirror.Jobs[id]; e != nil && e.Finished() {
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
	n.mirror.ConfirmFresh(func(ok bool) {
		if !ok {
			reply(n.later("the state service does not answer"))
			return
		}
		then()
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
		case e.Finished():
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
				reply(Response{Status: 200, Body: api.JobStatus{ID: string(id), Phase: api.PhaseCancelled}})
			case state.Refused, state.LeaseExpired:
				reply(n.later("the state service does not take changes"))
			default:
				n.cancel(id, reply, tries+1)
			}
		})
	})
}
