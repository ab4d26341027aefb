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
)

// timedLoop runs what is due as the test moves its time on, and answers as a state service
// whose watches can take long.
type timedLoop struct {
	now    core.Time
	due    []timed
	ring   uint64
	events []api.Event
	// late is how long a watch takes to bring a change.
	late time.Duration
}

type timed struct {
	at core.Time
	f  func()
}

func (l *timedLoop) Now() core.Time         { return l.now }
func (l *timedLoop) WallNow() core.WallTime { return 0 }
func (l *timedLoop) After(d time.Duration, f func()) {
	l.due = append(l.due, timed{l.now.Add(d), f})
}

func (l *timedLoop) run(d time.Duration) {
	for end := l.now.Add(d); ; {
		next := -1
		for i, t := range l.due {
			if t.at <= end && (next < 0 || t.at < l.due[next].at) {
				next = i
			}
		}
		if next < 0 {
			l.now = end
			return
		}
		t := l.due[next]
		l.due = append(l.due[:next], l.due[next+1:]...)
		l.now = max(l.now, t.at)
		t.f()
	}
}

func (l *timedLoop) Call(r core.Request, done func(core.Response)) {
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
		l.After(time.Millisecond, func() { answer(api.TxnResponse{Revision: l.ring}) })
	case "/store":
		l.After(time.Millisecond, func() { answer(api.ItemPage{Revision: l.ring}) })
	case "/watch":
		l.watch(from, l.now.Add(time.Duration(block)*time.Millisecond), answer)
	}
}

// watch answers once there is a change after a revision, or when its time is over.
func (l *timedLoop) watch(from uint64, until core.Time, answer func(any)) {
	body := api.WatchResponse{Revision: l.ring, Events: []api.Event{}}
	for _, e := range l.events {
		if e.Version > from {
			body.Events = append(body.Events, e)
		}
	}
	if len(body.Events) > 0 || l.now >= until {
		l.After(l.late+time.Millisecond, func() { answer(body) })
		return
	}
	l.After(20*time.Millisecond, func() { l.watch(from, until, answer) })
}

func watchedMirror(t *testing.T) (*Mirror, *timedLoop) {
	t.Helper()
	loop := &timedLoop{ring: 5}
	m := NewMirror(loop, NewClient(loop, loop, "", config.StateLimits{RPS: 100, WriteRPS: 40}, 3), slog.New(slog.DiscardHandler))
	m.Start()
	loop.run(time.Second)
	if !m.Complete() {
		t.Fatal("the mirror is not complete")
	}
	return m, loop
}

// A transaction that is carried out late can raise the revision and change nothing: a watch
// that waits for a change then says nothing until its time is over. Watches were opened anew
// with each proof that failed, before that, so that no proof succeeded again and nobody was
// answered until something else was written.
func TestRevisionWithoutChangeIsReached(t *testing.T) {
	m, loop := watchedMirror(t)
	loop.run(6 * time.Second)
	loop.ring++
	proven, failed := 0, 0
	for range 20 {
		m.ConfirmFresh(func(ok bool) {
			if ok {
				proven++
			} else {
				failed++
			}
		})
		loop.run(time.Second)
	}
	if failed > 0 || proven < 18 {
		t.Fatalf("of 20 proofs %d succeeded and %d failed", proven, failed)
	}
}

// Where answers take longer than a proof waits before it asks for what is missing, the first
// watch's answer still counts, although another has been opened; one that is overtaken by a
// newer one changes nothing.
func TestAnswerOfAWatchGivenUpCounts(t *testing.T) {
	m, loop := watchedMirror(t)
	loop.run(3 * time.Second)
	loop.late = 1500 * time.Millisecond
	loop.ring++
	loop.events = append(loop.events, api.Event{Set: KeyTerm, Value: Put("", TermCounter{Last: 7}).Value, Version: loop.ring})
	proven := false
	m.ConfirmFresh(func(ok bool) { proven = ok })
	loop.run(1900 * time.Millisecond)
	if !proven || m.Term.Record.Last != 7 {
		t.Fatalf("proven %v, term %d", proven, m.Term.Record.Last)
	}
	m.advance(core.Revision(loop.ring-1), []api.Event{{Set: KeyTerm, Value: Put("", TermCounter{Last: 3}).Value, Version: 90}})
	if m.Term.Record.Last != 7 || !m.HasReached(core.Revision(loop.ring)) {
		t.Fatalf("an older answer was taken in: term %d", m.Term.Record.Last)
	}
}
