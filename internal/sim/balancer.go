package sim

import (
	"math"
	"slices"
	"time"

	"lichenstair/internal/core"
)

// Balancer is the users' load balancer: it probes the controllers and passes each request to a
// healthy one, as the protocol describes. Each request counts as a new connection.
type Balancer struct {
	w        *World
	backends []*backend
	// NoBackend counts requests for which no controller was healthy.
	NoBackend int
}

// backend is what the balancer knows of a controller.
type backend struct {
	host           *Host
	healthy        bool
	everHealthy    bool
	probes         []bool // results of the last probes, oldest first
	healthyAt      SimTime
	eligibleAt     SimTime   // it is not marked healthy again before then
	removals       []SimTime // when it was marked unhealthy lately
	open           int       // requests in progress
	refused        int       // connections refused in a row
	passedOverTill SimTime   // it gets no connections until then
}

const (
	probeInterval     = time.Second
	probeTimeout      = time.Second
	probesKept        = 6
	failuresInRow     = 2
	failuresAmongKept = 3
	successesInRow    = 2
	firstPause        = 3 * time.Second
	maxPause          = 60 * time.Second
	removalMemory     = 2 * time.Minute
	warmUp            = 10 * time.Second
	connectTries      = 3
	refusalsInRow     = 3
	passOverTime      = 3 * time.Second
)

// UseBalancer makes the users' requests go through a load balancer that follows the protocol in
// full, instead of the simplified choice of a controller.
func (w *World) UseBalancer() {
	b := &Balancer{w: w}
	w.Balancer = b
	for _, h := range w.Hosts {
		x := &backend{host: h}
		b.backends = append(b.backends, x)
		w.After(time.Duration(w.uniform(0, 1)*float64(probeInterval)), func() { b.probe(x) })
	}
}

// probe probes a controller, now and about once a second from then on.
func (b *Balancer) probe(x *backend) {
	b.w.After(probeInterval, func() { b.probe(x) })
	b.w.exchange("users", core.Request{Addr: x.host.addr, Method: "GET", Path: "/ready", Timeout: probeTimeout}, func(res core.Response) {
		b.note(x, res.Status == 200)
	})
}

// note records the result of a probe and changes the controller's health.
func (b *Balancer) note(x *backend, ok bool) {
	x.probes = append(x.probes, ok)
	if len(x.probes) > probesKept {
		x.probes = x.probes[1:]
	}
	last := func(n int, want bool) bool {
		return len(x.probes) >= n && !slices.Contains(x.probes[len(x.probes)-n:], !want)
	}
	failures := 0
	for _, p := range x.probes {
		if !p {
			failures++
		}
	}
	switch {
	case x.healthy && (last(failuresInRow, false) || failures >= failuresAmongKept):
		b.remove(x)
	case !x.healthy && !x.everHealthy && ok, !x.healthy && last(successesInRow, true) && b.w.now >= x.eligibleAt:
		x.healthy, x.everHealthy, x.healthyAt = true, true, b.w.now
		x.probes = nil
	}
}

// remove marks a controller unhealthy, for a pause that doubles with each further removal.
func (b *Balancer) remove(x *backend) {
	x.healthy = false
	x.removals = slices.DeleteFunc(x.removals, func(at SimTime) bool { return b.w.now-at > removalMemory })
	pause := min(time.Duration(float64(firstPause)*math.Pow(2, float64(len(x.removals)))), maxPause)
	x.removals = append(x.removals, b.w.now)
	x.eligibleAt = b.w.now + pause
	b.w.logger().Info("balancer: controller marked unhealthy", "controller", x.host.name, "pause", pause.String())
}

// choose returns a healthy controller that has not been tried, those with fewer open requests
// first, or nil.
func (b *Balancer) choose(tried []*backend) *backend {
	var best *backend
	least := math.Inf(1)
	for _, x := range b.backends {
		if !x.healthy || b.w.now < x.passedOverTill || slices.Contains(tried, x) {
			continue
		}
		share := min(1, max(0.05, (b.w.now-x.healthyAt).Seconds()/warmUp.Seconds()))
		if load := (float64(x.open) + b.w.Rand.Float64()) / share; load < least {
			best, least = x, load
		}
	}
	return best
}

// Send passes a request to a healthy controller, and to another one if it refuses the connection.
func (b *Balancer) Send(r core.Request, done func(core.Response)) { b.send(r, nil, done) }

func (b *Balancer) send(r core.Request, tried []*backend, done func(core.Response)) {
	x := b.choose(tried)
	if x == nil {
		b.NoBackend++
		b.w.After(time.Millisecond, func() { done(core.Response{}) })
		return
	}
	if !x.host.accepts() {
		x.refused++
		if x.refused >= refusalsInRow {
			x.refused, x.passedOverTill = 0, b.w.now+passOverTime
		}
		if tried = append(tried, x); len(tried) < connectTries {
			b.send(r, tried, done)
			return
		}
		b.w.After(time.Millisecond, func() { done(core.Response{}) })
		return
	}
	x.refused = 0
	x.open++
	r.Addr = x.host.addr
	b.w.exchange("users", r, func(res core.Response) {
		x.open--
		done(res)
	})
}
