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
	booting machineState = iota // in the block, has not reported yet
	unsure                      // may run tasks that the holder does not know of
	live                        // accounted for (see machine.fenced) and reporting
	silent                      // accounted for, has stopped reporting
	lapsed                      // nothing runs on it: its lease is proven to have expired, or it was returned to the cloud
)

func (s machineState) String() string {
	return [...]string{"booting", "unsure", "live", "silent", "lapsed"}[s]
}

// machine is a machine of the block with the attempts that are or may be on it.
type machine struct {
	id              core.MachineID
	state           machineState
	addr            string
	machineType     string
	zone            string
	spot            bool
	total           placement.Resources // resources of its type; zero while the type is unknown
	inUse           bool                // durably recorded as possibly running tasks; none starts before that
	draining        bool                // the leader wants it back for another block
	returnRequested bool                // to be returned to the cloud
	term            core.Term           // under which it was assigned to the block, or a higher one shown since by prompt
	// poolMoveVersion is the version of the machine's inventory part on which a write that
	// moves the machine to the pool was based. Until that part changes the write may still
	// take effect, so nothing may be planned on the machine.
	poolMoveVersion core.Revision
	// clearInUseVersion is the same for a write that marks the machine as unused.
	clearInUseVersion core.Revision

	session         core.Session  // of the last accepted message; 0: none yet
	sequence        core.Sequence // of the last accepted message
	ignoredThrough  core.Session  // messages of this and earlier sessions are ignored; highest value: the machine was returned
	fenced          bool          // accounted for: commands of earlier holders can no longer take effect on it
	termUnseenSince core.Time     // since when it has been answered without its reports carrying our term; 0: they do
	unreachable     bool          // it reports, but our responses do not reach it
	// unreachableSince is when unreachable last changed.
	unreachableSince core.Time
	queryInFlight    bool            // at most one query or prompt at a time
	failedQueries    int             // consecutive queries without response
	nextQuery        core.Time       // no query before this time
	joinedAt         core.Time       // when it was added to the block
	lastMessage      core.Time       // when its last accepted message arrived
	lastReport       core.Time       // when its last report arrived
	lastResponse     core.Time       // when a report of it was last answered
	lastPrompt       core.Time       // when it was last shown a higher term to make it report
	lastRenewal      core.Time       // last time at which a holder may have renewed its lease
	reclaimAt        core.Time       // when the cloud takes it back; 0: no notice
	idleSince        core.Time       // since when nothing is booked on it; 0: something is
	failures         int             // failures counted against it since a task last completed on it
	unreliableUntil  core.Time       // until then, any other machine is preferred to it
	images           map[string]bool // names of the images known to be on it
	recentImages     []string        // the same names, oldest first
	slots            map[slotKey]*slot
	sortedSlots      []*slot     // cache of orderedSlots, nil after a slot was added or removed
	heldReport       *heldReport // report whose response is held back
	freeWindow       freeWindow
}

// heldReport is a report whose response is held back for a moment, so that a worker with nothing
// to do learns of a start at once instead of with its next report.
type heldReport struct {
	done func(api.ReportResponse, bool)
}

// bookedResources returns the sum of what the booked attempts on the machine need.
func (m *machine) bookedResources() placement.Resources {
	var n placement.Resources
	for _, s := range m.slots {
		if s.booked() {
			n = n.Add(s.resources)
		}
	}
	return n
}

// orderedMachines returns the block's machines ordered by their ids. Every change of a job's record
// reads this list, so it is cached until a machine joins or leaves. A list that was returned earlier is
// not modified.
func (h *Holder) orderedMachines() []*machine {
	if h.sortedMachines == nil {
		h.sortedMachines = make([]*machine, 0, len(h.machines))
		for _, id := range core.SortedKeys(h.machines) {
			h.sortedMachines = append(h.sortedMachines, h.machines[id])
		}
	}
	return h.sortedMachines
}

// addSlot and removeSlot are the only functions that change the set of slots.
func (m *machine) addSlot(s *slot) {
	m.slots[s.slotKey] = s
	m.sortedSlots = nil
}

func (m *machine) removeSlot(s *slot) {
	delete(m.slots, s.slotKey)
	m.sortedSlots = nil
}

// orderedSlots returns the machine's slots ordered by task and attempt. Every pass reads this
// list for all machines, and every report reads that of its machine twice, so it is cached
// until the set changes. A list that was returned earlier is not modified.
func (m *machine) orderedSlots() []*slot {
	if m.sortedSlots == nil {
		m.sortedSlots = make([]*slot, 0, len(m.slots))
		for _, s := range m.slots {
			m.sortedSlots = append(m.sortedSlots, s)
		}
		slices.SortFunc(m.sortedSlots, func(a, b *slot) int {
			return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
		})
	}
	return m.sortedSlots
}

// onlyPlanned reports whether all booked attempts on the machine are still planned.
func (m *machine) onlyPlanned() bool {
	for _, s := range m.slots {
		if s.booked() && s.state != planned {
			return false
		}
	}
	return true
}

// empty reports whether nothing is booked on the machine.
func (m *machine) empty() bool {
	for _, s := range m.slots {
		if s.booked() {
			return false
		}
	}
	return true
}

const maxRecentImages = 20 // images remembered for each machine

// noteImage records that an image is on the machine, and forgets the oldest one if there are
// more than maxRecentImages.
func (m *machine) noteImage(image string) {
	if m.images[image] {
		return
	}
	m.images[image] = true
	m.recentImages = append(m.recentImages, image)
	if len(m.recentImages) > maxRecentImages {
		delete(m.images, m.recentImages[0])
		m.recentImages = m.recentImages[1:]
	}
}
