package state

import (
	"container/heap"
	"slices"

	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// A job inherits the rank and the deadline of the jobs that depend on it. Jobs whose urgency has
// changed are queued, and passed on together when somebody asks for an urgency: dependents before
// their dependencies, so that each job is visited once, however many paths lead to it.

// Urgency is the priority that a job inherits from its dependents.
type Urgency struct {
	Rank     int           // highest rank of the direct and indirect dependents, see placement.Rank
	Deadline core.WallTime // wall time by which the job must be done for all dependents to meet their deadlines; 0: none
}

const (
	// jobTransitionMS is the time between the end of a job and the start of a dependent, in
	// milliseconds: a report, a record, a scheduling pass and a start command.
	jobTransitionMS = 2000
	// earliestDeadline stands for all deadlines before it, in milliseconds of wall time. The
	// estimates of a long pipeline can exceed the time since the epoch.
	earliestDeadline core.WallTime = 1
	// maxUrgencyQueue is the length from which the queue is emptied even if nobody asks.
	maxUrgencyQueue = 1000
)

// Urgency returns the priority that a job inherits from its direct and indirect dependents.
func (m *Mirror) Urgency(e *JobEntry) Urgency {
	m.propagateUrgencies()
	if e.node == nil {
		return Urgency{}
	}
	return e.node.urgency
}

// queueUrgency notes that a job's urgency has to be passed on to its dependencies.
func (m *Mirror) queueUrgency(node *dependencyNode) {
	if !node.urgencyQueued && len(node.dependencies) > 0 {
		node.urgencyQueued = true
		m.urgencyQueue = append(m.urgencyQueue, node)
	}
}

// limitUrgencyQueue keeps the queue short on controllers that never ask for an urgency.
func (m *Mirror) limitUrgencyQueue() {
	if len(m.urgencyQueue) > maxUrgencyQueue {
		m.propagateUrgencies()
	}
}

// propagateUrgencies passes the urgencies of all queued jobs on to their direct and indirect
// dependencies.
func (m *Mirror) propagateUrgencies() {
	queue := urgencyHeap(slices.DeleteFunc(m.urgencyQueue, func(node *dependencyNode) bool { return node.dropped }))
	m.urgencyQueue = nil
	heap.Init(&queue)
	for len(queue) > 0 {
		node := heap.Pop(&queue).(*dependencyNode)
		node.urgencyQueued = false
		if node.entry.Spec == nil {
			continue // only a malformed record has none
		}
		passed := node.urgencyOfDependencies()
		for _, dependency := range node.dependencies {
			if dependency.dropped || !node.acceptedAfter(dependency) || !dependency.urgency.raise(passed) {
				continue
			}
			if !dependency.urgencyQueued && len(dependency.dependencies) > 0 {
				dependency.urgencyQueued = true
				heap.Push(&queue, dependency)
			}
		}
	}
}

// acceptedAfter reports whether a job was accepted after one of its dependencies, as every job is.
// Malformed records could depend on each other, which must not end in an endless loop. A dependency
// whose record is not applied yet passes nothing on.
func (n *dependencyNode) acceptedAfter(dependency *dependencyNode) bool {
	return dependency.entry == nil || dependency.entry.Version < n.entry.Version
}

// urgencyOfDependencies returns the urgency that a job passes on to its dependencies.
func (n *dependencyNode) urgencyOfDependencies() Urgency {
	spec := n.entry.Spec
	passed := Urgency{Rank: placement.Rank(spec.Rank), Deadline: n.entry.ownDeadline()}
	passed.raise(n.urgency)
	if passed.Deadline > 0 {
		passed.Deadline = max(earliestDeadline, passed.Deadline-core.WallTime(spec.EstimateS*1000)-jobTransitionMS)
	}
	return passed
}

// ownDeadline returns the wall time by which the job itself should be done, 0 if there is none.
func (e *JobEntry) ownDeadline() core.WallTime {
	if e.Spec.DeadlineS == nil {
		return 0
	}
	return e.AcceptedAt + core.WallTime(*e.Spec.DeadlineS*1000)
}

// raise raises an urgency to at least another one, and reports whether that changed it.
func (u *Urgency) raise(other Urgency) bool {
	before := *u
	u.Rank = max(u.Rank, other.Rank)
	if other.Deadline > 0 && (u.Deadline == 0 || other.Deadline < u.Deadline) {
		u.Deadline = other.Deadline
	}
	return *u != before
}

// urgencyHeap orders jobs so that the one accepted last comes first. Dependents are accepted after
// their dependencies, so nothing can change a job's urgency any more once it is at the front.
type urgencyHeap []*dependencyNode

func (h urgencyHeap) Len() int           { return len(h) }
func (h urgencyHeap) Less(a, b int) bool { return h[a].entry.Version > h[b].entry.Version }
func (h urgencyHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *urgencyHeap) Push(node any) { *h = append(*h, node.(*dependencyNode)) }

// Pop implements heap.Interface.
func (h *urgencyHeap) Pop() any {
	last := len(*h) - 1
	node := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return node
}
