package capacity

import (
	"math"
	"time"

	"lichenstair/internal/core"
)

// BootTimes remembers how long machines took to come up lately, against what the cloud
// calls usual for their type, and judges by that those that have not come up yet.
type BootTimes struct {
	samples map[string][]bootSample
}

type bootSample struct {
	at    core.Time
	ratio float64 // of the usual time
}

// PendingMachine is a machine that has not come up yet.
type PendingMachine struct {
	Offer
	Age time.Duration
}

const (
	maxBootSamples = 8
	// bootDecayTime is how fast a boot is forgotten: a trouble lasts for minutes.
	bootDecayTime = 60 * time.Second
	// overdueFactor and doubtMore say from when on a machine is not counted on: so many
	// times the time that others took, the usual one at the least, and a little. Some
	// machines come within a second; those that take their time are none the worse.
	overdueFactor = 2.0
	overdueMargin = 5 * time.Second
	// maxOverdueBoots is how many machines of a kind may be overdue before no more are
	// rented there.
	maxOverdueBoots = 6
)

// Record notes that a machine of a type has come up.
func (b *BootTimes) Record(now core.Time, typ string, took, usual time.Duration) {
	if usual <= 0 || took < 0 {
		return
	}
	if b.samples == nil {
		b.samples = map[string][]bootSample{}
	}
	samples := append(b.samples[typ], bootSample{now, took.Seconds() / usual.Seconds()})
	b.samples[typ] = samples[max(len(samples)-maxBootSamples, 0):]
}

// weightedRatio is the ratio of those that came up, with what the cloud says as a start.
func (b *BootTimes) weightedRatio(now core.Time, typ string) (sum, weight float64) {
	sum, weight = 1, 1
	for _, d := range b.samples[typ] {
		w := 2 * math.Exp(-now.Sub(d.at).Seconds()/bootDecayTime.Seconds())
		sum, weight = sum+w*d.ratio, weight+w
	}
	return sum, weight
}

// Overdue tells whether a machine is so late that nothing should count on it.
func (b *BootTimes) Overdue(now core.Time, p PendingMachine, usual time.Duration) bool {
	sum, weight := b.weightedRatio(now, p.Type)
	return p.Age > time.Duration(overdueFactor*max(sum/weight, 1)*float64(usual))+overdueMargin
}

// TimedOut tells whether a machine can hardly come any more. Several times the usual
// time happens, and what was rented costs a minute at least.
func (b *BootTimes) TimedOut(now core.Time, p PendingMachine, usual time.Duration) bool {
	sum, weight := b.weightedRatio(now, p.Type)
	return p.Age > BootTimeout(time.Duration(max(sum/weight, 1)*float64(usual)))
}

// BootTimeout is how old a machine that has not come up becomes before it is given back,
// where a boot takes so long.
func BootTimeout(usual time.Duration) time.Duration { return 4*usual + 30*time.Second }

// StalledOffers lists the kinds of machine of which so many are overdue that no more
// should be rented: they would be paid for and come up all at once, if ever.
func (b *BootTimes) StalledOffers(now core.Time, waiting []PendingMachine, usual func(string) time.Duration) map[Offer]bool {
	count := map[Offer]int{}
	out := map[Offer]bool{}
	for _, p := range waiting {
		if b.Overdue(now, p, usual(p.Type)) {
			if count[p.Offer]++; count[p.Offer] >= maxOverdueBoots {
				out[p.Offer] = true
			}
		}
	}
	return out
}
