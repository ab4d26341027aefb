// Package config reads the platform's settings file (TOML) and the operators'
// own settings (protobuf text format).
package config

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/prototext"

	"lichenstair/internal/config/settingspb"
	"lichenstair/internal/core"
)

// Config is everything that a node is told at its start.
type Config struct {
	Host     core.Host
	Zone     string
	Bind     string
	PeerBind string
	Peers    []Peer
	Cloud    string
	State    string
	Nodes    int
	Zones    []string
	Teams    []Team
	Aims     []Aim
	Workers  Workers
	StateLim StateLimits
	CloudLim CloudLimits
	Limits   Limits
	Operator Operator
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

// Aim is an aim on starting or finishing, as the users stated it.
type Aim struct {
	Kind, Class string
	Within      time.Duration
	Share       float64
	Times       float64
}

// Workers holds what workers do by the clock.
type Workers struct {
	Report, Lease, GangWait, GangPeer, Cancel time.Duration
}

// Hold is how long the answer to a worker with nothing to do may be kept back. Its
// lease counts from the sending of the report, and it gives up after four seconds;
// the longer, the less often a start has to wait for the next report.
func (w Workers) Hold() time.Duration { return min(3200*time.Millisecond, w.Lease/4) }

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
	PerService  = 16
	ownSockets  = 2*PerService + 24
	peerSockets = 3
	minServer   = 16
	minCalls    = 8
)

// Shares divides the sockets: how many connections workers and users may open to
// us, and how many questions to workers may be on their way at once. One
// controller may be the only one left for a while, with the connection of every
// worker, so all that is not needed elsewhere goes there.
func (l Limits) Shares(peers int) (server, calls int) {
	left := l.Sockets - ownSockets - peerSockets*peers
	calls = max(left/8, minCalls)
	return max(left-calls, minServer), calls
}

// LeastSockets is the limit below which the shares cannot be kept within it.
func LeastSockets(peers int) int {
	return ownSockets + peerSockets*peers + minServer + minCalls
}

// Operator holds the operators' own settings with defaults filled in.
type Operator struct {
	Tenure      time.Duration
	Blocks      int
	Idle        time.Duration
	MemoryShare float64
	RetryAfter  time.Duration
}

