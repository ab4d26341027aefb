package block

import (
	"cmp"
	"slices"

	"lichenstair/api"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

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
	total placement.Resources
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

	season      core.Session
	tally       core.Sequence
	floor       core.Session // reports of this season and before are dead
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
type held struct {
	done func(api.ReportResponse, bool)
}

func (m *machine) booked() placement.Resources {
	var n placement.Resources
	for _, s := range m.slots {
		if s.booked() {
			n = n.Add(s.need)
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
