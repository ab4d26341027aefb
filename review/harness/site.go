package main

import (
	"fmt"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// site is a small deployment of the brief, with the settings that the platform hands over.
type site struct {
	zone                string
	reportS, leaseS     float64
	gangPeerS, cancelS  float64
	stateRPS, writeRPS  float64
	valueKB             int
	txnOps              int
	cloudRPS, listLagS  float64
	coreShare, memoryMB float64
	teams               []team
	types               []api.MachineType // machines are of the first type
	class               string            // of the jobs, and the team that submits them
	team                string
	memoryGB            float64
}

// team is a team in the settings. A limit of 0 means none.
type team struct {
	name              string
	guaranteed, limit float64
}

func (s *site) reportInterval() time.Duration { return core.Seconds(s.reportS) }

func (s *site) workerLease() time.Duration { return core.Seconds(s.leaseS) }

// triviaOriental has four of the six teams of the brief.
var triviaOriental = site{
	zone: "ciudad-vieja", reportS: 1, leaseS: 10, gangPeerS: 5, cancelS: 35,
	stateRPS: 100, writeRPS: 40, valueKB: 16, txnOps: 32, cloudRPS: 2, listLagS: 5, coreShare: 0.12, memoryMB: 70,
	teams: []team{{"redaccion", 48, 200}, {"escenario", 112, 408}, {"boliches", 80, 200}, {"musica", 64, 248}},
	types: []api.MachineType{{Name: "mate", CPUs: 16, MemoryGB: 64, CacheGB: 40, FetchGBPerS: 0.2, Price: 0.97, SpotPrice: 0.34, BootS: 30, Zones: []string{"ciudad-vieja"}}},
	class: "deck-build", team: "redaccion", memoryGB: 1,
}

var dulcesBajio = site{
	zone: "bodega-leon", reportS: 3, leaseS: 16, gangPeerS: 8, cancelS: 41,
	stateRPS: 250, writeRPS: 50, valueKB: 8, txnOps: 40, cloudRPS: 3, listLagS: 8, coreShare: 0.06, memoryMB: 98,
	teams: []team{{"rutas", 60, 180}, {"almacen", 60, 180}, {"precios", 60, 180}, {"tecnicos", 60, 180}, {"cobranza", 60, 180}, {"ventas", 60, 180}},
	types: []api.MachineType{{Name: "mediano", CPUs: 32, MemoryGB: 128, CacheGB: 70, FetchGBPerS: 0.2, Price: 2.07, SpotPrice: 0.84, BootS: 40, Zones: []string{"bodega-leon"}}},
	class: "stock-count", team: "almacen", memoryGB: 2.4,
}

// settings returns the settings of a controller, as the DEPLOY page shows them.
func (c *cluster) settings(k *controller) string {
	s := c.site
	text := fmt.Sprintf("host_name = %q\narea = %q\nbind = %q\npeer_listen = %q\n\n", k.name, s.zone, k.addr, k.peerAddr)
	for _, p := range k.peers {
		text += fmt.Sprintf("[[seeds]]\nhost_name = %q\narea = %q\naddress = %q\n\n", p.name, s.zone, p.link.addr())
	}
	text += fmt.Sprintf("[endpoints]\ncloud = %q\nstate = %q\n\n", c.cloudAddr, k.toState.addr())
	text += fmt.Sprintf("[settings]\ncount = %d\nzones = [%q]\ntime_bound_ms = 100.0\n\n", controllerCount, s.zone)
	for _, t := range s.teams {
		text += fmt.Sprintf("[[settings.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n\n", t.name, t.guaranteed, t.limit)
	}
	text += fmt.Sprintf("[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\ngang_peer_s = %.1f\ncancel_s = %.1f\n\n", s.reportS, s.leaseS, s.gangPeerS, s.cancelS)
	text += fmt.Sprintf("[settings.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %d.0\ntxn_ops = %d\n\n", s.stateRPS, s.writeRPS, s.valueKB, s.txnOps)
	text += fmt.Sprintf("[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n", s.cloudRPS, s.listLagS)
	return text + fmt.Sprintf("[settings.limits]\ncore_share = %.2f\nram_mb = %.1f\nfd_limit = 500\n", s.coreShare, s.memoryMB)
}
