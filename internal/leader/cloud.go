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

// queueMarkedReturns queues the machines whose return to the cloud is recorded durably: those
// of the pool that are marked for it, and those whose return a holder has requested.
func (l *Leader) queueMarkedReturns() {
	pool := l.Mirror.Inventory(state.PoolInventory)
	for m := range pool.All() {
		if m.PoolState == state.PoolReturning {
			l.queueReturn(m.ID)
		}
	}
	for _, n := range core.SortedKeys(l.Mirror.Blocks) {
		for m := range l.Mirror.Inventory(n).All() {
			if known, ok := pool.Find(m.ID); m.ReturnRequested && (!ok || known.PoolState != state.PoolGone) {
				l.queueReturn(m.ID)
			}
		}
	}
}

// queueReturn queues a machine for the next request that returns machines to the cloud. If
// the queue is full, the machine is skipped; it is queued with a later plan.
func (l *Leader) queueReturn(id core.MachineID) {
	if l.returnPending[id] || l.returned[id] || len(l.returnQueue) >= maxReturns {
		return
	}
	l.returnPending[id] = true
	l.returnQueue = append(l.returnQueue, string(id))
	if !l.returnScheduled {
		l.returnScheduled = true
		l.Loop.After(200*time.Millisecond, l.sendReturns)
	}
}

// sendReturns returns the queued machines to the cloud in one request. Machines that are
// queued while it is in flight go with the next request, so that none waits forever. After a
// failure, machines are queued again with the next plan.
func (l *Leader) sendReturns() {
	ids := l.returnQueue
	l.returnQueue = nil
	if l.stopped || len(ids) == 0 {
		l.returnScheduled = false
		return
	}
	sort.Strings(ids)
	l.Cloud.Return(ids, func(ok bool) {
		for _, id := range ids {
			delete(l.returnPending, core.MachineID(id))
			if ok {
				l.returned[core.MachineID(id)] = true
			}
		}
		pause := 200 * time.Millisecond
		if !ok {
			pause = time.Second
		}
		l.Loop.After(pause, l.sendReturns)
		l.commitNext()
	})
}

// requestRentals requests the rentals of a plan, in at most three requests for at most 50
// machines each. No more are requested until the cloud has responded to these and the mirror shows
// the rented machines.
func (l *Leader) requestRentals(planned []capacity.Rental) {
	// Renting is the only request to the cloud that requires us to be the leader at this
	// moment: a return is recorded before it is requested. After a pause of this process
	// another node may lead, and rent the same machines.
	if l.rentalsInFlight > 0 || len(l.rented) > 0 || l.types == nil || !l.LeaseValid() {
		return
	}
	for _, r := range mergeByOffer(planned) {
		if l.rentalsInFlight >= 3 {
			return
		}
		l.rentalSeq++
		l.sendRental(api.Rental{
			RequestID: fmt.Sprintf("t%d-%d", l.record.Record.Term, l.rentalSeq), Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: min(r.Count, 50),
		}, r, 0)
	}
}

// mergeByOffer merges the rentals of an offer for several blocks into one, in order: rented
// machines go to the pool first, and the cloud accepts few requests per second. Unmerged,
// the machines of each block waited in a burst for the requests of the blocks before it.
func mergeByOffer(rentals []capacity.Rental) (out []capacity.Rental) {
	index := map[capacity.Offer]int{}
	for _, r := range rentals {
		if i, ok := index[r.Offer]; ok {
			out[i].Count += r.Count
			continue
		}
		index[r.Offer] = len(out)
		out = append(out, capacity.Rental{Offer: r.Offer, Block: capacity.NoBlock, Count: r.Count})
	}
	return out
}

// sendRental sends a rental request and keeps the rented machines to be recorded. As long as
// the outcome is unknown, the request is repeated, up to three times; tries counts the
// repetitions so far.
func (l *Leader) sendRental(req api.Rental, r capacity.Rental, tries int) {
	if tries == 0 {
		l.rentalsInFlight++
	}
	l.Cloud.Rent(req, func(ids []string, outcome cloud.RentOutcome) {
		if outcome == cloud.Unknown && tries < 3 && !l.stopped {
			l.sendRental(req, r, tries+1) // rents nothing twice: the cloud repeats its response to a repeated request ID
			return
		}
		l.rentalsInFlight--
		l.Log.Info("rental response received", "request", req.RequestID, "type", req.Type, "zone", req.Zone, "spot", req.Spot, "wanted", req.Count, "got", len(ids), "outcome", int(outcome))
		if outcome != cloud.Rented || len(ids) < req.Count {
			l.unavailableUntil[r.Offer] = l.Loop.Now().Add(offerUnavailableTime)
		}
		for _, id := range ids {
			l.rented = append(l.rented, state.Machine{ID: core.MachineID(id), Type: req.Type, Zone: req.Zone, Spot: req.Spot, Since: l.Loop.WallNow()})
		}
		l.commitNext()
	})
}
