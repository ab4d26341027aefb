// Package config reads the platform's settings file (TOML) and the operators' settings (protobuf
// text format).
package config

import (
	"fmt"
	"os"
	"time"

	"lichenstair/internal/core"
)

// Config holds all settings of a node.
type Config struct {
	Host        core.Host
	Zone        string
	Bind        string // listen address for users and workers
	PeerBind    string // listen address for other controllers
	Peers       []Peer // the other controllers
	Cloud       string // address of the cloud
	State       string // address of the state service
	Nodes       int    // number of controllers
	Zones       []string
	Teams       []Team
	Objectives  []Objective
	Workers     WorkerTimings
	StateLimits StateLimits
	CloudLimits CloudLimits
	Limits      Limits
	Operator    Operator
}

// Peer is another controller.
type Peer struct {
	Host core.Host
	Addr string
}

// Team holds a team's guaranteed CPUs and GPUs and its quotas, which are Unlimited if it has none.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
	GPUs, GPUsMax float64
}

// Unlimited is the quota of a team without one. It exceeds any fleet and, being a number, can be
// compared, added and divided like other quotas.
const Unlimited = 1e12

// Objective is a service-level objective on starting or finishing jobs, as set by users.
type Objective struct {
	Kind, Class    string        // kind of the objective and the job class it applies to
	Within         time.Duration // maximum time until jobs start (kind wait) or finish (kind finished)
	Share          float64       // share of the jobs that must meet the objective
	DeadlineFactor float64       // multiple of a job's own deadline, 0: 1 (kind deadline)
}

// WorkerTimings holds the time-outs and intervals of workers: the interval between reports, the
// duration of a worker's lease, how long the tasks of a gang wait for each other, after what time
// they exit when one of them is gone or hangs, and the time limit for stopping a cancelled job.
type WorkerTimings struct {
	Report, Lease, GangWait, GangPeer, Cancel time.Duration
}

// MaxReportHold returns how long the response to a report may be delayed when there is no command
// for the worker (long poll). The worker's lease counts from the sending of its report, and the
// worker gives up waiting after 4 s. A longer delay lets more starts go out without waiting for the
// next report.
func (w WorkerTimings) MaxReportHold() time.Duration { return min(3200*time.Millisecond, w.Lease/4) }

// StateLimits holds the limits of the state service: the lower of the current and the announced
// ones.
type StateLimits struct {
	RPS, WriteRPS float64
	ValueBytes    int // maximum size of a value, in bytes
	TxnOps        int // maximum number of operations of a transaction
}

// CloudLimits holds the limits of the cloud. ListLag is the maximum staleness of its machine list.
type CloudLimits struct {
	RPS     float64
	ListLag time.Duration
}

// Limits holds the resource limits of this process.
type Limits struct {
	CoreShare   float64 // CPU cores
	MemoryBytes int64
	Sockets     int // file descriptors
}

// Sockets reserved for fixed uses: the persistent connections to the two services, the connections
// of other controllers, listeners and the runtime's own.
const (
	ConnsPerService = 16
	reservedSockets = 2*ConnsPerService + 24
	socketsPerPeer  = 3
	minServerConns  = 16 // minimum of the server connections of ConnectionLimits
	minWorkerCalls  = 8  // minimum of the calls of ConnectionLimits
)

// ConnectionLimits divides the sockets into connections that workers and users may open to this
// process (server) and concurrent requests to workers (calls). One controller may temporarily serve
// the connections of all workers, so the server gets seven eighths of the sockets that are not
// reserved.
func (l Limits) ConnectionLimits(peers int) (server, calls int) {
	left := l.Sockets - reservedSockets - socketsPerPeer*peers
	calls = max(left/8, minWorkerCalls)
	return max(left-calls, minServerConns), calls
}

// MinSockets returns the lowest socket limit within which ConnectionLimits stays.
func MinSockets(peers int) int {
	return reservedSockets + socketsPerPeer*peers + minServerConns + minWorkerCalls
}

// Load reads the platform's file at path and, if settings is not empty, the operators' settings
// file.
func Load(path, settings string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("--config: %w", err)
	}
	c, err := parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var text []byte
	if settings != "" {
		if text, err = os.ReadFile(settings); err != nil {
			return nil, fmt.Errorf("--settings: %w", err)
		}
	}
	if c.Operator, err = parseOperator(text, c.Nodes); err != nil {
		return nil, fmt.Errorf("%s: %w", settings, err)
	}
	return c, nil
}