type file struct {
	Host  *string `toml:"host_name"`
	Zone  *string `toml:"area"`
	Bind  *string `toml:"bind"`
	Peer  *string `toml:"peer_listen"`
	Seeds []struct {
		Host *string `toml:"host_name"`
		Addr *string `toml:"address"`
	} `toml:"seeds"`
	Endpoints struct {
		Cloud *string `toml:"cloud"`
		State *string `toml:"state"`
	} `toml:"endpoints"`
	Settings struct {
		Count *int     `toml:"count"`
		Zones []string `toml:"zones"`
		Teams []struct {
			Name    *string  `toml:"name"`
			CPUs    *float64 `toml:"cpus"`
			CPUsMax *float64 `toml:"cpus_max"`
			GPUs    float64  `toml:"gpus"`
			GPUsMax float64  `toml:"gpus_max"`
		} `toml:"teams"`
		Objectives []struct {
			Kind    string  `toml:"kind"`
			Class   string  `toml:"class"`
			WithinS float64 `toml:"within_s"`
			Share   float64 `toml:"share"`
			Times   float64 `toml:"times"`
		} `toml:"objectives"`
		Workers struct {
			ReportS   *float64 `toml:"report_s"`
			LeaseS    *float64 `toml:"lease_s"`
			GangWaitS *float64 `toml:"gang_wait_s"`
			GangPeerS *float64 `toml:"gang_peer_s"`
			CancelS   *float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      *float64 `toml:"rps"`
			WriteRPS *float64 `toml:"write_rps"`
			ValueKB  *float64 `toml:"value_kb"`
			TxnOps   *int     `toml:"txn_ops"`
			// Next holds the limits that the service will have from some moment on.
			Next struct {
				RPS      *float64 `toml:"rps"`
				WriteRPS *float64 `toml:"write_rps"`
				ValueKB  *float64 `toml:"value_kb"`
				TxnOps   *int     `toml:"txn_ops"`
			} `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      *float64 `toml:"rps"`
			ListLagS *float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			CoreShare *float64 `toml:"core_share"`
			MemoryMB  *float64 `toml:"ram_mb"`
			Sockets   *int     `toml:"fd_limit"`
		} `toml:"limits"`
	} `toml:"settings"`
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

type checker struct{ err error }

func (k *checker) fail(field, problem string) {
	if k.err == nil {
		k.err = fmt.Errorf("%s: %s", field, problem)
	}
}

func need[T any](k *checker, field string, v *T) (out T) {
	if v == nil {
		k.fail(field, "missing")
		return out
	}
	return *v
}

func (k *checker) text(field string, v *string) string {
	s := need(k, field, v)
	if s == "" {
		k.fail(field, "empty")
	}
	return s
}

func (k *checker) addr(field string, v *string) string {
	s := k.text(field, v)
	if _, _, err := net.SplitHostPort(s); err != nil {
		k.fail(field, fmt.Sprintf("%q is not host:port", s))
	}
	return s
}

func (k *checker) positive(field string, v *float64) float64 {
	f := need(k, field, v)
	if !(f > 0) || f > 1e9 {
		k.fail(field, "must be positive")
	}
	return f
}

func (k *checker) seconds(field string, v *float64) time.Duration {
	return core.Seconds(k.positive(field, v))
}

func (k *checker) whole(field string, v *int) int {
	n := need(k, field, v)
	if n < 1 {
		k.fail(field, "must be at least 1")
	}
	return n
}

func (k *checker) atLeastZero(field string, f float64) float64 {
	if !(f >= 0) || f > 1e9 {
		k.fail(field, "must not be negative")
	}
	return f
}

func parse(raw []byte) (*Config, error) {
	var f file
	if err := toml.Unmarshal(raw, &f); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return nil, fmt.Errorf("line %d, column %d: %s: %v", row, col, joinKey(de.Key()), de)
		}
		return nil, err
	}
	k := &checker{}
	s := &f.Settings
	c := &Config{
		Host: core.Host(k.text("host_name", f.Host)), Zone: k.text("area", f.Zone),
		Bind: k.addr("bind", f.Bind), PeerBind: k.addr("peer_listen", f.Peer),
		Cloud: k.addr("endpoints.cloud", f.Endpoints.Cloud), State: k.addr("endpoints.state", f.Endpoints.State),
		Nodes: k.whole("settings.count", s.Count), Zones: s.Zones,
		Workers: Workers{
			Report: k.seconds("settings.workers.report_s", s.Workers.ReportS), Lease: k.seconds("settings.workers.lease_s", s.Workers.LeaseS),
			GangWait: k.seconds("settings.workers.gang_wait_s", s.Workers.GangWaitS), GangPeer: k.seconds("settings.workers.gang_peer_s", s.Workers.GangPeerS),
			Cancel: k.seconds("settings.workers.cancel_s", s.Workers.CancelS),
		},
		StateLim: StateLimits{
			RPS: k.positive("settings.state.rps", s.State.RPS), WriteRPS: k.positive("settings.state.write_rps", s.State.WriteRPS),
			ValueBytes: int(k.positive("settings.state.value_kb", s.State.ValueKB) * 1024), TxnOps: k.whole("settings.state.txn_ops", s.State.TxnOps),
		},
		CloudLim: CloudLimits{RPS: k.positive("settings.cloud.rps", s.Cloud.RPS), ListLag: k.seconds("settings.cloud.list_lag_s", s.Cloud.ListLagS)},
		Limits: Limits{
			CoreShare: k.positive("settings.limits.core_share", s.Limits.CoreShare), MemoryBytes: int64(k.positive("settings.limits.ram_mb", s.Limits.MemoryMB) * (1 << 20)),
			Sockets: k.whole("settings.limits.fd_limit", s.Limits.Sockets),
		},
	}
	// The service lowers its limits without notice, so the lower of both are kept from
	// the start. What is not named stays as it is.
	next, now := &s.State.Next, &c.StateLim
	if next.RPS != nil {
		now.RPS = min(now.RPS, k.positive("settings.state.next.rps", next.RPS))
	}
	if next.WriteRPS != nil {
		now.WriteRPS = min(now.WriteRPS, k.positive("settings.state.next.write_rps", next.WriteRPS))
	}
	if next.ValueKB != nil {
		now.ValueBytes = min(now.ValueBytes, int(k.positive("settings.state.next.value_kb", next.ValueKB)*1024))
	}
	if next.TxnOps != nil {
		now.TxnOps = min(now.TxnOps, k.whole("settings.state.next.txn_ops", next.TxnOps))
	}
	if c.Workers.Cancel <= c.Workers.Lease {
		k.fail("settings.workers.cancel_s", "must be longer than lease_s")
	}
	if len(s.Zones) == 0 {
		k.fail("settings.zones", "missing")
	}
	for i, p := range f.Seeds {
		c.Peers = append(c.Peers, Peer{core.Host(k.text(fmt.Sprintf("seeds[%d].host_name", i), p.Host)), k.addr(fmt.Sprintf("seeds[%d].address", i), p.Addr)})
	}
	if len(s.Teams) == 0 {
		k.fail("settings.teams", "missing")
	}
	seen := map[string]bool{}
	for i, t := range s.Teams {
		at := fmt.Sprintf("settings.teams[%d].", i)
		team := Team{
			Name: k.text(at+"name", t.Name), CPUs: k.atLeastZero(at+"cpus", need(k, at+"cpus", t.CPUs)), CPUsMax: k.atLeastZero(at+"cpus_max", need(k, at+"cpus_max", t.CPUsMax)),
			GPUs: k.atLeastZero(at+"gpus", t.GPUs), GPUsMax: k.atLeastZero(at+"gpus_max", t.GPUsMax),
		}
		if seen[team.Name] {
			k.fail(at+"name", fmt.Sprintf("%q stands twice", team.Name))
		}
		seen[team.Name] = true
		if team.CPUsMax == 0 {
			// A limit of 0 says that there is none. Refused as wrong, a borrowing team's
			// line kept every controller from starting (docs/incidents/inc-39d9.md).
			team.CPUsMax = Unlimited
			if team.GPUsMax == 0 {
				team.GPUsMax = Unlimited
			}
		}
		c.Teams = append(c.Teams, team)
	}
	for _, o := range s.Objectives {
		c.Aims = append(c.Aims, Aim{o.Kind, o.Class, core.Seconds(o.WithinS), o.Share, o.Times})
	}
	return c, k.err
}

func joinKey(key toml.Key) string {
	if len(key) == 0 {
		return "not TOML"
	}
	out := key[0]
	for _, p := range key[1:] {
		out += "." + p
	}
	return out
}

func parseOperator(text []byte, nodes int) (Operator, error) {
	var pb settingspb.Settings
	if err := prototext.Unmarshal(text, &pb); err != nil {
		return Operator{}, named(text, err)
	}
	refuse := func(field, problem string) error {
		at := regexp.MustCompile(`(?m)\b` + field + `\b`).FindIndex(text)
		line := 1 + bytes.Count(text[:at[0]], []byte("\n"))
		return fmt.Errorf("line %d:%d: %s: %s", line, at[0]-bytes.LastIndexByte(text[:at[0]], '\n'), field, problem)
	}
	o := Operator{Tenure: 5 * time.Second, Blocks: nodes, Idle: 20 * time.Second, MemoryShare: 0.7, RetryAfter: time.Second}
	if pb.TenureS != nil {
		if !(*pb.TenureS >= 1 && *pb.TenureS <= 600) {
			return o, refuse("tenure_s", "must be from 1 to 600")
		}
		o.Tenure = core.Seconds(*pb.TenureS)
	}
	if pb.Blocks != nil && *pb.Blocks > 0 {
		if *pb.Blocks > 1000 {
			return o, refuse("blocks", "must be at most 1000")
		}
		o.Blocks = int(*pb.Blocks)
	}
	if pb.IdleS != nil {
		if !(*pb.IdleS >= 0 && *pb.IdleS <= 86400) {
			return o, refuse("idle_s", "must be from 0 to 86400")
		}
		o.Idle = core.Seconds(*pb.IdleS)
	}
	if pb.MemoryShare != nil {
		if !(*pb.MemoryShare > 0 && *pb.MemoryShare <= 1) {
			return o, refuse("memory_share", "must be above 0 and at most 1")
		}
		o.MemoryShare = *pb.MemoryShare
	}
	if pb.RetryAfterS != nil {
		if !(*pb.RetryAfterS >= 1 && *pb.RetryAfterS <= 30) {
			return o, refuse("retry_after_s", "must be from 1 to 30")
		}
		o.RetryAfter = core.Seconds(*pb.RetryAfterS)
	}
	return o, nil
}

var place = regexp.MustCompile(`\(line (\d+):(\d+)\)`)

// named adds to an error of the text format the field at whose value it was met.
func named(text []byte, err error) error {
	at := place.FindStringSubmatch(err.Error())
	if at == nil {
		return err
	}
	line, _ := strconv.Atoi(at[1])
	col, _ := strconv.Atoi(at[2])
	lines := strings.Split(string(text), "\n")
	if line < 1 || line > len(lines) {
		return err
	}
	before := lines[line-1][:min(max(col-1, 0), len(lines[line-1]))]
	fields := regexp.MustCompile(`[a-z_]+`).FindAllString(before, -1)
	if len(fields) == 0 {
		return err
	}
	return fmt.Errorf("%s: %w", fields[len(fields)-1], err)
}
