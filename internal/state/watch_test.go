package state

import (
	"encoding/json"
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/metrics"
)

// watchLoop is an event loop on virtual time and a state service whose watches can respond late.
type watchLoop struct {
	now      core.Time
	timers   []watchTimer
	revision uint64
	events   []api.Event
	// delay is the delay of a watch response that carries a change.
	delay time.Duration
}

type watchTimer struct {
	at core.Time
	f  func()
}

func (l *watchLoop) Now() core.Time         { return l.now }
func (l *watchLoop) WallNow() core.WallTime { return 0 }
func (l *watchLoop) After(d time.Duration, f func()) {
	l.timers = append(l.timers, watchTimer{l.now.Add(d), f})
}

func (l *watchLoop) run(d time.Duration) {
	for end := l.now.Add(d); ; {
		next := -1
		for i, t := range l.timers {
			if t.at <= end && (next < 0 || t.at < l.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			l.now = end
			return
		}
		t := l.timers[next]
		l.timers = append(l.timers[:next], l.timers[next+1:]...)
		l.now = max(l.now, t.at)
		t.f()
	}
}

func (l *watchLoop) Call(r core.Request, done func(core.Response)) {
	answer := func(body any) {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		done(core.Response{Status: 200, Body: raw})
	}
	path, query, _ := strings.Cut(r.Path, "?")
	values, _ := url.ParseQuery(query)
	from, _ := strconv.ParseUint(values.Get("from"), 10, 64)
	block, _ := strconv.Atoi(values.Get("blockMs"))
	switch path {
	case "/txn":
		l.After(time.Millisecond, func() { answer(api.TxnResponse{Revision: l.revision}) })
	case "/store":
		l.After(time.Millisecond, func() { answer(api.ItemPage{Revision: l.revision}) })
	case "/watch":
		l.watch(from, l.now.Add(time.Duration(block)*time.Millisecond), answer)
	}
}

// watch responds once there is a change after the revision from, or when its timeout ends.
func (l *watchLoop) watch(from uint64, until core.Time, answer func(any)) {
	body := api.WatchResponse{Revision: l.revision, Events: []api.Event{}}
	for _, e := range l.events {
		if e.Version > from {
			body.Events = append(body.Events, e)
		}
	}
	if len(body.Events) > 0 || l.now >= until {
		l.After(l.delay+time.Millisecond, func() { answer(body) })
		return
	}
	l.After(20*time.Millisecond, func() { l.watch(from, until, answer) })
}

func newWatchedMirror(t *testing.T) (*Mirror, *watchLoop) {
	t.Helper()
	loop := &watchLoop{revision: 5}
	m := NewMirror(loop, NewClient(loop, loop, metrics.New(), "", config.StateLimits{RPS: 100, WriteRPS: 40}, 3), slog.New(slog.DiscardHandler))
	m.Start()
	loop.run(time.Second)
	if !m.Complete() {
		t.Fatal("the mirror is not complete after 1 s")
	}
	return m, loop
}

// A transaction that is executed late can raise the revision without changing anything; a blocking
// watch then stays silent until its timeout ends. When watches were reopened after every failed
// confirmation, before that timeout, no confirmation succeeded until another key was written.
func TestRevisionWithoutChangeIsReached(t *testing.T) {
	m, loop := newWatchedMirror(t)
	loop.run(6 * time.Second)
	loop.revision++
	confirmed, failed := 0, 0
	for range 20 {
		m.ConfirmFresh(func(ok bool) {
			if ok {
				confirmed++
			} else {
				failed++
			}
		})
		loop.run(time.Second)
	}
	if failed > 0 || confirmed < 18 {
		t.Fatalf("%d of 20 confirmations succeeded and %d failed, want at least 18 and 0", confirmed, failed)
	}
}

// If responses take longer than catchUpAfter, the first watch's response still counts although a
// second one has been opened, and a response older than the mirror changes nothing.
func TestResponseToAbandonedWatchIsApplied(t *testing.T) {
	m, loop := newWatchedMirror(t)
	loop.run(3 * time.Second)
	loop.delay = 1500 * time.Millisecond
	loop.revision++
	loop.events = append(loop.events, api.Event{Set: KeyTerm, Value: Put("", TermCounter{Last: 7}).Value, Version: loop.revision})
	confirmed := false
	m.ConfirmFresh(func(ok bool) { confirmed = ok })
	loop.run(1900 * time.Millisecond)
	if !confirmed || m.Term.Record.Last != 7 {
		t.Fatalf("confirmed fresh: %v, term %d; want true, 7", confirmed, m.Term.Record.Last)
	}
	m.applyWatch(core.Revision(loop.revision-1), []api.Event{{Set: KeyTerm, Value: Put("", TermCounter{Last: 3}).Value, Version: 90}})
	if m.Term.Record.Last != 7 || !m.HasReached(core.Revision(loop.revision)) {
		t.Fatalf("an outdated watch response was applied: term %d", m.Term.Record.Last)
	}
}
