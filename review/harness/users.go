package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"lichenstair/api"
)

// user is a client with one connection at a time, which stays open.
type user struct {
	c      *cluster
	name   string
	addr   string // of the load balancer, or of a controller
	client *http.Client

	mu   sync.Mutex
	conn net.Conn // the last one opened
}

func newUser(c *cluster, name, addr string) *user {
	u := &user{c: c, name: name, addr: addr}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil {
			c.note(name, "opens a connection from %s", conn.LocalAddr())
			u.mu.Lock()
			u.conn = conn
			u.mu.Unlock()
		}
		return conn, err
	}
	u.client = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DialContext: dial}}
	return u
}

// localAddr returns the address from which the user's last connection was opened.
func (u *user) localAddr() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return ""
	}
	return u.conn.LocalAddr().String()
}

// answer is the answer to a request; status 0 stands for none.
type answer struct {
	status int
	phase  string
	sent   time.Time
	at     time.Time
}

// call sends a request and records it with its answer.
func (u *user) call(method, path string, body []byte, limit time.Duration) answer {
	a := answer{sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+u.addr+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	u.client.Timeout = limit
	res, err := u.client.Do(request)
	text := ""
	if err == nil {
		var raw []byte
		if raw, err = io.ReadAll(res.Body); err == nil {
			var status api.JobStatus
			_ = json.Unmarshal(raw, &status)
			a.status, a.phase, text = res.StatusCode, status.Phase, string(raw)
		}
		res.Body.Close()
	}
	a.at = time.Now()
	if err != nil {
		text = "no response: " + err.Error()
	}
	u.c.note(u.name, "%s %s sent at %s: %d %s", method, path, u.c.stamp(a.sent), a.status, text)
	return a
}

// newJob describes a job of independent tasks and uploads it, so that workers know it.
func (c *cluster) newJob(id, team string, tasks int, cpus float64) api.Job {
	j := api.Job{
		ID: id, Class: c.site.class, Team: team, Form: api.FormArray, Rank: api.RankStandard, Tasks: tasks, CPUs: cpus, MemoryGB: c.site.memoryGB,
		Image: "image-01", ImageGB: 0.05, EstimateS: 30,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &j
	return j
}

// submit submits a job and retries for up to 60 s.
func (u *user) submit(j api.Job) error {
	raw, err := json.Marshal(j)
	if err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < 60*time.Second; time.Sleep(time.Second) {
		if a := u.call("POST", "/work", raw, 5*time.Second); a.status == 200 || a.status == 201 {
			return nil
		}
	}
	return fmt.Errorf("job %s was not accepted", j.ID)
}

// poll asks about a job.
func (u *user) poll(id string) answer { return u.call("GET", "/work/"+id, nil, 2*time.Second) }

// cancel cancels a job, for up to 60 s, and returns the answer that confirms it.
func (u *user) cancel(id string) (answer, error) {
	for began := time.Now(); time.Since(began) < 60*time.Second; time.Sleep(time.Second) {
		if a := u.call("POST", "/work/"+id+"/cancel", nil, 5*time.Second); a.status == 200 {
			return a, nil
		}
	}
	return answer{}, fmt.Errorf("the cancellation of job %s was not answered", id)
}
