package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// jobSpec is a job as its user submits it, with what its tasks really do.
type jobSpec struct {
	UID      string   `json:"uid"`
	Strain   string   `json:"strain"`
	Crew     string   `json:"crew"`
	Form     string   `json:"form"`
	Rank     string   `json:"rank"`
	Spores   int      `json:"spores"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	RAM      float64  `json:"ramGb"`
	Seedcase string   `json:"seedcase"`
	PullGb   float64  `json:"pullGb"`
	Stocks   []string `json:"stocks"`
	Patch    *string  `json:"patch"`
	OneZone  bool     `json:"oneZone"`
	Scatter  bool     `json:"scatter"`
	Windfall bool     `json:"windfall"`
	GrowS    float64  `json:"growS"`
	MoltS    float64  `json:"moltS"`
	ShedS    float64  `json:"shedS"`
	RipeS    *float64 `json:"ripeS"`
	Roots    []string `json:"roots,omitempty"`

	runFor time.Duration // of a task
	vary   float64       // by which share the run time of a task is longer or shorter
	fails  bool          // its tasks end with "error"
}

type jobTable struct {
	mu   sync.Mutex
	jobs map[string]*jobSpec
}

func (t *jobTable) get(id string) *jobSpec {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.jobs[id]
}

func (t *jobTable) put(j *jobSpec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[j.UID] = j
}

// node is a controller process.
type node struct {
	index     int
	name      string
	bind      string
	peer      string
	stateAddr string
	cloudAddr string
	config    string
	program   []string
	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	wanted    bool // it is meant to run: an end by itself is an error
}

// cluster is a small deployment: three controllers as processes of their own, and the stand-ins.
type cluster struct {
	dir         string
	began       time.Time
	recordMu    sync.Mutex
	recordFile  *os.File
	done        chan struct{}
	wg          sync.WaitGroup
	nodes       []*node
	state       *stateService
	cloud       *cloud
	check       *checker
	jobs        *jobTable
	lease       time.Duration
	cancelS     time.Duration
	reportEvery time.Duration
	gangWait    time.Duration
	gangMu      sync.Mutex
	gangs       map[string]*gang // by job and attempt
	linkMu      sync.Mutex
	cutWorkers  map[int]bool    // controllers that are cut off from the workers
	cutPeers    map[[2]int]bool // links between controllers that are cut, by sender and receiver
	teams       []team
	current     []string    // command of the version under review
	wasReady    atomic.Bool // all controllers were ready once
}

type team struct {
	name      string
	cpus, max float64
}

// trivia is the deployment trivia-oriental of the users' brief.
func trivia(record *os.File) *cluster {
	c := &cluster{
		recordFile: record, began: time.Now(), done: make(chan struct{}), lease: 10 * time.Second, cancelS: 35 * time.Second, reportEvery: time.Second, gangWait: 30 * time.Second, gangs: map[string]*gang{},
		cutWorkers: map[int]bool{}, cutPeers: map[[2]int]bool{}, jobs: &jobTable{jobs: map[string]*jobSpec{}},
		teams: []team{{"redaccion", 48, 200}, {"escenario", 112, 408}, {"boliches", 80, 200}, {"pantallas", 48, 152}, {"musica", 64, 248}, {"cuentas", 48, 90}},
	}
	zones := []string{"ciudad-vieja", "cordon", "pocitos"}
	c.cloud = &cloud{c: c, pleas: map[string][]string{}, machines: map[string]*worker{}, capacity: map[string]int{}, lag: 5 * time.Second, calls: bucket{4, 4, time.Now()},
		types: []machineType{
			{Sku: "mate", CPUs: 16, RAM: 64, Local: 40, FetchGBPerS: 0.2, Rate: 0.97, SpotPrice: 0.34, ReadyS: 30, Patches: zones},
			{Sku: "parrilla", CPUs: 32, RAM: 64, Local: 60, FetchGBPerS: 0.25, Rate: 1.73, SpotPrice: 0.7, ReadyS: 15, Patches: zones},
		}}
	// The numbers of the site file: by type and zone, ordinary and cheap machines.
	for kind, n := range map[string][2]int{
		"mate/ciudad-vieja": {4, 2}, "mate/pocitos": {4, 2}, "mate/cordon": {5, 3}, "parrilla/ciudad-vieja": {2, 1}, "parrilla/pocitos": {1, 1}, "parrilla/cordon": {2, 1},
	} {
		sku, zone, _ := strings.Cut(kind, "/")
		c.cloud.capacity[kindOf(sku, zone, false)], c.cloud.capacity[kindOf(sku, zone, true)] = n[0], n[1]
	}
	c.state = newStateService(3, 100, 40, 32, 16)
	c.check = newChecker(c)
	return c
}

// joinGang adds a task that has its image to its gang.
func (c *cluster) joinGang(t *taskRun) *gang {
	c.gangMu.Lock()
	defer c.gangMu.Unlock()
	key := fmt.Sprintf("%s#%d", t.job.UID, t.sprout)
	g := c.gangs[key]
	if g == nil {
		g = &gang{members: map[string]bool{}, size: t.job.Spores}
		c.gangs[key] = g
	}
	g.join(t.task, t.job.runFor)
	return g
}

func (c *cluster) record(format string, args ...any) {
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	fmt.Fprintf(c.recordFile, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// now is the time since the cluster began.
func (c *cluster) now() time.Duration { return time.Since(c.began) }

func (c *cluster) spawn(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// ended reports whether the run is over.
func (c *cluster) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// sleep waits and reports whether the run still lasts.
func (c *cluster) sleep(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-c.done:
			return false
		default:
			return true
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.done:
		return false
	case <-t.C:
		return true
	}
}

func listen() net.Listener {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return ln
}

// controllerAddr returns an address for a controller that is free now. Its port lies outside the range
// from which the system takes ports for outgoing connections, on a loopback address of this run alone.
func controllerAddr(network string, n int) string {
	for port := 20000 + n; ; port += 100 {
		ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", network, port))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String()
		}
		if port > 30000 {
			panic(err)
		}
	}
}

func serve(handler http.Handler) string {
	ln := listen()
	go func() { _ = (&http.Server{Handler: handler}).Serve(ln) }()
	return ln.Addr().String()
}

// start starts the controllers with a command.
func (c *cluster) start(program []string, n int) error {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	c.dir = dir
	network := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	for i := range n {
		c.nodes = append(c.nodes, &node{index: i, name: fmt.Sprintf("stalk-%d", i), bind: controllerAddr(network, 2*i), peer: controllerAddr(network, 2*i+1), program: program})
	}
	for i, nd := range c.nodes {
		nd.stateAddr = serve(c.state.handler(i))
		nd.cloudAddr = serve(c.cloud)
		nd.config = filepath.Join(dir, nd.name+".toml")
		if err := os.WriteFile(nd.config, []byte(c.toml(i)), 0o600); err != nil {
			return err
		}
	}
	for i := range c.nodes {
		if err := c.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

// toml returns the settings file of a controller.
func (c *cluster) toml(i int) string {
	out := &strings.Builder{}
	line := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	nd := c.nodes[i]
	line("host_name = %q\narea = \"ciudad-vieja\"\nbind = %q\npeer_listen = %q", nd.name, nd.bind, nd.peer)
	for k, p := range c.nodes {
		if k != i {
			line("[[seeds]]\nhost_name = %q\narea = \"ciudad-vieja\"\naddress = %q", p.name, c.peerProxy(i, k))
		}
	}
	line("[endpoints]\ncloud = %q\nstate = %q", nd.cloudAddr, nd.stateAddr)
	line("[settings]\ncount = %d\nzones = [\"ciudad-vieja\", \"cordon\", \"pocitos\"]\ntime_bound_ms = 100.0", len(c.nodes))
	for _, t := range c.teams {
		line("[[settings.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0", t.name, t.cpus, t.max)
	}
	line(`[[settings.objectives]]
kind = "wait"
class = "scoreboard-sync"
within_s = 20.0
share = 0.82
[[settings.objectives]]
kind = "finished"
class = "scoreboard-sync"
within_s = 100.0
share = 0.82
[[settings.objectives]]
kind = "deadline"
class = "deck-build"
share = 0.82
times = 1.0
[[settings.objectives]]
kind = "deadline"
class = "deck-build"
share = 0.88
times = 1.5
[[settings.objectives]]
kind = "guarantee"
within_s = 15.0
share = 0.8
[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 35.0
[settings.state]
rps = 100.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 32
[settings.cloud]
rps = 2.0
list_lag_s = 5.0
[settings.limits]
core_share = 0.12
ram_mb = 70.0
fd_limit = 500`)
	return out.String()
}

// peerProxy returns the address at which controller i reaches controller k.
func (c *cluster) peerProxy(i, k int) string {
	ln := listen()
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go c.pass(i, k, in)
		}
	}()
	return ln.Addr().String()
}

func (c *cluster) peerCut(i, k int) bool {
	c.linkMu.Lock()
	defer c.linkMu.Unlock()
	return c.cutPeers[[2]int{i, k}]
}

// pass passes the bytes of a connection between controllers. While the link is cut they are lost, and
// the connection is closed at the end.
func (c *cluster) pass(i, k int, in net.Conn) {
	defer in.Close()
	var out net.Conn
	lost := false
	buffer := make([]byte, 32<<10)
	for {
		n, err := in.Read(buffer)
		if err != nil {
			break
		}
		if c.peerCut(i, k) {
			lost = true
			continue
		}
		if lost {
			break
		}
		if out == nil {
			if out, err = net.DialTimeout("tcp4", c.nodes[k].peer, time.Second); err != nil {
				return
			}
			go func() {
				_, _ = out.Read(make([]byte, 1))
				in.Close()
			}()
		}
		if _, err := out.Write(buffer[:n]); err != nil {
			break
		}
	}
	if out != nil {
		out.Close()
	}
}

// cutNodePeers cuts a controller off from the other controllers, or ends that.
func (c *cluster) cutNodePeers(i int, cut bool) {
	c.linkMu.Lock()
	defer c.linkMu.Unlock()
	for k := range c.nodes {
		c.cutPeers[[2]int{i, k}], c.cutPeers[[2]int{k, i}] = cut, cut
	}
}

func (c *cluster) nodeCutFromWorkers(i int) bool {
	c.linkMu.Lock()
	defer c.linkMu.Unlock()
	return c.cutWorkers[i]
}

func (c *cluster) nodeNamed(name string) int {
	for i, nd := range c.nodes {
		if nd.name == name {
			return i
		}
	}
	return -1
}

func (c *cluster) startNode(i int) error {
	nd := c.nodes[i]
	if c.ended() {
		return errors.New("the run is over")
	}
	logs, err := os.OpenFile(filepath.Join(c.dir, nd.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command(nd.program[0], append(append([]string{}, nd.program[1:]...), nd.config)...)
	cmd.Stderr, cmd.Stdout = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	nd.mu.Lock()
	nd.cmd, nd.exited, nd.wanted = cmd, make(chan struct{}), true
	exited := nd.exited
	nd.mu.Unlock()
	c.record("controller %s starts, process %d", nd.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		nd.mu.Lock()
		byItself := nd.wanted && nd.cmd == cmd && !c.ended()
		nd.mu.Unlock()
		if byItself && !c.wasReady.Load() {
			c.record("controller %s ended by itself before it was ready", nd.name)
		} else if byItself {
			c.check.broken("controller %s ended by itself", nd.name)
		}
		close(exited)
	}()
	return nil
}

// kill ends a controller at once.
func (c *cluster) kill(i int) {
	nd := c.nodes[i]
	nd.mu.Lock()
	nd.wanted = false
	cmd, exited := nd.cmd, nd.exited
	nd.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
	c.record("controller %s killed", nd.name)
}

// close ends everything that the run started.
func (c *cluster) close() {
	close(c.done)
	time.Sleep(100 * time.Millisecond) // a controller that is being started again is known by then
	for i := range c.nodes {
		c.kill(i)
	}
	for _, w := range c.cloud.up() {
		w.set(func(w *worker) { w.ended = true; go w.server.Close() })
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}

var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}}

// ask sends a user's request to a controller and returns the status and the phase of the answer.
func (c *cluster) ask(i int, method, path string, body any, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[i].bind+path, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	sent := c.now()
	res, err := userClient.Do(req)
	if err != nil {
		c.record("user: %s %s to %s: no answer", method, path, c.nodes[i].name)
		return 0, ""
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	var a struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(answer, &a)
	if path != "/ready" {
		c.record("user: %s %s sent %.3f to %s: %d %s", method, path, sent.Seconds(), c.nodes[i].name, res.StatusCode, bytes.TrimSpace(answer))
	}
	return res.StatusCode, a.Phase
}

// ready reports whether a controller answers health checks.
func (c *cluster) ready(i int) bool {
	status, _ := c.ask(i, "GET", "/ready", nil, time.Second)
	return status == 200
}

// awaitReady waits until all controllers are ready and hold blocks.
func (c *cluster) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for i := range c.nodes {
			all = all && c.ready(i)
		}
		if all {
			c.wasReady.Store(true)
			return true
		}
	}
	return false
}

// pick returns a healthy controller among some (all if none are named), as the load balancer would.
func (c *cluster) pick(among ...int) int {
	if len(among) == 0 {
		for i := range c.nodes {
			among = append(among, i)
		}
	}
	for _, k := range rand.Perm(len(among)) {
		if c.ready(among[k]) {
			return among[k]
		}
	}
	return among[0]
}

// running counts the tasks of a job that are on machines.
func (c *cluster) running(id string) int { return c.check.onMachines(id) }

// submit submits a job until it is accepted, for up to 60 s.
func (c *cluster) submit(j *jobSpec, among ...int) bool {
	c.jobs.put(j)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		switch status, phase := c.ask(c.pick(among...), "POST", "/work", j, 5*time.Second); status {
		case 200, 201:
			c.check.told(j.UID, phase)
			return true
		case 400, 422:
			return false
		}
		if !c.sleep(time.Second) {
			return false
		}
	}
	return false
}

// poll asks for a job's state once.
func (c *cluster) poll(id string, among ...int) (int, string) {
	status, phase := c.ask(c.pick(among...), "GET", "/work/"+id, nil, 2*time.Second)
	if status == 200 {
		c.check.told(id, phase)
	}
	return status, phase
}

// cancel cancels a job until that is answered, for up to 60 s, and returns the phase.
func (c *cluster) cancel(id string, among ...int) string {
	c.check.cancelWanted(id)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		if status, phase := c.ask(c.pick(among...), "POST", "/work/"+id+"/cancel", nil, 5*time.Second); status == 200 {
			c.check.told(id, phase)
			return phase
		}
		if !c.sleep(time.Second) {
			break
		}
	}
	return ""
}

// block returns the block of a team, from the records in the state service, for the choice of what to
// disturb; no check depends on it.
func (c *cluster) block(team string) (number int, holder string) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	for k, e := range c.state.keys {
		var b struct {
			Number int      `json:"number"`
			Holder string   `json:"holder"`
			Teams  []string `json:"teams"`
		}
		if strings.Contains(k, "/block/") && json.Unmarshal(e.data, &b) == nil && slices.Contains(b.Teams, team) {
			return b.Number, b.Holder
		}
	}
	return -1, ""
}

// holder returns the controller that holds the block of a team, or -1.
func (c *cluster) holder(team string) int {
	_, host := c.block(team)
	return c.nodeNamed(host)
}

// leader returns the present leader, likewise.
func (c *cluster) leader() int {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	for k, e := range c.state.keys {
		var l struct {
			Host string `json:"host"`
		}
		if strings.HasSuffix(k, "/leader") && json.Unmarshal(e.data, &l) == nil {
			return c.nodeNamed(l.Host)
		}
	}
	return -1
}
