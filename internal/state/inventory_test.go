package state

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

// txnStore is a state service that only executes transactions.
type txnStore struct {
	revision uint64
	versions map[string]uint64
}

// apply executes a transaction if its conditions hold, and applies its events to the mirror.
func (s *txnStore) apply(m *Mirror, t api.Txn) bool {
	for _, c := range t.If {
		if s.versions[c.Key] != c.Version {
			return false
		}
	}
	s.revision++
	var events []api.Event
	for _, c := range t.Then {
		s.versions[c.Set] = s.revision
		events = append(events, api.Event{Set: c.Set, Value: c.Value, Version: s.revision})
	}
	m.applyEvents(events)
	return true
}

func newTestMirror(blocks int) *Mirror {
	m := &Mirror{log: slog.New(slog.DiscardHandler), complete: true}
	m.reset()
	for n := range blocks {
		m.Blocks[n] = Versioned[*Block]{Record: &Block{Number: n}}
	}
	return m
}

func testMachine(i int) Machine {
	return Machine{ID: core.MachineID(fmt.Sprintf("n-%06d", i)), Addr: "10.1.200.200:9000", Type: "a-large-machine", Zone: "a-zone-far-away", Spot: true}
}

// 600 machines must fit into values of 8 KiB and within the transaction limits, and random moves
// must neither lose nor duplicate a machine. A block once was one value, which holds 46 machines,
// and so was the pool; further machines could not be used.
func TestLargeFleetFitsValueLimit(t *testing.T) {
	lim := config.StateLimits{ValueBytes: 8 << 10, TxnOps: 40}
	const fleet, blocks, ops = 600, 3, 24
	m, store := newTestMirror(blocks), &txnStore{versions: map[string]uint64{}}
	commit := func(e *Edit) {
		t.Helper()
		var txn api.Txn
		e.Apply(&txn)
		raw, _ := json.Marshal(txn)
		if len(txn.Then) > ops+1 || len(raw) > api.MaxBody {
			t.Fatalf("transaction of %d writes and %d bytes exceeds its limits", len(txn.Then), len(raw))
		}
		for _, c := range txn.Then {
			if len(c.Value) > lim.ValueBytes {
				t.Fatalf("value of %s has %d bytes, which exceeds the limit", c.Set, len(c.Value))
			}
		}
		if len(txn.Then) > 0 && !store.apply(m, txn) {
			t.Fatal("a transaction prepared from a fresh mirror was not committed")
		}
	}
	where := map[core.MachineID]int{}
	for i := 0; i < fleet; {
		e := m.Edit(lim, ops, 0)
		for i < fleet && e.Add(PoolInventory, testMachine(i)) {
			where[testMachine(i).ID] = PoolInventory
			i++
		}
		commit(e)
	}
	r := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		e := m.Edit(lim, ops, r.IntN(blocks+1))
		for range 1 + r.IntN(60) {
			mc := testMachine(r.IntN(fleet))
			to := r.IntN(blocks+1) - 1
			mc.InUse, mc.Draining, mc.ReturnRequested, mc.Expiring, mc.Since, mc.LastTerm = true, true, true, true, 1_700_000_000_000, 1_000_000
			from := where[mc.ID]
			if from != to && e.Move(from, to, mc) {
				where[mc.ID] = to
			} else if from == to {
				e.Set(to, mc)
			}
		}
		commit(e)
		seen := 0
		for n := PoolInventory; n < blocks; n++ {
			for mc := range m.Inventory(n).All() {
				seen++
				if where[mc.ID] != n {
					t.Fatalf("%s is in inventory %d, want %d", mc.ID, n, where[mc.ID])
				}
			}
		}
		if seen != fleet {
			t.Fatalf("%d machines in the inventories, want all of the fleet", seen)
		}
	}
}

