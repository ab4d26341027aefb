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

// StateService is a stand-in for the state service.
type StateService struct {
	w           *World
	ring        uint64
	keys        map[string]*entry
	log         []api.Event
	floor       uint64
	leases      map[uint64]*lease
	nextID      uint64
	watches     []*watch
	down        SimTime
	slow        SimTime
	refused     map[party]SimTime // nodes that get 503 until
	requests    limit
	writes      limit
	RateLimited int
	lim         config.StateLimits
	// UnannouncedLimits: a limit was lowered that the settings do not name; what exceeds it is
	// refused, and no breach.
	UnannouncedLimits bool
	TooLarge          int     // transactions refused for their size
	LostResponseProb  float64 // share of answers that are lost after the work was done
	// LateWriteProb is the share of transactions that get no answer and are carried out
	// 2 to 12 s later, after newer ones.
	LateWriteProb float64
	// LostWriteResponseProb is the share of transactions that are carried out at once and whose
	// answer alone is lost.
	LostWriteResponseProb float64
	// OnTxn, if set, says what becomes of each transaction, so that a test can place a
	// trouble at an exact step.
	OnTxn func(from core.Host, t api.Txn) TxnFault
	// OnLeaderElected, if set, is told when a controller becomes the leader.
	OnLeaderElected func(h core.Host)
	// OnBlockGranted, if set, is told when blocks are granted.
	OnBlockGranted func()
}

// keyBlocks begins the keys of all blocks' records.
var keyBlocks = strings.TrimSuffix(state.KeyBlock(0), "0")

// TxnFault is what becomes of a transaction.
type TxnFault struct {
	ApplyDelay    time.Duration // carried out that much later, without an answer
	ResponseLost  bool          // carried out at once; the answer is lost
	ResponseDelay time.Duration // the answer takes that long
}

