package sim

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// Users submit jobs, poll them and cancel some.
type Users struct {
	w        *World
	jobs     map[string]*userJob
	Accepted int // jobs whose users were told that they are accepted
	Done     int // jobs whose users were told that they are done
	Refused  int // submissions, repeated ones included, without a response or told to retry
	// PollRateFactor multiplies the rate at which users poll; values below 1 count as 1.
	PollRateFactor float64
	// Answered counts polls with a usable response in time.
	Answered int
	// Unanswered counts polls without a usable response in time.
	Unanswered int
	// BurstQueries makes users query all controllers and repeat the submission within
	// milliseconds after a job was accepted, has ended or was cancelled. One in five of the
	// jobs accepted meanwhile is cancelled at once.
	BurstQueries bool
}

// userJob is a job as its user sees it.
type userJob struct {
	spec        api.Job
	failsAlways bool // fails on every machine, unless it is a gang
	accepted    bool
	final       string // done or cancelled, once its user was told so
	retrying    bool   // an early retry of an unanswered poll is scheduled
	submittedAt SimTime
	acceptedAt  SimTime // when its user learned that it was accepted
	endedAt     SimTime // when its user learned that it had ended
}

// MarkFailing marks a job as one whose tasks fail on every machine. It has no effect on gangs.
func (u *Users) MarkFailing(id string) {
	u.jobs[id].failsAlways = true
	u.w.Checker.jobs[id].failsAlways = true
}

// Submit submits a job now and polls it from its acceptance on.
func (u *Users) Submit(spec api.Job) {
	j := &userJob{spec: spec, submittedAt: u.w.now}
	u.jobs[spec.ID] = j
	u.w.Checker.Submitted(spec)
	u.post(j)
}

// burstQuery, if BurstQueries is set, queries all controllers about a job several times within
// milliseconds; some of the queries repeat its submission.
func (u *Users) burstQuery(j *userJob) {
	if !u.BurstQueries {
		return
	}
	raw, _ := json.Marshal(j.spec)
	for _, h := range u.w.Hosts {
		for range 3 {
			u.w.After(time.Duration(u.w.uniform(0, 6)*float64(time.Millisecond)), func() {
				method, path, body := "GET", "/work/"+j.spec.ID, []byte(nil)
				if u.w.chance(0.3) {
					method, path, body = "POST", "/work", raw
				}
				asked := u.w.now
				u.w.exchange("users", core.Request{Addr: h.addr, Method: method, Path: path, Body: body, Timeout: 2 * time.Second}, func(res core.Response) {
					u.checkResponse(j, res, asked)
				})
			})
		}
	}
}

// checkResponse passes a response about a job to the checker, and reports whether it held the
// job's status.
func (u *Users) checkResponse(j *userJob, res core.Response, asked SimTime) bool {
	var s api.JobStatus
	switch {
	case (res.Status == 200 || res.Status == 201) && json.Unmarshal(res.Body, &s) == nil:
		u.w.Checker.StatusReturned(j.spec.ID, s.Phase, asked)
		return true
	case res.Status == 404:
		u.w.Checker.NotFound(j.spec.ID, asked)
	case res.Status == 400 || res.Status == 422:
		u.w.Checker.Rejected(j.spec.ID, res.Status, asked)
	}
	return false
}

// CancelRunning cancels up to count running jobs, those with the longest estimates first,
// within 200 ms. If hang is not 0, up to eight of their machines hang for that time.
func (u *Users) CancelRunning(count int, hang time.Duration) {
	var ids []string
	on := map[string][]*Machine{}
	for _, m := range u.w.Cloud.RunningMachines() {
		for _, t := range m.sortedTasks() {
			id := string(t.id.Job)
			if j := u.jobs[id]; t.state == api.TaskRunning && j.final == "" {
				if on[id] == nil {
					ids = append(ids, id)
				}
				on[id] = append(on[id], m)
			}
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(u.jobs[b].spec.EstimateS, u.jobs[a].spec.EstimateS) })
	hung := 0
	for _, id := range ids[:min(count, len(ids))] {
		u.w.After(time.Duration(u.w.uniform(0, 200))*time.Millisecond, func() { u.Cancel(id) })
		for _, m := range on[id] {
			if hang > 0 && hung < 8 && u.w.now >= m.hungUntil {
				m.Hang(hang)
				hung++
			}
		}
	}
}

