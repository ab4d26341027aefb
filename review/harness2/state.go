package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// linkMode is what a connection between a controller and a service does.
type linkMode int

const (
	linkUp     linkMode = iota
	linkRefuse          // the service answers 503 to this controller
	linkCut             // nothing passes: requests hang without an answer
)

// stateService is a stand-in of the state service, as the protocol page describes it. Each controller
// has an address of its own, so that one of them can be refused or cut off.
type stateService struct {
	mu       sync.Mutex
	changed  *sync.Cond
	ring     uint64
	keys     map[string]*stateKey
	log      []stateEvent
	dropped  uint64 // watches from before this revision get 410
	tenures  map[uint64]*tenure
	lastTerm uint64
	links    []linkMode // by controller
	rps      bucket
	writes   bucket
	maxOps   int
	maxValue int
	delay    time.Duration
}

type stateKey struct {
	data   json.RawMessage
	growth uint64
	tenure uint64
}

type stateEvent struct {
	Set    string          `json:"set,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Growth uint64          `json:"growth"`
	Remove string          `json:"remove,omitempty"`
}

type tenure struct {
	ttl time.Duration
	end time.Time
}

// bucket limits a rate and allows bursts of one second's worth.
type bucket struct {
	rate, level float64
	at          time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.rate, b.level+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

const keptChanges = 10_000

func newStateService(nodes int, rps, writeRPS float64, maxOps, maxValueKB int) *stateService {
	s := &stateService{keys: map[string]*stateKey{}, tenures: map[uint64]*tenure{}, links: make([]linkMode, nodes), rps: bucket{rps, rps, time.Now()}, writes: bucket{writeRPS, writeRPS, time.Now()}, maxOps: maxOps, maxValue: maxValueKB << 10, delay: 4 * time.Millisecond}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.changed.Broadcast()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *stateService) setLink(node int, m linkMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[node] = m
	s.changed.Broadcast()
}

func (s *stateService) link(node int) linkMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[node]
}

// expire ends the leases whose time is over.
func (s *stateService) expire() {
	for id, t := range s.tenures {
		if time.Now().After(t.end) {
			s.endTenure(id)
		}
	}
}

func (s *stateService) endTenure(id uint64) {
	delete(s.tenures, id)
	var gone []string
	for k, e := range s.keys {
		if e.tenure == id {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return
	}
	sort.Strings(gone)
	s.ring++
	for _, k := range gone {
		delete(s.keys, k)
		s.append(stateEvent{Remove: k, Growth: s.ring})
	}
	s.changed.Broadcast()
}

func (s *stateService) append(e stateEvent) {
	s.log = append(s.log, e)
	if over := len(s.log) - keptChanges; over > 0 {
		s.dropped = s.log[over-1].Growth
		s.log = append([]stateEvent{}, s.log[over:]...)
	}
}

// handler serves one controller.
func (s *stateService) handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(s.delay)
		switch s.link(node) {
		case linkCut:
			hang(r)
			return
		case linkRefuse:
			reply(w, 503, map[string]any{"error": "trouble"})
			return
		}
		status, answer := s.serve(node, r, body)
		if s.link(node) == linkCut {
			hang(r)
			return
		}
		reply(w, status, answer)
	})
}

// hang never answers: it waits until the caller gives up, then drops the connection.
func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(30 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type anyMap = map[string]any

func (s *stateService) serve(node int, r *http.Request, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.rps.take(1) {
		return 429, anyMap{"error": "too many requests"}
	}
	s.expire()
	path := r.URL.Path
	q, _ := url.ParseQuery(r.URL.RawQuery)
	switch {
	case path == "/txn":
		return s.txn(body)
	case path == "/store":
		return s.list(q)
	case path == "/watch":
		return s.watch(node, q)
	case path == "/grants":
		var t struct {
			TTL int `json:"ttlMs"`
		}
		if json.Unmarshal(body, &t) != nil || t.TTL < 100 || t.TTL > 600_000 {
			return 400, anyMap{"error": "malformed"}
		}
		s.lastTerm++
		ttl := time.Duration(t.TTL) * time.Millisecond
		s.tenures[s.lastTerm] = &tenure{ttl, time.Now().Add(ttl)}
		return 200, anyMap{"tenure": s.lastTerm}
	case strings.HasPrefix(path, "/grants/"):
		rest, renew := strings.CutSuffix(strings.TrimPrefix(path, "/grants/"), "/renew")
		id, _ := strconv.ParseUint(rest, 10, 64)
		t := s.tenures[id]
		if t == nil {
			return 404, anyMap{"error": "no such lease"}
		}
		if renew {
			t.end = time.Now().Add(t.ttl)
		} else {
			s.endTenure(id)
		}
		return 200, anyMap{}
	}
	return 400, anyMap{"error": "malformed"}
}

func (s *stateService) txn(body []byte) (int, any) {
	var t struct {
		When []struct {
			Path   string `json:"path"`
			Growth uint64 `json:"growth"`
		} `json:"when"`
		Apply []struct {
			Set    string          `json:"set"`
			Data   json.RawMessage `json:"data"`
			Tenure uint64          `json:"tenure"`
			Remove string          `json:"remove"`
		} `json:"apply"`
	}
	if json.Unmarshal(body, &t) != nil || len(body) > 64<<10 || len(t.Apply) > s.maxOps || len(t.When) > 4*s.maxOps {
		return 400, anyMap{"error": "malformed"}
	}
	for _, c := range t.Apply {
		if len(c.Data) > s.maxValue {
			return 400, anyMap{"error": "malformed"}
		}
	}
	if !s.writes.take(float64(len(t.Apply))) {
		return 429, anyMap{"error": "too many changes"}
	}
	for _, c := range t.Apply {
		if c.Tenure != 0 && s.tenures[c.Tenure] == nil {
			return 400, anyMap{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, c := range t.When {
		v := uint64(0)
		if e := s.keys[c.Path]; e != nil {
			v = e.growth
		}
		if v != c.Growth {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		return 409, anyMap{"failed": failed, "ring": s.ring}
	}
	if len(t.Apply) > 0 {
		s.ring++
		for _, c := range t.Apply {
			if c.Remove != "" {
				if s.keys[c.Remove] != nil {
					delete(s.keys, c.Remove)
					s.append(stateEvent{Remove: c.Remove, Growth: s.ring})
				}
				continue
			}
			s.keys[c.Set] = &stateKey{c.Data, s.ring, c.Tenure}
			s.append(stateEvent{Set: c.Set, Data: c.Data, Growth: s.ring})
		}
		s.changed.Broadcast()
	}
	return 200, anyMap{"ring": s.ring}
}

func (s *stateService) list(q url.Values) (int, any) {
	most, err := strconv.Atoi(q.Get("most"))
	if err != nil || most > 1000 {
		most = 1000
	}
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("from") {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	items, more, size := []anyMap{}, false, 0
	for _, k := range names {
		e := s.keys[k]
		if size += len(k) + len(e.data) + 64; len(items) == most || size > 512<<10 {
			more = true
			break
		}
		items = append(items, anyMap{"path": k, "data": e.data, "growth": e.growth})
	}
	return 200, anyMap{"items": items, "more": more, "ring": s.ring}
}

func (s *stateService) watch(node int, q url.Values) (int, any) {
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	deadline := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		// While this controller is refused, an open watch waits.
		if s.links[node] == linkUp {
			if from < s.dropped {
				return 410, anyMap{"error": "too old"}
			}
			events := []stateEvent{}
			for _, e := range s.log[sort.Search(len(s.log), func(i int) bool { return s.log[i].Growth > from }):] {
				if strings.HasPrefix(e.Set+e.Remove, q.Get("prefix")) {
					events = append(events, e)
				}
			}
			if len(events) > 0 || time.Now().After(deadline) {
				return 200, anyMap{"ring": s.ring, "events": events}
			}
		}
		if time.Now().After(deadline.Add(60 * time.Second)) {
			return 503, anyMap{"error": "trouble"}
		}
		s.changed.Wait()
	}
}
