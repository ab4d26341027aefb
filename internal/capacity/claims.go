package capacity

import (
	"math"
	"slices"
	"time"

	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// overdueStarts splits off the first part of each overdue job: one task, or the whole gang. The
// block of such a job may have no machine at all. The rest of the job claims in the usual order.
func overdueStarts(jobs []*Job) (out []*Job) {
	for _, j := range jobs {
		if !j.Overdue || j.Failing || j.Remaining == 0 {
			continue
		}
		start := *j
		start.TimeSensitive = true
		if !j.Gang {
			start.Remaining = 1
		}
		j.Remaining -= start.Remaining
		out = append(out, &start)
	}
	return out
}

// filter returns the jobs that match, in their order.
func filter(jobs []*Job, match func(*Job) bool) (out []*Job) {
	for _, j := range jobs {
		if match(j) {
			out = append(out, j)
		}
	}
	return out
}

// claimForRunning claims what running opportunistic tasks use in their blocks. Work of a higher
// rank has claimed before and may preempt them. Other work cannot, so what they use is no room for
// it.
func (p *planner) claimForRunning(jobs []*Job) {
	for _, j := range jobs {
		n := min(j.Running, j.Remaining)
		if n <= 0 {
			continue
		}
		j.GangMachinesOnly, j.TasksByZone = GangMachinesOnly(&j.Job, p.input.Types, p.input.GangKinds), map[string]int{}
		got := p.claim(j, n, func(r *machineClaims) bool { return r.block == j.Block })
		j.Remaining -= got
		p.claimedCPUs[j.Team] += float64(got) * j.Need.CPUs
	}
}

// claimForReadySoon claims room for jobs that may run soon, in their blocks and in the pool, and
// rents what is missing: a step of a pipeline takes less time than a machine takes to boot.
func (p *planner) claimForReadySoon(jobs []*Job) {
	for _, j := range jobs {
		if j.Opportunistic() || j.Failing {
			continue
		}
		j.GangMachinesOnly, j.TasksByZone = GangMachinesOnly(&j.Job, p.input.Types, p.input.GangKinds), map[string]int{}
		n := p.wantedTasks(j)
		if n <= 0 {
			continue
		}
		p.claimedCPUs[j.Team] += float64(n) * j.Need.CPUs
		n -= p.claim(j, n, func(r *machineClaims) bool { return r.block == j.Block })
		j.Block = NoBlock
		n -= p.claim(j, n, func(r *machineClaims) bool { return r.block == NoBlock })
		if n > 0 {
			p.rent(j, n)
		}
	}
}

// unmetTasks is how many tasks of a job found no room.
type unmetTasks struct {
	job   *Job
	count int
}

// claimForJobs lets jobs claim room in their order, first in their blocks, then elsewhere, and
// lists the tasks that found none.
func (p *planner) claimForJobs(jobs []*Job) (unmet []unmetTasks) {
	for _, j := range jobs {
		j.GangMachinesOnly = GangMachinesOnly(&j.Job, p.input.Types, p.input.GangKinds)
		n := p.wantedTasks(j)
		if j.Failing && !j.Gang {
			n = min(n, 1)
		}
		if n <= 0 {
			continue
		}
		p.claimedCPUs[j.Team] += float64(n) * j.Need.CPUs
		// Opportunistic work is no reason to keep machines ready for more of it.
		if !j.Gang && j.Spot && !j.Opportunistic() && !j.Failing {
			p.plan.Demand.SpotCPUs += float64(n) * j.Need.CPUs
		}
		j.TasksByZone = map[string]int{}
		if j.OneZone && j.Zone == "" {
			j.Zone = p.chooseZone(j, n)
		}
		got := p.claim(j, n, func(r *machineClaims) bool { return r.block == j.Block })
		// One task of a starved array may use a machine reserved for gangs, in its block or, if the
		// machine has been free for a while, in the pool.
		if got == 0 && j.Starvation == placement.Starved && !j.Gang && !j.GangMachinesOnly {
			j.GangMachinesOnly = true
			got = p.claim(j, 1, func(r *machineClaims) bool {
				return r.block == j.Block || r.block == NoBlock && r.machine.FreeFor >= starvedAfter/2
			})
			j.GangMachinesOnly = false
		}
		n -= got
		if n > 0 && j.Gang {
			n -= p.claim(j, n, func(r *machineClaims) bool { return r.block == NoBlock })
			n -= p.claim(j, n, func(r *machineClaims) bool { return r.block != j.Block && !r.claimed })
		}
		if n > 0 {
			unmet = append(unmet, unmetTasks{j, n})
		}
	}
	for i, u := range unmet {
		unmet[i].count -= p.claim(u.job, u.count, func(r *machineClaims) bool { return r.block == u.job.Block })
		unmet[i].count -= p.claim(u.job, unmet[i].count, func(r *machineClaims) bool { return r.block == NoBlock })
		unmet[i].count -= p.claim(u.job, unmet[i].count, func(r *machineClaims) bool { return !r.claimed && r.machine.Idle })
		unmet[i].count -= p.claim(u.job, unmet[i].count, func(r *machineClaims) bool { return !r.claimed })
	}
	return unmet
}

// mergeSimilar merges neighbouring arrays that differ in nothing that matters here. Without it each
// of thousands of single-task jobs claimed its room by examining every machine.
func mergeSimilar(jobs []*Job) (out []*Job) {
	// An array without a deadline, within a guarantee or of a single task claims all of its
	// remaining tasks.
	whole := func(j *Job) bool { return j.Deadline == 0 || j.Guaranteed || j.Remaining == 1 }
	same := func(a, b *Job) bool {
		return !a.Gang && !b.Gang && a.Block == b.Block && a.Team == b.Team && a.Rank == b.Rank && a.Need == b.Need && a.Spot == b.Spot && a.Zone == b.Zone &&
			!a.OneZone && !b.OneZone && !a.SpreadZones && !b.SpreadZones && a.TimeSensitive == b.TimeSensitive && !a.Failing && !b.Failing && a.Guaranteed == b.Guaranteed &&
			whole(a) && whole(b) && slices.Equal(a.Types, b.Types) && (a.Types == nil) == (b.Types == nil)
	}
	for _, j := range jobs {
		if n := len(out); n > 0 && same(out[n-1], j) {
			sum := *out[n-1]
			sum.Remaining += j.Remaining
			sum.Deadline = 0
			out[n-1] = &sum
			continue
		}
		out = append(out, j)
	}
	return out
}

// wantedTasks returns how many tasks of a job should run at the same time.
func (p *planner) wantedTasks(j *Job) int {
	n := j.Remaining
	if j.Gang {
		if j.SpreadZones && j.Tasks > 1 && p.countZones(j) < 2 {
			return 0 // more machines would not make it fit
		}
		if p.claimedCPUs[j.Team]+float64(n)*j.Need.CPUs > p.input.TeamQuota[j.Team]+1e-6 {
			return 0
		}
		return n
	}
	if j.Deadline > 0 && !j.Guaranteed {
		n = Concurrency(n, j.Estimate, time.Duration(j.Deadline-p.input.Now)*time.Millisecond)
	}
	return min(n, int((p.input.TeamQuota[j.Team]-p.claimedCPUs[j.Team]+1e-6)/j.Need.CPUs))
}

// usableTimeShare is the part of the remaining time in which arrays should be complete.
const usableTimeShare = 0.85

// Concurrency is how many of an array's tasks should run at a time so that it is complete with some
// of the time left; all of them if there is too little time.
func Concurrency(tasks int, estimate, left time.Duration) int {
	waves := math.Floor(left.Seconds() * usableTimeShare / max(estimate.Seconds(), 1))
	if waves < 1 {
		return tasks
	}
	return int(math.Ceil(float64(tasks) / waves))
}

// countZones counts the zones in which a job's tasks could run.
func (p *planner) countZones(j *Job) int {
	zones := map[string]bool{}
	for name, t := range p.input.Types {
		for _, z := range t.Zones {
			if j.Allows(name, z, false) && j.Need.Fits(placement.CapacityOf(t)) {
				zones[z] = true
			}
		}
	}
	return len(zones)
}

// chooseZone chooses the zone for a job whose tasks must be in one zone: where the machines of its
// block take most of them, then where most fit on these and unclaimed machines together.
func (p *planner) chooseZone(j *Job, n int) (best string) {
	type count struct{ own, all int }
	counts := map[string]count{}
	for _, r := range p.machines {
		if !j.Allows(r.machine.Type, r.machine.Zone, r.machine.Spot) || r.block != j.Block && r.claimed {
			continue
		}
		k := counts[r.machine.Zone]
		for left := r.free; k.all < n && j.Need.Fits(left); left = left.Sub(j.Need) {
			k.all++
			if r.block == j.Block {
				k.own++
			}
		}
		counts[r.machine.Zone] = k
	}
	for _, z := range core.SortedKeys(counts) {
		if k, top := counts[z], counts[best]; best == "" || k.own > top.own || k.own == top.own && k.all > top.all {
			best = z
		}
	}
	return best
}

// reservedFrom reports whether a job is an array that must not use a kind of machine because it is
// reserved for gangs.
func (p *planner) reservedFrom(j *Job, typ string, spot bool) bool {
	return !j.Gang && p.input.GangKinds.Has(MachineKind{typ, spot}) && !j.GangMachinesOnly
}

// claim claims room for up to n tasks on machines that match, and returns for how many.
func (p *planner) claim(j *Job, n int, match func(*machineClaims) bool) int {
	got := 0
	for _, r := range p.machines {
		if got >= n {
			break
		}
		if !j.Need.Fits(r.free) || r.gangReserved && !j.Gang && !j.GangMachinesOnly || !match(r) || !j.Allows(r.machine.Type, r.machine.Zone, r.machine.Spot) {
			continue
		}
		for got < n && r.tasks < placement.MaxTasks && j.Need.Fits(r.free) && j.AllowsZone(r.machine.Zone, j.TasksByZone) {
			j.TasksByZone[r.machine.Zone]++
			r.free = r.free.Sub(j.Need)
			r.claimed, r.block = true, j.Block
			r.tasks++
			if j.Gang {
				r.gangCPUs += j.Need.CPUs
			}
			got++
		}
	}
	return got
}
