package frontend

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/node"
)

// slowState is a state service that holds one record, the machine types, and answers transactions
// only while fast is set. Its callbacks run on the event loop.
type slowState struct {
	loop *core.EventLoop
	mu   sync.Mutex
	fast bool
}

func (s *slowState) setFast(fast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fast = fast
}

func (s *slowState) isFast() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fast
}

func (s *slowState) Call(r core.Request, done func(core.Response)) {
	answer := func(body any) {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		s.loop.After(time.Millisecond, func() { done(core.Response{Status: 200, Body: raw}) })
	}
	switch {
	case strings.HasPrefix(r.Path, "/store"):
		types, _ := json.Marshal([]api.MachineType{{Name: "small", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}})
		answer(api.ItemPage{Items: []api.Item{{Key: "lichenstair/types", Value: types, Version: 1}}, Revision: 1})
	case strings.HasPrefix(r.Path, "/watch") && !strings.HasSuffix(r.Path, "blockMs=0"):
		s.loop.After(r.Timeout, func() { done(core.Response{}) })
	case strings.HasPrefix(r.Path, "/watch"):
		answer(api.WatchResponse{Revision: 1})
	case strings.HasPrefix(r.Path, "/grants"):
		answer(api.LeaseResponse{LeaseID: 1})
	case s.isFast():
		answer(api.TxnResponse{Revision: 1})
	default:
		s.loop.After(r.Timeout, func() { done(core.Response{}) })
	}
}

// startServer serves a node whose state service is slow, and returns its URL.
func startServer(t *testing.T, conns int) (url string, state *slowState) {
	t.Helper()
	loop := core.NewEventLoop(conns)
	state = &slowState{loop: loop, fast: true}
	cfg := &config.Config{
		Host: "c0", Nodes: 1, State: "state", Cloud: "cloud", Zones: []string{"a"},
		Workers:     config.WorkerTimings{Report: time.Second, Lease: 10 * time.Second, GangWait: 30 * time.Second, GangPeer: 5 * time.Second, Cancel: 35 * time.Second},
		StateLimits: config.StateLimits{RPS: 1000, WriteRPS: 100, ValueBytes: 8 << 10, TxnOps: 32},
		CloudLimits: config.CloudLimits{RPS: 2, ListLag: 5 * time.Second},
		Operator:    config.Operator{LeaseTTL: 5 * time.Second, Blocks: 1, IdleTimeout: 20 * time.Second, RetryAfter: time.Second},
	}
	log := slog.New(slog.DiscardHandler)
	n := node.New(cfg, loop, state, func([]byte) {}, log, rand.New(rand.NewPCG(1, 1)))
	server := New(loop, n, log, conns)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	loop.Post(n.Start)
	go loop.Run()
	t.Cleanup(func() {
		ln.Close()
		loop.Stop()
	})
	url = "http://" + ln.Addr().String()
	for begun := time.Now(); get(url+"/ready", time.Second) != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > 5*time.Second {
			t.Fatal("the server is not ready after 5 s")
		}
	}
	return url, state
}

// get returns the status of a response, 0 if there was none in time.
func get(url string, timeout time.Duration) int {
	client := http.Client{Timeout: timeout}
	res, err := client.Get(url)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// A load balancer takes a controller that fails two probes in a row out of service, at last for a
// minute, so questions that wait for the state service must not fail its probes.
func TestWaitingPollsDoNotFailHealthChecks(t *testing.T) {
	const (
		polls  = 400 // at once
		probes = 5
	)
	url, state := startServer(t, 1000)
	state.setFast(false)
	var users sync.WaitGroup
	stop := make(chan struct{})
	for range polls {
		users.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					get(url+"/work/req-000001", 2*time.Second)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	for range probes {
		if status := get(url+"/ready", time.Second); status != http.StatusOK {
			t.Errorf("a health check was answered %d, want 200", status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	users.Wait()
}
