package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// recordFailure handles a failed attempt, telling faulty machines from faulty jobs by where
// other tasks succeed. A failure counts against its machine only once the job has completed a
// task: a faulty job fails on every machine, and counting its failures made every machine that
// ran two of its tasks unreliable. A job that has failed on two machines and completed nothing
// is tried one task at a time with growing pauses until a task completes. Without this, each of
// its tasks took its turn on machines, and its gangs held a reservation, until the user
// cancelled the job.
func (h *Holder) recordFailure(m *machine, j *job, cause string) {
	now := h.Loop.Now()
	switch cause {
	case api.CauseError:
		j.excludedUntil[m.id] = now.Add(excludeFor)
		if !j.done.Empty() {
			h.countMachineFailure(m)
			if j.failures++; j.failures >= failuresBeforeBackoff {
				// Some of the job's tasks may be faulty even though others have completed.
				j.backoffUntil = now.Add(min(time.Second<<min((j.failures-failuresBeforeBackoff)/4, 5), 30*time.Second))
			}
			return
		}
		was := j.failing()
		j.failedMachines[m.id] = true
		switch {
		case was:
			j.failures++
			j.backoffUntil = now.Add(min(time.Second<<min(j.failures, 5), 30*time.Second))
		case j.failing():
			h.Log.Info("job has failed on every machine so far; trying one task at a time", "job", j.id, "machines", len(j.failedMachines))
			j.backoffUntil = now.Add(time.Second)
		}
	case api.CauseNoSuch: // the worker found no such task
		j.failures++
		j.backoffUntil = now.Add(min(time.Second<<min(j.failures, 4), 15*time.Second))
	case api.CauseNoRoom, api.CauseInUse:
		j.excludedUntil[m.id] = now.Add(3 * time.Second)
	}
}

// countMachineFailure counts a failure against a machine.
func (h *Holder) countMachineFailure(m *machine) {
	if m.failures++; m.failures >= 2 {
		m.unreliableUntil = h.Loop.Now().Add(unreliableFor)
	}
}

// clearFailures is called when a task of a job completes. If that is the first one, the
// machines on which the job failed before were at fault.
func (h *Holder) clearFailures(j *job) {
	for _, id := range core.SortedKeys(j.failedMachines) {
		if m := h.machines[id]; m != nil {
			h.countMachineFailure(m)
		}
	}
	j.failedMachines, j.failures, j.backoffUntil = map[core.MachineID]bool{}, 0, 0
}
