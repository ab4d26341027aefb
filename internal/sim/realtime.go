package sim

import (
	"container/heap"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"lichenstair/internal/core"
	"lichenstair/internal/httpcall"
)

// RealWorld connects a simulation on real time to controllers that run as processes of their own.
// All their messages pass through the simulation, which delays, holds or drops them as it does
// with those of simulated controllers: the state service, the cloud and the workers listen on
// loopback addresses, each with an address for each controller where the sender matters; messages
// between controllers pass through proxies. Who sends a command to a worker cannot be told, so
// partitions between one controller and one worker do not affect commands.
type RealWorld struct {
	w       *World
	binary  string
	dir     string // settings and logs
	network string // first three bytes of the loopback addresses used, "127.1.2."
	began   time.Time
	posted  chan event
	idle    sync.Map // by link and address: *fasthttp.HostClient
	failed  chan error

	mu        sync.Mutex
	listeners []net.Listener
	closed    bool
	// MaxLag is the longest time by which the simulation ran behind real time.
	MaxLag time.Duration
}

const (
	controllerPort = 8080
	peerPort       = 8081
	firstPeerProxy = 8100
	statePort      = 2379
	cloudPort      = 8443
	firstWorker    = 20000
	// MaxInstances is how many runs of one process can have addresses of their own.
	MaxInstances = 16
	// abandonAfter is how long a request is kept that gets no response.
	abandonAfter = 20 * time.Second
)

// NewRealWorld makes the controllers of a new world run as processes of a program, with settings
// and logs in a directory. instance, below MaxInstances, tells runs of one process apart. It fails
// if the program is missing or an address is in use, and then leaves nothing open. Close ends
// everything that it started.
func NewRealWorld(w *World, binary, dir string, instance int) (*RealWorld, error) {
	info, err := os.Stat(binary)
	if err != nil {
		return nil, fmt.Errorf("program of the controllers: %w", err)
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return nil, fmt.Errorf("program of the controllers: %s is not executable", binary)
	}
	r := &RealWorld{
		w: w, binary: binary, dir: dir, began: time.Now(), posted: make(chan event, 1<<16), failed: make(chan error, 1),
		network: fmt.Sprintf("127.%d.%d.", 1+os.Getpid()/16%250, os.Getpid()%16*16+instance%MaxInstances),
	}
	w.real = r
	for i, h := range w.Hosts {
		h.addr = r.controllerAddr(i, controllerPort)
	}
	for i, h := range w.Hosts {
		from := endpoint(h.name)
		r.listen(from, "state", r.controllerAddr(i, statePort), w.State.handle)
		r.listen(from, "cloud", r.controllerAddr(i, cloudPort), w.Cloud.handle)
		for k, peer := range w.Hosts {
			if k != i {
				r.listenProxy(from, endpoint(peer.name), r.controllerAddr(i, firstPeerProxy+k), r.controllerAddr(k, peerPort))
			}
		}
		if err := checkFree(h.addr); err != nil {
			r.Close()
			return nil, err
		}
	}
	select {
	case err := <-r.failed:
		r.Close()
		return nil, err
	default:
		return r, nil
	}
}

// checkFree fails if an address is in use.
func checkFree(addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("address of a controller: %w", err)
	}
	return ln.Close()
}

func (r *RealWorld) controllerAddr(i, port int) string {
	return fmt.Sprintf("%s%d:%d", r.network, 1+i, port)
}

func (r *RealWorld) workerAddr(n int) string {
	return fmt.Sprintf("%s%d:%d", r.network, 100, firstWorker+n)
}

// post runs f in the simulation, as of now.
func (r *RealWorld) post(f func()) {
	r.posted <- event{at: time.Since(r.began), run: f}
}

// fail records an error of the network, which ends the run.
func (r *RealWorld) fail(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

// Run processes events as they fall due until a time, or until a rule is broken. What arrives from
// the processes takes effect at the time at which it arrived, so an expiry that was due before it
// comes first, even if the simulation runs late.
func (r *RealWorld) Run(until SimTime) error {
	w := r.w
	timer := time.NewTimer(0)
	defer timer.Stop()
	for w.now < until && len(w.Checker.Violations) == 0 {
		r.takePosted()
		now := time.Since(r.began)
		for len(w.events) > 0 && w.events[0].at <= min(now, until) && len(w.Checker.Violations) == 0 {
			e := heap.Pop(&w.events).(event)
			w.now = max(w.now, e.at)
			r.MaxLag = max(r.MaxLag, time.Since(r.began)-e.at)
			e.run()
			w.Checker.Step(w.now)
			r.takePosted()
		}
		if now >= until {
			w.now = max(w.now, until)
			return nil
		}
		wait := 100 * time.Millisecond
		if len(w.events) > 0 {
			wait = min(wait, w.events[0].at-time.Since(r.began))
		}
		timer.Reset(max(wait, 0))
		select {
		case e := <-r.posted:
			w.At(e.at, e.run)
		case <-timer.C:
		case err := <-r.failed:
			return err
		}
	}
	return nil
}

// takePosted schedules what has arrived from the processes.
func (r *RealWorld) takePosted() {
	for {
		select {
		case e := <-r.posted:
			r.w.At(e.at, e.run)
		default:
			return
		}
	}
}

// listen serves requests of one endpoint to another at an address.
func (r *RealWorld) listen(from, to endpoint, addr string, handle handler) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		r.fail(fmt.Errorf("address of %s: %w", to, err))
		return
	}
	r.keep(ln)
	server := &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, MaxRequestBodySize: 1 << 20, IdleTimeout: time.Minute,
		Handler: func(ctx *fasthttp.RequestCtx) { r.serve(ctx, from, to, handle) },
	}
	go func() { _ = server.Serve(ln) }()
}

