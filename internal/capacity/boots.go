package capacity

import (
	"math"
	"time"

	"lichenstair/internal/core"
)

// BootTimes records how long machines took to boot recently, relative to the usual boot time of
// their type in the cloud, and judges by that the machines that have not booted yet.
type BootTimes struct {
	samples map[string][]bootSample
}

type bootSample struct {
	at    core.Time
	ratio float64 // to the usual boot time
}

// PendingMachine is a machine that has not booted yet.
type PendingMachine struct {
	Offer
	Age time.Duration // since it was rented
}

const (
	maxBootSamples = 8 // per machine type
	// bootDecayTime is the time constant with which a sample loses its weight: disturbances last
	// for minutes.
	bootDecayTime = 60 * time.Second
	// A machine is overdue at overdueFactor times the boot time of others, at least the usual one,
	// plus overdueMargin. Some machines boot within a second; slower ones are not overdue because
	// of that.
	overdueFactor = 2.0
	overdueMargin = 5 * time.Second
	// maxOverdueBoots is the number of overdue machines of an offer at which no more are rented
	// there.
	maxOverdueBoots = 6
)

// Record adds the boot time of a machine that has booted.
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

// weightedRatio returns the weighted sum of recent ratios and the sum of their weights. The cloud's
// usual boot time counts as a sample of ratio 1 and weight 1; a new sample has weight 2.
func (b *BootTimes) weightedRatio(now core.Time, typ string) (sum, weight float64) {
	sum, weight = 1, 1
	for _, d := range b.samples[typ] {
		w := 2 * math.Exp(-now.Sub(d.at).Seconds()/bootDecayTime.Seconds())
		sum, weight = sum+w*d.ratio, weight+w
	}
	return sum, weight
}

// Overdue reports whether a machine is so late that no work should be planned on it.
func (b *BootTimes) Overdue(now core.Time, p PendingMachine, usual time.Duration) bool {
	sum, weight := b.weightedRatio(now, p.Type)
	return p.Age > time.Duration(overdueFactor*max(sum/weight, 1)*float64(usual))+overdueMargin
}

// TimedOut reports whether a machine is unlikely ever to boot. The limit is generous: several times
// the usual boot time occurs, and a rented machine is charged for a minute at least.
func (b *BootTimes) TimedOut(now core.Time, p PendingMachine, usual time.Duration) bool {
	sum, weight := b.weightedRatio(now, p.Type)
	return p.Age > BootTimeout(time.Duration(max(sum/weight, 1)*float64(usual)))
}

// BootTimeout is the age at which a machine that has not booted is returned, where a boot usually
// takes so long.
func BootTimeout(usual time.Duration) time.Duration { return 4*usual + 30*time.Second }

// StalledOffers lists the offers of which so many machines are overdue that no more should be
// rented: they would be paid for and boot all at once, if ever.
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
