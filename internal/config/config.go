// Package config reads the platform's settings file (TOML) and the operators'
// own settings (protobuf text format).
package config

import (
	"fmt"
	"os"
	"time"

	"lichenstair/internal/core"
)

// Config is everything that a node is told at its start.
type Config struct {
	Host        core.Host
	Zone        string
	Bind        string
	PeerBind    string
	Peers       []Peer
	Cloud       string
	State       string
	Nodes       int
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

// Team has CPUs and GPUs guaranteed and may use up to a limit; Unlimited where it
// has none.
type Team struct {
	Name          string
	CPUs, CPUsMax float64
	GPUs, GPUsMax float64
}

// Unlimited is the limit of a team that has none. No fleet reaches it, and being a
// number it can be compared, added and divided like any other limit.
const Unlimited = 1e12

// Objective is an aim on starting or finishing, as the users stated it.
type Objective struct {
	Kind, Class    string
	Within         time.Duration
	Share          float64
	DeadlineFactor float64
}

// WorkerTimings holds what workers do by the clock.
type WorkerTimings struct {
	Report, Lease, GangWait, GangPeer, Cancel time.Duration
}

// MaxReportHold is how long the answer to a worker with nothing to do may be kept back. Its
// lease counts from the sending of the report, and it gives up after four seconds;
// the longer, the less often a start has to wait for the next report.
func (w WorkerTimings) MaxReportHold() time.Duration { return min(3200*time.Millisecond, w.Lease/4) }

// StateLimits holds the limits of the state service: the lower of the present and the
// coming ones.
type StateLimits struct {
	RPS, WriteRPS float64
	ValueBytes    int
	TxnOps        int
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RPS     float64
	ListLag time.Duration
}

// Limits holds the limits of this process.
type Limits struct {
	CoreShare   float64
	MemoryBytes int64
	Sockets     int
}

// Sockets for what there is little of: the kept lines to the two services, the
// lines of the other controllers, listeners and the runtime's own.
const (
	ConnsPerService = 16
	ownSockets      = 2*ConnsPerService + 24
	peerSockets     = 3
	minServer       = 16
	minCalls        = 8
)

// ConnectionLimits divides the sockets: how many connections workers and users may open to
// us, and how many questions to workers may be on their way at once. One
// controller may be the only one left for a while, with the connection of every
// worker, so all that is not needed elsewhere goes there.
func (l Limits) ConnectionLimits(peers int) (server, calls int) {
	left := l.Sockets - ownSockets - peerSockets*peers
	calls = max(left/8, minCalls)
	return max(left-calls, minServer), calls
}

// MinSockets is the limit below which the shares cannot be kept within it.
func MinSockets(peers int) int {
	return ownSockets + peerSockets*peers + minServer + minCalls
}

// Load reads the platform's file and, if settings is not empty, the operators'.
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
