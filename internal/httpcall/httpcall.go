// Package httpcall sends a node's requests to the state service, the cloud and
// the workers over HTTP.
package httpcall

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// Caller sends requests and hands their answers to the loop. Connections to the
// services, of which there are few, are kept and have seats of their own; those
// to workers, of which there may be hundreds, are closed after the answer.
type Caller struct {
	loop     *core.EventLoop
	services map[string]*line
	workers  chan struct{}
}

// line is what leads to one service.
type line struct {
	seat   chan struct{}
	client *fasthttp.HostClient
}

const (
	maxAnswer   = 16 << 20
	connectWait = 1500 * time.Millisecond
)

// New makes a caller with at most workers requests to workers in flight. Those
// to the services do not count there: questions to machines that are gone hang
// until their time is over, and hundreds of them must not keep a renewal waiting.
func New(loop *core.EventLoop, workers int, services ...string) *Caller {
	c := &Caller{loop: loop, workers: make(chan struct{}, workers), services: map[string]*line{}}
	for _, addr := range services {
		c.services[addr] = &line{make(chan struct{}, config.ConnsPerService), client(addr, config.ConnsPerService)}
	}
	return c
}

func client(addr string, most int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:     addr,
		MaxConns: most,
		// A request is never sent twice behind the caller's back.
		MaxIdemponentCallAttempts:     1,
		MaxIdleConnDuration:           20 * time.Second,
		MaxResponseBodySize:           maxAnswer,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		Dial: func(addr string) (net.Conn, error) {
			return net.DialTimeout("tcp", addr, connectWait)
		},
	}
}

// Call sends a request; done runs on the loop.
func (c *Caller) Call(r core.Request, done func(core.Response)) {
	to := c.services[r.Addr]
	seat := c.workers
	if to != nil {
		seat = to.seat
	}
	select {
	case seat <- struct{}{}:
	default:
		c.loop.After(time.Millisecond, func() { done(core.Response{}) })
		return
	}
	go func() {
		res := do(r, to)
		<-seat
		c.loop.Post(func() { done(res) })
	}()
}

// do sends a request over a kept line or, if there is none, over a connection of
// its own that ends with the answer.
func do(r core.Request, to *line) core.Response {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + r.Addr + r.Path)
	req.Header.SetMethod(r.Method)
	if r.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(r.Body)
	}
	var h *fasthttp.HostClient
	if to != nil {
		h = to.client
	} else {
		h = client(r.Addr, 1)
		req.SetConnectionClose()
	}
	if err := h.DoTimeout(req, res, r.Timeout); err != nil {
		return core.Response{}
	}
	return core.Response{Status: res.StatusCode(), Body: append([]byte{}, res.Body()...)}
}
