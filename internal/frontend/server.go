// Package frontend serves users, workers and health checks over HTTP.
package frontend

import (
	"encoding/json"
	"log/slog"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/metrics"
	"lichenstair/internal/node"
)

// Server is the HTTP side of a node.
type Server struct {
	app  *fiber.App
	loop *core.EventLoop
	node *node.Node
	log  *slog.Logger
	seat chan struct{}
	most int // connections
}

const (
	// How long a caller waits, by the protocol, less what it takes to reach it. What
	// has waited longer in the queue, behind others or while the process stood still,
	// is dropped instead of being worked off for nobody.
	answerWait  = 4500 * time.Millisecond
	pollWait    = 1900 * time.Millisecond
	readTimeout = 10 * time.Second
	// An idle connection holds a socket that a worker may need; a worker reports
	// every few seconds, and a user polls as often.
	idleTimeout = 20 * time.Second
)

// New makes a server that keeps at most conns connections.
func New(loop *core.EventLoop, n *node.Node, log *slog.Logger, conns int) *Server {
	s := &Server{loop: loop, node: n, log: log, seat: make(chan struct{}, 256), most: conns}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             api.MaxBody,
		Concurrency:           conns,
		ReadTimeout:           readTimeout,
		WriteTimeout:          readTimeout,
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        8 << 10,
		DisableDefaultDate:    true,
		ErrorHandler:          failed,
	})
	s.app.Get("/ready", s.handle(answerWait, false, func(c *fiber.Ctx) func(node.Reply) { return n.Ready }))
	s.app.Post("/hello", s.handle(answerWait, true, func(c *fiber.Ctx) func(node.Reply) {
		body := append([]byte{}, c.Body()...)
		return func(r node.Reply) { n.HandleReport(body, r) }
	}))
	s.app.Post("/work", s.handle(answerWait, false, func(c *fiber.Ctx) func(node.Reply) {
		body := append([]byte{}, c.Body()...)
		return func(r node.Reply) { n.Submit(body, r) }
	}))
	s.app.Get("/work/:id", s.handle(pollWait, false, func(c *fiber.Ctx) func(node.Reply) {
		id := core.JobID(append([]byte{}, c.Params("id")...))
		return func(r node.Reply) { n.GetJob(id, r) }
	}))
	s.app.Post("/work/:id/cancel", s.handle(answerWait, false, func(c *fiber.Ctx) func(node.Reply) {
		id := core.JobID(append([]byte{}, c.Params("id")...))
		return func(r node.Reply) { n.Cancel(id, r) }
	}))
	s.app.Get("/metrics", s.metrics)
	return s
}

// metrics answers with the controller's metrics. It needs no turn of the loop.
func (s *Server) metrics(c *fiber.Ctx) error {
	text, err := s.node.Metrics().Text()
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, metrics.ContentType)
	return c.Send(text)
}

// failed answers what never reached a handler. A body that is too large or
// cannot be read is the sender's mistake.
func failed(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	if e, ok := err.(*fiber.Error); ok {
		status = e.Code
	}
	if status == fiber.StatusRequestEntityTooLarge {
		status = fiber.StatusBadRequest
	}
	return c.Status(status).JSON(api.Error{Error: err.Error()})
}

// handle runs a request on the node's loop; reports go before all else.
func (s *Server) handle(wait time.Duration, urgent bool, prepare func(*fiber.Ctx) func(node.Reply)) fiber.Handler {
	return func(c *fiber.Ctx) error {
		came := s.loop.Now()
		if !urgent {
			if s.crowded() {
				// Users' idle connections must not keep workers out.
				c.Context().SetConnectionClose()
			}
			select {
			case s.seat <- struct{}{}:
				defer func() { <-s.seat }()
			default:
				return busy(c)
			}
		}
		work := prepare(c)
		done := make(chan node.Response, 1)
		run := func() {
			if s.loop.Now().Sub(came) > wait {
				done <- overloaded
				return
			}
			work(func(a node.Response) { done <- a })
		}
		post := s.loop.PostUser
		if urgent {
			post = s.loop.PostReport
		}
		if !post(run) {
			return busy(c)
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case a := <-done:
			if a.ExpiresAt > 0 && s.loop.Now() > a.ExpiresAt {
				return busy(c)
			}
			return write(c, a)
		case <-timer.C:
			return busy(c)
		}
	}
}

// crowded tells whether most connections are taken.
func (s *Server) crowded() bool {
	return int(s.app.Server().GetOpenConnectionsCount()) > s.most*7/10
}

var overloaded = node.Response{Status: 503, Body: api.Error{Error: "overloaded"}, RetryAfter: time.Second}

func busy(c *fiber.Ctx) error { return write(c, overloaded) }

func write(c *fiber.Ctx, a node.Response) error {
	if a.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	raw, err := json.Marshal(a.Body)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(a.Status).Send(raw)
}

// Serve answers requests that come to a listener.
func (s *Server) Serve(ln net.Listener) error { return s.app.Listener(ln) }
