package sim

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// soakDay is a fleet's day on which attempts are replaced and blocks change hands while old
// reports come late, among other faults drawn at random.
type soakDay struct {
	controllers, machines int
	arrays, gangs         float64 // submitted a second
}

// soakDays are the sizes that a soak plays in turn.
var soakDays = []soakDay{
	{3, 40, 0.06, 0.15},
	{5, 200, 0.2, 0.4},
	{5, 900, 0.6, 0.6},
	{5, 4000, 2, 1.5},
}

// play plays the day and returns the rules that were broken.
func (d soakDay) play(seed uint64) []string {
	w := fleet(d.controllers, d.machines, seed)
	w.fleetLoad(100*time.Second, d.arrays, d.gangs)
	names := faultNames()
	fault := func(at float64, name string) {
		w.At(time.Duration(at*float64(time.Second)), func() { Faults[name](w) })
	}
	fault(40, attemptsChange)
	fault(w.between(45, 70), names[w.Rand.IntN(len(names))])
	fault(w.between(70, 100), names[w.Rand.IntN(len(names))])
	fault(105, attemptsChange)
	w.Run(190 * time.Second)
	w.Checker.Finish()
	return w.Checker.Violations
}

// A soak: days of fleets with seeds of their own, each rule checked after each step. By
// default it takes about a minute; SIM_SOAK=1h plays larger fleets as well, for that long,
// from the seed SIM_SOAK_SEED on.
func TestSoak(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("SIM_SOAK_SEED"), 10, 64)
	length, err := time.ParseDuration(os.Getenv("SIM_SOAK"))
	if err != nil {
		for seed := range uint64(24) {
			if broken := soakDays[seed%2].play(8000 + seed); len(broken) > 0 {
				t.Errorf("seed %d, %+v: %v", seed, soakDays[seed%2], broken)
			}
		}
		return
	}
	began := time.Now()
	for seed := first; time.Since(began) < length; seed++ {
		day := soakDays[seed%uint64(len(soakDays))]
		broken := day.play(seed)
		t.Logf("seed %d, %d machines: %d rules broken, %s since the start", seed, day.machines, len(broken), time.Since(began).Round(time.Second))
		if len(broken) > 0 {
			t.Errorf("seed %d, %+v: %v", seed, day, broken)
		}
	}
}
