package capacity

import (
	"math"
	"slices"
	"time"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// Demand is an amount of capacity, needed now or forecast.
type Demand struct {
	GangMachines float64 // number of machines of the kinds reserved for gangs
	SpotCPUs     float64 // for arrays that may use spot machines
	// GangRate is how many gang-reserved machines arriving gangs need per second.
	GangRate float64
	// MissingCPUs is how many more CPUs would have brought arrays in time.
	MissingCPUs float64
}

// DemandTrend tracks recent demand: for gangs the rate of arrivals; for spot machines, which cost
// little to keep, a mean over a longer time.
type DemandTrend struct {
	spotSum     float64 // decayed sum of the spot CPUs in demand
	spotWeight  float64 // weight of that sum
	missingCPUs float64 // decayed mean
	at          core.Time
	// guaranteedArrival is the CPUs that an arriving array needs within its team's guarantee, on
	// average; arrays beyond the guarantee count as 0.
	guaranteedArrival float64
	lastArrival       core.Time           // of an array that may use spot machines
	arrivalGap        time.Duration       // between such arrivals, on average
	seen              map[core.JobID]bool // jobs of the last call of ObserveArrivals
	gangRate          float64             // machines that arriving gangs need, per second
	lastGang          core.Time           // when the last gang arrived
}

const (
	// spotWindow is the time constant of the mean of spot CPUs.
	spotWindow = 180 * time.Second
	// gangRateWindow is the time constant of the rate of gangs.
	gangRateWindow = 120 * time.Second
	// shortageWindow is the time constant of the mean of missing CPUs: shorter shortages count
	// little.
	shortageWindow = 60 * time.Second
	// headroom is how many average arrivals within a guarantee are kept ready on spot machines
	// beyond the mean. docs/results.md compares 1.5, 3, 5 and 6.
	headroom = 5.0
	// arrivalWeight is the weight of the newest arrival in the averages over arrivals.
	arrivalWeight = 0.1
	// If nothing has arrived for quietGaps times the average gap, and for at least quietTime,
	// arrivals have probably ended: recent demand then no longer predicts the future.
	quietGaps = 6
	quietTime = 15 * time.Second
	// quietDecayTime is the time constant with which the forecast decays then.
	quietDecayTime = 10 * time.Second
)

// ObserveArrivals takes in the unfinished jobs. Those seen for the first time count as arrivals; of
// gangs, only those for which machines are reserved.
func (t *DemandTrend) ObserveArrivals(now core.Time, jobs []*Job, reserved GangKinds, types map[string]api.MachineType) {
	seen := map[core.JobID]bool{}
	last := t.lastArrival
	for _, j := range jobs {
		seen[j.ID] = true
		if t.seen[j.ID] || j.HasDependencies {
			continue // known in advance, so it does not predict arrivals that are not
		}
		if j.Gang && slices.ContainsFunc(RestrictedTypes(&j.Job, types), func(name string) bool { return reserved.Has(MachineKind{name, false}) }) {
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

// arrivalsEnded reports whether arrivals seem to have ended.
func (t *DemandTrend) arrivalsEnded(now core.Time) bool {
	return now.Sub(t.lastArrival) > max(quietGaps*t.arrivalGap, quietTime)
}

// Observe takes in the present demand.
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

// Forecast returns the demand for which machines should be kept ready.
func (t *DemandTrend) Forecast() Demand {
	forecast := Demand{GangRate: t.gangRate, MissingCPUs: t.missingCPUs}
	if t.spotWeight > 0 {
		forecast.SpotCPUs = t.spotSum/t.spotWeight + t.guaranteedArrival*headroom
	}
	return forecast
}
