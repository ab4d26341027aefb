package block

import (
	"cmp"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// slotState is the state of a task's place on a machine.
type slotState int

const (
	planned  slotState = iota // chosen, no start command sent
	starting                  // a start command was sent and may be executed
	present                   // the worker reports it, not exited
	exited                    // the worker reports that it has ended
	off                       // no longer on the machine, proven
)

func (s slotState) String() string {
	return [...]string{"planned", "starting", "present", "exited", "off"}[s]
}

type slotKey struct {
	task    core.TaskID
	attempt core.Attempt
}

// slot is one attempt of a task on a machine. It is booked until it is off or
// exited.
type slot struct {
	slotKey
	state   slotState
	machine *machine
	team    string
	need    placement.Need
	view    string // state as reported
	cause   string

	sentAt     core.Time
	sentSeason core.Season
	sentTally  core.Tally

	ends    core.Time // by estimate
	stop    bool      // it is to be stopped
	stopped core.Time // when the first stop was sent; 0: none
	grace   float64
	since   core.Time // when it was first seen running
}

func (s *slot) booked() bool { return s.state != exited && s.state != off }

// machineState is the state of a machine as its holder sees it.
type machineState int

const (
	booting machineState = iota // in the block, has not reported
	unsure                      // may run tasks that we do not know of
	live                        // accounted for and reporting
	silent                      // accounted for, has not reported for a while
	lapsed                      // its lease has surely run out; nothing is on it
)

func (s machineState) String() string {
	return [...]string{"booting", "unsure", "live", "silent", "lapsed"}[s]
}

type machine struct {
	id    core.MachineID
	state machineState
	addr  string
	typ   string
	zone  string
	spot  bool
	total placement.Need
	up    bool // durable
	asked bool
	lost  bool
	term  core.Term // under which it was assigned to the block
	// leaving is the version of the machine's part under which a write that
	// releases the machine was sent; until the part has changed, that write may
	// still be carried out, and nothing may be planned on the machine.
	leaving core.Revision
	// lowering is the same for a write that calls the machine unused.
	lowering core.Revision

	season      core.Season
	tally       core.Tally
	floor       core.Season // reports of this season and before are dead
	fenced      bool
	unheard     core.Time // since when it is answered without showing our term
	unreachable bool      // it reports, but what we say does not reach it
	// unreachableSince is when unreachable last changed.
	unreachableSince core.Time
	asking           bool
	unheeded         int       // questions in a row that got no answer
	askNext          core.Time // not to be asked again before
	joined           core.Time
	heard            core.Time
	reported         core.Time // its last report
	answered         core.Time // our last answer to one
	prompted         core.Time // when it was last shown a higher term to make it report
	answer           core.Time // last time at which a holder may have renewed its lease
	notice           core.Time // when the cloud takes it; 0: no notice
	idle             core.Time // since when nothing is booked; 0: something is
	fails            int
	unreliable       core.Time
	images           map[string]bool
	recent           []string
	slots            map[slotKey]*slot
	sorted           []*slot // what list returns, as long as no slot comes or goes
	held             *held   // a report that waits for its answer
	room             lastingRoom
}

// held is a report whose answer is kept back for a moment: a worker with
// nothing to do learns of a start at once, instead of with its next report.
type held struct{ done func(api.ReportAnswer, bool) }

func (m *machine) booked() placement.Need {
	var n placement.Need
	for _, s := range m.slots {
		if s.booked() {
			n = n.Plus(s.need)
		}
	}
	return n
}

// add and drop are the places where slots come and go.
func (m *machine) add(s *slot) {
	m.slots[s.slotKey] = s
	m.sorted = nil
}

func (m *machine) drop(s *slot) {
	delete(m.slots, s.slotKey)
	m.sorted = nil
}

// list returns the machine's slots in the order of their tasks. Each pass asks every
// machine, and each report its own twice, so the order is kept until it changes; a
// list that was handed out stays as it was.
func (m *machine) list() []*slot {
	if m.sorted == nil {
		m.sorted = make([]*slot, 0, len(m.slots))
		for _, s := range m.slots {
			m.sorted = append(m.sorted, s)
		}
		slices.SortFunc(m.sorted, func(a, b *slot) int {
			return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
		})
	}
	return m.sorted
}

// planned tells whether all that is booked on the machine is still only planned.
func (m *machine) planned() bool {
	for _, s := range m.slots {
		if s.booked() && s.state != planned {
			return false
		}
	}
	return true
}

// empty tells whether nothing is booked on the machine.
func (m *machine) empty() bool {
	for _, s := range m.slots {
		if s.booked() {
			return false
		}
	}
	return true
}

const keptImages = 20

func (m *machine) sawImage(image string) {
	if m.images[image] {
		return
	}
	m.images[image] = true
	m.recent = append(m.recent, image)
	if len(m.recent) > keptImages {
		delete(m.images, m.recent[0])
		m.recent = m.recent[1:]
	}
}

// job is an unfinished job of a team of the block.
type job struct {
	id      core.JobID
	at      core.Wall // since when it may run
	sent    core.Wall // when it was submitted
	blocked bool      // a job that it depends on is not done yet
	due     core.Wall // by when jobs that need it want it done; 0: any time
	spec    *api.Job
	rank    int
	seen    bool // a task of it has been seen on a machine
	need    placement.Need
	done    core.Set // known done, durable or not
	pending core.Set // done, not yet durable
	slots   map[int]*slot
	cursor  int   // tasks below are or were started, or done
	again   []int // tasks below cursor that wait again
	// withoutTasks: none of its tasks has a machine, since withoutSince.
	withoutTasks bool
	withoutSince core.Time
	inherited    bool // it waited before this holder had the block, nobody knows for how long
	// cancelled: another controller told so; the mirror does not show it yet.
	cancelled bool
	broken    bool // gang: a member is gone; the rest has to go
	avoid     map[core.MachineID]core.Time
	// failed holds the machines on which tasks have failed, as long as none has
	// completed; after that the job is known to be good.
	failed  map[core.MachineID]bool
	fails   int // in a row
	holdoff core.Time
}

func (j *job) gang() bool { return j.spec.Form == api.FormGang }

func (j *job) estimate() time.Duration { return core.Seconds(j.spec.EstimateS) }

// probing tells whether the job is suspected to have been submitted with a mistake:
// it has failed on more than one machine and completed nothing.
func (j *job) probing() bool { return len(j.failed) > 1 && j.done.Empty() }

// waiting counts the tasks that neither are done nor have a slot. It is where a job that
// depends on others is kept from starting, and from all that comes with waiting: a place
// in line, a reservation, machines.
func (j *job) waiting() int {
	if j.blocked {
		return 0
	}
	return j.spec.Tasks - j.done.Len() - j.live()
}

func (j *job) live() int {
	n := 0
	for i := range j.slots {
		if !j.done.Has(i) {
			n++
		}
	}
	return n
}

// noteWait follows since when the job has had nothing on a machine. What it waited before
// its holder had the block is not known; without counting it, jobs waited 90 s beside free capacity
// whenever their block changed hands in between.
func (j *job) noteWait(now core.Time, age time.Duration) {
	switch {
	case j.live() > 0:
		j.withoutTasks, j.inherited = false, false
	case !j.withoutTasks:
		j.withoutTasks, j.withoutSince = true, now
		if j.inherited {
			j.withoutSince = now.Add(-min(age, inheritedWait))
		}
	}
}

// starvation tells how far the job's wait has gone.
func (j *job) starvation(now core.Time) placement.Starvation {
	if !j.withoutTasks {
		return placement.NotStarving
	}
	return capacity.StarvationAfter(now.Sub(j.withoutSince))
}

// begun tells whether a task of the job has been on a machine. Plans do not count: a
// job whose only plan had been dropped was taken for begun, and waited for ever.
func (j *job) begun() bool { return j.seen || !j.done.Empty() }

// work estimates the work that is left, in CPU seconds; tasks that run count half.
func (j *job) work() float64 {
	live := float64(j.live())
	left := float64(j.spec.Tasks-j.done.Len()) - live/2
	return left * j.estimate().Seconds() * j.need.CPUs
}

// next takes a waiting task.
func (j *job) next() (int, bool) {
	for len(j.again) > 0 {
		i := j.again[0]
		j.again = j.again[1:]
		if !j.done.Has(i) && j.slots[i] == nil {
			return i, true
		}
	}
	for j.cursor < j.spec.Tasks {
		i := j.done.NextMissing(j.cursor)
		if i >= j.spec.Tasks {
			j.cursor = j.spec.Tasks
			break
		}
		j.cursor = i + 1
		if j.slots[i] == nil {
			return i, true
		}
	}
	return 0, false
}
