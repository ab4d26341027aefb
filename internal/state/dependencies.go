package state

import (
	"slices"

	"lichenstair/internal/core"
)

// Jobs may depend on other jobs, which must be done before any of their tasks starts. Whether a job
// is ready, or cancelled because a dependency was, is not stored: both follow from the records of
// its dependencies, which are final once those are finished. Hence one write cancels a job and all
// its dependents, no state exists in which only some of them are cancelled, and an outdated mirror
// can only delay a start. A waiting job has not started, so no job that is cancelled this way can
// have been done.
//
// Nothing here iterates over all jobs for one change, nor recurses: dependency chains may have any
// length. Each link between two jobs is followed a constant number of times: when it is made, when
// the dependency ends and when the dependent ends.

// dependencyNode is an unfinished job that depends on other jobs, or that others depend on. It is
// dropped once the job is finished.
type dependencyNode struct {
	id core.JobID
	// entry is nil until the job's record is applied: keys are loaded in key order, so a
	// dependent may come first.
	entry *JobEntry
	// dependencies holds the dependencies that are not done, and at most as many that are.
	dependencies []*dependencyNode
	unfinished   int           // number of dependencies that are not done
	readyAt      core.WallTime // when the last of the finished dependencies was done
	linked       bool          // the job's dependencies were read from its record
	// dependents holds the dependents that are not finished, and at most as many that are.
	dependents         []*dependencyNode
	finishedDependents int // number of finished jobs in dependents
	dropped            bool
	running            bool    // see Mirror.NoteRunning
	urgency            Urgency // see Mirror.Urgency
	urgencyQueued      bool    // in the mirror's urgencyQueue
}

// Finished reports whether the job is done or cancelled, by its own record or because a dependency
// was cancelled.
func (e *JobEntry) Finished() bool { return e.dependencyCancelled || e.Job.Finished() }

// Cancelled reports whether the job is cancelled, by its own record or because a dependency was.
func (e *JobEntry) Cancelled() bool { return e.dependencyCancelled || e.Phase == JobCancelled }

// CancelledByDependency reports whether the job is cancelled because a dependency was, and not by
// its own record. Such a job was never ready, so none of its tasks can have been started.
func (e *JobEntry) CancelledByDependency() bool {
	return e.dependencyCancelled && e.Phase != JobCancelled
}

// HasDependencies reports whether an unfinished job was submitted with dependencies.
func (e *JobEntry) HasDependencies() bool { return e.node != nil && e.node.linked }

// ReadyAt returns the time from which a job may run, and false while a dependency is not durably
// done.
func (e *JobEntry) ReadyAt() (core.WallTime, bool) {
	if e.node == nil {
		return e.AcceptedAt, true
	}
	return max(e.AcceptedAt, e.node.readyAt), e.node.unfinished == 0
}

// ReadySoon reports whether all dependencies of a waiting job are done or have started.
func (e *JobEntry) ReadySoon() bool {
	return e.node == nil || !slices.ContainsFunc(e.node.dependencies, (*dependencyNode).notStarted)
}

// Links returns the number of links between unfinished jobs and their unfinished dependencies.
func (m *Mirror) Links() int { return m.links }

// NoteRunning records which jobs are running and with how many tasks, as far as the caller knows.
// ReadySoon takes them to have started, until the next call.
func (m *Mirror) NoteRunning(tasks map[core.JobID]int) {
	for _, node := range m.running {
		node.running = false
	}
	m.running = m.running[:0]
	for id, count := range tasks {
		if e := m.Jobs[id]; count > 0 && e != nil && e.node != nil {
			e.node.running = true
			m.running = append(m.running, e.node)
		}
	}
}

// done reports whether the job is durably done.
func (n *dependencyNode) done() bool { return n.entry != nil && n.entry.Phase == JobDone }

// notStarted reports whether the job is not known to have started.
func (n *dependencyNode) notStarted() bool {
	return !n.running && !n.done() && (n.entry == nil || n.entry.Done.Empty())
}

// newEntry creates the entry of a job and marks the tasks that existing completion records name as
// done.
func (m *Mirror) newEntry(id core.JobID) *JobEntry {
	entry := &JobEntry{}
	if node := m.awaited[id]; node != nil {
		entry.node, node.entry = node, entry
		delete(m.awaited, id)
	}
	m.Jobs[id] = entry
	for _, batches := range m.CompletionBatches {
		for _, batch := range batches {
			entry.Done.Union(batch.Done[id])
		}
	}
	return entry
}

