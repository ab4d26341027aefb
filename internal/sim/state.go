package sim

import (
	"encoding/json"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// StateService simulates the state service.
type StateService struct {
	w             *World
	revision      uint64 // of the last change
	keys          map[string]*entry
	log           []api.Event // changes, oldest first
	compacted     uint64      // watches from before this revision are answered 410
	leases        map[uint64]*lease
	lastLeaseID   uint64
	watches       []*watch
	downUntil     SimTime // all requests are answered 503 until then
	slowUntil     SimTime
	rejectedUntil map[endpoint]SimTime // until when each controller's requests are answered 503
	requests      tokenBucket          // limits requests
	writes        tokenBucket          // limits changed keys
	RateLimited   int                  // requests answered 429
	lim           config.StateLimits
	// UnannouncedLimits is set when the limits have been lowered below those in the settings:
	// transactions that exceed them are refused, but break no rule.
	UnannouncedLimits bool
	TooLarge          int     // transactions refused for their size
	LostResponseProb  float64 // probability that a response is lost after the request was carried out
	// LateWriteProb is the probability that a transaction gets no response and is applied 2 to 12
	// s later, after newer ones.
	LateWriteProb float64
	// LostWriteResponseProb is the probability that a transaction is applied at once and its
	// response is lost.
	LostWriteResponseProb float64
	// OnTxn, if set, returns the fault of each transaction, so that a test can inject a fault
	// at an exact step.
	OnTxn func(from core.Host, t api.Txn) TxnFault
	// OnLeaderElected, if set, is called when a controller becomes the leader.
	OnLeaderElected func(h core.Host)
	// OnBlockGranted, if set, is called when a block is granted.
	OnBlockGranted func()
}

// blockKeyPrefix is the key prefix of all block records.
var blockKeyPrefix = strings.TrimSuffix(state.KeyBlock(0), "0")

// TxnFault describes a fault injected into a transaction.
type TxnFault struct {
	ApplyDelay    time.Duration // applied that much later, without a response
	ResponseLost  bool          // applied at once, but the response is lost
	ResponseDelay time.Duration // the response takes that long
}

// txnFault draws the fault of a transaction at random, or takes it from OnTxn if that is set.
func (s *StateService) txnFault(from endpoint, body []byte) (f TxnFault) {
	if s.LateWriteProb > 0 && s.w.chance(s.LateWriteProb) {
		f.ApplyDelay = time.Duration(s.w.uniform(2, 12) * float64(time.Second))
	}
	if s.LostWriteResponseProb > 0 && s.w.chance(s.LostWriteResponseProb) {
		f.ResponseLost = true
	}
	if s.OnTxn != nil {
		var t api.Txn
		if json.Unmarshal(body, &t) == nil {
			f = s.OnTxn(core.Host(from), t)
		}
	}
	return f
}

// Leader returns the controller that the leader record names, or nil.
func (s *StateService) Leader() *Host {
	e := s.keys[state.KeyLeader]
	if e == nil {
		return nil
	}
	var l state.Leader
	_ = json.Unmarshal(e.value, &l)
	return s.w.host(l.Host)
}

// entry is the value of a key, the revision that set it, and the ID of the lease it belongs to
// (0: none).
type entry struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

// lease is a lease with its time to live and the number of its renewals.
type lease struct {
	ttl      time.Duration
	expires  SimTime
	renewals int
}

// watch is an open watch request.
type watch struct {
	from     endpoint
	prefix   string
	after    uint64
	deadline SimTime
	reply    func(core.Response)
}

// tokenBucket is a rate limiter that holds at most one second's tokens.
type tokenBucket struct {
	rate, level float64 // tokens per second, tokens held
	at          SimTime // when level was last updated
}

// take takes n tokens if there are as many, and reports whether it did.
func (l *tokenBucket) take(now SimTime, n float64) bool {
	l.level = min(l.rate, l.level+(now-l.at).Seconds()*l.rate)
	l.at = now
	if l.level < n {
		return false
	}
	l.level -= n
	return true
}

// maxHistory is the number of events kept for watches.
const maxHistory = 10_000

func newStateService(w *World) *StateService {
	lim := w.Cfg.StateLimits
	return &StateService{
		w: w, lim: lim, keys: map[string]*entry{}, leases: map[uint64]*lease{}, rejectedUntil: map[endpoint]SimTime{},
		requests: tokenBucket{rate: lim.RPS, level: lim.RPS}, writes: tokenBucket{rate: lim.WriteRPS, level: lim.WriteRPS},
	}
}

// Outage makes the service answer 503 for the given time. Afterwards every lease has its full
// time again.
func (s *StateService) Outage(d time.Duration) {
	s.downUntil = max(s.downUntil, s.w.now+d)
	s.w.At(s.downUntil, func() {
		for _, id := range core.SortedKeys(s.leases) {
			s.renewLease(id)
		}
		s.answerWatches()
	})
}

// RejectRequestsFrom makes the service answer 503 to one controller for the given time.
func (s *StateService) RejectRequestsFrom(h core.Host, d time.Duration) {
	s.rejectedUntil[endpoint(h)] = s.w.now + d
	s.w.After(d, s.answerWatches)
}

// Slow delays responses by 100 ms to 2.5 s for the given time.
func (s *StateService) Slow(d time.Duration) { s.slowUntil = s.w.now + d }

// unavailable reports whether requests of a client are answered 503.
func (s *StateService) unavailable(from endpoint) bool {
	return s.w.now < s.downUntil || s.w.now < s.rejectedUntil[from]
}

// handle serves a request after 1 to 8 ms, one in a hundred after 100 to 500 ms, and while the
// service is slow after 100 ms to 2.5 s.
func (s *StateService) handle(from endpoint, r core.Request, reply func(core.Response)) {
	delay := time.Duration(s.w.uniform(1, 8) * float64(time.Millisecond))
	switch {
	case s.w.now < s.slowUntil:
		delay = time.Duration(s.w.uniform(100, 2500) * float64(time.Millisecond))
	case s.w.chance(0.01):
		delay = time.Duration(s.w.uniform(100, 500) * float64(time.Millisecond))
	}
	s.w.After(delay, func() { s.serve(from, r, reply) })
}

// newResponse returns a response with a JSON body.
func newResponse(status int, body any) core.Response {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return core.Response{Status: status, Body: raw}
}

func (s *StateService) serve(from endpoint, r core.Request, reply func(core.Response)) {
	if s.unavailable(from) {
		reply(newResponse(503, api.Error{Error: "trouble"}))
		return
	}
	if !s.requests.take(s.w.now, 1) {
		s.RateLimited++
		reply(newResponse(429, api.Error{Error: "too many requests"}))
		return
	}
	path, query, _ := strings.Cut(r.Path, "?")
	q, _ := url.ParseQuery(query)
	send := reply
	if s.LostResponseProb > 0 && path != "/watch" && s.w.chance(s.LostResponseProb) {
		send = func(core.Response) {}
	}
	switch {
	case path == "/txn":
		f := s.txnFault(from, r.Body)
		if f.ApplyDelay > 0 {
			s.w.At(max(s.w.now+f.ApplyDelay, s.downUntil), func() { s.txn(r.Body, func(core.Response) {}) })
			return
		}
		if f.ResponseLost {
			send = func(core.Response) {}
		}
		if f.ResponseDelay > 0 {
			sendNow := send
			send = func(res core.Response) { s.w.After(f.ResponseDelay, func() { sendNow(res) }) }
		}
		s.txn(r.Body, send)
	case path == "/store":
		s.listKeys(q, send)
	case path == "/watch":
		after, _ := strconv.ParseUint(q.Get("from"), 10, 64)
		block, _ := strconv.Atoi(q.Get("blockMs"))
		w := &watch{from: from, prefix: q.Get("prefix"), after: after, deadline: s.w.now + time.Duration(block)*time.Millisecond, reply: reply}
		if !s.answerWatch(w) {
			s.watches = append(s.watches, w)
			s.w.At(w.deadline, s.answerWatches)
		}
	case path == "/grants":
		var t api.LeaseRequest
		if json.Unmarshal(r.Body, &t) != nil || t.TTLMS < 100 {
			send(newResponse(400, api.Error{Error: "malformed"}))
			return
		}
		s.lastLeaseID++
		s.leases[s.lastLeaseID] = &lease{ttl: time.Duration(t.TTLMS) * time.Millisecond}
		s.renewLease(s.lastLeaseID)
		send(newResponse(200, api.LeaseResponse{LeaseID: s.lastLeaseID}))
	case strings.HasPrefix(path, "/grants/"):
		rest, renew := strings.CutSuffix(strings.TrimPrefix(path, "/grants/"), "/renew")
		id, _ := strconv.ParseUint(rest, 10, 64)
		if s.leases[id] == nil {
			send(newResponse(404, api.Error{Error: "no such lease"}))
			return
		}
		if renew {
			s.renewLease(id)
		} else {
			s.endLease(id)
		}
		send(newResponse(200, struct{}{}))
	default:
		send(newResponse(400, api.Error{Error: "malformed"}))
	}
}

// renewLease gives a lease its full time again and schedules its expiry. Leases do not expire
// during an outage.
func (s *StateService) renewLease(id uint64) {
	l := s.leases[id]
	l.renewals++
	v := l.renewals
	l.expires = s.w.now + l.ttl
	s.w.After(l.ttl+time.Duration(s.w.uniform(0, 100))*time.Millisecond, func() {
		if s.leases[id] == l && l.renewals == v && s.w.now >= s.downUntil {
			s.endLease(id)
		}
	})
}

// endLease removes a lease and all keys that belong to it.
func (s *StateService) endLease(id uint64) {
	delete(s.leases, id)
	var removed []string
	for k, e := range s.keys {
		if e.lease == id {
			removed = append(removed, k)
		}
	}
	if len(removed) == 0 {
		return
	}
	sort.Strings(removed)
	s.revision++
	for _, k := range removed {
		delete(s.keys, k)
		s.log = append(s.log, api.Event{Remove: k, Version: s.revision})
	}
	s.answerWatches()
}

// txn checks the limits and the conditions of a transaction and applies it.
func (s *StateService) txn(body []byte, reply func(core.Response)) {
	var t api.Txn
	lim := s.lim
	if json.Unmarshal(body, &t) != nil || len(body) > 64<<10 || len(t.Then) > lim.TxnOps || len(t.If) > 4*lim.TxnOps {
		s.tooLarge("malformed or too large transaction: %.200s", body)
		reply(newResponse(400, api.Error{Error: "malformed"}))
		return
	}
	for _, c := range t.Then {
		if len(c.Value) > lim.ValueBytes {
			s.tooLarge("value of key %s exceeds the size limit", c.Set)
			reply(newResponse(400, api.Error{Error: "malformed"}))
			return
		}
	}
	if !s.writes.take(s.w.now, float64(len(t.Then))) {
		s.RateLimited++
		reply(newResponse(429, api.Error{Error: "too many changes"}))
		return
	}
	for _, c := range t.Then {
		if c.LeaseID != 0 && s.leases[c.LeaseID] == nil {
			reply(newResponse(400, api.Error{Error: "no such lease"}))
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		v := uint64(0)
		if e := s.keys[c.Key]; e != nil {
			v = e.revision
		}
		if v != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		reply(newResponse(409, api.TxnResponse{Revision: s.revision, Failed: failed}))
		return
	}
	if len(t.Then) > 0 {
		s.revision++
		for _, c := range t.Then {
			if c.Remove != "" {
				if s.keys[c.Remove] != nil {
					delete(s.keys, c.Remove)
					s.log = append(s.log, api.Event{Remove: c.Remove, Version: s.revision})
				}
				continue
			}
			s.keys[c.Set] = &entry{c.Value, s.revision, c.LeaseID}
			s.log = append(s.log, api.Event{Set: c.Set, Value: c.Value, Version: s.revision})
			if c.Set == state.KeyLeader && s.OnLeaderElected != nil {
				s.OnLeaderElected(s.Leader().name)
			}
			if strings.HasPrefix(c.Set, blockKeyPrefix) && s.OnBlockGranted != nil {
				s.OnBlockGranted()
			}
		}
		if over := len(s.log) - maxHistory; over > 0 {
			s.compacted = s.log[over-1].Version
			s.log = append([]api.Event{}, s.log[over:]...)
		}
		s.answerWatches()
	}
	reply(newResponse(200, api.TxnResponse{Revision: s.revision}))
}

// SetLimits replaces the limits from now on.
func (s *StateService) SetLimits(lim config.StateLimits) {
	s.lim = lim
	s.requests.rate, s.writes.rate = lim.RPS, lim.WriteRPS
}

// tooLarge counts a refused transaction. It breaks a rule unless the limits are unannounced.
func (s *StateService) tooLarge(format string, arg any) {
	s.TooLarge++
	if !s.UnannouncedLimits {
		s.w.Checker.fail(format, arg)
	}
}

// CompactHistory drops the event history, so that watches from older revisions get 410.
func (s *StateService) CompactHistory() { s.compacted, s.log = s.revision, nil }

// listKeys answers with a page of keys.
func (s *StateService) listKeys(q url.Values, reply func(core.Response)) {
	most, _ := strconv.Atoi(q.Get("most"))
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("from") {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	p := api.ItemPage{Items: []api.Item{}, Revision: s.revision}
	for _, k := range names {
		if len(p.Items) == min(most, 1000) {
			p.More = true
			break
		}
		e := s.keys[k]
		p.Items = append(p.Items, api.Item{Key: k, Value: e.value, Version: e.revision, LeaseID: e.lease})
	}
	reply(newResponse(200, p))
}

// answerWatch answers a watch if it has events, is too old or has reached its deadline, and reports
// whether it did.
func (s *StateService) answerWatch(w *watch) bool {
	if s.unavailable(w.from) {
		return false // an open watch waits
	}
	if w.after < s.compacted {
		w.reply(newResponse(410, api.Error{Error: "too old"}))
		return true
	}
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > w.after })
	a := api.WatchResponse{Revision: s.revision, Events: []api.Event{}}
	for _, e := range s.log[i:] {
		if strings.HasPrefix(e.Set+e.Remove, w.prefix) {
			a.Events = append(a.Events, e)
		}
	}
	if len(a.Events) == 0 && s.w.now < w.deadline {
		return false
	}
	w.reply(newResponse(200, a))
	return true
}

// answerWatches answers the open watches that can be answered.
func (s *StateService) answerWatches() {
	keep := s.watches[:0]
	for _, w := range s.watches {
		if !s.answerWatch(w) {
			keep = append(keep, w)
		}
	}
	s.watches = keep
}
