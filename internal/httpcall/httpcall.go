// Package httpcall sends a node's HTTP requests to the state service, the cloud and the workers.
package httpcall

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// Caller sends requests and passes their responses to the event loop. Connections to the few
// services are persistent and have request slots of their own; connections to workers, of which
// there may be hundreds, are closed after the response.
type Caller struct {
	loop        *core.EventLoop
	services    map[string]*service
	workerSlots chan struct{}
}

// service holds the request slots and the persistent connections of one service.
type service struct {
	slots  chan struct{}
	client *fasthttp.HostClient
}

const (
	maxResponseBytes = 16 << 20
	connectTimeout   = 1500 * time.Millisecond
)

// New returns a caller with at most workers concurrent requests to workers. Requests to the
// services do not count: requests to machines that are gone hang until their time-out, and hundreds
// of them must not delay a lease renewal.
func New(loop *core.EventLoop, workers int, services ...string) *Caller {
	c := &Caller{loop: loop, workerSlots: make(chan struct{}, workers), services: map[string]*service{}}
	for _, addr := range services {
		c.services[addr] = &service{make(chan struct{}, config.ConnsPerService), newHostClient(addr, config.ConnsPerService)}
	}
	return c
}

func newHostClient(addr string, maxConns int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:     addr,
		MaxConns: maxConns,
		// The client library must not repeat a request, since a repetition could be executed twice.
		MaxIdemponentCallAttempts:     1,
		MaxIdleConnDuration:           20 * time.Second,
		MaxResponseBodySize:           maxResponseBytes,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		Dial: func(addr string) (net.Conn, error) {
			return net.DialTimeout("tcp", addr, connectTimeout)
		},
	}
}

// Call sends a request; done runs on the event loop. It gets status 0 if no response came and,
// after 1 ms, if there was no free slot.
func (c *Caller) Call(r core.Request, done func(core.Response)) {
	svc := c.services[r.Addr]
	slots := c.workerSlots
	if svc != nil {
		slots = svc.slots
	}
	select {
	case slots <- struct{}{}:
	default:
		c.loop.After(time.Millisecond, func() { done(core.Response{}) })
		return
	}
	go func() {
		res := do(r, svc)
		<-slots
		c.loop.Post(func() { done(res) })
	}()
}

// do sends a request over a persistent connection to a service or, if svc is nil, over a new
// connection that is closed after the response.
func do(r core.Request, svc *service) core.Response {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	Fill(req, r)
	var h *fasthttp.HostClient
	if svc != nil {
		h = svc.client
	} else {
		h = newHostClient(r.Addr, 1)
		req.SetConnectionClose()
	}
	if err := h.DoTimeout(req, res, r.Timeout); err != nil {
		return core.Response{}
	}
	return ResponseOf(res)
}

// Fill sets the address, method, path and body of an HTTP request.
func Fill(req *fasthttp.Request, r core.Request) {
	req.SetRequestURI("http://" + r.Addr + r.Path)
	req.Header.SetMethod(r.Method)
	if r.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(r.Body)
	}
}

// ResponseOf returns a copy of an HTTP response, which may be released afterwards.
func ResponseOf(res *fasthttp.Response) core.Response {
	return core.Response{Status: res.StatusCode(), Body: append([]byte{}, res.Body()...)}
}
