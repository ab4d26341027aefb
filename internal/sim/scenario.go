package sim

import (
	"fmt"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// Settings returns settings for a fictitious deployment with n controllers. The numbers are
// chosen so that every code path is used.
func Settings(n int) config.Config {
	return config.Config{
		Nodes: n, Zones: []string{"a", "b"}, State: "10.2.0.1:2379", Cloud: "10.2.0.2:8443",
		Teams: []config.Team{
			{Name: "red", CPUs: 24, CPUsMax: 60, GPUsMax: 4}, {Name: "blue", CPUs: 32, CPUsMax: 90},
			{Name: "green", CPUs: 16, CPUsMax: 40}, {Name: "grey", CPUs: 8, CPUsMax: 30},
		},
		Workers:     config.WorkerTimings{Report: 1500 * time.Millisecond, Lease: 12 * time.Second, GangWait: 30 * time.Second, GangPeer: 6 * time.Second, Cancel: 36 * time.Second},
		StateLimits: config.StateLimits{RPS: 150, WriteRPS: 45, ValueBytes: 8 << 10, TxnOps: 32},
		CloudLimits: config.CloudLimits{RPS: 2, ListLag: 5 * time.Second},
		Limits:      config.Limits{CoreShare: 0.1, MemoryBytes: 70 << 20, Sockets: 500},
		Operator:    config.Operator{LeaseTTL: 5 * time.Second, Blocks: n, IdleTimeout: 20 * time.Second, MemoryShare: 0.7, RetryAfter: time.Second},
	}
}

// Types returns the machine types of the fictitious deployment.
func Types() []api.MachineType {
	return []api.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 32, CacheGB: 40, FetchGBPerS: 0.3, Price: 0.5, SpotPrice: 0.2, BootS: 20, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 32, MemoryGB: 128, CacheGB: 60, FetchGBPerS: 0.4, Price: 2, SpotPrice: 0.8, BootS: 30, Zones: []string{"a", "b"}},
		{Name: "accel", CPUs: 16, GPUs: 2, MemoryGB: 64, CacheGB: 60, FetchGBPerS: 0.4, Price: 4, SpotPrice: 1.5, BootS: 30, Zones: []string{"b"}},
	}
}

// Populate adds machines, capacity and controllers to a new world.
func (w *World) Populate() {
	w.Cloud.Types = Types()
	for _, t := range w.Cloud.Types {
		for _, z := range t.Zones {
			w.Cloud.Capacity[capacityKey(t.Name, z, false)] = 5
			w.Cloud.Capacity[capacityKey(t.Name, z, true)] = 3
		}
	}
	for _, z := range w.Cfg.Zones {
		w.Cloud.Add("small", z, false, 0)
		w.Cloud.Add("large", z, false, 0)
	}
	for _, h := range w.Hosts {
		w.After(time.Duration(w.uniform(0, 500))*time.Millisecond, h.Start)
		h.probe()
	}
}

// FleetSettings returns settings for a fictitious deployment with n controllers and about the given
// number of machines.
func FleetSettings(n, machines int) config.Config {
	cfg := Settings(n)
	cfg.Zones = []string{"east", "north", "west", "south"}
	cfg.StateLimits.RPS, cfg.StateLimits.WriteRPS = 400, 150
	cfg.CloudLimits.RPS = 5
	cfg.Workers.Report, cfg.Workers.Lease, cfg.Workers.Cancel = 3*time.Second, 16*time.Second, 42*time.Second
	cfg.Limits.Sockets = 1700
	scale := float64(machines) / 12
	for i := range cfg.Teams {
		cfg.Teams[i].CPUs, cfg.Teams[i].CPUsMax = cfg.Teams[i].CPUs*scale, cfg.Teams[i].CPUsMax*scale
	}
	return cfg
}

