// Package statetest provides a stand-in for the state service in tests of packages that use a mirror.
package statetest

import (
	"encoding/json"
	"strings"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// revision is the revision of the service.
const revision = 9

// Service is a state service with a fixed set of keys. It is also the event loop of its client: its
// time is set by the test, and it runs no timers.
type Service struct {
	// Time is the loop's monotonic time.
	Time core.Time
	// IgnoreWatches leaves all watches unanswered, and not only those that wait for a change.
	IgnoreWatches bool

	items []api.Item
}

// Now implements core.Loop.
func (s *Service) Now() core.Time { return s.Time }

// WallNow implements core.Loop.
func (s *Service) WallNow() core.WallTime { return 0 }

// After implements core.Loop; f is never run.
func (s *Service) After(time.Duration, func()) {}

// Call implements core.Caller. Every transaction is answered as applied, and changes nothing.
func (s *Service) Call(r core.Request, done func(core.Response)) {
	page := api.ItemPage{Items: s.items, Revision: revision}
	switch {
	case strings.Contains(r.Path, "/watch") && (s.IgnoreWatches || !strings.Contains(r.Path, "blockMs=0")):
		return // there are no further changes
	case strings.Contains(r.Path, "/watch"), r.Path == "/txn":
		page.Items = nil
	}
	body, err := json.Marshal(page)
	if err != nil {
		panic(err)
	}
	done(core.Response{Status: 200, Body: body})
}

// Put adds a key with a record. It must be called before the keys are read.
func (s *Service) Put(key string, record any) {
	s.items = append(s.items, api.Item{Key: key, Value: state.Put(key, record).Value, Version: uint64(len(s.items) + 1)})
}