// Two transactions that add the same machine and were prepared from the same revision must not both
// be committed, although they write different parts: the first one may be executed late, after the
// client has given it up.
func TestMachineIsAddedOnce(t *testing.T) {
	lim := config.StateLimits{ValueBytes: 8 << 10, TxnOps: 40}
	m, store := newTestMirror(2), &txnStore{versions: map[string]uint64{}}
	var first, second api.Txn
	e := m.Edit(lim, 10, 0)
	e.Add(PoolInventory, testMachine(1))
	e.Move(PoolInventory, 0, testMachine(1))
	e.Apply(&first)
	e = m.Edit(lim, 10, 0)
	e.Add(PoolInventory, testMachine(1))
	e.Move(PoolInventory, 1, testMachine(1))
	e.Apply(&second)
	if !store.apply(m, second) || store.apply(m, first) {
		t.Fatal("both transactions that add the machine were committed, or neither")
	}
	// A delayed release must not be committed once the machine's part has changed.
	var release, setInUse api.Txn
	e = m.Edit(lim, 10, 2)
	e.Move(1, PoolInventory, testMachine(1))
	e.Apply(&release)
	e = m.Edit(lim, 10, 0)
	used := testMachine(1)
	used.InUse = true
	e.Set(1, used)
	e.Apply(&setInUse)
	if !store.apply(m, setInUse) || store.apply(m, release) {
		t.Fatal("a delayed release of a machine in use was committed")
	}
}

// A part that was written under a larger value limit is rewritten in pieces as soon as one of its
// machines changes, even with a small transaction limit: the first change of a transaction always
// fits. No machine is lost or duplicated meanwhile. Without this, a part over the new limit could
// not be written at all and its machines were unusable.
func TestOversizedPartsAreSplit(t *testing.T) {
	before, now := config.StateLimits{ValueBytes: 16 << 10, TxnOps: 32}, config.StateLimits{ValueBytes: 2 << 10, TxnOps: 10}
	const fleet, blocks = 300, 5
	m, store := newTestMirror(blocks), &txnStore{versions: map[string]uint64{}}
	where := map[core.MachineID]int{}
	commit := func(e *Edit, lim config.StateLimits) {
		t.Helper()
		var txn api.Txn
		e.Apply(&txn)
		if len(txn.Then) > lim.TxnOps-1 {
			t.Fatalf("transaction of %d writes exceeds the limit", len(txn.Then))
		}
		for _, c := range txn.Then {
			if len(c.Value) > lim.ValueBytes {
				t.Fatalf("value of %s has %d bytes, which exceeds the limit", c.Set, len(c.Value))
			}
		}
		if len(txn.Then) > 0 && !store.apply(m, txn) {
			t.Fatal("a transaction prepared from a fresh mirror was not committed")
		}
	}
	for i := range fleet {
		e := m.Edit(before, 5, 0)
		e.Add(PoolInventory, testMachine(i))
		e.Move(PoolInventory, i%blocks, testMachine(i))
		commit(e, before)
		where[testMachine(i).ID] = i % blocks
	}
	oversized := 0
	for n := range blocks {
		for _, p := range m.Inventory(n).parts {
			if p.Record.size() > now.ValueBytes {
				oversized++
			}
		}
	}
	r := rand.New(rand.NewPCG(5, 5))
	for range 600 {
		e := m.Edit(now, 3, r.IntN(blocks+1))
		for i := range 1 + r.IntN(4) {
			mc := testMachine(r.IntN(fleet))
			mc.InUse, mc.Since = true, core.WallTime(r.Int64N(1<<40))
			from, to := where[mc.ID], r.IntN(blocks+1)-1
			switch {
			case from != to && r.IntN(2) == 0:
				if e.Move(from, to, mc) {
					where[mc.ID] = to
				}
			case !e.Set(from, mc) && i == 0:
				t.Fatalf("the first change of a transaction does not fit: %s", mc.ID)
			}
		}
		commit(e, now)
		seen := map[core.MachineID]int{}
		for n := PoolInventory; n < blocks; n++ {
			for mc := range m.Inventory(n).All() {
				if seen[mc.ID]++; where[mc.ID] != n || seen[mc.ID] > 1 {
					t.Fatalf("%s is in inventory %d, want %d, or it is duplicated", mc.ID, n, where[mc.ID])
				}
			}
		}
		if len(seen) != fleet {
			t.Fatalf("%d machines in the inventories, want all of the fleet", len(seen))
		}
	}
	for n := PoolInventory; n < blocks; n++ {
		for k, p := range m.Inventory(n).parts {
			if p.Record.size() > now.ValueBytes {
				t.Errorf("part %d of inventory %d still exceeds the value limit", k, n)
			}
		}
	}
	if oversized < blocks {
		t.Fatalf("only %d parts exceeded the value limit at first", oversized)
	}
}
