// Package httpcall sends a node's requests to the state service, the cloud and
// the workers over HTTP.
package httpcall

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichenstair/internal/core"
)

// Caller keeps connections to each address and hands answers to the loop.
type Caller struct {
	loop *core.RealLoop
	seat chan struct{}

	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
}

const (
	maxAnswer   = 16 << 20
	connectWait = 1500 * time.Millisecond
	maxPerHost  = 16
	maxHosts    = 1000
)

// New makes a caller with at most calls requests in flight.
func New(loop *core.RealLoop, calls int) *Caller {
	return &Caller{loop: loop, seat: make(chan struct{}, calls), clients: map[string]*fasthttp.HostClient{}}
}

func (c *Caller) client(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.clients[addr]
	if h == nil {
		if len(c.clients) >= maxHosts {
			clear(c.clients)
		}
		h = &fasthttp.HostClient{
			Addr:     addr,
			MaxConns: maxPerHost,
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
		c.clients[addr] = h
	}
	return h
}

// Call sends a request; done runs on the loop.
func (c *Caller) Call(r core.Request, done func(core.Response)) {
	select {
	case c.seat <- struct{}{}:
	default:
		c.loop.After(time.Millisecond, func() { done(core.Response{}) })
		return
	}
	go func() {
		res := c.do(r)
		<-c.seat
		c.loop.Post(func() { done(res) })
	}()
}

func (c *Caller) do(r core.Request) core.Response {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + r.Addr + r.Path)
	req.Header.SetMethod(r.Method)
	if r.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(r.Body)
	}
	if err := c.client(r.Addr).DoTimeout(req, res, r.Timeout); err != nil {
		return core.Response{}
	}
	return core.Response{Status: res.StatusCode(), Body: append([]byte{}, res.Body()...)}
}
