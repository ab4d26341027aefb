package state

import (
	"encoding/json"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

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
	drafts map[[2]int]*InventoryPart
	order  [][2]int
}

// Edit starts to collect changes to at most ops parts. What it adds to the pool
// goes to parts of its lane: holders have one each, and the leader has lane 0,
// so that their releases need not wait for each other.
func (m *Mirror) Edit(lim config.StateLimits, ops, lane int) *Edit {
	return &Edit{mirror: m, most: min(lim.ValueBytes, partBytes) - 64, ops: ops, hard: lim.TxnOps - besideParts, bytes: editBytes, lane: lane, drafts: map[[2]int]*InventoryPart{}}
}

// besideParts is how many other changes a transaction with machines may have: a counter of
// terms and one of arrivals, or what is done.
const besideParts = 3

// split lists the machines of a part in pieces that fit a value each. Parts that were
// written when longer values were allowed are written in pieces once they change, all in
// one transaction.
func (e *Edit) split(have *InventoryPart) (pieces [][]Machine) {
	size := e.most
	for i := range have.Machines {
		m := &have.Machines[i]
		if size+m.size() > e.most {
			pieces, size = append(pieces, nil), (&InventoryPart{}).size()
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
func (e *Edit) own(inventory int, id core.MachineID) *InventoryPart {
	k := e.partOf(inventory, id)
	if k < 0 || e.draft(inventory, k) == nil {
		return nil
	}
	return e.drafts[[2]int{inventory, e.partOf(inventory, id)}] // it may have been split
}

// draft makes a part changeable, unless the limits forbid it.
func (e *Edit) draft(inventory, part int) *InventoryPart {
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
		e.drafts[key] = &InventoryPart{Machines: machines}
		e.order = append(e.order, key)
	}
	return e.drafts[[2]int{inventory, part}]
}

// room finds a part of an inventory that can take one more machine: one that is to
// be written anyway, else the first, else a new one.
func (e *Edit) room(inventory int, m *Machine) *InventoryPart {
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
	for _, k := range core.SortedKeys(parts) {
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
		t.Then = append(t.Then, Put(keyArrivals, AdditionCounter{c.Record.Count + 1}))
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
