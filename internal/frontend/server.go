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
	"lichenstair/internal/admission"
	"lichenstair/internal/core"
	"lichenstair/internal/metrics"
	"lichenstair/internal/node"
)

// Server is the HTTP server of a node.
type Server struct {
	app      *fiber.App
	loop     *core.EventLoop
	node     *node.Node
	log      *slog.Logger
	admitted *admission.Control
	maxConns int // maximum number of connections
	stats    requestStats
}

const (
	readTimeout = 10 * time.Second
	// An idle connection holds a socket that a worker may need. Workers report every few seconds,
	// and users poll as often.
	idleTimeout = 20 * time.Second
)

// New returns a server with at most conns connections.
func New(loop *core.EventLoop, n *node.Node, log *slog.Logger, conns int) *Server {
	s := &Server{loop: loop, node: n, log: log, admitted: admission.New(conns), maxConns: conns, stats: requestStats{metrics: n.Metrics()}}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             api.MaxBody,
		Concurrency:           conns,
		ReadTimeout:           readTimeout,
		WriteTimeout:          readTimeout,
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        8 << 10,
		DisableDefaultDate:    true,
		ErrorHandler:          errorHandler,
	})
	s.app.Get("/ready", s.health)
	s.app.Post("/hello", s.handle(admission.Report, func(c *fiber.Ctx) func(node.Reply) {
		body := append([]byte{}, c.Body()...)
		return func(r node.Reply) { n.HandleReport(body, r) }
	}))
	s.app.Post("/work", s.handle(admission.Submission, func(c *fiber.Ctx) func(node.Reply) {
		body := append([]byte{}, c.Body()...)
		return func(r node.Reply) { n.Submit(body, r) }
	}))
	s.app.Get("/work/:id", s.handle(admission.Poll, func(c *fiber.Ctx) func(node.Reply) {
		id := core.JobID(append([]byte{}, c.Params("id")...))
		return func(r node.Reply) { n.GetJob(id, r) }
	}))
	s.app.Post("/work/:id/cancel", s.handle(admission.Cancellation, func(c *fiber.Ctx) func(node.Reply) {
		id := core.JobID(append([]byte{}, c.Params("id")...))
		return func(r node.Reply) { n.Cancel(id, r) }
	}))
	s.app.Get("/metrics", s.metrics)
	return s
}

// health answers a health check. It waits neither for other requests nor for the event loop.
func (s *Server) health(c *fiber.Ctx) error {
	response := s.node.Ready(s.loop.Now())
	outcome := outcomeAnswered
	if response.Status != fiber.StatusOK {
		outcome = outcomeRefused
	}
	s.stats.observe(admission.Health, outcome, 0)
	return writeResponse(c, response)
}

// metrics serves the controller's metrics. It does not run on the event loop.
func (s *Server) metrics(c *fiber.Ctx) error {
	text, err := s.node.Metrics().Text()
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, metrics.ContentType)
	return c.Send(text)
}

// errorHandler answers requests that reached no handler. A body that is too large or cannot be read
// is the client's error.
func errorHandler(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	if e, ok := err.(*fiber.Error); ok {
		status = e.Code
	}
	if status == fiber.StatusRequestEntityTooLarge {
		status = fiber.StatusBadRequest
	}
	return c.Status(status).JSON(api.Error{Error: err.Error()})
}

// handle runs a request on the node's event loop. Reports take precedence. A request that waited
// longer than its caller does, in the queue or while the process was suspended, is dropped.
func (s *Server) handle(kind admission.Kind, prepare func(*fiber.Ctx) func(node.Reply)) fiber.Handler {
	wait := kind.Timeout()
	return func(c *fiber.Ctx) error {
		received := s.loop.Now()
		respond := func(outcome requestOutcome, a node.Response) error {
			s.stats.observe(kind, outcome, s.loop.Now().Sub(received))
			return writeResponse(c, a)
		}
		if kind != admission.Report && s.nearConnLimit() {
			// Idle connections of users must not keep workers from connecting.
			c.Context().SetConnectionClose()
		}
		if !s.admitted.Admit(kind) {
			return respond(outcomeNotAdmitted, overloaded)
		}
		defer s.admitted.Release(kind)
		work := prepare(c)
		done := make(chan node.Response, 1)
		expiredInQueue := false
		run := func() {
			if s.loop.Now().Sub(received) > wait {
				expiredInQueue = true
				done <- overloaded
				return
			}
			work(func(a node.Response) { done <- a })
		}
		post := s.loop.PostUser
		if kind == admission.Report {
			post = s.loop.PostReport
		}
		if !post(run) {
			return respond(outcomeQueueFull, overloaded)
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case a := <-done:
			switch {
			case expiredInQueue:
				return respond(outcomeExpiredInQueue, a)
			case a.ExpiresAt > 0 && s.loop.Now() > a.ExpiresAt:
				return respond(outcomeOutdated, overloaded)
			case a.Status == fiber.StatusServiceUnavailable || a.Status == fiber.StatusTooManyRequests:
				return respond(outcomeRefused, a)
			}
			return respond(outcomeAnswered, a)
		case <-timer.C:
			return respond(outcomeExpired, overloaded)
		}
	}
}

// nearConnLimit reports whether more than 70 % of the connections are in use.
func (s *Server) nearConnLimit() bool {
	return int(s.app.Server().GetOpenConnectionsCount()) > s.maxConns*7/10
}

var overloaded = node.Response{Status: 503, Body: api.Error{Error: "overloaded"}, RetryAfter: time.Second}

func writeResponse(c *fiber.Ctx, a node.Response) error {
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

// Serve serves requests on a listener.
func (s *Server) Serve(ln net.Listener) error {
	go s.logUnanswered()
	return s.app.Listener(ln)
}

// logUnanswered logs periodically how many requests were not answered, by kind and outcome.
func (s *Server) logUnanswered() {
	for range time.Tick(summaryInterval) {
		if summary := s.stats.summary(); summary != "" {
			s.log.Info("requests without an answer", "interval", summaryInterval.String(), "counts", summary, "connections", s.app.Server().GetOpenConnectionsCount(), "in_progress", s.admitted.InProgress())
		}
	}
}
