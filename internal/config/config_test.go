package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validConfig = `host_name = "c0"
area = "a"
bind = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
future = 7

[[seeds]]
host_name = "c1"
area = "a"
address = "127.0.0.2:8081"

[endpoints]
cloud = "127.0.0.9:1"
state = "127.0.0.9:2"

[settings]
count = 2
zones = ["a"]

[[settings.teams]]
name = "red"
cpus = 1.0
cpus_max = 2.0

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
core_share = 0.1
ram_mb = 70.0
fd_limit = 500
`

func TestPlatformFile(t *testing.T) {
	if c, err := parse([]byte(validConfig)); err != nil || c.Workers.Lease != 10*time.Second || c.StateLimits.ValueBytes != 16384 || c.Peers[0].Host != "c1" {
		t.Fatalf("%+v, %v", c, err)
	}
	for _, tc := range []struct{ old, new, field string }{
		{`host_name = "c0"`, ``, "host_name"},
		{`bind = "127.0.0.1:8080"`, `bind = "nowhere"`, "bind"},
		{`bind = "127.0.0.1:8080"`, `bind = 5`, "bind"},
		{`lease_s = 10.0`, `lease_s = -1.0`, "settings.workers.lease_s"},
		{`lease_s = 10.0`, `lease_s = "ten"`, "settings.workers.lease_s"},
		{`cancel_s = 35.0`, `cancel_s = 5.0`, "settings.workers.cancel_s"},
		{`cpus_max = 2.0`, ``, "settings.teams[0].cpus_max"},
		{`rps = 100.0`, `rps = nan`, "settings.state.rps"},
		{`count = 2`, `count = 0`, "settings.count"},
		{`state = "127.0.0.9:2"`, ``, "endpoints.state"},
		{`[settings]`, `[settings`, "line"},
	} {
		_, err := parse([]byte(strings.Replace(validConfig, tc.old, tc.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s -> %s: got %v, want one line that names %s", tc.old, tc.new, err, tc.field)
		}
	}
}

// A borrowing team has neither a guarantee nor a quota: 0 means no quota. When it was rejected as
// invalid, such a team kept every controller from starting.
func TestTeamWithoutQuota(t *testing.T) {
	borrower := "\n[[settings.teams]]\nname = \"borrower\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"
	c, err := parse([]byte(validConfig + borrower))
	if err != nil || len(c.Teams) != 2 || c.Teams[1].CPUs != 0 || c.Teams[1].CPUsMax < 1e9 || c.Teams[1].GPUsMax < 1e9 {
		t.Fatalf("%+v, %v", c, err)
	}
	if c.Teams[0].CPUsMax != 2 || c.Teams[0].GPUsMax != 0 {
		t.Fatalf("wrong quotas: %+v", c.Teams[0])
	}
	if _, err = parse([]byte(validConfig + strings.Replace(borrower, "cpus_max = 0.0", "cpus_max = -1.0", 1))); err == nil || !strings.Contains(err.Error(), "settings.teams[1].cpus_max") {
		t.Fatal(err)
	}
}

func TestOperatorSettings(t *testing.T) {
	o, err := parseOperator(nil, 3)
	if err != nil || o.Blocks != 3 || o.LeaseTTL != 5*time.Second {
		t.Fatalf("%+v, %v", o, err)
	}
	if o, err = parseOperator([]byte("tenure_s: 8 # longer\nblocks: 1"), 3); err != nil || o.Blocks != 1 || o.LeaseTTL != 8*time.Second {
		t.Fatalf("%+v, %v", o, err)
	}
	for text, want := range map[string]string{
		"tenure_s: 0":          "line 1:1: tenure_s",
		"memory_share: 3":      "memory_share",
		"blocks: 1\nidel_s: 3": "line 2:1",
		"retry_after_s: x":     "retry_after_s",
	} {
		if _, err := parseOperator([]byte(text), 3); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", text, err, want)
		}
	}
}

func TestLoadMissing(t *testing.T) {
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml"), ""); err == nil || !strings.Contains(err.Error(), "--config") {
		t.Errorf("got %v", err)
	}
	path := filepath.Join(t.TempDir(), "good.toml")
	if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path, "nowhere"); err == nil || !strings.Contains(err.Error(), "--settings") {
		t.Errorf("got %v", err)
	}
}

// Objectives of unknown kinds and with unknown fields do not invalidate the platform's file; a
// wrong value in a known field is rejected with the field's name.
func TestUnknownObjectives(t *testing.T) {
	objectives := `
[[settings.objectives]]
kind = "makespan"
share = 0.999
best = 594.0

[[settings.objectives]]
kind = "deadline"
class = "some"
share = 0.9
times = 1.5
`
	c, err := parse([]byte(validConfig + objectives))
	if err != nil || len(c.Objectives) != 2 || c.Objectives[1].DeadlineFactor != 1.5 {
		t.Fatalf("%+v, %v", c, err)
	}
	_, err = parse([]byte(validConfig + strings.Replace(objectives, "times = 1.5", `times = "soon"`, 1)))
	if err == nil || !strings.Contains(err.Error(), "times") {
		t.Fatal(err)
	}
}

// One controller accepts the connections of all workers of a fleet, and the limits together never
// exceed the socket limit.
func TestConnectionLimits(t *testing.T) {
	for _, c := range []struct{ sockets, peers, machines int }{{1700, 4, 1000}, {1650, 2, 1300}, {500, 2, 300}, {120, 2, 20}, {MinSockets(4), 4, 16}, {10, 2, 1}} {
		server, calls := Limits{Sockets: c.sockets}.ConnectionLimits(c.peers)
		if server < c.machines || calls < 8 {
			t.Errorf("%d sockets: %d connections for %d machines and %d calls are too few", c.sockets, server, c.machines, calls)
		}
		if c.sockets >= MinSockets(c.peers) && server+calls+reservedSockets+socketsPerPeer*c.peers > c.sockets {
			t.Errorf("%d sockets: %d connections and %d calls are too many", c.sockets, server, calls)
		}
	}
}

// Announced limits of the state service apply from the start where they are lower. They may be
// missing, in part or whole, and invalid ones are rejected with the field's name.
func TestAnnouncedStateLimits(t *testing.T) {
	with := func(next string) (*Config, error) {
		return parse([]byte(strings.Replace(validConfig, "[settings.cloud]", "[settings.state.next]\n"+next+"\n[settings.cloud]", 1)))
	}
	c, err := with("write_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 10")
	if err != nil || c.StateLimits.WriteRPS != 28 || c.StateLimits.ValueBytes != 2048 || c.StateLimits.TxnOps != 10 || c.StateLimits.RPS != 100 {
		t.Fatalf("%+v, %v", c, err)
	}
	if c, err = with("write_rps = 400.0\nfuture = 1"); err != nil || c.StateLimits.WriteRPS != 40 || c.StateLimits.TxnOps != 32 {
		t.Fatalf("%+v, %v", c, err)
	}
	for next, field := range map[string]string{
		"value_kb = 0.0": "settings.state.next.value_kb", "txn_ops = 0": "settings.state.next.txn_ops", `rps = "many"`: "settings.state.next.rps", "write_rps = -1.0": "settings.state.next.write_rps",
	} {
		if _, err := with(next); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v", next, err)
		}
	}
}
