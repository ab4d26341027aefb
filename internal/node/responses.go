package node

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// Response is the response to a request.
type Response struct {
	Status     int
	Body       any
	RetryAfter time.Duration
	// ExpiresAt is when a response that reports a changeable status becomes too old to be
	// sent; 0 for all others. The process can be paused between creating and sending it,
	// while another controller reports something newer to the user.
	ExpiresAt core.Time
}

// responseValidity is how long a response that reports a changeable status can be sent.
const responseValidity = time.Second

// replyStatus replies with the status of a job as shown by the mirror, which has been confirmed
// fresh. That a job is cancelled is told only once none of its tasks can be started any more.
func (n *Node) replyStatus(httpStatus int, id core.JobID, e *state.JobEntry, reply Reply) {
	a := Response{Status: httpStatus, Body: n.status(id, e)}
	if !e.Finished() {
		a.ExpiresAt = n.loop.Now().Add(responseValidity)
	}
	if e.Cancelled() {
		if p := n.findCancellation(id, e); p != nil {
			n.whenStartsExcluded(id, p, func() { reply(a) })
			return
		}
	}
	reply(a)
}

// Reply delivers a response. It is called exactly once per request.
type Reply func(Response)

func errorResponse(status int, message, field string) Response {
	return Response{Status: status, Body: api.Error{Error: message, Field: field}}
}

// retryLater returns a response that asks the user to retry.
func (n *Node) retryLater(message string) Response {
	return Response{Status: 503, Body: api.Error{Error: message}, RetryAfter: n.cfg.Operator.RetryAfter}
}

// status returns the status of a job as the mirror shows it. Until the job's record says
// that it is done, at least one task counts as not done.
func (n *Node) status(id core.JobID, e *state.JobEntry) api.JobStatus {
	s := api.JobStatus{ID: string(id)}
	switch {
	case e.Phase == state.JobDone:
		s.Phase, s.Done = api.PhaseDone, e.Tasks
	case e.Cancelled():
		s.Phase = api.PhaseCancelled
	default:
		s.Phase, s.Done = api.PhaseQueued, min(e.Done.Len(), e.Tasks-1)
		s.Running = n.runningCount(id)
		if s.Running > 0 {
			s.Phase = api.PhaseRunning
		}
	}
	return s
}

// GetJob handles a status query. The status of a finished job is final; any other is
// returned only once the mirror is confirmed fresh.
func (n *Node) GetJob(id core.JobID, reply Reply) {
	if e := n.mirror.Jobs[id]; e != nil && e.Finished() {
		n.replyStatus(200, id, e, reply)
		return
	}
	if !api.ValidJobID(string(id)) {
		reply(errorResponse(404, "no such job", ""))
		return
	}
	n.whenFresh(reply, func() {
		if e := n.mirror.Jobs[id]; e != nil {
			n.replyStatus(200, id, e, reply)
			return
		}
		reply(errorResponse(404, "no such job", ""))
	})
}

// whenFresh calls then once the mirror is confirmed fresh, or replies with an error.
func (n *Node) whenFresh(reply Reply, then func()) {
	if !n.mirror.Complete() {
		reply(n.retryLater("starting"))
		return
	}
	n.mirror.ConfirmFresh(func(ok bool) {
		if !ok {
			reply(n.retryLater("the state service does not answer"))
			return
		}
		then()
	})
}

// Cancel handles the cancellation of a job. If the record changes in the meantime or the
// outcome is unknown, it is tried again, up to six times in all.
func (n *Node) Cancel(id core.JobID, reply Reply) { n.cancel(id, reply, 0) }

func (n *Node) cancel(id core.JobID, reply Reply, tries int) {
	if !api.ValidJobID(string(id)) {
		reply(errorResponse(404, "no such job", ""))
		return
	}
	if tries >= 6 {
		reply(n.retryLater("the job keeps changing"))
		return
	}
	n.whenFresh(reply, func() {
		e := n.mirror.Jobs[id]
		switch {
		case e == nil:
			reply(errorResponse(404, "no such job", ""))
			return
		case e.Finished():
			n.replyStatus(200, id, e, reply)
			return
		}
		t := api.Txn{
			If:   []api.Condition{{Key: state.KeyJob(id), Version: uint64(e.Version)}},
			Then: []api.Change{state.Put(state.KeyJob(id), e.Job.End(state.JobCancelled, 0))},
		}
		n.state.Txn(t, func(r state.Result) {
			switch r.Outcome {
			case state.Applied:
				n.log.Info("job cancelled", "job", id, "revision", r.Revision)
				p := n.trackCancellation(id, r.Revision, n.loop.Now())
				n.whenStartsExcluded(id, p, func() {
					reply(Response{Status: 200, Body: api.JobStatus{ID: string(id), Phase: api.PhaseCancelled}})
				})
			case state.Refused, state.LeaseExpired:
				reply(n.retryLater("the state service does not take changes"))
			default:
				n.cancel(id, reply, tries+1)
			}
		})
	})
}