// nodeOf returns the node of a job that is not known to be finished.
func (m *Mirror) nodeOf(id core.JobID) *dependencyNode {
	e := m.Jobs[id]
	if e == nil {
		node := m.awaited[id]
		if node == nil {
			node = &dependencyNode{id: id}
			m.awaited[id] = node
		}
		return node
	}
	if e.node == nil {
		e.node = &dependencyNode{id: id, entry: e}
	}
	return e.node
}

// linkDependencies links a job that is not finished to its dependencies, and takes their names out of
// its specification, where they would need several times the memory.
func (m *Mirror) linkDependencies(id core.JobID, e *JobEntry, t *ChangeSet) {
	if e.Spec == nil || len(e.Spec.Dependencies) == 0 || e.HasDependencies() {
		return
	}
	node := m.nodeOf(id)
	node.linked = true
	node.dependencies = make([]*dependencyNode, 0, len(e.Spec.Dependencies))
	cancelled := false
	for _, name := range e.Spec.Dependencies {
		dependency := m.Jobs[core.JobID(name)]
		switch {
		case dependency != nil && dependency.Cancelled():
			cancelled = true
		case dependency != nil && dependency.Finished():
			node.readyAt = max(node.readyAt, dependency.EndedAt)
		default:
			node.addDependency(m.nodeOf(core.JobID(name)))
			m.links++
		}
	}
	e.Spec.Dependencies = nil
	if cancelled {
		m.cancelWithDependents([]*dependencyNode{node}, t)
		return
	}
	m.queueUrgency(node)
}

func (n *dependencyNode) addDependency(dependency *dependencyNode) {
	n.dependencies = append(n.dependencies, dependency)
	n.unfinished++
	dependency.dependents = append(dependency.dependents, n)
}

// jobFinished drops a finished job from the graph and notifies its dependents.
func (m *Mirror) jobFinished(e *JobEntry, t *ChangeSet) {
	node := e.node
	if node == nil {
		return
	}
	dependents := node.dependents
	m.drop(node)
	if e.Cancelled() {
		m.cancelWithDependents(dependents, t)
		return
	}
	for _, dependent := range dependents {
		if dependent.dropped {
			continue
		}
		m.links--
		if dependent.dependencyDone(e.EndedAt) {
			t.addJob(dependent.id)
		}
	}
}

// dependencyDone notes that a dependency was done at the given time, and reports whether it was the
// last one.
func (n *dependencyNode) dependencyDone(at core.WallTime) bool {
	n.unfinished--
	n.readyAt = max(n.readyAt, at)
	switch {
	case n.unfinished == 0:
		n.dependencies = nil
	case n.unfinished < len(n.dependencies)/2:
		n.dependencies = slices.DeleteFunc(n.dependencies, (*dependencyNode).done)
	}
	return n.unfinished == 0
}

// dependentFinished notes that a dependent is finished.
func (n *dependencyNode) dependentFinished() {
	n.finishedDependents++
	if n.finishedDependents > len(n.dependents)/2 {
		n.dependents = slices.DeleteFunc(n.dependents, func(dependent *dependencyNode) bool { return dependent.dropped })
		n.finishedDependents = 0
	}
}

// drop removes a finished job from the graph.
func (m *Mirror) drop(n *dependencyNode) {
	n.dropped = true
	m.links -= n.unfinished
	for _, dependency := range n.dependencies {
		if !dependency.dropped {
			dependency.dependentFinished()
		}
	}
	n.dependencies, n.dependents, n.entry.node = nil, nil, nil
}

// cancelWithDependents marks jobs and all their direct and indirect dependents as cancelled because
// a dependency was.
func (m *Mirror) cancelWithDependents(jobs []*dependencyNode, t *ChangeSet) {
	for stack := markCancelled(nil, jobs); len(stack) > 0; {
		node := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		stack = markCancelled(stack, node.dependents)
		node.entry.Spec, node.entry.Done = nil, core.IndexSet{}
		t.addJob(node.id)
		m.drop(node)
	}
}

// markCancelled marks those jobs as cancelled that are not finished, and appends them to the stack.
// They are marked before they are put there, so that each is there once however many of its
// dependencies are cancelled.
func markCancelled(stack, jobs []*dependencyNode) []*dependencyNode {
	for _, node := range jobs {
		if !node.dropped && !node.entry.Finished() {
			node.entry.dependencyCancelled = true
			stack = append(stack, node)
		}
	}
	return stack
}
