package placement

import "container/heap"

// ranking is a heap of the machines that could take a task of an array, the best first; machines
// with equal ratings are in the order of the candidates. It holds as long as Update is called for
// each machine on which a task starts: a start changes its own machine only, and never makes one
// usable that was not.
type ranking struct {
	pass     *pass
	job      *Job
	free     freeFunc
	entries  []rankEntry
	position []int32 // in entries, by the machine's index among the candidates; -1: not there
}

type rankEntry struct {
	rating rating
	index  int32 // of the machine among the candidates
}

// rankMachines rates all candidates for an array.
func (p *pass) rankMachines(j *Job, free freeFunc) *ranking {
	r := &ranking{pass: p, job: j, free: free, position: make([]int32, len(p.candidates))}
	p.work += len(p.candidates)
	for i, m := range p.candidates {
		r.position[i] = -1
		if j.canRunOn(m, free(m)) {
			r.position[i] = int32(len(r.entries))
			r.entries = append(r.entries, rankEntry{p.rate(j, m), int32(i)})
		}
	}
	heap.Init(r)
	return r
}

// rate rates a machine for a job. All machines are equal where the first one that fits is taken.
func (p *pass) rate(j *Job, m *Machine) rating {
	if p.policy.FirstFit {
		return 0
	}
	return rate(j, m)
}

// best returns the machine for the next task with its rating, or nil.
func (r *ranking) best() (*Machine, rating) {
	for len(r.entries) > 0 {
		top := r.entries[0]
		m := r.pass.candidates[top.index]
		if r.job.AllowsZone(m.Zone, r.job.TasksByZone) {
			return m, top.rating
		}
		heap.Pop(r) // a zone that is closed to the job stays closed
	}
	return nil, 0
}

// update rates a machine again on which a task has started.
func (r *ranking) update(m *Machine) {
	r.pass.work++
	at := r.position[m.index]
	switch {
	case at < 0:
	case !r.job.canRunOn(m, r.free(m)):
		heap.Remove(r, int(at))
	default:
		r.entries[at].rating = r.pass.rate(r.job, m)
		heap.Fix(r, int(at))
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (r *ranking) Len() int { return len(r.entries) }

func (r *ranking) Less(a, b int) bool {
	x, y := r.entries[a], r.entries[b]
	return x.rating < y.rating || x.rating == y.rating && x.index < y.index
}

func (r *ranking) Swap(a, b int) {
	r.entries[a], r.entries[b] = r.entries[b], r.entries[a]
	r.position[r.entries[a].index], r.position[r.entries[b].index] = int32(a), int32(b)
}

func (r *ranking) Push(x any) {
	entry := x.(rankEntry)
	r.position[entry.index] = int32(len(r.entries))
	r.entries = append(r.entries, entry)
}

func (r *ranking) Pop() any {
	last := r.entries[len(r.entries)-1]
	r.entries = r.entries[:len(r.entries)-1]
	r.position[last.index] = -1
	return last
}
