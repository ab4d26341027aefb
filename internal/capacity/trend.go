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
	sum   float64
	share float64
	short float64
	at    core.Time
	// guaranteed is what an arriving array wants within its team's guarantee,
	// on the average over those that come; 0 for those beyond it.
	guaranteed float64
	arrival    core.Time     // the last one
	gap        time.Duration // between arrivals, on the average
	seen       map[core.JobID]bool
	rate       float64   // machines that arriving gangs want, in a second
	gangAt     core.Time // the last gang
}

const (
	// meanTime is how far the mean looks back.
	meanTime = 180 * time.Second
	// rateTime is how far the rate of gangs looks back.
	rateTime = 120 * time.Second
	// shortTime is how long a shortage must last to count.
	shortTime = 60 * time.Second
	// headroom is how much of an average arrival within a guarantee is kept
	// ready on spot machines beyond the mean (tried: 1.5, 3, 5, 6; docs/results.md).
	headroom = 5.0
	// arrivalWeight is the weight of the newest arrival in that average.
	arrivalWeight = 0.1
	// An arrival that is quietGaps times overdue, and by at least quietTime,
	// probably does not come: what was wanted lately is no guide any more.
	quietGaps = 6
	quietTime = 15 * time.Second
	// fadeTime is how fast the levels go down then.
	fadeTime = 10 * time.Second
)

// ObserveArrivals takes in the unfinished jobs: those seen for the first time count.
// Of gangs, those for which machines are kept do.
func (t *DemandTrend) ObserveArrivals(now core.Time, jobs []*Job, kept GangKinds, types map[string]api.MachineType) {
	seen := map[core.JobID]bool{}
	last := t.arrival
	for _, j := range jobs {
		seen[j.ID] = true
		if t.seen[j.ID] || j.HasDependencies {
			continue // what was announced tells nothing of what may still arrive unannounced
		}
		if j.Gang && slices.ContainsFunc(RestrictedTypes(&j.Job, types), func(name string) bool { return kept.Has(MachineKind{name, false}) }) {
			t.rate += float64(j.Tasks) / rateTime.Seconds()
			t.gangAt = now
		}
		if j.Gang || !j.Spot {
			continue
		}
		t.arrival = now
		wants := 0.0
		if j.Guaranteed {
			wants = j.Need.CPUs * float64(j.Tasks)
		}
		t.guaranteed += (wants - t.guaranteed) * arrivalWeight
	}
	t.seen = seen
	if t.arrival != last && last > 0 {
		t.gap += time.Duration(float64(now.Sub(last)-t.gap) * arrivalWeight)
	}
}

// quiet tells whether arrivals seem to have ended.
func (t *DemandTrend) quiet(now core.Time) bool {
	return now.Sub(t.arrival) > max(quietGaps*t.gap, quietTime)
}

// Observe takes in what is wanted now.
func (t *DemandTrend) Observe(now core.Time, want Demand) {
	passed := now.Sub(t.at).Seconds()
	t.at = now
	f := math.Exp(-passed / meanTime.Seconds())
	t.sum = t.sum*f + want.SpotCPUs*(1-f)
	t.share = t.share*f + (1 - f)
	f = math.Exp(-passed / shortTime.Seconds())
	t.short = t.short*f + want.MissingCPUs*(1-f)
	t.rate *= math.Exp(-passed / rateTime.Seconds())
	if t.rate > 0 && now.Sub(t.gangAt).Seconds() > max(quietGaps/t.rate, quietTime.Seconds()) {
		t.rate *= math.Exp(-passed / fadeTime.Seconds())
	}
	if t.quiet(now) {
		f = math.Exp(-passed / fadeTime.Seconds())
		t.guaranteed *= f
		t.sum *= f
	}
}

// Forecast tells how much to keep.
func (t *DemandTrend) Forecast() Demand {
	l := Demand{GangRate: t.rate, MissingCPUs: t.short}
	if t.share > 0 {
		l.SpotCPUs = t.sum/t.share + t.guaranteed*headroom
	}
	return l
}
