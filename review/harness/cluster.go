package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lichenstair/api"
)

// cluster is a deployment: the controllers as separate processes, and the stand-ins beside them.
type cluster struct {
	trouble     bool
	dir         string // settings and logs of the controllers
	controllers []*controller
	state       *stateService
	cloud       *cloudService
	cloudAddr   string
	site        site
	failed      chan error // an error of the stand-ins, which ends the case

	mu       sync.Mutex
	began    time.Time
	record   *bufio.Writer
	file     *os.File
	jobs     map[string]*api.Job      // as uploaded by their users
	finished map[string]chan struct{} // closed when a task may complete
	events   []event
	changed  chan struct{} // closed and replaced with each event
}

// controller is a controller's process and its connections to others.
type controller struct {
	name      string
	addr      string // for users and workers
	peerAddr  string
	peers     []peerLink
	toState   *proxy
	fromPeers []*proxy // connections from the other controllers
	process   *exec.Cmd
	exited    chan struct{}
}

// peerLink is the way to another controller.
type peerLink struct {
	name string
	link *proxy
}

// eventKind is the kind of an event that a case may wait for.
type eventKind string

const (
	reportSent    eventKind = "report sent"
	taskCommanded eventKind = "start command executed"
	taskOn        eventKind = "task has its image and is on its machine"
	taskOff       eventKind = "task is off its machine"
)

// event is something that a worker saw.
type event struct {
	at         time.Time
	kind       eventKind
	machine    string
	controller int
	task       string
	attempt    uint64
	detail     string
	asked      time.Time // of a start: when the report was sent whose response commands it
}

const controllerCount = 3

func newCluster(recordPath string, trouble bool) (*cluster, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		trouble: trouble, dir: dir, failed: make(chan error, 1), began: time.Now(), record: bufio.NewWriter(file), file: file,
		jobs: map[string]*api.Job{}, finished: map[string]chan struct{}{}, changed: make(chan struct{}),
	}
	c.note("case", "%s, disruption: %v", os.Args[1], trouble)
	return c, nil
}

// start starts the stand-ins and the controllers of a site, with a cloud that has the given number
// of machines, of which one is up from the start. With firstAlone the other controllers start when
// the first one is ready.
func (c *cluster) start(s site, capacity int, firstAlone bool) error {
	c.site = s
	c.state = newStateService(s)
	stateAddr, err := serve(c.state)
	if err != nil {
		return err
	}
	c.cloud = newCloudService(c, s.types, capacity)
	if c.cloudAddr, err = serve(c.cloud); err != nil {
		return err
	}
	for i := range controllerCount {
		k := &controller{name: fmt.Sprintf("stalk-%d", i)}
		for _, addr := range []*string{&k.addr, &k.peerAddr} {
			if *addr, err = freeAddr(); err != nil {
				return err
			}
		}
		if k.toState, err = newProxy(stateAddr); err != nil {
			return err
		}
		c.controllers = append(c.controllers, k)
	}
	for i, k := range c.controllers {
		for j, peer := range c.controllers {
			if i == j {
				continue
			}
			link, err := newProxy(peer.peerAddr)
			if err != nil {
				return err
			}
			k.peers, peer.fromPeers = append(k.peers, peerLink{peer.name, link}), append(peer.fromPeers, link)
		}
	}
	for _, k := range c.controllers {
		if err := c.startController(k); err != nil {
			return err
		}
		if firstAlone && k == c.controllers[0] {
			if err := c.awaitReady(k); err != nil {
				return err
			}
		}
	}
	c.cloud.addMachine()
	for _, k := range c.controllers {
		if err := c.awaitReady(k); err != nil {
			return err
		}
	}
	c.note("case", "all controllers are ready")
	return nil
}

// awaitReady waits until a controller is ready.
func (c *cluster) awaitReady(k *controller) error {
	for deadline := time.Now().Add(15 * time.Second); !ready(k.addr); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready after 15 s", k.name)
		}
	}
	return nil
}

// ready probes a controller's readiness.
func ready(addr string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

// serve serves HTTP at a free address.
func serve(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, handler) }()
	return ln.Addr().String(), nil
}

// freeAddr returns a loopback address that is free at the moment. It is on a host of its own, so that
// no other connection takes the port before the controller listens on it.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250)))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (c *cluster) settingsPath(k *controller) string { return filepath.Join(c.dir, k.name+".toml") }

// startController starts a controller as the deploy file says. The working directory is the
// repository's root.
func (c *cluster) startController(k *controller) error {
	if err := os.WriteFile(c.settingsPath(k), []byte(c.settings(k)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, k.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/lichenstair", "--config", c.settingsPath(k))
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	k.process, k.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	c.note("case", "%s started", k.name)
	return nil
}

// cutOff cuts a controller off from the state service and the other controllers, or ends that.
func (c *cluster) cutOff(k *controller, cut bool) {
	c.note("case", "%s is cut off from the state service and the other controllers: %v", k.name, cut)
	k.toState.setCut(cut)
	for _, p := range k.peers {
		p.link.setCut(cut)
	}
	for _, p := range k.fromPeers {
		p.setCut(cut)
	}
}

// kill ends a controller's process at once.
func (c *cluster) kill(k *controller) {
	c.note("case", "%s is killed", k.name)
	_ = k.process.Process.Kill()
	<-k.exited
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, k := range c.controllers {
		if k.process != nil {
			_ = k.process.Process.Kill()
			<-k.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", c.dir)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Flush()
	c.file.Close()
}

// fail ends the case because it cannot run.
func (c *cluster) fail(err error) {
	select {
	case c.failed <- err:
	default:
	}
}

// stamp returns a time as seconds since the begin of the case.
func (c *cluster) stamp(at time.Time) string { return fmt.Sprintf("%.3f", at.Sub(c.began).Seconds()) }

// note writes a line to the record.
func (c *cluster) note(who, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write(who, fmt.Sprintf(format, args...))
}

// write writes a line to the record. The caller holds the lock.
func (c *cluster) write(who, text string) {
	fmt.Fprintf(c.record, "%s %s: %s\n", c.stamp(time.Now()), who, text)
}

// observe records an event and wakes those who wait for one.
func (c *cluster) observe(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.at = time.Now()
	c.events = append(c.events, e)
	if e.kind != reportSent {
		c.write(e.machine, strings.TrimSpace(fmt.Sprintf("%s: %s attempt %d %s", e.kind, e.task, e.attempt, e.detail)))
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// find returns the first event that matches.
func (c *cluster) find(match func(event) bool) (event, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events {
		if match(e) {
			return e, true
		}
	}
	return event{}, false
}

// await waits for an event that matches.
func (c *cluster) await(limit time.Duration, match func(event) bool) (event, bool) {
	deadline := time.After(limit)
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		if e, ok := c.find(match); ok {
			return e, true
		}
		select {
		case <-changed:
		case <-deadline:
			return event{}, false
		}
	}
}

// job returns the description of a job that its user has uploaded, nil if there is none.
func (c *cluster) job(id string) *api.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// taskFinished returns a channel that is closed when a task's work is complete.
func (c *cluster) taskFinished(name string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished[name] == nil {
		c.finished[name] = make(chan struct{})
	}
	return c.finished[name]
}
