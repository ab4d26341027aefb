package state

import (
	"slices"

	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// A job may depend on others, which have to be done before any of its tasks starts. That
// it is ready, or cancelled with a job before it, is written nowhere: both follow from the
// records of the jobs before it, which are final once they are over. So one write cancels
// a job and all that need it, there is no state in which only half of them are, and an
// old picture can only delay a start. A job that waits has not begun, hence none that is
// cancelled in this way can have been done.
//
// Nothing here goes over all jobs for one change, nor recurses: a chain may be as long as
// users like.

// Urgency is what a job takes over from the jobs that need it.
type Urgency struct {
	Rank     int           // the highest of them
	Deadline core.WallTime // by when it has to be done for the first of them to be in time; 0: any
}

// Finished tells whether the job is done or cancelled, by its own record or with a job that
// it needs.
func (e *JobEntry) Finished() bool { return e.withdrawn || e.Job.Finished() }

// Cancelled tells whether the job is cancelled, by its own record or with a job before it.
func (e *JobEntry) Cancelled() bool { return e.withdrawn || e.Phase == JobCancelled }

// ReadyAt tells since when a job may run, and false as long as a job that it needs is not
// durably done.
func (m *Mirror) ReadyAt(e *JobEntry) (core.WallTime, bool) {
	at := e.AcceptedAt
	for _, id := range e.needs {
		before := m.Jobs[id]
		if before == nil || before.Phase != JobDone {
			return 0, false
		}
		at = max(at, before.EndedAt)
	}
	return at, true
}

// ReadySoon tells whether a job that waits for others will be ready before long: each of those
// that is not done has begun, as far as begun knows.
func (m *Mirror) ReadySoon(e *JobEntry, begun func(core.JobID) bool) bool {
	for _, id := range e.needs {
		before := m.Jobs[id]
		if before == nil || before.Phase != JobDone && !begun(id) && before.Done.Empty() {
			return false
		}
	}
	return true
}

// link takes in what a job that is not over depends on.
func (m *Mirror) link(id core.JobID, e *JobEntry, t *ChangeSet) {
	if e.needs != nil || e.Spec == nil || len(e.Spec.Dependencies) == 0 {
		return
	}
	for _, name := range e.Spec.Dependencies {
		e.needs = append(e.needs, core.JobID(name))
	}
	cancelled := false
	for _, before := range e.needs {
		b := m.Jobs[before]
		if b == nil || !b.Finished() {
			m.dependents[before] = append(m.dependents[before], id)
			continue
		}
		cancelled = cancelled || b.Cancelled()
	}
	if cancelled {
		m.withdraw(id, t)
		return
	}
	m.inherit(id, t)
}

// settled passes on to the jobs that need a job that it is over.
func (m *Mirror) settled(id core.JobID, e *JobEntry, t *ChangeSet) {
	after := m.dependents[id]
	delete(m.dependents, id)
	for _, next := range after {
		if e.Cancelled() {
			m.withdraw(next, t)
		} else {
			t.job(next) // it may be ready now
		}
	}
}

// withdraw notes that a job, and all that need it, are cancelled with one before it.
func (m *Mirror) withdraw(id core.JobID, t *ChangeSet) {
	for next := []core.JobID{id}; len(next) > 0; {
		x := next[len(next)-1]
		next = next[:len(next)-1]
		e := m.Jobs[x]
		if e == nil || e.Finished() {
			continue
		}
		e.withdrawn, e.Spec, e.needs, e.Done = true, nil, nil, core.IndexSet{}
		t.job(x)
		next = append(next, m.dependents[x]...)
		delete(m.dependents, x)
	}
}

// inherit passes a job's rank and due time on to the jobs that it needs, and so on.
func (m *Mirror) inherit(id core.JobID, t *ChangeSet) {
	for next := []core.JobID{id}; len(next) > 0; {
		x := next[len(next)-1]
		next = next[:len(next)-1]
		e := m.Jobs[x]
		if e == nil || e.Finished() || e.Spec == nil {
			continue
		}
		rank := max(placement.Rank(e.Spec.Rank), e.Urgency.Rank)
		due := e.Urgency.Deadline
		if e.Spec.DeadlineS != nil {
			if own := e.AcceptedAt + core.WallTime(*e.Spec.DeadlineS*1000); due == 0 || own < due {
				due = own
			}
		}
		if due > 0 {
			due -= core.WallTime(e.Spec.EstimateS*1000) + changeOver
		}
		for _, before := range e.needs {
			b := m.Jobs[before]
			if b == nil || b.Finished() || b.Urgency.Rank >= rank && (due == 0 || b.Urgency.Deadline > 0 && b.Urgency.Deadline <= due) {
				continue
			}
			b.Urgency.Rank = max(b.Urgency.Rank, rank)
			if due > 0 && (b.Urgency.Deadline == 0 || due < b.Urgency.Deadline) {
				b.Urgency.Deadline = due
			}
			t.job(before)
			next = append(next, before)
		}
	}
}

// changeOver is what passes between the end of a job and the start of the next, in
// milliseconds: a report, a record, a pass and a start.
const changeOver = 2000

// job notes that a job was touched.
func (t *ChangeSet) job(id core.JobID) {
	if n := len(t.Jobs); n > 32 || !slices.Contains(t.Jobs, id) {
		t.Jobs = append(t.Jobs, id)
	}
}