// SendInvalid sends requests that users should not send: repeated submissions of unfinished
// jobs, cancellations of completed jobs, and submissions of known and new jobs that fit no
// machine, depend on themselves or an unknown job, or have missing or invalid fields.
func (u *Users) SendInvalid() {
	ids := core.SortedKeys(u.jobs)
	if len(ids) == 0 {
		return
	}
	j := u.jobs[ids[u.w.Rand.IntN(len(ids))]]
	switch {
	case j.final == api.PhaseDone:
		u.Cancel(j.spec.ID)
	case j.accepted && j.final == "":
		u.post(j)
	}
	if j.accepted {
		// A repeated submission is answered by the state of the job, whatever it contains.
		repeat := changedBody(j.spec, invalidChanges[u.w.Rand.IntN(len(invalidChanges))].change)
		asked := u.w.now
		u.call("POST", "/work", repeat, func(res core.Response) { u.checkResponse(j, res, asked) })
	}
	for _, invalid := range invalidChanges {
		spec := j.spec
		spec.ID = fmt.Sprintf("req-8%08d", u.w.Rand.IntN(1e8))
		u.call("POST", "/work", changedBody(spec, invalid.change), func(res core.Response) { u.w.Checker.InvalidSubmission(invalid.what, res.Status) })
	}
}

// invalidChange is a change to a submission that makes it one that must be refused.
type invalidChange struct {
	what   string
	change func(map[string]any)
}

var invalidChanges = []invalidChange{
	{"fits no machine", func(f map[string]any) { f["cpus"] = 4096.0 }},
	{"lacks a field", func(f map[string]any) { delete(f, "growS") }},
	{"depends on a job that was never submitted", func(f map[string]any) { f["roots"] = []string{"req-777000777"} }},
	{"depends on itself", func(f map[string]any) { f["roots"] = []any{f["uid"]} }},
	{"has a field of the wrong type", func(f map[string]any) { f["spores"] = "many" }},
}

// changedBody returns the body of a submission after a change of its fields.
func changedBody(spec api.Job, change func(map[string]any)) []byte {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		panic(err)
	}
	change(fields)
	raw, err = json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return raw
}

// call sends a request to a random controller, preferring healthy ones.
func (u *Users) call(method, path string, body []byte, done func(core.Response)) {
	timeout := 5 * time.Second
	if method == "GET" {
		timeout = 2 * time.Second
	}
	if u.w.Balancer != nil {
		u.w.Balancer.Send(core.Request{Method: method, Path: path, Body: body, Timeout: timeout}, done)
		return
	}
	h := u.w.Hosts[u.w.Rand.IntN(len(u.w.Hosts))]
	for range 10 {
		if h.healthy {
			break
		}
		h = u.w.Hosts[u.w.Rand.IntN(len(u.w.Hosts))]
	}
	u.w.exchange("users", core.Request{Addr: h.addr, Method: method, Path: path, Body: body, Timeout: timeout}, done)
}

// post submits a job, and retries for 60 s, or for longer if it was accepted before.
func (u *Users) post(j *userJob) {
	raw, _ := json.Marshal(j.spec)
	asked := u.w.now
	u.call("POST", "/work", raw, func(res core.Response) {
		var s api.JobStatus
		switch res.Status {
		case 200, 201:
			if json.Unmarshal(res.Body, &s) != nil {
				u.w.Checker.fail("response to a submission is not a valid job status")
				return
			}
			if !j.accepted {
				u.Accepted++
				j.accepted, j.acceptedAt = true, u.w.now
				u.w.After(time.Second, func() { u.poll(j) })
				u.burstQuery(j)
				if u.BurstQueries && u.w.chance(0.2) {
					u.w.After(time.Duration(u.w.uniform(0, 20)*float64(time.Millisecond)), func() { u.Cancel(j.spec.ID) })
				}
			}
			u.w.Checker.StatusReturned(j.spec.ID, s.Phase, asked)
			if u.w.chance(0.05) {
				u.w.After(time.Duration(u.w.uniform(1, 120))*time.Second, func() { u.post(j) })
			}
		case 400, 422:
			u.w.Checker.Rejected(j.spec.ID, res.Status, asked)
		default:
			u.Refused++
			if u.w.now-j.submittedAt < 60*time.Second || j.accepted {
				u.w.After(time.Duration(u.w.uniform(1, 2)*float64(time.Second)), func() { u.post(j) })
			}
		}
	})
}

