package leader

import (
	"fmt"
	"sort"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/cloud"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
)

// returnMarked sends back machines whose return is durable: those of the pool
// marked so, and those that a holder has given up.
func (l *Leader) returnMarked() {
	pool := l.Mirror.Inventory(state.PoolInventory)
	for m := range pool.All() {
		if m.PoolState == state.PoolReturning {
			l.sendBack(m.ID)
		}
	}
	for _, n := range core.SortedKeys(l.Mirror.Blocks) {
		for m := range l.Mirror.Inventory(n).All() {
			if known, ok := pool.Find(m.ID); m.ReturnRequested && (!ok || known.PoolState != state.PoolGone) {
				l.sendBack(m.ID)
			}
		}
	}
}

// sendBack returns a machine to the cloud, with others that are due.
func (l *Leader) sendBack(id core.MachineID) {
	if l.sending[id] || l.done[id] || len(l.due) >= maxReturns {
		return
	}
	l.sending[id] = true
	l.due = append(l.due, string(id))
	if !l.returning {
		l.returning = true
		l.Loop.After(200*time.Millisecond, l.returnDue)
	}
}

// returnDue sends what is due in one request. What becomes due while that is
// on its way must not wait for ever: it goes with the next one.
func (l *Leader) returnDue() {
	names := l.due
	l.due = nil
	if l.ended || len(names) == 0 {
		l.returning = false
		return
	}
	sort.Strings(names)
	l.Cloud.Return(names, func(ok bool) {
		for _, id := range names {
			delete(l.sending, core.MachineID(id))
			if ok {
				l.done[core.MachineID(id)] = true
			}
		}
		pause := 200 * time.Millisecond
		if !ok {
			pause = time.Second
		}
		l.Loop.After(pause, l.returnDue)
		l.act()
	})
}

// rent sends the rentals of a plan; until they are answered, no more are sent.
func (l *Leader) rent(rentals []capacity.Rental) {
	// Nothing else that the cloud is asked for hangs on the moment: what is returned is
	// marked so first. After a halt somebody else may lead, and rent the same.
	if l.rentals > 0 || len(l.rented) > 0 || l.types == nil || !l.LeaseValid() {
		return
	}
	for _, r := range byOffer(rentals) {
		if l.rentals >= 3 {
			return
		}
		l.seq++
		l.send(api.Rental{
			RequestID: fmt.Sprintf("t%d-%d", l.record.Record.Term, l.seq), Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: min(r.Count, 50),
		}, r, 0)
	}
}

// byOffer puts rentals of the same kind for several blocks into one, in their order: what is
// rented comes to the pool first, and the cloud takes few requests a second. In a burst each
// block's machines waited for the requests of those before.
func byOffer(rentals []capacity.Rental) (out []capacity.Rental) {
	place := map[capacity.Offer]int{}
	for _, r := range rentals {
		if i, ok := place[r.Offer]; ok {
			out[i].Count += r.Count
			continue
		}
		place[r.Offer] = len(out)
		out = append(out, capacity.Rental{Offer: r.Offer, Block: capacity.NoBlock, Count: r.Count})
	}
	return out
}

func (l *Leader) send(req api.Rental, r capacity.Rental, tries int) {
	if tries == 0 {
		l.rentals++
	}
	l.Cloud.Rent(req, func(ids []string, out cloud.RentOutcome) {
		if out == cloud.Unknown && tries < 3 && !l.ended {
			l.send(req, r, tries+1) // the same request again brings the same answer
			return
		}
		l.rentals--
		l.Log.Info("rental answered", "request", req.RequestID, "type", req.Type, "zone", req.Zone, "spot", req.Spot, "wanted", req.Count, "got", len(ids), "outcome", int(out))
		if out != cloud.Rented || len(ids) < req.Count {
			l.closed[r.Offer] = l.Loop.Now().Add(closedFor)
		}
		for _, id := range ids {
			l.rented = append(l.rented, state.Machine{ID: core.MachineID(id), Type: req.Type, Zone: req.Zone, Spot: req.Spot, Since: l.Loop.WallNow()})
		}
		l.act()
	})
}
