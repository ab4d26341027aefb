package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lichenstair/api"
)

// stateService is a stand-in for the state service, as PROTOCOL describes it: one store, with a
// listener for each controller so that the traffic of one controller can be disturbed.
type stateService struct {
	limits site

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced with each change
	revision uint64
	keys     map[string]api.Item
	events   []api.Event
	leases   map[uint64]*lease
	leaseID  uint64
	requests rateLimit
	writes   rateLimit
}

// lease is a lease with the time at which it ends.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// rateLimit allows a rate, with bursts of one second's worth.
type rateLimit struct {
	rate, level float64
	at          time.Time
}

func (l *rateLimit) take(n float64) bool {
	now := time.Now()
	l.level = min(l.rate, l.level+now.Sub(l.at).Seconds()*l.rate)
	l.at = now
	if l.level < n {
		return false
	}
	l.level -= n
	return true
}

// stateHistory is how many changes the service keeps for watches.
const stateHistory = 10_000

func newStateService(limits site) *stateService {
	now := time.Now()
	s := &stateService{
		limits: limits, changed: make(chan struct{}), keys: map[string]api.Item{}, leases: map[uint64]*lease{},
		requests: rateLimit{limits.stateRPS, limits.stateRPS, now}, writes: rateLimit{limits.writeRPS, limits.writeRPS, now},
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

// expireLeases ends the leases that were not renewed in time. They end up to 20 ms late; the page
// allows 100 ms.
func (s *stateService) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the keys attached to it. The caller holds the lock.
func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var removed []string
	for key, item := range s.keys {
		if item.LeaseID == id {
			removed = append(removed, key)
		}
	}
	if len(removed) == 0 {
		return
	}
	slices.Sort(removed)
	s.revision++
	for _, key := range removed {
		delete(s.keys, key)
		s.events = append(s.events, api.Event{Remove: key, Version: s.revision})
	}
	s.wake()
}

// wake lets open watches look again. The caller holds the lock.
func (s *stateService) wake() {
	s.events = s.events[max(0, len(s.events)-stateHistory):]
	close(s.changed)
	s.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

var malformed = api.Error{Error: "malformed"}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 128<<10))
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	admitted := s.requests.take(1)
	s.mu.Unlock()
	if !admitted {
		answerJSON(w, 429, api.Error{Error: "too many requests"})
		return
	}
	path := r.URL.Path
	switch {
	case path == "/txn" && r.Method == "POST":
		status, answer := s.txn(body)
		answerJSON(w, status, answer)
	case path == "/store":
		s.list(w, r.URL.Query())
	case strings.HasPrefix(path, "/store/"):
		s.mu.Lock()
		item, ok := s.keys[strings.TrimPrefix(path, "/store/")]
		revision := s.revision
		s.mu.Unlock()
		if !ok {
			answerJSON(w, 404, api.TxnResponse{Revision: revision})
			return
		}
		answerJSON(w, 200, item)
	case path == "/watch":
		s.watch(w, r)
	case path == "/grants" && r.Method == "POST":
		var request api.LeaseRequest
		if json.Unmarshal(body, &request) != nil || request.TTLMS < 100 || request.TTLMS > 600_000 {
			answerJSON(w, 400, malformed)
			return
		}
		s.mu.Lock()
		s.leaseID++
		id := s.leaseID
		ttl := time.Duration(request.TTLMS) * time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answerJSON(w, 200, api.LeaseResponse{LeaseID: id})
	case strings.HasPrefix(path, "/grants/"):
		s.lease(w, r.Method, strings.TrimPrefix(path, "/grants/"))
	default:
		answerJSON(w, 400, malformed)
	}
}

// lease renews or ends a lease.
func (s *stateService) lease(w http.ResponseWriter, method, name string) {
	name, renew := strings.CutSuffix(name, "/renew")
	id, _ := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		answerJSON(w, 404, api.Error{Error: "no such lease"})
		return
	case renew:
		l.ends = time.Now().Add(l.ttl)
	case method == "DELETE":
		s.endLease(id)
	}
	answerJSON(w, 200, struct{}{})
}

// txn executes a transaction.
func (s *stateService) txn(body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var t api.Txn
	if len(body) > 64<<10 || json.Unmarshal(body, &t) != nil || len(t.Then) > s.limits.txnOps || len(t.If) > 4*s.limits.txnOps {
		return 400, malformed
	}
	for _, c := range t.Then {
		if len(c.Value) > s.limits.valueKB<<10 {
			return 400, malformed
		}
	}
	if !s.writes.take(float64(len(t.Then))) {
		return 429, api.Error{Error: "too many changes"}
	}
	for _, c := range t.Then {
		if c.LeaseID != 0 && s.leases[c.LeaseID] == nil {
			return 400, api.Error{Error: "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.keys[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, api.TxnResponse{Revision: s.revision, Failed: failed}
	}
	if len(t.Then) > 0 {
		s.revision++
		for _, c := range t.Then {
			if c.Remove == "" {
				s.keys[c.Set] = api.Item{Key: c.Set, Value: c.Value, Version: s.revision, LeaseID: c.LeaseID}
				s.events = append(s.events, api.Event{Set: c.Set, Value: c.Value, Version: s.revision})
			} else if _, ok := s.keys[c.Remove]; ok {
				delete(s.keys, c.Remove)
				s.events = append(s.events, api.Event{Remove: c.Remove, Version: s.revision})
			}
		}
		s.wake()
	}
	return 200, api.TxnResponse{Revision: s.revision}
}

// list answers with a page of keys.
func (s *stateService) list(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, _ := strconv.Atoi(q.Get("most"))
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("from") {
			names = append(names, key)
		}
	}
	slices.Sort(names)
	page := api.ItemPage{Items: []api.Item{}, Revision: s.revision}
	size := 0
	for _, key := range names {
		size += len(key) + len(s.keys[key].Value) + 64
		if len(page.Items) == min(most, 1000) || size > 512<<10 {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.keys[key])
	}
	answerJSON(w, 200, page)
}

// watch waits for changes.
func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	deadline := time.After(time.Duration(min(block, 60_000)) * time.Millisecond)
	for over := block == 0; ; {
		s.mu.Lock()
		if len(s.events) > 0 && from+1 < s.events[0].Version {
			s.mu.Unlock()
			answerJSON(w, 410, api.Error{Error: "too old"})
			return
		}
		answer := api.WatchResponse{Revision: s.revision, Events: []api.Event{}}
		for _, e := range s.events {
			if e.Version > from && strings.HasPrefix(e.Set+e.Remove, q.Get("prefix")) {
				answer.Events = append(answer.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 || over {
			answerJSON(w, 200, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