// poll queries a job now and repeatedly from then on.
func (u *Users) poll(j *userJob) {
	u.query(j)
	wait := u.w.uniform(4, 6) / max(u.PollRateFactor, 1)
	if j.final != "" {
		wait = u.w.uniform(20, 60)
	}
	u.w.After(time.Duration(wait*float64(time.Second)), func() { u.poll(j) })
}

// query queries a job once. The user of a job that has ended polls only every 20 to 60 s, so an
// unanswered query is retried within 4 to 6 s. Otherwise all polls within 90 s (about three)
// could fall into times without a reachable controller, and the job would count as forgotten.
func (u *Users) query(j *userJob) {
	asked := u.w.now
	u.call("GET", "/work/"+j.spec.ID, nil, func(res core.Response) {
		var s api.JobStatus
		switch {
		case res.Status == 200 && json.Unmarshal(res.Body, &s) == nil:
			u.Answered++
			u.w.Checker.Polled(j.spec.ID, asked, true)
			u.w.Checker.StatusReturned(j.spec.ID, s.Phase, asked)
			if s.Phase == api.PhaseDone && j.final == "" {
				u.Done++
			}
			if s.Phase == api.PhaseDone || s.Phase == api.PhaseCancelled {
				first := j.final == ""
				j.final = s.Phase
				if first {
					j.endedAt = u.w.now
					u.burstQuery(j)
				}
			}
		case res.Status == 404:
			u.w.Checker.NotFound(j.spec.ID, asked)
		default:
			u.Unanswered++
			u.w.Checker.Polled(j.spec.ID, asked, false)
			if j.final != "" && !j.retrying {
				j.retrying = true
				u.w.After(time.Duration(u.w.uniform(4, 6)*float64(time.Second)), func() {
					j.retrying = false
					u.query(j)
				})
			}
		}
	})
}

// Cancel cancels a job and retries until the cancellation is answered.
func (u *Users) Cancel(id string) {
	u.w.Checker.CancelRequested(id)
	asked := u.w.now
	u.call("POST", "/work/"+id+"/cancel", nil, func(res core.Response) {
		var s api.JobStatus
		if res.Status == 200 && json.Unmarshal(res.Body, &s) == nil {
			u.w.Checker.StatusReturned(id, s.Phase, asked)
			u.burstQuery(u.jobs[id])
			return
		}
		if res.Status == 404 {
			u.w.Checker.NotFound(id, asked)
		}
		u.w.After(time.Second, func() { u.Cancel(id) })
	})
}

// someAccepted returns the IDs of up to n random ones of the eight accepted jobs with the highest
// IDs, in any phase, so that chains, fan-outs and diamonds arise across teams.
func (u *Users) someAccepted(n int) (out []string) {
	var ids []string
	for _, id := range core.SortedKeys(u.jobs) {
		if u.jobs[id].accepted {
			ids = append(ids, id)
		}
	}
	for range min(n, len(ids)) {
		id := ids[len(ids)-1-u.w.Rand.IntN(min(len(ids), 8))]
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// QueryUnknownJob queries a job that nobody submitted.
func (u *Users) QueryUnknownJob() {
	id := fmt.Sprintf("req-9%08d", u.w.Rand.IntN(1e8))
	u.call("GET", "/work/"+id, nil, func(res core.Response) {
		if res.Status == 200 {
			u.w.Checker.StatusReturned(id, "", u.w.now)
		}
	})
}
