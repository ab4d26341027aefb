package state

import (
	"encoding/json"
	"fmt"
	"iter"
	"strconv"
	"strings"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// PoolInventory is the number of the pool among the inventories; blocks have their own.
const PoolInventory = -1

// Inventory holds the machines of a block or of the pool in parts, each of which is
// one value of the state service, so that no number of machines is too large.
// A part, once made, is never removed: a late creation could otherwise find its
// key missing again, and bring back what has changed since.
type Inventory struct {
	parts map[int]Versioned[*Part]
	place map[core.MachineID]int // the part of each machine
}

// Part is the record of one part of an inventory.
type Part struct {
	Machines []Machine `json:"machines"`
}

// find returns the place of a machine in the part, or -1.
func (p *Part) find(id core.MachineID) int {
	for i := range p.Machines {
		if p.Machines[i].ID == id {
			return i
		}
	}
	return -1
}

// size estimates the length of the part's record.
func (p *Part) size() int {
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
		for _, k := range core.Keys(s.parts) {
			for _, m := range s.parts[k].Record.Machines {
				if !yield(m) {
					return
				}
			}
		}
	}
}

// put takes in a part as the state service has it.
func (s *Inventory) put(k int, p *Part, v core.Revision) {
	if old, ok := s.parts[k]; ok {
		for _, m := range old.Record.Machines {
			if s.place[m.ID] == k {
				delete(s.place, m.ID)
			}
		}
	}
	s.parts[k] = Versioned[*Part]{p, v}
	for _, m := range p.Machines {
		s.place[m.ID] = k
	}
}

