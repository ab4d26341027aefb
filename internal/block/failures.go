package block

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// blame tells bad machines from jobs submitted with a mistake by who else succeeds
// where. A failure counts against its machine once the job has completed a task
// elsewhere, not before: jobs with a mistake fail on every machine, and the machines
// that met two of them were unreliable. A job that has failed on two machines and
// completed nothing is tried one task at a time, ever more seldom, until one
// completes: each of its tasks took its turn on machines, and its gangs held a
// reservation, until its user cancelled it.
func (h *Holder) blame(m *machine, j *job, cause string) {
	now := h.Loop.Now()
	switch cause {
	case api.CauseError:
		j.avoid[m.id] = now.Add(avoidTime)
		if !j.done.Empty() {
			h.failed(m)
			if j.fails++; j.fails >= manyFails {
				// Some of its tasks may have a mistake though others had none.
				j.holdoff = now.Add(min(time.Second<<min((j.fails-manyFails)/4, 5), 30*time.Second))
			}
			return
		}
		was := j.probing()
		j.failed[m.id] = true
		switch {
		case was:
			j.fails++
			j.holdoff = now.Add(min(time.Second<<min(j.fails, 5), 30*time.Second))
		case j.probing():
			h.Log.Info("job has failed wherever it ran; it is tried one task at a time", "job", j.id, "machines", len(j.failed))
			j.holdoff = now.Add(time.Second)
		}
	case api.CauseNoSuch:
		j.fails++
		j.holdoff = now.Add(min(time.Second<<min(j.fails, 4), 15*time.Second))
	case api.CauseNoRoom, api.CauseInUse:
		j.avoid[m.id] = now.Add(3 * time.Second)
	}
}

// failed counts a failure against a machine.
func (h *Holder) failed(m *machine) {
	if m.fails++; m.fails >= 2 {
		m.unreliable = h.Loop.Now().Add(unreliableTime)
	}
}

// acquit notes that a job has completed its first task: where it failed, the machine
// was to blame.
func (h *Holder) acquit(j *job) {
	for _, id := range core.SortedKeys(j.failed) {
		if m := h.machines[id]; m != nil {
			h.failed(m)
		}
	}
	j.failed, j.fails, j.holdoff = map[core.MachineID]bool{}, 0, 0
}
