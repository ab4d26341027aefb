package placement

import "container/heap"

// ranking is a heap of the machines that could take a task of one array, the best first. A start
// changes the rating of its own machine only, so the next best machine is found without rating all
// of them again.
type ranking struct {
	job     *Job
	entries []rankEntry
}

type rankEntry struct {
	machine *Machine
	index   int // among the candidates of the pass; decides between equal ratings
	rating  rating
}

func (r *ranking) Len() int { return len(r.entries) }
func (r *ranking) Less(a, b int) bool {
	x, y := &r.entries[a], &r.entries[b]
	return x.rating.better(y.rating) || x.index < y.index && !y.rating.better(x.rating)
}
func (r *ranking) Swap(a, b int) { r.entries[a], r.entries[b] = r.entries[b], r.entries[a] }
func (r *ranking) Push(x any)    { r.entries = append(r.entries, x.(rankEntry)) }
func (r *ranking) Pop() any {
	last := r.entries[len(r.entries)-1]
	r.entries = r.entries[:len(r.entries)-1]
	return last
}

// rankMachines rates the machines for an array whose tasks may be in any zone.
func (p *pass) rankMachines(j *Job) *ranking {
	r := &ranking{job: j}
	for i, m := range p.candidates {
		if j.canRunOn(m, m.Free()) {
			r.entries = append(r.entries, rankEntry{m, i, rate(j, m)})
		}
	}
	heap.Init(r)
	return r
}

// best returns the machine for the next task, or nil. The first entry may be the machine that the
// last task went to, so its rating is computed again before it is used.
func (r *ranking) best(p *pass) *Machine {
	for len(r.entries) > 0 {
		top := &r.entries[0]
		if !r.job.canRunOn(top.machine, p.free(top.machine)) {
			heap.Pop(r)
			continue
		}
		if current := rate(r.job, top.machine); current != top.rating {
			top.rating = current
			heap.Fix(r, 0)
			continue
		}
		return top.machine
	}
	return nil
}
