package state

import (
	"fmt"
	"iter"
	"strconv"
	"strings"

	"lichenstair/internal/core"
)

// PoolInventory is the inventory number of the pool; the inventory of a block has the block's
// number.
const PoolInventory = -1

// Inventory holds the machines of a block or of the pool. They are divided into parts, each of
// which is one value of the state service, so that the value limit does not limit the number of
// machines. A part is never removed once it exists: a delayed transaction that creates it would
// otherwise find its key missing again and restore outdated records.
type Inventory struct {
	parts     map[int]Versioned[*InventoryPart]
	partIndex map[core.MachineID]int // number of the part that holds each machine
}

// InventoryPart is the record of one part of an inventory.
type InventoryPart struct {
	Machines []Machine `json:"machines"`
}

// find returns the index of a machine in the part, or -1.
func (p *InventoryPart) find(id core.MachineID) int {
	for i := range p.Machines {
		if p.Machines[i].ID == id {
			return i
		}
	}
	return -1
}

// size estimates the encoded length of the part, in bytes.
func (p *InventoryPart) size() int {
	n := 32
	for i := range p.Machines {
		n += p.Machines[i].size()
	}
	return n
}

// size estimates the encoded length of the machine's record with all fields set, in bytes.
func (m *Machine) size() int {
	return 170 + len(m.ID) + max(len(m.Addr), 24) + len(m.Type) + len(m.Zone)
}

// Len returns the number of machines.
func (s *Inventory) Len() int { return len(s.partIndex) }

// Find returns a machine's record.
func (s *Inventory) Find(id core.MachineID) (Machine, bool) {
	k, ok := s.partIndex[id]
	if !ok {
		return Machine{}, false
	}
	p := s.parts[k].Record
	return p.Machines[p.find(id)], true
}

// VersionOf returns the version of the part that holds a machine, 0 if there is none.
func (s *Inventory) VersionOf(id core.MachineID) core.Revision {
	k, ok := s.partIndex[id]
	if !ok {
		return 0
	}
	return s.parts[k].Version
}

// All iterates over the machines in the order of the parts.
func (s *Inventory) All() iter.Seq[Machine] {
	return func(yield func(Machine) bool) {
		for _, k := range core.SortedKeys(s.parts) {
			for _, m := range s.parts[k].Record.Machines {
				if !yield(m) {
					return
				}
			}
		}
	}
}

// put stores a part as read from the state service.
func (s *Inventory) put(k int, p *InventoryPart, v core.Revision) {
	if old, ok := s.parts[k]; ok {
		for _, m := range old.Record.Machines {
			if s.partIndex[m.ID] == k {
				delete(s.partIndex, m.ID)
			}
		}
	}
	s.parts[k] = Versioned[*InventoryPart]{p, v}
	for _, m := range p.Machines {
		s.partIndex[m.ID] = k
	}
}

func newInventory() *Inventory {
	return &Inventory{parts: map[int]Versioned[*InventoryPart]{}, partIndex: map[core.MachineID]int{}}
}

func keyPart(inventory, part int) string {
	if inventory == PoolInventory {
		return fmt.Sprintf("%spool/%d", machinePrefix, part)
	}
	return fmt.Sprintf("%s%d/%d", machinePrefix, inventory, part)
}

// parsePart parses the key of a part.
func parsePart(key string) (inventory, part int, ok bool) {
	name, num, ok := strings.Cut(strings.TrimPrefix(key, machinePrefix), "/")
	part, err := strconv.Atoi(num)
	if !ok || err != nil {
		return 0, 0, false
	}
	if name == "pool" {
		return PoolInventory, part, true
	}
	inventory, err = strconv.Atoi(name)
	return inventory, part, err == nil && inventory >= 0
}

// maxPartBytes limits the size of a part. Every controller reads each changed part whole, so parts
// are kept short even where the service allows longer values.
const maxPartBytes = 8 << 10
