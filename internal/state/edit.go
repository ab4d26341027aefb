package state

import (
	"encoding/json"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// maxEditBytes limits the bytes of machine records that one transaction writes, so that its body
// stays below api.MaxBody.
const maxEditBytes = 40 << 10

// Edit collects changes of machine records for one transaction, within its limits. Changes that do
// not fit are refused and left for the next transaction.
type Edit struct {
	mirror      *Mirror
	maxPartSize int                       // maximum size of a part, in bytes
	partsLeft   int                       // parts that may still be changed
	maxParts    int                       // maximum number of parts that a transaction can hold
	bytesLeft   int                       // bytes that may still be written
	stripe      int                       // parts of the pool that take machines added by this edit
	added       bool                      // a machine was added, so the addition counter must be incremented
	drafts      map[[2]int]*InventoryPart // changed parts, by inventory and part number
	order       [][2]int                  // keys of drafts in the order of their creation
}

// Edit returns an edit of at most ops parts. Machines added to the pool go to the parts of the
// given stripe: the leader has stripe 0 and the holder of block n has stripe n+1, so that
// concurrent releases do not conflict.
func (m *Mirror) Edit(limits config.StateLimits, ops, stripe int) *Edit {
	return &Edit{mirror: m, maxPartSize: min(limits.ValueBytes, maxPartBytes) - 64, partsLeft: ops, maxParts: limits.TxnOps - reservedWrites, bytesLeft: maxEditBytes, stripe: stripe, drafts: map[[2]int]*InventoryPart{}}
}

// reservedWrites is the number of other writes that a transaction with machines may contain: the
// term counter and the addition counter, or completions.
const reservedWrites = 3

// split divides the machines of a part into pieces that each fit into one value. A part that was
// written under a larger value limit is rewritten in pieces, all of them in the transaction that
// first changes it.
func (e *Edit) split(current *InventoryPart) (pieces [][]Machine) {
	size := e.maxPartSize
	for i := range current.Machines {
		m := &current.Machines[i]
		if size+m.size() > e.maxPartSize {
			pieces, size = append(pieces, nil), (&InventoryPart{}).size()
		}
		size += m.size()
		last := &pieces[len(pieces)-1]
		*last = append(*last, *m)
	}
	return pieces
}

// freePart returns the first part number of the edit's stripe of an inventory that neither exists
// nor has a draft.
func (e *Edit) freePart(inventory int) int {
	first, step := e.stripeOf(inventory)
	for k := first; ; k += step {
		if _, ok := e.mirror.Inventory(inventory).parts[k]; !ok && e.drafts[[2]int{inventory, k}] == nil {
			return k
		}
	}
}

// stripeOf returns the first part number and the step of the parts that take new machines of this
// edit. An inventory of a block has one stripe, which is all of its parts.
func (e *Edit) stripeOf(inventory int) (first, step int) {
	if inventory == PoolInventory {
		return e.stripe, len(e.mirror.Blocks) + 1
	}
	return 0, 1
}

// editablePart returns a draft of the part that holds a machine, or nil if the machine is missing
// or the limits do not allow it.
func (e *Edit) editablePart(inventory int, id core.MachineID) *InventoryPart {
	k := e.partOf(inventory, id)
	if k < 0 || e.draft(inventory, k) == nil {
		return nil
	}
	return e.drafts[[2]int{inventory, e.partOf(inventory, id)}] // the part may have been split
}

// draft returns a changeable copy of a part, or nil if the limits do not allow it.
func (e *Edit) draft(inventory, part int) *InventoryPart {
	key := [2]int{inventory, part}
	if p := e.drafts[key]; p != nil {
		return p
	}
	pieces := [][]Machine{{}}
	if current, ok := e.mirror.Inventory(inventory).parts[part]; ok {
		pieces[0] = append(pieces[0], current.Record.Machines...)
		if current.Record.size() > e.maxPartSize {
			pieces = e.split(current.Record)
		}
	}
	// All pieces of a part must be written together, even if that exceeds the number of writes that
	// a transaction should have to keep queueing delays short.
	if e.partsLeft < 1 || e.bytesLeft < e.maxPartSize*len(pieces) || len(pieces) > 1 && len(e.order)+len(pieces) > e.maxParts {
		return nil
	}
	for i, machines := range pieces {
		if i > 0 {
			key = [2]int{inventory, e.freePart(inventory)}
		}
		e.partsLeft--
		e.bytesLeft -= e.maxPartSize
		e.drafts[key] = &InventoryPart{Machines: machines}
		e.order = append(e.order, key)
	}
	return e.drafts[[2]int{inventory, part}]
}

// partWithSpace returns a draft with space for one more machine: a part that is written anyway,
// else the first existing one of the stripe with space, else a new one. It returns nil if the
// limits do not allow it.
func (e *Edit) partWithSpace(inventory int, m *Machine) *InventoryPart {
	parts := e.mirror.Inventory(inventory).parts
	for _, key := range e.order {
		if p := e.drafts[key]; key[0] == inventory && p.size()+m.size() <= e.maxPartSize {
			return p
		}
	}
	first, step := e.stripeOf(inventory)
	for k := first; ; k += step {
		if e.drafts[[2]int{inventory, k}] != nil {
			continue
		}
		current, ok := parts[k]
		if !ok || current.Record.size()+m.size() <= e.maxPartSize {
			return e.draft(inventory, k)
		}
	}
}

// partOf returns the number of the part that holds a machine as edited so far, or -1.
func (e *Edit) partOf(inventory int, id core.MachineID) int {
	for _, key := range e.order {
		if key[0] == inventory && e.drafts[key].find(id) >= 0 {
			return key[1]
		}
	}
	if k, ok := e.mirror.Inventory(inventory).partIndex[id]; ok && e.drafts[[2]int{inventory, k}] == nil {
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

// All returns the machines of an inventory as edited so far.
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

// Set replaces a machine's record. It returns false if the machine is not in the inventory or the
// change does not fit into the transaction.
func (e *Edit) Set(inventory int, m Machine) bool {
	p := e.editablePart(inventory, m.ID)
	if p == nil {
		return false
	}
	p.Machines[p.find(m.ID)] = m
	return true
}

// Add adds a machine that is in no inventory. No part's version proves that the machine has not
// been added elsewhere, so the transaction also increments the addition counter: of two
// transactions that were prepared from the same revision, one of which may be executed late, only
// one can be committed.
func (e *Edit) Add(inventory int, m Machine) bool {
	if !e.insert(inventory, m) {
		return false
	}
	e.added = true
	return true
}

func (e *Edit) insert(inventory int, m Machine) bool {
	p := e.partWithSpace(inventory, &m)
	if p == nil {
		return false
	}
	p.Machines = append(p.Machines, m)
	return true
}

// Remove removes a machine from an inventory, if it is there. It returns false if the change does
// not fit into the transaction.
func (e *Edit) Remove(inventory int, id core.MachineID) bool {
	if e.partOf(inventory, id) < 0 {
		return true
	}
	p := e.editablePart(inventory, id)
	if p == nil {
		return false
	}
	i := p.find(id)
	p.Machines = append(p.Machines[:i], p.Machines[i+1:]...)
	return true
}

// Move removes a machine from one inventory and adds it with the record m to another. It does both
// or, if the transaction is full, neither.
func (e *Edit) Move(from, to int, m Machine) bool {
	if e.editablePart(from, m.ID) == nil {
		return false
	}
	// A record left over from an earlier stay in the inventory is replaced.
	if !e.Set(to, m) && !e.insert(to, m) {
		return false
	}
	return e.Remove(from, m.ID)
}

// Apply adds the changes to a transaction. Drafts that equal the stored part are not written.
func (e *Edit) Apply(t *api.Txn) {
	if e.added {
		c := e.mirror.additions
		t.If = append(t.If, api.Condition{Key: keyAdditions, Version: uint64(c.Version)})
		t.Then = append(t.Then, Put(keyAdditions, AdditionCounter{c.Record.Count + 1}))
	}
	for _, key := range e.order {
		current := e.mirror.Inventory(key[0]).parts[key[1]]
		put := Put(keyPart(key[0], key[1]), e.drafts[key])
		if current.Record != nil {
			if stored, _ := json.Marshal(current.Record); string(stored) == string(put.Value) {
				continue
			}
		}
		t.If = append(t.If, api.Condition{Key: put.Set, Version: uint64(current.Version)})
		t.Then = append(t.Then, put)
	}
}
