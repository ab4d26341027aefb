package httpcall

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lichenstair/internal/core"
)

// Requests to machines that are gone hang until their time-out. However many there are, a request
// to the state service must be sent at once: it may be a lease renewal.
func TestHungWorkersDoNotBlockServices(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{}") }))
	defer service.Close()
	unanswering, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unanswering.Close()
	loop := core.NewEventLoop(64)
	go loop.Run()
	defer loop.Stop()
	c := New(loop, 4, service.Listener.Addr().String())
	for range 10 {
		c.Call(core.Request{Addr: unanswering.Addr().String(), Method: "GET", Path: "/inspect", Timeout: 3 * time.Second}, func(core.Response) {})
	}
	done := make(chan core.Response, 1)
	c.Call(core.Request{Addr: service.Listener.Addr().String(), Method: "POST", Path: "/grants/1/renew", Timeout: 2 * time.Second}, func(r core.Response) { done <- r })
	select {
	case r := <-done:
		if r.Status != 200 {
			t.Fatalf("status %d", r.Status)
		}
	case <-time.After(time.Second):
		t.Fatal("a request to the service waited for requests to workers")
	}
}

// A connection to a worker is closed after the response; hundreds of idle ones would use up the
// sockets that workers need for their reports.
func TestWorkerConnectionsAreClosed(t *testing.T) {
	closed := make(chan bool, 1)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		closed <- r.Close
		io.WriteString(w, "{}")
	}))
	defer worker.Close()
	loop := core.NewEventLoop(16)
	go loop.Run()
	defer loop.Stop()
	done := make(chan core.Response, 1)
	New(loop, 4).Call(core.Request{Addr: worker.Listener.Addr().String(), Method: "GET", Path: "/inspect", Timeout: 2 * time.Second}, func(r core.Response) { done <- r })
	if r := <-done; r.Status != 200 || !<-closed {
		t.Fatalf("status %d, or the connection was kept open", r.Status)
	}
}
