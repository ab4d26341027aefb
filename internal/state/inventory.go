package state

import (
	"fmt"
	"iter"
	"strconv"
	"strings"

	"lichenstair/internal/core"
)

// PoolInventory is the number of the pool among the inventories; blocks have their own.
const PoolInventory = -1

// Inventory holds the machines of a block or of the pool in parts, each of which is
// one value of the state service, so that no number of machines is too large.
// A part, once made, is never removed: a late creation could otherwise find its
// key missing again, and bring back what has changed since.
type Inventory struct {
	parts map[int]Versioned[*InventoryPart]
	place map[core.MachineID]int // the part of each machine
}

// InventoryPart is the record of one part of an inventory.
type InventoryPart struct {
	Machines []Machine `json:"machines"`
}

// find returns the place of a machine in the part, or -1.
func (p *InventoryPart) find(id core.MachineID) int {
	for i := range p.Machines {
		if p.Machines[i].ID == id {
			return i
		}
	}
	return -1
}

// size estimates the length of the part's record.
func (p *InventoryPart) size() int {
	n := 32
	for i := range p.Machines {
		n += p.Machines[i].size()
	}
	return n
}

// size estimates the length of a machine's record when all of it is filled in.
func (m *Machine) size() int {
	return 170 + len(m.ID) + max(len(m.Addr), 24) + len(m.Type) + len(m.Zone)
}

// Len counts the machines.
func (s *Inventory) Len() int { return len(s.place) }

// Find returns a machine's record.
func (s *Inventory) Find(id core.MachineID) (Machine, bool) {
	k, ok := s.place[id]
	if !ok {
		return Machine{}, false
	}
	p := s.parts[k].Record
	return p.Machines[p.find(id)], true
}

// VersionOf returns the version of the part in which a machine is; 0: none.
func (s *Inventory) VersionOf(id core.MachineID) core.Revision {
	k, ok := s.place[id]
	if !ok {
		return 0
	}
	return s.parts[k].Version
}

// All lists the machines in the order of the parts.
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

// put takes in a part as the state service has it.
func (s *Inventory) put(k int, p *InventoryPart, v core.Revision) {
	if old, ok := s.parts[k]; ok {
		for _, m := range old.Record.Machines {
			if s.place[m.ID] == k {
				delete(s.place, m.ID)
			}
		}
	}
	s.parts[k] = Versioned[*InventoryPart]{p, v}
	for _, m := range p.Machines {
		s.place[m.ID] = k
	}
}

func newInventory() *Inventory {
	return &Inventory{parts: map[int]Versioned[*InventoryPart]{}, place: map[core.MachineID]int{}}
}

func keyPart(inventory, part int) string {
	if inventory == PoolInventory {
		return fmt.Sprintf("%spool/%d", machines, part)
	}
	return fmt.Sprintf("%s%d/%d", machines, inventory, part)
}

// parsePart reads the key of a part.
func parsePart(key string) (inventory, part int, ok bool) {
	name, num, ok := strings.Cut(strings.TrimPrefix(key, machines), "/")
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

// partBytes bounds a part. Every controller reads each changed part whole, so
// parts are kept short even where longer values are allowed.
const partBytes = 8 << 10
