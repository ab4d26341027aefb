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
// length.

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

// ReadyAt returns the time from which a job may run, and false while a dependency is not durably
// done.
func (m *Mirror) ReadyAt(e *JobEntry) (core.WallTime, bool) {
	at := e.AcceptedAt
	for _, id := range e.dependencies {
		dependency := m.Jobs[id]
		if dependency == nil || dependency.Phase != JobDone {
			return 0, false
		}
		at = max(at, dependency.EndedAt)
	}
	return at, true
}

// ReadySoon reports whether all dependencies of a waiting job are done or have started. started
// reports whether the caller knows that a job has started.
func (m *Mirror) ReadySoon(e *JobEntry, started func(core.JobID) bool) bool {
	for _, id := range e.dependencies {
		dependency := m.Jobs[id]
		if dependency == nil || dependency.Phase != JobDone && !started(id) && dependency.Done.Empty() {
			return false
		}
	}
	return true
}

// linkDependencies registers the dependencies of a job that is not finished.
func (m *Mirror) linkDependencies(id core.JobID, e *JobEntry, t *ChangeSet) {
	if e.dependencies != nil || e.Spec == nil || len(e.Spec.Dependencies) == 0 {
		return
	}
	for _, name := range e.Spec.Dependencies {
		e.dependencies = append(e.dependencies, core.JobID(name))
	}
	cancelled := false
	for _, dependencyID := range e.dependencies {
		dependency := m.Jobs[dependencyID]
		if dependency == nil || !dependency.Finished() {
			m.dependents[dependencyID] = append(m.dependents[dependencyID], id)
			continue
		}
		cancelled = cancelled || dependency.Cancelled()
	}
	if cancelled {
		m.cancelWithDependents(id, t)
		return
	}
	m.queueUrgency(e)
}

// jobFinished notifies the dependents of a job that it is finished.
func (m *Mirror) jobFinished(id core.JobID, e *JobEntry, t *ChangeSet) {
	dependents := m.dependents[id]
	delete(m.dependents, id)
	for _, dependent := range dependents {
		if e.Cancelled() {
			m.cancelWithDependents(dependent, t)
		} else {
			t.addJob(dependent) // it may be ready now
		}
	}
}

// cancelWithDependents marks a job and all its direct and indirect dependents as cancelled because
// a dependency was.
func (m *Mirror) cancelWithDependents(id core.JobID, t *ChangeSet) {
	for stack := []core.JobID{id}; len(stack) > 0; {
		current := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e := m.Jobs[current]
		if e == nil || e.Finished() {
			continue
		}
		e.dependencyCancelled, e.Spec, e.dependencies, e.Done = true, nil, nil, core.IndexSet{}
		t.addJob(current)
		stack = append(stack, m.dependents[current]...)
		delete(m.dependents, current)
	}
}

// addJob records that a job was changed. Duplicates are avoided only in short lists, since the
// search is linear.
func (t *ChangeSet) addJob(id core.JobID) {
	if n := len(t.Jobs); n > 32 || !slices.Contains(t.Jobs, id) {
		t.Jobs = append(t.Jobs, id)
	}
}
