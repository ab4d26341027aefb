package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes TCP connections on to a target. A cut resets its connections and refuses new ones.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

// setCut begins or ends a cut.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = cut
	if cut {
		for conn := range p.conns {
			reset(conn)
		}
		p.conns = map[net.Conn]bool{}
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// admit registers a connection, unless there is a cut.
func (p *proxy) admit(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCut {
		p.conns[conn] = true
	}
	return !p.isCut
}

func (p *proxy) serve() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.pass(in)
	}
}

func (p *proxy) pass(in net.Conn) {
	if !p.admit(in) {
		reset(in)
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(in)
		return
	}
	if !p.admit(out) {
		reset(out)
		return
	}
	splice(in, out)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, in)
	delete(p.conns, out)
}

// splice passes bytes both ways until one side ends.
func splice(a, b net.Conn) {
	done := make(chan struct{}, 2)
	one := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go one(a, b)
	go one(b, a)
	<-done
	a.Close()
	b.Close()
}
