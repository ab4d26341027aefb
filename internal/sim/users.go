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
	Accepted int
	Done     int
	Refused  int
	// PollRateFactor is how many times as often as usual users ask (0: once).
	PollRateFactor float64
	// Unanswered counts questions that were not answered in time.
	Unanswered int
	// BurstQueries: users ask at all controllers, and repeat the submission, within
	// milliseconds after a job was accepted, has ended or was called off; one in five of
	// the jobs accepted meanwhile is called off at once.
	BurstQueries bool
}

type userJob struct {
	spec     api.Job
	hopeless bool // fails wherever it runs
	accepted bool
	final    string
	asking   bool // again, soon
	began    SimTime
	told     SimTime // when it was accepted
	over     SimTime // when its user learnt that it was over
}

// MarkFailing marks a job as one that fails on every machine.
func (u *Users) MarkFailing(id string) {
	u.jobs[id].hopeless = true
	u.w.Checker.jobs[id].hopeless = true
}

// Submit submits a job now, and polls it until it is over.
func (u *Users) Submit(spec api.Job) {
	j := &userJob{spec: spec, began: u.w.now}
	u.jobs[spec.ID] = j
	u.w.Checker.Submitted(spec)
	u.try(j)
}

// look asks all controllers about a job several times within milliseconds, and repeats
// its submission there.
func (u *Users) look(j *userJob) {
	if !u.BurstQueries {
		return
	}
	raw, _ := json.Marshal(j.spec)
	for _, h := range u.w.Hosts {
		for range 3 {
			u.w.After(time.Duration(u.w.between(0, 6)*float64(time.Millisecond)), func() {
				method, path, body := "GET", "/work/"+j.spec.ID, []byte(nil)
				if u.w.chance(0.3) {
					method, path, body = "POST", "/work", raw
				}
				asked := u.w.now
				u.w.exchange("users", core.Request{Addr: h.addr, Method: method, Path: path, Body: body, Timeout: 2 * time.Second}, func(res core.Response) {
					u.hear(j, res, asked)
				})
			})
		}
	}
}

// hear takes in an answer about a job.
func (u *Users) hear(j *userJob, res core.Response, asked SimTime) bool {
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

// CancelRunning calls off the running jobs that have most to go, within a fifth of a second;
// up to eight of their machines hang for a while, if hang is not 0.
func (u *Users) CancelRunning(count int, hang time.Duration) {
	var ids []string
	on := map[string][]*Machine{}
	for _, m := range u.w.Cloud.RunningMachines() {
		for _, t := range m.sorted() {
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
		u.w.After(time.Duration(u.w.between(0, 200))*time.Millisecond, func() { u.Cancel(id) })
		for _, m := range on[id] {
			if hang > 0 && hung < 8 && u.w.now >= m.hung {
				m.Hang(hang)
				hung++
			}
		}
	}
}

// SendInvalid sends what users should not send: repeats of unfinished jobs, cancellations of
// jobs that are done, submissions that fit no machine or lack a field.
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
		u.try(j)
	}
	if j.accepted {
		// A repeat is answered by what is known of the job, whatever it carries.
		repeat := changed(j.spec, oddities[u.w.Rand.IntN(len(oddities))].change)
		asked := u.w.now
		u.call("POST", "/work", repeat, func(res core.Response) { u.hear(j, res, asked) })
	}
	for _, odd := range oddities {
		spec := j.spec
		spec.ID = fmt.Sprintf("req-8%08d", u.w.Rand.IntN(1e8))
		u.call("POST", "/work", changed(spec, odd.change), func(res core.Response) { u.w.Checker.InvalidSubmission(odd.what, res.Status) })
	}
}

// oddity is a change that makes a submission one that must be refused.
type oddity struct {
	what   string
	change func(map[string]any)
}

var oddities = []oddity{
	{"fits no machine", func(f map[string]any) { f["cpus"] = 4096.0 }},
	{"lacks a field", func(f map[string]any) { delete(f, "growS") }},
	{"names a job that nobody submitted", func(f map[string]any) { f["roots"] = []string{"req-777000777"} }},
	{"names itself", func(f map[string]any) { f["roots"] = []any{f["uid"]} }},
	{"has a wrong field", func(f map[string]any) { f["spores"] = "many" }},
}

