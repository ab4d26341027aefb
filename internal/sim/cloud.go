package sim

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// Cloud simulates the cloud provider's API.
type Cloud struct {
	w            *World
	Types        []api.MachineType
	Capacity     map[string]int      // free machines, keyed by type/zone/spot
	machines     map[string]*Machine // machines that exist, by ID
	byAddr       map[string]*Machine // all machines there ever were, by address
	rentals      map[string][]string // IDs of the rented machines, by request
	next         int                 // number of the next machine
	downUntil    SimTime             // requests are answered 503 until then
	requests     tokenBucket
	BootFailProb float64 // probability that a rented machine never boots
	// BootTimeFactor multiplies the boot time of machines; 0 means 1.
	BootTimeFactor float64
	LateCallProb   float64 // probability that a rental or return is carried out 10 to 90 s late, its response lost
}

func newCloud(w *World) *Cloud {
	return &Cloud{
		w: w, Capacity: map[string]int{}, machines: map[string]*Machine{}, byAddr: map[string]*Machine{}, rentals: map[string][]string{},
		requests: tokenBucket{rate: w.Cfg.CloudLimits.RPS * 2, level: w.Cfg.CloudLimits.RPS * 2},
	}
}

// Outage makes the cloud answer 503 for the given time.
func (c *Cloud) Outage(d time.Duration) { c.downUntil = max(c.downUntil, c.w.now+d) }

// capacityKey returns the key of Capacity for a kind of machine.
func capacityKey(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%t", typ, zone, spot) }

// machineType returns the type with the given name, or nil.
func (c *Cloud) machineType(name string) *api.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// Add creates a machine that is up after the boot time; with a negative boot time it never
// comes up.
func (c *Cloud) Add(typ, zone string, spot bool, boot time.Duration) *Machine {
	id := fmt.Sprintf("n-%06d", c.next)
	addr := fmt.Sprintf("10.1.%d.%d:9000", c.next/250, c.next%250+1)
	if c.w.real != nil {
		addr = c.w.real.workerAddr(c.next)
	}
	c.next++
	m := newMachine(c.w, id, addr, c.machineType(typ), zone, spot)
	c.machines[id], c.byAddr[addr] = m, m
	if c.w.real != nil {
		c.w.real.listen(endpoint(""), endpoint(addr), addr, m.handle)
	}
	c.Capacity[capacityKey(typ, zone, spot)]--
	if boot >= 0 {
		c.w.After(boot, m.boot)
	}
	return m
}

// RunningMachines returns the machines that are up, ordered by ID.
func (c *Cloud) RunningMachines() []*Machine {
	var out []*Machine
	for _, m := range c.machines {
		if m.phase == machineUp {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Reclaim removes a machine that was returned, or a spot machine that the cloud reclaims.
func (c *Cloud) Reclaim(m *Machine) {
	if c.machines[m.ID] == nil {
		return
	}
	delete(c.machines, m.ID)
	m.shutDown(machineRemoved)
	c.Capacity[capacityKey(m.typ.Name, m.zone, m.spot)]++
}

// handle serves a request after 50 to 300 ms, or late and without a response (LateCallProb).
func (c *Cloud) handle(_ endpoint, r core.Request, reply func(core.Response)) {
	delay := time.Duration(c.w.uniform(50, 300) * float64(time.Millisecond))
	if c.LateCallProb > 0 && r.Method == "POST" && c.w.chance(c.LateCallProb) {
		c.w.After(time.Duration(c.w.uniform(10, 90)*float64(time.Second)), func() { c.serve(r, func(core.Response) {}) })
		return
	}
	c.w.After(delay, func() { c.serve(r, reply) })
}

func (c *Cloud) serve(r core.Request, reply func(core.Response)) {
	if c.w.now < c.downUntil {
		reply(newResponse(503, api.Error{Error: "trouble"}))
		return
	}
	if !c.requests.take(c.w.now, 1) {
		reply(newResponse(429, api.Error{Error: "too many requests"}))
		return
	}
	path, query, _ := strings.Cut(r.Path, "?")
	switch {
	case path == "/flavors":
		reply(newResponse(200, api.MachineTypes{Types: c.Types}))
	case path == "/hosts" && r.Method == "GET":
		q, _ := url.ParseQuery(query)
		at := max(0, c.w.now-time.Duration(float64(c.w.Cfg.CloudLimits.ListLag)*c.w.uniform(1, 2)))
		most, _ := strconv.Atoi(q.Get("most"))
		reply(newResponse(200, c.list(at, q.Get("from"), most)))
	case path == "/hosts":
		c.rent(r.Body, reply)
	case path == "/hosts/return":
		var n api.MachineIDs
		if json.Unmarshal(r.Body, &n) != nil || len(n.Machines) > 100 {
			reply(newResponse(400, api.Error{Error: "malformed"}))
			return
		}
		for _, id := range n.Machines {
			if m := c.machines[id]; m != nil {
				c.Reclaim(m)
			}
		}
		reply(newResponse(200, struct{}{}))
	default:
		reply(newResponse(400, api.Error{Error: "malformed"}))
	}
}

// rent rents up to the requested number of machines. A repeated request gets the same response.
func (c *Cloud) rent(body []byte, reply func(core.Response)) {
	var r api.Rental
	if json.Unmarshal(body, &r) != nil || r.RequestID == "" || r.Count < 1 || r.Count > 50 || c.machineType(r.Type) == nil {
		reply(newResponse(400, api.Error{Error: "malformed"}))
		return
	}
	if got, ok := c.rentals[r.RequestID]; ok {
		reply(newResponse(200, api.MachineIDs{Machines: got}))
		return
	}
	n := min(r.Count, c.Capacity[capacityKey(r.Type, r.Zone, r.Spot)])
	if n <= 0 {
		reply(newResponse(503, api.Error{Error: "no capacity"}))
		return
	}
	var got []string
	for range n {
		boot := core.Seconds(c.machineType(r.Type).BootS * c.w.uniform(0.6, 1.5))
		if c.BootTimeFactor > 0 {
			boot = time.Duration(float64(boot) * c.BootTimeFactor)
		}
		switch {
		case c.w.chance(c.BootFailProb):
			boot = -1
		case c.w.chance(0.05):
			boot = time.Second
		}
		got = append(got, c.Add(r.Type, r.Zone, r.Spot, boot).ID)
	}
	c.rentals[r.RequestID] = got
	reply(newResponse(200, api.MachineIDs{Machines: got}))
}

// list returns up to most machines with IDs after from, as they were at a time, without those
// that no longer exist.
func (c *Cloud) list(at SimTime, from string, most int) api.MachineList {
	l := api.MachineList{Machines: []api.ListedMachine{}}
	var ids []string
	for id, m := range c.machines {
		if m.rentedAt <= at && id > from {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		if len(l.Machines) == most {
			l.More = true
			break
		}
		m := c.machines[id]
		p := api.MachineBooting
		switch {
		case m.phase == machineCrashed && at > m.endedAt+30*time.Second:
			p = api.MachineFailed
		case m.bootedAt > 0 && m.bootedAt <= at:
			p = api.MachineRunning
		}
		l.Machines = append(l.Machines, api.ListedMachine{
			ID: id, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, Phase: p, AgeS: (at - m.rentedAt).Seconds(),
		})
	}
	return l
}
