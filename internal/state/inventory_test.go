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

// ledger is a state service as far as transactions go.
type ledger struct {
	ring     uint64
	versions map[string]uint64
}

// apply carries a transaction out, if its conditions hold, and tells the mirror.
func (l *ledger) apply(m *Mirror, t api.Txn) bool {
	for _, c := range t.If {
		if l.versions[c.Key] != c.Version {
			return false
		}
	}
	l.ring++
	var events []api.Event
	for _, c := range t.Then {
		l.versions[c.Set] = l.ring
		events = append(events, api.Event{Set: c.Set, Value: c.Value, Version: l.ring})
	}
	m.take(events)
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

func made(i int) Machine {
	return Machine{ID: core.MachineID(fmt.Sprintf("n-%06d", i)), Addr: "10.1.200.200:9000", Type: "a-large-machine", Zone: "a-zone-far-away", Spot: true}
}

// 600 machines must fit values of 8 KiB, within the limits of a transaction, and
// moves at random must neither lose a machine nor have it twice: blocks were
// one value of 46 machines each, the pool another, and the rest was of no use.
func TestLargeFleetFitsTheValues(t *testing.T) {
	lim := config.StateLimits{ValueBytes: 8 << 10, TxnOps: 40}
	const fleet, blocks, ops = 600, 3, 24
	m, l := newTestMirror(blocks), &ledger{versions: map[string]uint64{}}
	commit := func(e *Edit) {
		t.Helper()
		var txn api.Txn
		e.Apply(&txn)
		raw, _ := json.Marshal(txn)
		if len(txn.Then) > ops+1 || len(raw) > api.MaxBody {
			t.Fatalf("%d changes, %d bytes in one transaction", len(txn.Then), len(raw))
		}
		for _, c := range txn.Then {
			if len(c.Value) > lim.ValueBytes {
				t.Fatalf("%s has %d bytes", c.Set, len(c.Value))
			}
		}
		if len(txn.Then) > 0 && !l.apply(m, txn) {
			t.Fatal("a transaction from a fresh mirror did not apply")
		}
	}
	where := map[core.MachineID]int{}
	for i := 0; i < fleet; {
		e := m.Edit(lim, ops, 0)
		for i < fleet && e.Add(PoolInventory, made(i)) {
			where[made(i).ID] = PoolInventory
			i++
		}
		commit(e)
	}
	r := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		e := m.Edit(lim, ops, r.IntN(blocks+1))
		for range 1 + r.IntN(60) {
			mc := made(r.IntN(fleet))
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
					t.Fatalf("%s is on inventory %d, not %d", mc.ID, n, where[mc.ID])
				}
			}
		}
		if seen != fleet {
			t.Fatalf("%d machines on the inventories", seen)
		}
	}
}

// Two transactions that bring the same machine, decided from the same picture,
// must not both take effect, though they write different parts: the first one
// may be carried out late, after it was given up.
func TestMachineArrivesOnce(t *testing.T) {
	lim := config.StateLimits{ValueBytes: 8 << 10, TxnOps: 40}
	m, l := newTestMirror(2), &ledger{versions: map[string]uint64{}}
	var first, second api.Txn
	e := m.Edit(lim, 10, 0)
	e.Add(PoolInventory, made(1))
	e.Move(PoolInventory, 0, made(1))
	e.Apply(&first)
	e = m.Edit(lim, 10, 0)
	e.Add(PoolInventory, made(1))
	e.Move(PoolInventory, 1, made(1))
	e.Apply(&second)
	if !l.apply(m, second) || l.apply(m, first) {
		t.Fatal("the machine is in two blocks")
	}
	// A late release must not apply once the machine's part has changed.
	var release, raise api.Txn
	e = m.Edit(lim, 10, 2)
	e.Move(1, PoolInventory, made(1))
	e.Apply(&release)
	e = m.Edit(lim, 10, 0)
	used := made(1)
	used.InUse = true
	e.Set(1, used)
	e.Apply(&raise)
	if !l.apply(m, raise) || l.apply(m, release) {
		t.Fatal("a machine in use was released")
	}
}

// Parts written when values could be longer are written in pieces as soon as something on
// them changes, whatever small transactions are left: the first change of a transaction
// always finds room. No machine is lost or doubled meanwhile. A part that did not fit any
// more could not be written at all: its machines were of no use to anybody.
func TestLongPartsAreWrittenInPieces(t *testing.T) {
	before, now := config.StateLimits{ValueBytes: 16 << 10, TxnOps: 32}, config.StateLimits{ValueBytes: 2 << 10, TxnOps: 10}
	const fleet, blocks = 300, 5
	m, l := newTestMirror(blocks), &ledger{versions: map[string]uint64{}}
	where := map[core.MachineID]int{}
	commit := func(e *Edit, lim config.StateLimits) {
		t.Helper()
		var txn api.Txn
		e.Apply(&txn)
		if len(txn.Then) > lim.TxnOps-1 {
			t.Fatalf("%d changes in one transaction", len(txn.Then))
		}
		for _, c := range txn.Then {
			if len(c.Value) > lim.ValueBytes {
				t.Fatalf("%s has %d bytes", c.Set, len(c.Value))
			}
		}
		if len(txn.Then) > 0 && !l.apply(m, txn) {
			t.Fatal("a transaction from a fresh mirror did not apply")
		}
	}
	for i := range fleet {
		e := m.Edit(before, 5, 0)
		e.Add(PoolInventory, made(i))
		e.Move(PoolInventory, i%blocks, made(i))
		commit(e, before)
		where[made(i).ID] = i % blocks
	}
	long := 0
	for n := range blocks {
		for _, p := range m.Inventory(n).parts {
			if p.Record.size() > now.ValueBytes {
				long++
			}
		}
	}
	r := rand.New(rand.NewPCG(5, 5))
	for range 600 {
		e := m.Edit(now, 3, r.IntN(blocks+1))
		for i := range 1 + r.IntN(4) {
			mc := made(r.IntN(fleet))
			mc.InUse, mc.Since = true, core.WallTime(r.Int64N(1<<40))
			from, to := where[mc.ID], r.IntN(blocks+1)-1
			switch {
			case from != to && r.IntN(2) == 0:
				if e.Move(from, to, mc) {
					where[mc.ID] = to
				}
			case !e.Set(from, mc) && i == 0:
				t.Fatalf("nothing can be written of %s", mc.ID)
			}
		}
		commit(e, now)
		seen := map[core.MachineID]int{}
		for n := PoolInventory; n < blocks; n++ {
			for mc := range m.Inventory(n).All() {
				if seen[mc.ID]++; where[mc.ID] != n || seen[mc.ID] > 1 {
					t.Fatalf("%s is on inventory %d, not %d, or twice", mc.ID, n, where[mc.ID])
				}
			}
		}
		if len(seen) != fleet {
			t.Fatalf("%d machines on the inventories", len(seen))
		}
	}
	for n := PoolInventory; n < blocks; n++ {
		for k, p := range m.Inventory(n).parts {
			if p.Record.size() > now.ValueBytes {
				t.Errorf("part %d of inventory %d is still too long", k, n)
			}
		}
	}
	if long < blocks {
		t.Fatalf("only %d parts were too long at first", long)
	}
}
