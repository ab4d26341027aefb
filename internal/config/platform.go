package config

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"lichenstair/internal/core"
)

// file is the platform's file; nil pointers stand for missing fields.
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
		State stateFile `toml:"state"`
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

// stateFile is the section of the platform's file about the state service.
type stateFile struct {
	stateLimitsFile
	// Next holds announced limits that the service will have from some time on.
	Next stateLimitsFile `toml:"next"`
}

type stateLimitsFile struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// parse reads the platform's file. Unknown fields are ignored; missing and invalid ones are
// rejected by name.
func parse(raw []byte) (*Config, error) {
	var f file
	if err := toml.Unmarshal(raw, &f); err != nil {
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			row, col := decodeError.Position()
			return nil, fmt.Errorf("line %d, column %d: %s: %v", row, col, joinKey(decodeError.Key()), decodeError)
		}
		return nil, err
	}
	k := &checker{}
	s := &f.Settings
	c := &Config{
		Host: core.Host(k.text("host_name", f.Host)), Zone: k.text("area", f.Zone),
		Bind: k.addr("bind", f.Bind), PeerBind: k.addr("peer_listen", f.Peer),
		Cloud: k.addr("endpoints.cloud", f.Endpoints.Cloud), State: k.addr("endpoints.state", f.Endpoints.State),
		Nodes: k.positiveInt("settings.count", s.Count), Zones: s.Zones,
		Workers: WorkerTimings{
			Report: k.seconds("settings.workers.report_s", s.Workers.ReportS), Lease: k.seconds("settings.workers.lease_s", s.Workers.LeaseS),
			GangWait: k.seconds("settings.workers.gang_wait_s", s.Workers.GangWaitS), GangPeer: k.seconds("settings.workers.gang_peer_s", s.Workers.GangPeerS),
			Cancel: k.seconds("settings.workers.cancel_s", s.Workers.CancelS),
		},
		StateLimits: s.State.limits(k),
		CloudLimits: CloudLimits{RPS: k.positive("settings.cloud.rps", s.Cloud.RPS), ListLag: k.seconds("settings.cloud.list_lag_s", s.Cloud.ListLagS)},
		Limits: Limits{
			CoreShare: k.positive("settings.limits.core_share", s.Limits.CoreShare), MemoryBytes: int64(k.positive("settings.limits.ram_mb", s.Limits.MemoryMB) * (1 << 20)),
			Sockets: k.positiveInt("settings.limits.fd_limit", s.Limits.Sockets),
		},
	}
	if c.Workers.Cancel <= c.Workers.Lease {
		k.fail("settings.workers.cancel_s", fmt.Sprintf("must be longer than lease_s, got %s and %s", c.Workers.Cancel, c.Workers.Lease))
	}
	if len(s.Zones) == 0 {
		k.fail("settings.zones", "missing")
	}
	for i, p := range f.Seeds {
		c.Peers = append(c.Peers, Peer{core.Host(k.text(fmt.Sprintf("seeds[%d].host_name", i), p.Host)), k.addr(fmt.Sprintf("seeds[%d].address", i), p.Addr)})
	}
	c.Teams = f.teams(k)
	for _, o := range s.Objectives {
		c.Objectives = append(c.Objectives, Objective{o.Kind, o.Class, core.Seconds(o.WithinS), o.Share, o.Times})
	}
	return c, k.err
}

// limits returns the lower of the current and the announced limits: the service lowers its limits
// without notice, so the lower ones apply from the start. Limits that are not announced stay as
// they are.
func (f *stateFile) limits(k *checker) StateLimits {
	limits := StateLimits{
		RPS: k.positive("settings.state.rps", f.RPS), WriteRPS: k.positive("settings.state.write_rps", f.WriteRPS),
		ValueBytes: int(k.positive("settings.state.value_kb", f.ValueKB) * 1024), TxnOps: k.positiveInt("settings.state.txn_ops", f.TxnOps),
	}
	if next := f.Next.RPS; next != nil {
		limits.RPS = min(limits.RPS, k.positive("settings.state.next.rps", next))
	}
	if next := f.Next.WriteRPS; next != nil {
		limits.WriteRPS = min(limits.WriteRPS, k.positive("settings.state.next.write_rps", next))
	}
	if next := f.Next.ValueKB; next != nil {
		limits.ValueBytes = min(limits.ValueBytes, int(k.positive("settings.state.next.value_kb", next)*1024))
	}
	if next := f.Next.TxnOps; next != nil {
		limits.TxnOps = min(limits.TxnOps, k.positiveInt("settings.state.next.txn_ops", next))
	}
	return limits
}

// teams returns the configured teams; a duplicate name is an error.
func (f *file) teams(k *checker) (teams []Team) {
	if len(f.Settings.Teams) == 0 {
		k.fail("settings.teams", "missing")
	}
	seen := map[string]bool{}
	for i, t := range f.Settings.Teams {
		at := fmt.Sprintf("settings.teams[%d].", i)
		team := Team{
			Name: k.text(at+"name", t.Name), CPUs: k.nonNegative(at+"cpus", required(k, at+"cpus", t.CPUs)), CPUsMax: k.nonNegative(at+"cpus_max", required(k, at+"cpus_max", t.CPUsMax)),
			GPUs: k.nonNegative(at+"gpus", t.GPUs), GPUsMax: k.nonNegative(at+"gpus_max", t.GPUsMax),
		}
		if seen[team.Name] {
			k.fail(at+"name", fmt.Sprintf("duplicate team name %q", team.Name))
		}
		seen[team.Name] = true
		if team.CPUsMax == 0 {
			// A quota of 0 means no quota. When it was rejected as invalid, a borrowing team's
			// entry kept every controller from starting (docs/incidents/inc-39d9.md).
			team.CPUsMax = Unlimited
			if team.GPUsMax == 0 {
				team.GPUsMax = Unlimited
			}
		}
		teams = append(teams, team)
	}
	return teams
}

// joinKey returns the dotted name of a key; a syntax error has none.
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
