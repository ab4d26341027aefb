package placement

import (
	"sort"
	"time"

	"lichenstair/internal/core"
)

// Victim is a task on a machine that may be stopped to make room.
type Victim struct {
	Machine core.MachineID
	Team    string
	Rank    int
	Beyond  bool // its job is beyond what its team is guaranteed
	Need    Need
	Lost    time.Duration // run time that is lost if it is stopped now
}

// Stop is a victim, by its place in the list, and the job for which it stops.
type Stop struct {
	Victim int
	For    core.JobID
}

// mayStop tells whether a task may be stopped for a job: for one of higher rank,
// or to give another team what it is guaranteed.
func (j *Job) mayStop(v *Victim) bool {
	return v.Rank < j.Rank || j.Guaranteed && v.Beyond && v.Team != j.Team
}

// maxPreempting bounds the jobs for which one pass makes room.
const maxPreempting = 8

// maxStops bounds the tasks that one pass stops.
const maxStops = 100

type preempt struct {
	machines []*Machine
	victims  []Victim
	on       map[core.MachineID][]int // victims not yet chosen, the cheapest first
	soon     map[core.MachineID]Need  // free, and what is being stopped
	stops    []Stop
}

// Preempt chooses tasks to be stopped for jobs that still wait after a pass, in
// the order of service and with the least work lost.
func Preempt(machines []*Machine, jobs []*Job, victims []Victim, teams map[string]*Team) []Stop {
	p := &preempt{machines: machines, victims: victims, on: map[core.MachineID][]int{}, soon: map[core.MachineID]Need{}}
	for i := range victims {
		p.on[victims[i].Machine] = append(p.on[victims[i].Machine], i)
	}
	for _, list := range p.on {
		sort.SliceStable(list, func(a, b int) bool { return victims[list[a]].Lost < victims[list[b]].Lost })
	}
	for _, m := range machines {
		p.soon[m.ID] = m.Free().Plus(m.Stopping)
	}
	served := 0
	for _, j := range jobs {
		if j.Waiting <= 0 || served == maxPreempting {
			continue
		}
		n := j.Waiting
		if t := teams[j.Team]; t != nil {
			left := t.Max.Minus(t.Used)
			for n > 0 && !j.Need.Times(float64(n)).withoutMemory().Fits(left) {
				n--
			}
			t.Used = t.Used.Plus(j.Need.Times(float64(n)))
		}
		if n == 0 || j.Gang && n < j.Waiting {
			continue
		}
		served++
		if j.Gang {
			p.gang(j)
			continue
		}
		for ; n > 0 && len(p.stops) < maxStops; n-- {
			if c := p.cheapest(j, nil, ""); c != nil {
				p.take(j, c)
			} else {
				break
			}
		}
	}
	return p.stops
}

func (n Need) withoutMemory() Need { return Need{CPUs: n.CPUs, GPUs: n.GPUs} }

// clearing is a machine with the victims that make room for one task on it.
type clearing struct {
	m       *Machine
	victims []int
	lost    float64
}

// cheapest finds where one task of a job costs least.
func (p *preempt) cheapest(j *Job, used map[core.MachineID]bool, zone string) (best *clearing) {
	for _, m := range p.machines {
		if used[m.ID] || zone != "" && m.Zone != zone || m.For != "" && m.For != j.ID || j.Avoid[m.ID] ||
			!j.Allows(m.Type, m.Zone, m.Spot) || !j.ZoneAllows(m.Zone, j.Zones) || !j.Need.Fits(m.Total) || !j.Gang && m.keptFrom(j) {
			continue
		}
		c := &clearing{m: m}
		soon := p.soon[m.ID]
		for _, i := range p.on[m.ID] {
			if j.Need.Fits(soon) || best != nil && c.lost >= best.lost {
				break
			}
			if v := &p.victims[i]; j.mayStop(v) {
				soon = soon.Plus(v.Need)
				c.victims = append(c.victims, i)
				c.lost += v.Lost.Seconds() * v.Need.CPUs
			}
		}
		if j.Need.Fits(soon) && (best == nil || c.lost < best.lost) {
			best = c
		}
	}
	return best
}

// take stops a clearing's victims and books the task there.
func (p *preempt) take(j *Job, c *clearing) {
	for _, i := range c.victims {
		p.soon[c.m.ID] = p.soon[c.m.ID].Plus(p.victims[i].Need)
		p.stops = append(p.stops, Stop{i, j.ID})
		for k, o := range p.on[c.m.ID] {
			if o == i {
				p.on[c.m.ID] = append(p.on[c.m.ID][:k:k], p.on[c.m.ID][k+1:]...)
				break
			}
		}
	}
	p.soon[c.m.ID] = p.soon[c.m.ID].Minus(j.Need)
	if len(c.victims) > 0 {
		c.m.For = j.ID
	}
}

// gang makes room for all of a gang, each member on a machine of its own, or
// for none of it.
func (p *preempt) gang(j *Job) {
	zones := []string{""}
	if j.OneZone {
		zones = nil
		seen := map[string]bool{}
		for _, m := range p.machines {
			if !seen[m.Zone] {
				seen[m.Zone] = true
				zones = append(zones, m.Zone)
			}
		}
	}
	if j.Scatter {
		return // what fits together is for the pass to see
	}
	var best []*clearing
	least := 0.0
	for _, z := range zones {
		var picks []*clearing
		used := map[core.MachineID]bool{}
		lost := 0.0
		for range j.Waiting {
			c := p.cheapest(j, used, z)
			if c == nil {
				break
			}
			used[c.m.ID] = true
			picks = append(picks, c)
			lost += c.lost
		}
		if len(picks) == j.Waiting && (best == nil || lost < least) {
			best, least = picks, lost
		}
	}
	for _, c := range best {
		p.take(j, c)
	}
}