func newInventory() *Inventory {
	return &Inventory{parts: map[int]Versioned[*Part]{}, place: map[core.MachineID]int{}}
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

// editBytes bounds what one transaction writes of machines.
const editBytes = 40 << 10

// Edit collects changes to machines for one transaction, within its limits.
// What no longer fits is refused, and left for the next transaction.
type Edit struct {
	mirror *Mirror
	most   int // bytes of a part
	ops    int // parts that may still be changed
	hard   int // parts that a transaction can have at all
	bytes  int
	lane   int
	added  bool
	drafts map[[2]int]*Part
	order  [][2]int
}

// Edit starts to collect changes to at most ops parts. What it adds to the pool
// goes to parts of its lane: holders have one each, and the leader has lane 0,
// so that their releases need not wait for each other.
func (m *Mirror) Edit(lim config.StateLimits, ops, lane int) *Edit {
	return &Edit{mirror: m, most: min(lim.ValueBytes, partBytes) - 64, ops: ops, hard: lim.TxnOps - besideParts, bytes: editBytes, lane: lane, drafts: map[[2]int]*Part{}}
}

// besideParts is how many other changes a transaction with machines may have: a counter of
// terms and one of arrivals, or what is done.
const besideParts = 3

// split lists the machines of a part in pieces that fit a value each. Parts that were
// written when longer values were allowed are written in pieces once they change, all in
// one transaction.
func (e *Edit) split(have *Part) (pieces [][]Machine) {
	size := e.most
	for i := range have.Machines {
		m := &have.Machines[i]
		if size+m.size() > e.most {
			pieces, size = append(pieces, nil), (&Part{}).size()
		}
		size += m.size()
		last := &pieces[len(pieces)-1]
		*last = append(*last, *m)
	}
	return pieces
}

// vacant finds the first part of an inventory that does not exist and is not drafted.
func (e *Edit) vacant(inventory int) int {
	first, step := e.lanes(inventory)
	for k := first; ; k += step {
		if _, ok := e.mirror.Inventory(inventory).parts[k]; !ok && e.drafts[[2]int{inventory, k}] == nil {
			return k
		}
	}
}

// lanes tells which parts of an inventory are for new machines of this edit.
func (e *Edit) lanes(inventory int) (first, step int) {
	if inventory == PoolInventory {
		return e.lane, len(e.mirror.Blocks) + 1
	}
	return 0, 1
}

// own makes the part changeable in which a machine is, and returns it, or nil.
func (e *Edit) own(inventory int, id core.MachineID) *Part {
	k := e.partOf(inventory, id)
	if k < 0 || e.draft(inventory, k) == nil {
		return nil
	}
	return e.drafts[[2]int{inventory, e.partOf(inventory, id)}] // it may have been split
}

// draft makes a part changeable, unless the limits forbid it.
func (e *Edit) draft(inventory, part int) *Part {
	key := [2]int{inventory, part}
	if p := e.drafts[key]; p != nil {
		return p
	}
	pieces := [][]Machine{{}}
	if have, ok := e.mirror.Inventory(inventory).parts[part]; ok {
		pieces[0] = append(pieces[0], have.Record.Machines...)
		if have.Record.size() > e.most {
			pieces = e.split(have.Record)
		}
	}
	// The pieces of one part go together, also if that is more than a transaction should
	// have for the sake of those behind it.
	if e.ops < 1 || e.bytes < e.most*len(pieces) || len(pieces) > 1 && len(e.order)+len(pieces) > e.hard {
		return nil
	}
	for i, machines := range pieces {
		if i > 0 {
			key = [2]int{inventory, e.vacant(inventory)}
		}
		e.ops--
		e.bytes -= e.most
		e.drafts[key] = &Part{Machines: machines}
		e.order = append(e.order, key)
	}
	return e.drafts[[2]int{inventory, part}]
}

// room finds a part of an inventory that can take one more machine: one that is to
// be written anyway, else the first, else a new one.
func (e *Edit) room(inventory int, m *Machine) *Part {
	parts := e.mirror.Inventory(inventory).parts
	for _, key := range e.order {
		if p := e.drafts[key]; key[0] == inventory && p.size()+m.size() <= e.most {
			return p
		}
	}
	first, step := e.lanes(inventory)
	for k := first; ; k += step {
		if e.drafts[[2]int{inventory, k}] != nil {
			continue
		}
		have, ok := parts[k]
		if !ok || have.Record.size()+m.size() <= e.most {
			return e.draft(inventory, k)
		}
	}
}

// partOf returns the part in which a machine is as edited so far, or -1.
func (e *Edit) partOf(inventory int, id core.MachineID) int {
	for _, key := range e.order {
		if key[0] == inventory && e.drafts[key].find(id) >= 0 {
			return key[1]
		}
	}
	if k, ok := e.mirror.Inventory(inventory).place[id]; ok && e.drafts[[2]int{inventory, k}] == nil {
		return k
	}
	return -1
}

// Find returns a machine's record as edited so far.
func (e *Edit) Find(inventory int, id core.MachineID) (Machine, bool) {
	k := e.partOf(inventory, id)
	if k < 0 {
		return Machine{}, false
	}
	p := e.drafts[[2]int{inventory, k}]
	if p == nil {
		p = e.mirror.Inventory(inventory).parts[k].Record
	}
	return p.Machines[p.find(id)], true
}

// All lists an inventory's machines as edited so far.
func (e *Edit) All(inventory int) (out []Machine) {
	parts := e.mirror.Inventory(inventory).parts
	for _, k := range core.Keys(parts) {
		if e.drafts[[2]int{inventory, k}] == nil {
			out = append(out, parts[k].Record.Machines...)
		}
	}
	for _, key := range e.order {
		if key[0] == inventory {
			out = append(out, e.drafts[key].Machines...)
		}
	}
	return out
}

// Set replaces a machine's record. It reports false if that does not fit into
// the transaction.
func (e *Edit) Set(inventory int, m Machine) bool {
	p := e.own(inventory, m.ID)
	if p == nil {
		return false
	}
	p.Machines[p.find(m.ID)] = m
	return true
}

// Add puts a machine that is in no inventory into one. The version of no part says
// that this has not been done elsewhere, so the transaction also raises the
// count of arrivals: of two that were decided from the same picture, one of
// them perhaps carried out late, only one can take effect.
func (e *Edit) Add(inventory int, m Machine) bool {
	if !e.insert(inventory, m) {
		return false
	}
	e.added = true
	return true
}

func (e *Edit) insert(inventory int, m Machine) bool {
	p := e.room(inventory, &m)
	if p == nil {
		return false
	}
	p.Machines = append(p.Machines, m)
	return true
}

// Remove takes a machine out of an inventory.
func (e *Edit) Remove(inventory int, id core.MachineID) bool {
	if e.partOf(inventory, id) < 0 {
		return true
	}
	p := e.own(inventory, id)
	if p == nil {
		return false
	}
	i := p.find(id)
	p.Machines = append(p.Machines[:i], p.Machines[i+1:]...)
	return true
}

// Move takes a machine out of one inventory and puts it, as m says, into another:
// both or, if the transaction is full, neither.
func (e *Edit) Move(from, to int, m Machine) bool {
	if e.own(from, m.ID) == nil {
		return false
	}
	// A record that is left of an earlier stay is replaced.
	if !e.Set(to, m) && !e.insert(to, m) {
		return false
	}
	return e.Remove(from, m.ID)
}

// Apply adds the changes to a transaction. What was drafted and left as it was
// is not written.
func (e *Edit) Apply(t *api.Txn) {
	if e.added {
		c := e.mirror.arrivals
		t.If = append(t.If, api.Condition{Key: keyArrivals, Version: uint64(c.Version)})
		t.Then = append(t.Then, Put(keyArrivals, Arrivals{c.Record.Count + 1}))
	}
	for _, key := range e.order {
		have := e.mirror.Inventory(key[0]).parts[key[1]]
		put := Put(keyPart(key[0], key[1]), e.drafts[key])
		if have.Record != nil {
			if was, _ := json.Marshal(have.Record); string(was) == string(put.Value) {
				continue
			}
		}
		t.If = append(t.If, api.Condition{Key: put.Set, Version: uint64(have.Version)})
		t.Then = append(t.Then, put)
	}
}
