package main

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// balancer is a stand-in for the load balancer. It works at the connection level, as PROTOCOL
// describes it: it probes the controllers, chooses a healthy one for each new connection, and
// resets the connections of one that has been unhealthy for 5 s.
type balancer struct {
	c  *cluster
	ln net.Listener

	mu    sync.Mutex
	nodes []*node
	// by the client's address, the controller to which its connection leads
	routes map[string]*controller
}

// node is a controller as the load balancer sees it.
type node struct {
	controller     *controller
	healthy        bool
	everHealthy    bool
	probes         []bool // the last six
	unhealthySince time.Time
	pause          time.Duration // before it can be healthy again
	removals       []time.Time
	conns          map[net.Conn]bool
	answered       int       // probes answered with 200
	failed         int       // all other probes
	refusals       int       // connections in a row that failed
	passedOver     time.Time // until then
}

func newBalancer(c *cluster) (*balancer, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &balancer{c: c, ln: ln, routes: map[string]*controller{}}
	for _, k := range c.controllers {
		n := &node{controller: k, conns: map[net.Conn]bool{}}
		b.nodes = append(b.nodes, n)
		go b.probeLoop(n)
	}
	go b.serve()
	return b, nil
}

func (b *balancer) addr() string { return b.ln.Addr().String() }

// probeLoop probes a controller about once a second.
func (b *balancer) probeLoop(n *node) {
	for {
		ok := ready(n.controller.addr)
		b.mu.Lock()
		b.noteProbe(n, ok)
		b.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// noteProbe updates a controller's health. The caller holds the lock.
func (b *balancer) noteProbe(n *node, ok bool) {
	if ok {
		n.answered++
	} else {
		n.failed++
	}
	n.probes = append(n.probes, ok)
	n.probes = n.probes[max(0, len(n.probes)-6):]
	failures := 0
	for _, p := range n.probes {
		if !p {
			failures++
		}
	}
	last := func(k int, want bool) bool {
		if len(n.probes) < k {
			return false
		}
		for _, p := range n.probes[len(n.probes)-k:] {
			if p != want {
				return false
			}
		}
		return true
	}
	now := time.Now()
	switch {
	case n.healthy && (last(2, false) || failures >= 3):
		n.healthy, n.unhealthySince, n.probes = false, now, nil
		recent := n.removals[:0]
		for _, at := range n.removals {
			if now.Sub(at) < 2*time.Minute {
				recent = append(recent, at)
			}
		}
		n.removals = append(recent, now)
		n.pause = min(3*time.Second<<(len(n.removals)-1), time.Minute)
		b.c.note("load balancer", "%s is unhealthy", n.controller.name)
	case !n.healthy && (!n.everHealthy && ok || last(2, true) && now.Sub(n.unhealthySince) >= n.pause):
		n.healthy, n.everHealthy = true, true
		b.c.note("load balancer", "%s is healthy", n.controller.name)
	case !n.healthy && n.everHealthy && now.Sub(n.unhealthySince) >= 5*time.Second && len(n.conns) > 0:
		b.c.note("load balancer", "connections to %s are reset", n.controller.name)
		for conn := range n.conns {
			reset(conn)
		}
		n.conns = map[net.Conn]bool{}
	}
}

// choose returns the healthy controller with the fewest connections that was not tried before.
func (b *balancer) choose(tried map[*node]bool) *node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *node
	for _, i := range rand.Perm(len(b.nodes)) {
		n := b.nodes[i]
		if n.healthy && !tried[n] && time.Now().After(n.passedOver) && (best == nil || len(n.conns) < len(best.conns)) {
			best = n
		}
	}
	return best
}

func (b *balancer) serve() {
	for {
		in, err := b.ln.Accept()
		if err != nil {
			return
		}
		go b.pass(in)
	}
}

// pass leads a connection to a controller.
func (b *balancer) pass(in net.Conn) {
	tried := map[*node]bool{}
	for range 3 {
		n := b.choose(tried)
		if n == nil {
			break
		}
		tried[n] = true
		out, err := net.DialTimeout("tcp4", n.controller.addr, 500*time.Millisecond)
		b.mu.Lock()
		if err != nil {
			if n.refusals++; n.refusals >= 3 {
				n.refusals, n.passedOver = 0, time.Now().Add(3*time.Second)
			}
			b.mu.Unlock()
			continue
		}
		n.refusals = 0
		n.conns[in] = true
		b.routes[in.RemoteAddr().String()] = n.controller
		b.mu.Unlock()
		splice(in, out)
		b.mu.Lock()
		delete(n.conns, in)
		b.mu.Unlock()
		return
	}
	reset(in)
}

// noteProbes records how the probes were answered.
func (b *balancer) noteProbes() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.nodes {
		b.c.note("load balancer", "%s: %d probes were answered with 200, %d were not; %d connections", n.controller.name, n.answered, n.failed, len(n.conns))
	}
}

// route returns the controller to which the connection from a client's address leads.
func (b *balancer) route(client string) *controller {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.routes[client]
}
