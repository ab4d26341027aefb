package capacity

import (
	"testing"
	"time"

	"lichenstair/internal/core"
)

// The age at which a machine is overdue follows the recent boot times, and recovers within minutes.
func TestOverdueFollowsRecentBootTimes(t *testing.T) {
	const usual = 30 * time.Second
	at := func(s float64) core.Time { return core.Time(s * float64(time.Second)) }
	var b BootTimes
	late := PendingMachine{Offer{Type: "small", Zone: "a"}, 70 * time.Second}
	if !b.Overdue(at(0), late, usual) || b.Overdue(at(0), PendingMachine{late.Offer, 60 * time.Second}, usual) {
		t.Fatal("without samples, a machine is overdue at more than twice the usual time")
	}
	for range 6 {
		b.Record(at(200), "small", 120*time.Second, usual)
	}
	// A boot time that all machines need does not make a machine overdue.
	if b.Overdue(at(200), PendingMachine{late.Offer, 110 * time.Second}, usual) || b.TimedOut(at(200), PendingMachine{late.Offer, 200 * time.Second}, usual) {
		t.Fatal("overdue or timed out, although all machines take as long")
	}
	for range 8 {
		b.Record(at(260), "small", 2*time.Second, usual)
	}
	if b.Overdue(at(260), PendingMachine{late.Offer, 60 * time.Second}, usual) {
		t.Fatal("a slow machine is overdue because others boot within 2 s")
	}
	if !b.Overdue(at(700), PendingMachine{late.Offer, 70 * time.Second}, usual) || b.TimedOut(at(700), PendingMachine{late.Offer, 70 * time.Second}, usual) || !b.TimedOut(at(700), PendingMachine{late.Offer, 250 * time.Second}, usual) {
		t.Fatal("want a machine 40 s late overdue but not timed out, and one 220 s late timed out")
	}
}

// A machine that is long overdue claims none of the waiting work, which goes to another one. Where
// several machines of an offer are overdue, no more are rented from it, but elsewhere.
func TestOverdueMachinesAreNotPlannedOn(t *testing.T) {
	j := gangOf("req-1", 1, 8)
	late := &Machine{ID: "n-1", Type: "small", Zone: "a", Block: NoBlock}
	if p := plan([]*Job{j}, []*Machine{late}); len(p.Rent) != 0 || len(p.Assign) != 1 {
		t.Fatalf("%+v", p)
	}
	late.BootOverdue = true
	if p := plan([]*Job{j}, []*Machine{late}); len(p.Rent) != 1 || len(p.Assign) != 0 || len(p.Return) != 0 {
		t.Fatalf("%+v", p)
	}
	var b BootTimes
	var waiting []PendingMachine
	for range maxOverdueBoots {
		waiting = append(waiting, PendingMachine{Offer{"small", "a", false}, 200 * time.Second})
	}
	usual := func(string) time.Duration { return 30 * time.Second }
	if stalled := b.StalledOffers(0, waiting, usual); !stalled[Offer{"small", "a", false}] || len(stalled) != 1 {
		t.Fatalf("%v", stalled)
	}
	if stalled := b.StalledOffers(0, waiting[1:], usual); len(stalled) != 0 {
		t.Fatalf("%v", stalled)
	}
}