// PopulateFleet adds controllers and capacity for about the given number of machines to a new
// world. About a quarter of the machines are up at the start.
func (w *World) PopulateFleet(machines int) {
	zones := w.Cfg.Zones
	w.Cloud.Types = []api.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 32, CacheGB: 40, FetchGBPerS: 0.3, Price: 0.5, SpotPrice: 0.2, BootS: 20, Zones: zones},
		{Name: "large", CPUs: 32, MemoryGB: 128, CacheGB: 60, FetchGBPerS: 0.4, Price: 2, SpotPrice: 0.8, BootS: 30, Zones: zones},
	}
	for _, z := range zones {
		share := machines / len(zones)
		w.Cloud.Capacity[capacityKey("small", z, true)] = share * 4 / 10
		w.Cloud.Capacity[capacityKey("small", z, false)] = share * 4 / 10
		w.Cloud.Capacity[capacityKey("large", z, false)] = share * 2 / 10
		for range share * 2 / 10 {
			w.Cloud.Add("small", z, false, 0)
		}
		for range share / 20 {
			w.Cloud.Add("large", z, false, 0)
		}
	}
	for _, h := range w.Hosts {
		w.After(time.Duration(w.uniform(0, 500))*time.Millisecond, h.Start)
		h.probe()
	}
}

// FleetLoad submits arrays of up to 900 tasks and small gangs on whole large machines, half of
// them in one zone, until a time, at the given mean rates per second.
func (w *World) FleetLoad(until SimTime, arrays, gangs float64) {
	n := 0
	submit := func(gang bool) {
		n++
		j := api.Job{
			ID: fmt.Sprintf("req-%06d", n), Class: "counts", Team: w.Cfg.Teams[w.Rand.IntN(len(w.Cfg.Teams))].Name, Form: api.FormArray, Rank: api.RankStandard,
			Tasks: 20 + w.Rand.IntN(200), CPUs: 1, MemoryGB: 2, Image: fmt.Sprintf("img-%d", w.Rand.IntN(8)), ImageGB: w.uniform(0.2, 1.5),
			EstimateS: w.uniform(15, 60), Spot: true,
		}
		if w.chance(0.05) {
			j.Tasks = 900
		}
		d := 2.5*j.EstimateS + 30
		j.DeadlineS = &d
		if gang {
			j.Class, j.Form, j.Rank, j.Tasks, j.CPUs, j.MemoryGB, j.Spot, j.DeadlineS = "joint", api.FormGang, api.RankHigh, 1+w.Rand.IntN(3), 30, 100, false, nil
			j.CheckpointS, j.SaveS, j.OneZone = 20, 3, w.chance(0.5)
		}
		w.Users.Submit(j)
	}
	for _, kind := range []struct {
		rate float64
		gang bool
	}{{arrays, false}, {gangs, true}} {
		var next func()
		next = func() {
			if w.now >= until {
				return
			}
			submit(kind.gang)
			w.After(time.Duration(w.Rand.ExpFloat64()/kind.rate*float64(time.Second)), next)
		}
		w.After(3*time.Second, next)
	}
}

// RandomJob returns a random job with the given number as its ID.
func (w *World) RandomJob(n int) api.Job {
	r := w.Rand
	j := api.Job{
		ID: fmt.Sprintf("req-%06d", n), Class: "some", Team: w.Cfg.Teams[r.IntN(len(w.Cfg.Teams))].Name, Form: api.FormArray,
		Rank: []string{api.RankProduction, api.RankHigh, api.RankStandard, api.RankBestEffort}[r.IntN(4)], Tasks: 1 + r.IntN(40), CPUs: 1, MemoryGB: 2,
		Image: fmt.Sprintf("img-%d", r.IntN(5)), ImageGB: w.uniform(0, 2), EstimateS: w.uniform(3, 40), Spot: r.IntN(2) == 0,
	}
	switch r.IntN(5) {
	case 0:
		j.Form, j.Tasks, j.CPUs, j.CheckpointS, j.SaveS = api.FormGang, 1+r.IntN(4), float64(1+r.IntN(7)), 10, 2
		j.OneZone = r.IntN(2) == 0
		j.SpreadZones = !j.OneZone && r.IntN(2) == 0
	case 1:
		j.CPUs, j.Tasks = w.uniform(2, 7), 1+r.IntN(8)
		j.Types = []string{"large"}
	case 2:
		z := w.Cfg.Zones[r.IntN(2)]
		j.Zone = &z
		d := w.uniform(40, 200)
		j.DeadlineS = &d
	}
	if j.Team == "red" && r.IntN(4) == 0 {
		j.GPUs, j.Types, j.Zone, j.Tasks = 1, nil, nil, min(j.Tasks, 3)
	}
	return j
}

