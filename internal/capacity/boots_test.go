package capacity

import (
	"testing"
	"time"

	"lichenstair/internal/core"
)

// How late a machine may be follows the boots seen lately, and recovers within minutes.
func TestBootsAreLearnt(t *testing.T) {
	const usual = 30 * time.Second
	at := func(s float64) core.Time { return core.Time(s * float64(time.Second)) }
	var b BootTimes
	late := PendingMachine{Offer{Type: "small", Zone: "a"}, 70 * time.Second}
	if !b.Overdue(at(0), late, usual) || b.Overdue(at(0), PendingMachine{late.Offer, 60 * time.Second}, usual) {
		t.Fatal("at the start, a machine is doubtful at more than twice the usual time")
	}
	for range 6 {
		b.Record(at(200), "small", 120*time.Second, usual)
	}
	// What all of them take is no reason to doubt.
	if b.Overdue(at(200), PendingMachine{late.Offer, 110 * time.Second}, usual) || b.TimedOut(at(200), PendingMachine{late.Offer, 200 * time.Second}, usual) {
		t.Fatal("doubted, though all take as long")
	}
	for range 8 {
		b.Record(at(260), "small", 2*time.Second, usual)
	}
	if b.Overdue(at(260), PendingMachine{late.Offer, 60 * time.Second}, usual) {
		t.Fatal("others come within 2 s, and one that takes its time is doubted")
	}
	if !b.Overdue(at(700), PendingMachine{late.Offer, 70 * time.Second}, usual) || b.TimedOut(at(700), PendingMachine{late.Offer, 70 * time.Second}, usual) || !b.TimedOut(at(700), PendingMachine{late.Offer, 250 * time.Second}, usual) {
		t.Fatal("a machine 40 s late is doubtful, one 130 s late is given up")
	}
}

// A machine that is long overdue claims nothing of the waiting work, which goes to
// another; and where several are overdue no more are rented, but elsewhere.
func TestOverdueMachinesClaimNothing(t *testing.T) {
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
	if closed := b.StalledOffers(0, waiting, usual); !closed[Offer{"small", "a", false}] || len(closed) != 1 {
		t.Fatalf("%v", closed)
	}
	if closed := b.StalledOffers(0, waiting[1:], usual); len(closed) != 0 {
		t.Fatalf("%v", closed)
	}
}
