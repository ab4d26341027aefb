package sim

import (
	"fmt"
	"strings"
)

// settings returns the platform's settings file of the controller with an index.
func (r *RealWorld) settings(i int) string {
	cfg, out := r.w.Cfg, &strings.Builder{}
	line := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	line("host_name = %q", r.w.Hosts[i].name)
	line("area = %q", cfg.Zones[0])
	line("bind = %q", r.controllerAddr(i, controllerPort))
	line("peer_listen = %q", r.controllerAddr(i, peerPort))
	for k, peer := range r.w.Hosts {
		if k != i {
			line("[[seeds]]\nhost_name = %q\narea = %q\naddress = %q", peer.name, cfg.Zones[0], r.controllerAddr(i, firstPeerProxy+k))
		}
	}
	line("[endpoints]\ncloud = %q\nstate = %q", r.controllerAddr(i, cloudPort), r.controllerAddr(i, statePort))
	line("[settings]\ncount = %d\nzones = [\"%s\"]\ntime_bound_ms = 100.0", cfg.Nodes, strings.Join(cfg.Zones, "\", \""))
	for _, t := range cfg.Teams {
		line("[[settings.teams]]\nname = %q\ncpus = %f\ncpus_max = %f\ngpus = %f\ngpus_max = %f", t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax)
	}
	for _, o := range cfg.Objectives {
		line("[[settings.objectives]]\nkind = %q\nclass = %q\nwithin_s = %f\nshare = %f\ntimes = %f", o.Kind, o.Class, o.Within.Seconds(), o.Share, o.DeadlineFactor)
	}
	wk := cfg.Workers
	line("[settings.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = %f\ngang_peer_s = %f\ncancel_s = %f", wk.Report.Seconds(), wk.Lease.Seconds(), wk.GangWait.Seconds(), wk.GangPeer.Seconds(), wk.Cancel.Seconds())
	line("[settings.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\ntxn_ops = %d", cfg.StateLimits.RPS, cfg.StateLimits.WriteRPS, float64(cfg.StateLimits.ValueBytes)/1024, cfg.StateLimits.TxnOps)
	line("[settings.cloud]\nrps = %f\nlist_lag_s = %f", cfg.CloudLimits.RPS, cfg.CloudLimits.ListLag.Seconds())
	line("[settings.limits]\ncore_share = %f\nram_mb = %f\nfd_limit = %d", cfg.Limits.CoreShare, float64(cfg.Limits.MemoryBytes)/(1<<20), cfg.Limits.Sockets)
	return out.String()
}