// GenerateLoad submits jobs until a time, at random intervals of 0.2 to 2 times every. It cancels
// some of them, makes a few fail on every machine, and queries jobs that nobody submitted.
func (w *World) GenerateLoad(until SimTime, every time.Duration) {
	n := 0
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		n++
		j := w.RandomJob(n)
		if w.DependencyProb > 0 && w.chance(w.DependencyProb) {
			j.Dependencies = w.Users.someAccepted(1 + w.Rand.IntN(3))
			if w.chance(0.6) {
				j.DeadlineS = nil
			}
		}
		w.Users.Submit(j)
		if w.chance(0.15) {
			w.After(time.Duration(w.uniform(0, 60)*float64(time.Second)), func() { w.Users.Cancel(j.ID) })
		}
		if w.chance(0.03) {
			w.Users.MarkFailing(j.ID)
			w.After(60*time.Second, func() { w.Users.Cancel(j.ID) })
		}
		w.Users.QueryUnknownJob()
		w.After(time.Duration(w.uniform(0.2, 2)*float64(every)), next)
	}
	w.After(3*time.Second, next)
}

// BriefLoad submits jobs for every team: arrays of tasks that run for about a second, arrays of
// tasks that run longer and save their progress, and gangs.
func (w *World) BriefLoad(jobsPerTeam int) {
	for i, team := range w.Cfg.Teams {
		for k := range jobsPerTeam {
			j := api.Job{
				ID: fmt.Sprintf("req-%06d", 1000*(i+1)+k), Class: "brief", Team: team.Name, Form: api.FormArray, Rank: api.RankStandard,
				Tasks: 20, CPUs: 1, MemoryGB: 1, Image: "brief", ImageGB: 0.05, EstimateS: 1, Spot: true,
			}
			switch k % 10 {
			case 1:
				j.Tasks, j.EstimateS, j.CheckpointS, j.SaveS = 6, 40, 5, 1
			case 2:
				j.Form, j.Rank, j.Tasks, j.EstimateS = api.FormGang, api.RankHigh, 2, 20
			}
			w.Users.Submit(j)
		}
	}
}

// CancelSome cancels a random accepted job now and then until a time, at random intervals of 0.2 to
// 2 times every.
func (w *World) CancelSome(until SimTime, every time.Duration) {
	w.After(time.Duration(w.uniform(0.2, 2)*float64(every)), func() {
		if w.now >= until {
			return
		}
		if ids := w.Users.someAccepted(1); len(ids) > 0 {
			w.Users.Cancel(ids[0])
		}
		w.CancelSome(until, every)
	})
}

// watchFreeCapacity tells the checker every five seconds which jobs wait although machines have
// free capacity for one of their tasks. Gangs of several tasks are left out, since capacity for
// one task is not enough for them.
func (w *World) watchFreeCapacity() {
	w.After(5*time.Second, w.watchFreeCapacity)
	up := w.Cloud.RunningMachines()
	free := make([]placement.Resources, len(up))
	for i, m := range up {
		free[i] = m.free()
	}
	for _, id := range core.SortedKeys(w.Users.jobs) {
		j := &w.Users.jobs[id].spec
		var machines []string
		if (j.Form != api.FormGang || j.Tasks == 1) && w.Checker.WithinLimits(j.Team, j.CPUs, j.GPUs) {
			for i, m := range up {
				if m.reclaimAt == 0 && !m.Faulty && w.now >= m.hungUntil && m.allowed(j) && (placement.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}).Fits(free[i]) {
					machines = append(machines, m.ID)
				}
			}
		}
		w.Checker.FreeMachines(id, machines)
	}
}
