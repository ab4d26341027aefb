package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"lichenstair/api"
)

// cloudService is a stand-in for the cloud. It rents out machines of one type, as many as its
// capacity allows, and boots them within a second, which the page allows.
type cloudService struct {
	c        *cluster
	types    []api.MachineType
	capacity int // machines at a time

	mu       sync.Mutex
	machines map[string]*worker
	rentals  map[string][]string // answers by plea
	last     int
}

func newCloudService(c *cluster, types []api.MachineType, capacity int) *cloudService {
	return &cloudService{c: c, types: types, capacity: capacity, machines: map[string]*worker{}, rentals: map[string][]string{}}
}

// boot starts a machine that runs.
func (s *cloudService) boot(typ api.MachineType, zone string, spot bool) *worker {
	s.last++
	m := newWorker(s.c, fmt.Sprintf("n-%06d", s.last), typ, zone, spot)
	s.machines[m.id] = m
	return m
}

// addMachine starts a machine that is up from the start.
func (s *cloudService) addMachine() *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot(s.types[0], s.types[0].Zones[0], false)
}

func (s *cloudService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 128<<10))
	if err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET /flavors":
		answerJSON(w, 200, api.MachineTypes{Types: s.types})
	case "POST /hosts":
		s.rent(w, body)
	case "POST /hosts/return":
		var names api.MachineIDs
		if json.Unmarshal(body, &names) != nil || len(names.Machines) > 100 {
			answerJSON(w, 400, malformed)
			return
		}
		for _, id := range names.Machines {
			if m := s.machines[id]; m != nil {
				s.c.note("cloud", "machine %s returned", id)
				m.stop()
				delete(s.machines, id)
			}
		}
		answerJSON(w, 200, struct{}{})
	case "GET /hosts":
		q := r.URL.Query()
		most, _ := strconv.Atoi(q.Get("most"))
		var ids []string
		for id := range s.machines {
			if id > q.Get("from") {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		list := api.MachineList{Machines: []api.ListedMachine{}, More: len(ids) > most}
		for _, id := range ids[:min(most, len(ids))] {
			m := s.machines[id]
			list.Machines = append(list.Machines, api.ListedMachine{ID: id, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot, Phase: api.MachineRunning, AgeS: time.Since(m.began).Seconds()})
		}
		answerJSON(w, 200, list)
	default:
		answerJSON(w, 400, malformed)
	}
}

// rent answers a rental request. The caller holds the lock.
func (s *cloudService) rent(w http.ResponseWriter, body []byte) {
	var request api.Rental
	if json.Unmarshal(body, &request) != nil || request.Count < 1 || request.Count > 50 {
		answerJSON(w, 400, malformed)
		return
	}
	if ids, ok := s.rentals[request.RequestID]; ok {
		answerJSON(w, 200, api.MachineIDs{Machines: ids})
		return
	}
	i := slices.IndexFunc(s.types, func(t api.MachineType) bool { return t.Name == request.Type })
	if i < 0 || request.Spot || len(s.machines) >= s.capacity {
		answerJSON(w, 503, api.Error{Error: "no capacity"})
		return
	}
	ids := []string{}
	for len(s.machines) < s.capacity && len(ids) < request.Count {
		ids = append(ids, s.boot(s.types[i], request.Zone, false).id)
	}
	s.rentals[request.RequestID] = ids
	s.c.note("cloud", "rented %v for %s", ids, request.RequestID)
	answerJSON(w, 200, api.MachineIDs{Machines: ids})
}
