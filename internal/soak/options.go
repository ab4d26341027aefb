// Package soak plays random faults against real controller processes on loopback, with the
// stand-ins and the rule checker of package sim.
package soak

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"lichenstair/internal/sim"
)

// Options are the settings of a soak run.
type Options struct {
	Seeds       int           // number of runs, with successive seeds
	FirstSeed   int           // seed of the first run
	Parallel    int           // runs at a time
	Controllers int           // controllers of each run
	Machines    int           // about how many machines each run can rent
	Faults      time.Duration // how long faults are injected
}

// reservedInstance and the instances above it are left to tests that play a run of their own.
const reservedInstance = sim.MaxInstances - 3

// option is an environment variable that sets a field of Options.
type option struct {
	name        string
	least, most int
	set         func(o *Options, n int)
}

var options = []option{
	{"SOAK_SEEDS", 1, 10_000, func(o *Options, n int) { o.Seeds = n }},
	{"SOAK_SEED", 0, 1_000_000_000, func(o *Options, n int) { o.FirstSeed = n }},
	{"SOAK_PARALLEL", 1, reservedInstance, func(o *Options, n int) { o.Parallel = n }},
	{"SOAK_CONTROLLERS", 3, 9, func(o *Options, n int) { o.Controllers = n }},
	{"SOAK_MACHINES", 20, 400, func(o *Options, n int) { o.Machines = n }},
	{"SOAK_FAULT_SECONDS", 5, 600, func(o *Options, n int) { o.Faults = time.Duration(n) * time.Second }},
}

// ReadOptions replaces the defaults by what the environment sets. It rejects values outside of the
// accepted ranges by name.
func ReadOptions(defaults Options) (Options, error) {
	out := defaults
	for _, o := range options {
		text := os.Getenv(o.name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < o.least || n > o.most {
			return Options{}, fmt.Errorf("%s: %q is not a whole number from %d to %d", o.name, text, o.least, o.most)
		}
		o.set(&out, n)
	}
	return out, nil
}

// Command returns the command that plays one seed with these options again.
func (o Options) Command(seed int) string {
	return fmt.Sprintf("SOAK_SEEDS=1 SOAK_SEED=%d SOAK_CONTROLLERS=%d SOAK_MACHINES=%d SOAK_FAULT_SECONDS=%d go test -run TestSoak -timeout 30m ./internal/soak", seed, o.Controllers, o.Machines, int(o.Faults.Seconds()))
}

// Fault is a fault that a run injects at a time.
type Fault struct {
	At   time.Duration
	Name string
}

func (f Fault) String() string { return fmt.Sprintf("%.3f s %s", f.At.Seconds(), f.Name) }

const (
	// warmUp is how long a run lasts before the first fault.
	warmUp = 12 * time.Second
	// lastFaultLasts is how long after the last injection all faults are ended.
	lastFaultLasts = 6 * time.Second
	// answersWithin is how long a run lasts after its faults: the time within which each accepted
	// job must have been answered, and a little more.
	answersWithin = 77 * time.Second
)

// faultNames lists the faults that a run can inject. All of them end with World.EndFaults or do not
// go on for long after it.
var faultNames = []string{
	"crash one", "quick restart", "stall", "two halt at once", "halt during an election", "election and restart", "crash all",
	"state outage", "state slow", "history compacted", "one controller rejected", "leader rejected, then all", "state answers lost",
	"late writes", "answers to writes lost", "cut from state", "one-way cut to state", "one-way cut from state", "cut off", "cut from workers",
	"alone with its workers", "split off with half of the workers", "controllers partitioned from each other", "cut between controllers",
	"users cut", "zone cut off", "a zone and a controller partitioned off", "worker cut", "one-way worker cut", "answers to a worker lost", "reports lost",
	"late copies of reports", "reset connections", "repeated requests", "held messages of a controller", "worker messages held",
	"reports copied to the next leader", "leader alone with workers and users", "leaders change in series",
	"hanging machine", "dead machine", "spot reclaims", "cloud outage", "late cloud calls", "boots at once",
	"cancel running jobs", "cancel running jobs, machines hang", "cancelled as the last task ends", "malformed and unexpected requests", "client query bursts", "poll storm",
}

// injectors are faults beside those of package sim.
var injectors = map[string]func(*sim.World){
	"leader rejected, then all": func(w *sim.World) {
		w.State.RejectRequestsFrom(w.Leader().Name(), 10*time.Second)
		w.After(time.Duration(w.Rand.Int64N(int64(3*time.Second))), func() { w.State.Outage(8 * time.Second) })
	},
	"leaders change in series": func(w *sim.World) {
		for i := range 4 {
			w.After(time.Duration(i)*1500*time.Millisecond, func() { w.Leader().Restart(time.Duration(50+w.Rand.IntN(1500)) * time.Millisecond) })
		}
	},
}

func inject(w *sim.World, name string) {
	if f := injectors[name]; f != nil {
		f(w)
		return
	}
	sim.Faults[name](w)
}

// drawFaults draws groups of one to three faults whose injections lie within a second.
func drawFaults(w *sim.World, length time.Duration) (out []Fault) {
	for at := warmUp; at < warmUp+length; at += time.Duration(1+w.Rand.Int64N(int64(9*time.Second))) + time.Second {
		for range 1 + w.Rand.IntN(3) {
			out = append(out, Fault{at + time.Duration(w.Rand.Int64N(int64(time.Second))), faultNames[w.Rand.IntN(len(faultNames))]})
		}
	}
	return out
}

// Result is the result of a run.
type Result struct {
	Violations []string
	Faults     []Fault
	Summary    string
}

// Play plays one seed with controllers that run a program. Their settings and logs are written to a
// directory. instance tells runs at the same time apart.
func Play(o Options, seed int, program, dir string, instance int) (Result, error) {
	w := sim.NewWorld(sim.FleetSettings(o.Controllers, o.Machines), uint64(seed), nil)
	real, err := sim.NewRealWorld(w, program, dir, instance)
	if err != nil {
		return Result{}, err
	}
	defer real.Close()
	w.UseBalancer()
	w.PopulateFleet(o.Machines)
	end := warmUp + o.Faults + lastFaultLasts
	w.FleetLoad(end, float64(o.Machines)/150, float64(o.Machines)/250)
	w.CancelSome(end, 3*time.Second)
	faults := drawFaults(w, o.Faults)
	for _, f := range faults {
		w.At(f.At, func() { inject(w, f.Name) })
	}
	w.At(end, func() {
		w.EndFaults()
		w.Checker.FaultsEnded(w.Now())
	})
	err = real.Run(end + answersWithin)
	w.Checker.Finish()
	u := w.Users
	summary := fmt.Sprintf("%d machines, %d jobs accepted, %d done, %d starts; polls: %d answered, %d not, %d without a controller; the test ran late by %s at most",
		len(w.Cloud.RunningMachines()), u.Accepted, u.Done, w.Checker.Starts, u.Answered, u.Unanswered, w.Balancer.NoBackend, real.MaxLag.Round(time.Millisecond))
	return Result{w.Checker.Violations, faults, summary}, err
}
