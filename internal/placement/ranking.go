package placement

import "container/heap"

// ranking holds the machines that could take a task of one array, the best first.
// A start changes the rating of its own machine only, so the next best need not be
// looked for among all of them again.
type ranking struct {
	job  *Job
	rows []row
}

type row struct {
	m      *Machine
	place  int // among the machines of the pass; decides between equal ratings
	rating rating
}

func (r *ranking) Len() int { return len(r.rows) }
func (r *ranking) Less(a, b int) bool {
	x, y := &r.rows[a], &r.rows[b]
	return x.rating.better(y.rating) || x.place < y.place && !y.rating.better(x.rating)
}
func (r *ranking) Swap(a, b int) { r.rows[a], r.rows[b] = r.rows[b], r.rows[a] }
func (r *ranking) Push(x any)    { r.rows = append(r.rows, x.(row)) }
func (r *ranking) Pop() any {
	last := r.rows[len(r.rows)-1]
	r.rows = r.rows[:len(r.rows)-1]
	return last
}

// rank rates the machines for an array whose tasks may be in any zones.
func (p *pass) rank(j *Job) *ranking {
	r := &ranking{job: j}
	for i, m := range p.open {
		if j.takes(m, m.Free()) {
			r.rows = append(r.rows, row{m, i, rate(j, m)})
		}
	}
	heap.Init(r)
	return r
}

// best returns the machine for the next task, or nil. The first row is the one
// that the last task went to, or was never used: its rating is made anew.
func (r *ranking) best(p *pass) *Machine {
	for len(r.rows) > 0 {
		top := &r.rows[0]
		if !r.job.takes(top.m, p.free(top.m)) {
			heap.Pop(r)
			continue
		}
		if now := rate(r.job, top.m); now != top.rating {
			top.rating = now
			heap.Fix(r, 0)
			continue
		}
		return top.m
	}
	return nil
}