// fate draws or asks what becomes of a transaction.
func (s *StateService) fate(from party, body []byte) (f TxnFault) {
	if s.LateWriteProb > 0 && s.w.chance(s.LateWriteProb) {
		f.ApplyDelay = time.Duration(s.w.between(2, 12) * float64(time.Second))
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

// Leader returns the controller that the leader's key names, or nil.
func (s *StateService) Leader() *Host {
	e := s.keys[state.KeyLeader]
	if e == nil {
		return nil
	}
	var l state.Leader
	_ = json.Unmarshal(e.value, &l)
	return s.w.host(l.Host)
}

type entry struct {
	value   json.RawMessage
	version uint64
	tenure  uint64
}

type lease struct {
	ttl     time.Duration
	due     SimTime
	version int
}

type watch struct {
	from   party
	prefix string
	after  uint64
	due    SimTime
	reply  func(core.Response)
}

type limit struct {
	rate, level float64
	at          SimTime
}

func (l *limit) take(now SimTime, n float64) bool {
	l.level = min(l.rate, l.level+(now-l.at).Seconds()*l.rate)
	l.at = now
	if l.level < n {
		return false
	}
	l.level -= n
	return true
}

const keptEvents = 10_000

func newStateService(w *World) *StateService {
	lim := w.Cfg.StateLimits
	return &StateService{
		w: w, lim: lim, keys: map[string]*entry{}, leases: map[uint64]*lease{}, refused: map[party]SimTime{},
		requests: limit{rate: lim.RPS, level: lim.RPS}, writes: limit{rate: lim.WriteRPS, level: lim.WriteRPS},
	}
}

// Outage makes the service answer 503 for a while; afterwards every lease has
// its full time again.
func (s *StateService) Outage(d time.Duration) {
	s.down = max(s.down, s.w.now+d)
	s.w.At(s.down, func() {
		for _, id := range core.SortedKeys(s.leases) {
			s.extend(id)
		}
		s.wake()
	})
}

// RejectRequestsFrom makes the service answer 503 to one controller for a while.
func (s *StateService) RejectRequestsFrom(h core.Host, d time.Duration) {
	s.refused[party(h)] = s.w.now + d
	s.w.After(d, s.wake)
}

// Slow makes answers take long for a while.
func (s *StateService) Slow(d time.Duration) { s.slow = s.w.now + d }

func (s *StateService) out(from party) bool { return s.w.now < s.down || s.w.now < s.refused[from] }

func (s *StateService) handle(from party, r core.Request, reply func(core.Response)) {
	delay := time.Duration(s.w.between(1, 8) * float64(time.Millisecond))
	switch {
	case s.w.now < s.slow:
		delay = time.Duration(s.w.between(100, 2500) * float64(time.Millisecond))
	case s.w.chance(0.01):
		delay = time.Duration(s.w.between(100, 500) * float64(time.Millisecond))
	}
	s.w.After(delay, func() { s.serve(from, r, reply) })
}

func answer(status int, body any) core.Response {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return core.Response{Status: status, Body: raw}
}

func (s *StateService) serve(from party, r core.Request, reply func(core.Response)) {
	if s.out(from) {
		reply(answer(503, api.Error{Error: "trouble"}))
		return
	}
	if !s.requests.take(s.w.now, 1) {
		s.RateLimited++
		reply(answer(429, api.Error{Error: "too many requests"}))
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
		f := s.fate(from, r.Body)
		if f.ApplyDelay > 0 {
			s.w.At(max(s.w.now+f.ApplyDelay, s.down), func() { s.txn(r.Body, func(core.Response) {}) })
			return
		}
		if f.ResponseLost {
			send = func(core.Response) {}
		}
		if f.ResponseDelay > 0 {
			prompt := send
			send = func(res core.Response) { s.w.After(f.ResponseDelay, func() { prompt(res) }) }
		}
		s.txn(r.Body, send)
	case path == "/store":
		s.page(q, send)
	case path == "/watch":
		after, _ := strconv.ParseUint(q.Get("from"), 10, 64)
		block, _ := strconv.Atoi(q.Get("blockMs"))
		w := &watch{from: from, prefix: q.Get("prefix"), after: after, due: s.w.now + time.Duration(block)*time.Millisecond, reply: reply}
		if !s.answerWatch(w) {
			s.watches = append(s.watches, w)
			s.w.At(w.due, s.wake)
		}
	case path == "/grants":
		var t api.LeaseRequest
		if json.Unmarshal(r.Body, &t) != nil || t.TTLMS < 100 {
			send(answer(400, api.Error{Error: "malformed"}))
			return
		}
		s.nextID++
		s.leases[s.nextID] = &lease{ttl: time.Duration(t.TTLMS) * time.Millisecond}
		s.extend(s.nextID)
		send(answer(200, api.LeaseResponse{LeaseID: s.nextID}))
	case strings.HasPrefix(path, "/grants/"):
		rest, renew := strings.CutSuffix(strings.TrimPrefix(path, "/grants/"), "/renew")
		id, _ := strconv.ParseUint(rest, 10, 64)
		if s.leases[id] == nil {
			send(answer(404, api.Error{Error: "no such lease"}))
			return
		}
		if renew {
			s.extend(id)
		} else {
			s.end(id)
		}
		send(answer(200, struct{}{}))
	default:
		send(answer(400, api.Error{Error: "malformed"}))
	}
}

func (s *StateService) extend(id uint64) {
	l := s.leases[id]
	l.version++
	v := l.version
	l.due = s.w.now + l.ttl
	s.w.After(l.ttl+time.Duration(s.w.between(0, 100))*time.Millisecond, func() {
		if s.leases[id] == l && l.version == v && s.w.now >= s.down {
			s.end(id)
		}
	})
}

func (s *StateService) end(id uint64) {
	delete(s.leases, id)
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
		s.log = append(s.log, api.Event{Remove: k, Version: s.ring})
	}
	s.wake()
}

func (s *StateService) txn(body []byte, reply func(core.Response)) {
	var t api.Txn
	lim := s.lim
	if json.Unmarshal(body, &t) != nil || len(body) > 64<<10 || len(t.Then) > lim.TxnOps || len(t.If) > 4*lim.TxnOps {
		s.tooLarge("malformed transaction: %.200s", body)
		reply(answer(400, api.Error{Error: "malformed"}))
		return
	}
	for _, c := range t.Then {
		if len(c.Value) > lim.ValueBytes {
			s.tooLarge("value too large: %s", c.Set)
			reply(answer(400, api.Error{Error: "malformed"}))
			return
		}
	}
	if !s.writes.take(s.w.now, float64(len(t.Then))) {
		s.RateLimited++
		reply(answer(429, api.Error{Error: "too many changes"}))
		return
	}
	for _, c := range t.Then {
		if c.LeaseID != 0 && s.leases[c.LeaseID] == nil {
			reply(answer(400, api.Error{Error: "no such lease"}))
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		v := uint64(0)
		if e := s.keys[c.Key]; e != nil {
			v = e.version
		}
		if v != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		reply(answer(409, api.TxnResponse{Revision: s.ring, Failed: failed}))
		return
	}
	if len(t.Then) > 0 {
		s.ring++
		for _, c := range t.Then {
			if c.Remove != "" {
				if s.keys[c.Remove] != nil {
					delete(s.keys, c.Remove)
					s.log = append(s.log, api.Event{Remove: c.Remove, Version: s.ring})
				}
				continue
			}
			s.keys[c.Set] = &entry{c.Value, s.ring, c.LeaseID}
			s.log = append(s.log, api.Event{Set: c.Set, Value: c.Value, Version: s.ring})
			if c.Set == state.KeyLeader && s.OnLeaderElected != nil {
				s.OnLeaderElected(s.Leader().name)
			}
			if strings.HasPrefix(c.Set, keyBlocks) && s.OnBlockGranted != nil {
				s.OnBlockGranted()
			}
		}
		if over := len(s.log) - keptEvents; over > 0 {
			s.floor = s.log[over-1].Version
			s.log = append([]api.Event{}, s.log[over:]...)
		}
		s.wake()
	}
	reply(answer(200, api.TxnResponse{Revision: s.ring}))
}

// SetLimits sets other limits from now on.
func (s *StateService) SetLimits(lim config.StateLimits) {
	s.lim = lim
	s.requests.rate, s.writes.rate = lim.RPS, lim.WriteRPS
}

func (s *StateService) tooLarge(format string, arg any) {
	s.TooLarge++
	if !s.UnannouncedLimits {
		s.w.Checker.fail(format, arg)
	}
}

// CompactHistory drops the history, so that watches from before get 410.
func (s *StateService) CompactHistory() { s.floor, s.log = s.ring, nil }

func (s *StateService) page(q url.Values, reply func(core.Response)) {
	most, _ := strconv.Atoi(q.Get("most"))
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("from") {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	p := api.ItemPage{Items: []api.Item{}, Revision: s.ring}
	for _, k := range names {
		if len(p.Items) == min(most, 1000) {
			p.More = true
			break
		}
		e := s.keys[k]
		p.Items = append(p.Items, api.Item{Key: k, Value: e.value, Version: e.version, LeaseID: e.tenure})
	}
	reply(answer(200, p))
}

func (s *StateService) answerWatch(w *watch) bool {
	if s.out(w.from) {
		return false // an open watch waits
	}
	if w.after < s.floor {
		w.reply(answer(410, api.Error{Error: "too old"}))
		return true
	}
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > w.after })
	a := api.WatchResponse{Revision: s.ring, Events: []api.Event{}}
	for _, e := range s.log[i:] {
		if strings.HasPrefix(e.Set+e.Remove, w.prefix) {
			a.Events = append(a.Events, e)
		}
	}
	if len(a.Events) == 0 && s.w.now < w.due {
		return false
	}
	w.reply(answer(200, a))
	return true
}

func (s *StateService) wake() {
	keep := s.watches[:0]
	for _, w := range s.watches {
		if !s.answerWatch(w) {
			keep = append(keep, w)
		}
	}
	s.watches = keep
}