// serve passes a request to the simulation and answers it, if it is answered in time.
func (r *RealWorld) serve(ctx *fasthttp.RequestCtx, from, to endpoint, handle handler) {
	request := core.Request{Method: string(ctx.Method()), Path: string(ctx.RequestURI()), Body: append([]byte{}, ctx.PostBody()...)}
	done := make(chan core.Response, 1)
	r.post(func() {
		r.w.deliver(from, to, func() {
			handle(from, request, func(res core.Response) {
				r.w.deliver(to, from, func() {
					select {
					case done <- res:
					default:
					}
				})
			})
		})
	})
	select {
	case res := <-done:
		ctx.SetStatusCode(res.Status)
		ctx.SetContentType("application/json")
		ctx.SetBody(res.Body)
	case <-time.After(abandonAfter):
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
}

// forward sends a request of a worker or user to a controller.
func (r *RealWorld) forward(from endpoint, h *Host, request core.Request, reply func(core.Response)) {
	key := string(from) + " " + h.addr
	value, ok := r.idle.Load(key)
	if !ok {
		value, _ = r.idle.LoadOrStore(key, &fasthttp.HostClient{
			Addr: h.addr, MaxConns: 4096, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: 15 * time.Second, NoDefaultUserAgentHeader: true,
			Dial: func(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, 500*time.Millisecond) },
		})
	}
	client := value.(*fasthttp.HostClient)
	go func() {
		req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(res)
		request.Addr = h.addr
		httpcall.Fill(req, request)
		if client.DoTimeout(req, res, request.Timeout) != nil {
			return // the caller's own time-out ends the request
		}
		answer := httpcall.ResponseOf(res)
		r.post(func() { reply(answer) })
	}()
}

// listenProxy passes the bytes that one controller sends to another. They are held or dropped while
// a partition separates the two; after a drop the connection is closed.
func (r *RealWorld) listenProxy(from, to endpoint, addr, target string) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		r.fail(fmt.Errorf("proxy from %s to %s: %w", from, to, err))
		return
	}
	r.keep(ln)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go r.proxy(from, to, conn, target)
		}
	}()
}

func (r *RealWorld) proxy(from, to endpoint, in net.Conn, target string) {
	defer in.Close()
	out, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	go func() { // the receiver sends nothing, but may close
		_, _ = out.Read(make([]byte, 1))
		in.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		if err != nil {
			return
		}
		delivered := make(chan bool, 1)
		r.post(func() {
			if !r.w.deliver(from, to, func() { delivered <- true }) {
				delivered <- false
			}
		})
		if !<-delivered {
			return
		}
		if _, err := out.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// keep closes a listener at the end of the run.
func (r *RealWorld) keep(ln net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, ln)
	if r.closed {
		ln.Close()
	}
}

// Close ends the controllers and all listeners.
func (r *RealWorld) Close() {
	for _, h := range r.w.Hosts {
		h.Kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, ln := range r.listeners {
		ln.Close()
	}
	go func() { // requests still in progress may post
		for range r.posted {
		}
	}()
}

// realProcess is the process of a controller.
type realProcess struct {
	cmd    *exec.Cmd
	exited chan struct{}
	paused bool
}

// start starts a controller's process. If it ends by itself, the run fails.
func (r *RealWorld) start(h *Host) {
	if h.real != nil {
		return
	}
	i := r.index(h)
	path := filepath.Join(r.dir, string(h.name)+".toml")
	if err := os.WriteFile(path, []byte(r.settings(i)), 0o600); err != nil {
		r.fail(err)
		return
	}
	logs, err := os.OpenFile(filepath.Join(r.dir, string(h.name)+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		r.fail(err)
		return
	}
	defer logs.Close()
	cmd := exec.Command(r.binary, "--config", path)
	cmd.Stderr = logs
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		r.fail(fmt.Errorf("controller %s: %w", h.name, err))
		return
	}
	p := &realProcess{cmd: cmd, exited: make(chan struct{})}
	h.real = p
	go func() {
		err := cmd.Wait()
		close(p.exited)
		r.post(func() {
			if h.real == p {
				r.fail(fmt.Errorf("controller %s ended by itself: %w", h.name, errors.Join(err, errors.New("see its log"))))
			}
		})
	}()
}

func (r *RealWorld) index(h *Host) int {
	for i, other := range r.w.Hosts {
		if other == h {
			return i
		}
	}
	return -1
}

// kill ends the process at once.
func (p *realProcess) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// pause suspends the process until the host is no longer stalled.
func (p *realProcess) pause(h *Host) {
	if p.paused {
		return
	}
	p.paused = true
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	h.w.At(h.stalledUntil, func() { p.resume(h) })
}

func (p *realProcess) resume(h *Host) {
	if h.w.now < h.stalledUntil {
		h.w.At(h.stalledUntil, func() { p.resume(h) })
		return
	}
	p.paused = false
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}