// changed is the body of a submission with its fields changed.
func changed(spec api.Job, change func(map[string]any)) []byte {
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

func (u *Users) call(method, path string, body []byte, done func(core.Response)) {
	h := u.w.Hosts[u.w.Rand.IntN(len(u.w.Hosts))]
	for range 10 {
		if h.healthy {
			break
		}
		h = u.w.Hosts[u.w.Rand.IntN(len(u.w.Hosts))]
	}
	timeout := 5 * time.Second
	if method == "GET" {
		timeout = 2 * time.Second
	}
	u.w.exchange("users", core.Request{Addr: h.addr, Method: method, Path: path, Body: body, Timeout: timeout}, done)
}

func (u *Users) try(j *userJob) {
	raw, _ := json.Marshal(j.spec)
	asked := u.w.now
	u.call("POST", "/work", raw, func(res core.Response) {
		var s api.JobStatus
		switch res.Status {
		case 200, 201:
			if json.Unmarshal(res.Body, &s) != nil {
				u.w.Checker.fail("unreadable answer to a submission")
				return
			}
			if !j.accepted {
				u.Accepted++
				j.accepted, j.told = true, u.w.now
				u.w.After(time.Second, func() { u.poll(j) })
				u.look(j)
				if u.BurstQueries && u.w.chance(0.2) {
					u.w.After(time.Duration(u.w.between(0, 20)*float64(time.Millisecond)), func() { u.Cancel(j.spec.ID) })
				}
			}
			u.w.Checker.StatusReturned(j.spec.ID, s.Phase, asked)
			if u.w.chance(0.05) {
				u.w.After(time.Duration(u.w.between(1, 120))*time.Second, func() { u.try(j) })
			}
		case 400, 422:
			u.w.Checker.Rejected(j.spec.ID, res.Status, asked)
		default:
			u.Refused++
			if u.w.now-j.began < 60*time.Second || j.accepted {
				u.w.After(time.Duration(u.w.between(1, 2)*float64(time.Second)), func() { u.try(j) })
			}
		}
	})
}

// poll asks about a job, and again and again from then on.
func (u *Users) poll(j *userJob) {
	u.ask(j)
	wait := u.w.between(4, 6) / max(u.PollRateFactor, 1)
	if j.final != "" {
		wait = u.w.between(20, 60)
	}
	u.w.After(time.Duration(wait*float64(time.Second)), func() { u.poll(j) })
}

// ask asks about a job once; the user of one that is over, who asks seldom, asks again soon
// if there is no answer. Three polls a minute and a half could otherwise all fall into times
// in which every controller was away, and count as a job that is forgotten.
func (u *Users) ask(j *userJob) {
	asked := u.w.now
	u.call("GET", "/work/"+j.spec.ID, nil, func(res core.Response) {
		var s api.JobStatus
		switch {
		case res.Status == 200 && json.Unmarshal(res.Body, &s) == nil:
			u.w.Checker.Polled(j.spec.ID, asked, true)
			u.w.Checker.StatusReturned(j.spec.ID, s.Phase, asked)
			if s.Phase == api.PhaseDone && j.final == "" {
				u.Done++
			}
			if s.Phase == api.PhaseDone || s.Phase == api.PhaseCancelled {
				first := j.final == ""
				j.final = s.Phase
				if first {
					j.over = u.w.now
					u.look(j)
				}
			}
		case res.Status == 404:
			u.w.Checker.NotFound(j.spec.ID, asked)
		default:
			u.Unanswered++
			u.w.Checker.Polled(j.spec.ID, asked, false)
			if j.final != "" && !j.asking {
				j.asking = true
				u.w.After(time.Duration(u.w.between(4, 6)*float64(time.Second)), func() {
					j.asking = false
					u.ask(j)
				})
			}
		}
	})
}

// Cancel cancels a job and keeps asking until that is answered.
func (u *Users) Cancel(id string) {
	u.w.Checker.CancelRequested(id)
	asked := u.w.now
	u.call("POST", "/work/"+id+"/cancel", nil, func(res core.Response) {
		var s api.JobStatus
		if res.Status == 200 && json.Unmarshal(res.Body, &s) == nil {
			u.w.Checker.StatusReturned(id, s.Phase, asked)
			u.look(u.jobs[id])
			return
		}
		if res.Status == 404 {
			u.w.Checker.NotFound(id, asked)
		}
		u.w.After(time.Second, func() { u.Cancel(id) })
	})
}

// someAccepted names up to n accepted jobs, the later ones more often, whatever their
// state: so there are chains, fans and diamonds, across teams.
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

// QueryUnknownJob asks for a job that nobody submitted.
func (u *Users) QueryUnknownJob() {
	id := fmt.Sprintf("req-9%08d", u.w.Rand.IntN(1e8))
	u.call("GET", "/work/"+id, nil, func(res core.Response) {
		if res.Status == 200 {
			u.w.Checker.StatusReturned(id, "", u.w.now)
		}
	})
}
