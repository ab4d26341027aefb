package capacity

import (
	"math"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// Demand is an amount of capacity.
type Demand struct {
	GangMachines float64 // for gangs, in machines of the kinds kept for them
	SpotCPUs     float64 // CPUs for arrays that may use spot machines
	// GangRate is how many such machines arriving gangs want, in a second.
	GangRate float64
	// MissingCPUs is how many more CPUs would have brought arrays in time.
	MissingCPUs float64
}

// DemandTrend is what was wanted lately: for gangs the rate at which they come, for spot
// machines, which cost little to keep, a mean over a longer time.
type DemandTrend struct {
	spotSum     float64
	spotWeight  float64
	missingCPUs float64
	at          core.Time
	// guaranteedArrival is what an arriving array wants within its team's guarantee,
	// on the average over those that come; 0 for those beyond it.
	guaranteedArrival float64
	lastArrival       core.Time     // the last one
	arrivalGap        time.Duration // between arrivals, on the average
	seen              map[core.JobID]bool
	gangRate          float64   // machines that arriving gangs want, in a second
	lastGang          core.Time // the last gang
}

const (
	// spotWindow is how far the mean looks back.
	spotWindow = 180 * time.Second
	// gangRateWindow is how far the rate of gangs looks back.
	gangRateWindow = 120 * time.Second
	// shortageWindow is how long a shortage must last to count.
	shortageWindow = 60 * time.Second
	// headroom is how much of an average arrival within a guarantee is kept
	// ready on spot machines beyond the mean (tried: 1.5, 3, 5, 6; docs/results.md).
	headroom = 5.0
	// arrivalWeight is the weight of the newest arrival in that average.
	arrivalWeight = 0.1
	// An arrival that is quietGaps times overdue, and by at least quietTime,
	// probably does not come: what was wanted lately is no guide any more.
	quietGaps = 6
	quietTime = 15 * time.Second
	// quietDecayTime is how fast the levels go down then.
	quietDecayTime = 10 * time.Second
)

// ObserveArrivals takes in the unfinished jobs: those seen for the first time count.
// Of gangs, those for which machines are kept do.
func (t *DemandTrend) ObserveArrivals(now core.Time, jobs []*Job, kept GangKinds, types map[string]api.MachineType) {
	seen := map[core.JobID]bool{}
	last := t.lastArrival
	for _, j := range jobs {
		seen[j.ID] = true
		if t.seen[j.ID] || j.HasDependencies {
			continue // what was announced tells nothing of what may still arrive unannounced
		}
		if j.Gang && slices.ContainsFunc(RestrictedTypes(&j.Job, types), func(name string) bool { return kept.Has(MachineKind{name, false}) }) {
			t.gangRate += float64(j.Tasks) / gangRateWindow.Seconds()
			t.lastGang = now
		}
		if j.Gang || !j.Spot {
			continue
		}
		t.lastArrival = now
		wants := 0.0
		if j.Guaranteed {
			wants = j.Need.CPUs * float64(j.Tasks)
		}
		t.guaranteedArrival += (wants - t.guaranteedArrival) * arrivalWeight
	}
	t.seen = seen
	if t.lastArrival != last && last > 0 {
		t.arrivalGap += time.Duration(float64(now.Sub(last)-t.arrivalGap) * arrivalWeight)
	}
}

// arrivalsEnded tells whether arrivals seem to have ended.
func (t *DemandTrend) arrivalsEnded(now core.Time) bool {
	return now.Sub(t.lastArrival) > max(quietGaps*t.arrivalGap, quietTime)
}

// Observe takes in what is wanted now.
func (t *DemandTrend) Observe(now core.Time, want Demand) {
	passed := now.Sub(t.at).Seconds()
	t.at = now
	decay := math.Exp(-passed / spotWindow.Seconds())
	t.spotSum = t.spotSum*decay + want.SpotCPUs*(1-decay)
	t.spotWeight = t.spotWeight*decay + (1 - decay)
	decay = math.Exp(-passed / shortageWindow.Seconds())
	t.missingCPUs = t.missingCPUs*decay + want.MissingCPUs*(1-decay)
	t.gangRate *= math.Exp(-passed / gangRateWindow.Seconds())
	if t.gangRate > 0 && now.Sub(t.lastGang).Seconds() > max(quietGaps/t.gangRate, quietTime.Seconds()) {
		t.gangRate *= math.Exp(-passed / quietDecayTime.Seconds())
	}
	if t.arrivalsEnded(now) {
		decay = math.Exp(-passed / quietDecayTime.Seconds())
		t.guaranteedArrival *= decay
		t.spotSum *= decay
	}
}

// Forecast tells how much to keep.
func (t *DemandTrend) Forecast() Demand {
	l := Demand{GangRate: t.gangRate, MissingCPUs: t.missingCPUs}
	if t.spotWeight > 0 {
		l.SpotCPUs = t.spotSum/t.spotWeight + t.guaranteedArrival*headroom
	}
	return l
}
