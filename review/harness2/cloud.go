package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is a type of machine that the cloud rents out.
type machineType struct {
	Sku         string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	RAM         float64  `json:"ramGb"`
	Local       float64  `json:"localGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Rate        float64  `json:"rate"`
	SpotPrice   float64  `json:"spotPrice"`
	ReadyS      float64  `json:"readyS"`
	Patches     []string `json:"patches"`
}

// cloud is a stand-in of the cloud.
type cloud struct {
	mu       sync.Mutex
	c        *cluster
	types    []machineType
	capacity map[string]int // free machines by type, zone and kind
	pleas    map[string][]string
	machines map[string]*worker
	next     int
	lag      time.Duration
	calls    bucket
}

func kindOf(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%v", typ, zone, spot) }

func (k *cloud) typeOf(name string) *machineType {
	for i := range k.types {
		if k.types[i].Sku == name {
			return &k.types[i]
		}
	}
	return nil
}

// add creates a machine that is up after boot.
func (k *cloud) add(typ, zone string, spot bool, boot time.Duration) *worker {
	k.next++
	w := newWorker(k.c, fmt.Sprintf("n-%06d", k.next), *k.typeOf(typ), zone, spot, boot)
	k.machines[w.id] = w
	return w
}

// up returns the machines that exist, ordered by name.
func (k *cloud) up() []*worker {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*worker
	for _, w := range k.machines {
		out = append(out, w)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id < out[b].id })
	return out
}

// stop makes a machine stop with all that is on it. Its place is free again once it is deleted.
func (k *cloud) stop(m *worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m.stoppedAt = time.Now()
	m.end("stops")
}

// take takes a spot machine back without notice. The cloud gives no other in its place.
func (k *cloud) take(m *worker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.machines, m.id)
	m.end("is taken back by the cloud")
}

func (k *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(150 * time.Millisecond)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.calls.take(1) {
		reply(w, 429, anyMap{"error": "too many requests"})
		return
	}
	switch {
	case r.URL.Path == "/flavors":
		reply(w, 200, anyMap{"stocks": k.types})
	case r.URL.Path == "/hosts" && r.Method == "GET":
		k.list(w, r)
	case r.URL.Path == "/hosts":
		k.rent(w, body)
	case r.URL.Path == "/hosts/return":
		var n struct {
			Rocks []string `json:"rocks"`
		}
		if json.Unmarshal(body, &n) != nil || len(n.Rocks) > 100 {
			reply(w, 400, anyMap{"error": "malformed"})
			return
		}
		for _, id := range n.Rocks {
			if m := k.machines[id]; m != nil {
				delete(k.machines, id)
				k.capacity[kindOf(m.typ.Sku, m.zone, m.spot)]++
				m.end("returned to the cloud")
			}
		}
		reply(w, 200, anyMap{})
	default:
		reply(w, 400, anyMap{"error": "malformed"})
	}
}

func (k *cloud) rent(w http.ResponseWriter, body []byte) {
	var r struct {
		Plea     string `json:"plea"`
		Stock    string `json:"stock"`
		Patch    string `json:"patch"`
		Windfall bool   `json:"windfall"`
		Number   int    `json:"number"`
	}
	if json.Unmarshal(body, &r) != nil || r.Plea == "" || r.Number < 1 || r.Number > 50 || k.typeOf(r.Stock) == nil {
		reply(w, 400, anyMap{"error": "malformed"})
		return
	}
	if got, ok := k.pleas[r.Plea]; ok {
		reply(w, 200, anyMap{"rocks": got})
		return
	}
	kind := kindOf(r.Stock, r.Patch, r.Windfall)
	n := min(r.Number, k.capacity[kind])
	if n <= 0 {
		k.c.record("cloud refuses %s %s: no capacity", r.Plea, kind)
		reply(w, 503, anyMap{"error": "no capacity"})
		return
	}
	k.capacity[kind] -= n
	got := []string{}
	for range n {
		m := k.add(r.Stock, r.Patch, r.Windfall, time.Duration(k.typeOf(r.Stock).ReadyS*0.7*float64(time.Second)))
		got = append(got, m.id)
	}
	k.pleas[r.Plea] = got
	k.c.record("cloud rents %s %s: %v", r.Plea, kind, got)
	reply(w, 200, anyMap{"rocks": got})
}

// list describes the machines as they were cloud.list_lag_s ago.
func (k *cloud) list(w http.ResponseWriter, r *http.Request) {
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most > 500 {
		most = 500
	}
	at := time.Now().Add(-k.lag)
	var ids []string
	for id, m := range k.machines {
		if id > r.URL.Query().Get("from") && m.rentedAt.Before(at) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	rocks, more := []anyMap{}, false
	for _, id := range ids {
		if len(rocks) == most {
			more = true
			break
		}
		m := k.machines[id]
		phase := "booting"
		switch stopped := m.stoppedAt; {
		case !stopped.IsZero() && stopped.Add(30*time.Second).Before(at):
			phase = "failed"
		case m.rentedAt.Add(m.boot).Before(at):
			phase = "running"
		}
		rocks = append(rocks, anyMap{"uid": id, "addr": m.addr, "stock": m.typ.Sku, "patch": m.zone, "windfall": m.spot, "phase": phase, "ageS": at.Sub(m.rentedAt).Seconds()})
	}
	reply(w, 200, anyMap{"rocks": rocks, "more": more})
}
