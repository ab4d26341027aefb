package capacity

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// Shape is what a task of a gang needs of its machine.
type Shape struct {
	Need  placement.Need
	Types string // the allowed types, joined
	Spot  bool
}

// Shapes remembers what kinds of gangs have come lately, so that machines that
// alone can take them are not filled with what fits elsewhere.
type Shapes struct {
	seen map[Shape]sighting
}

type sighting struct {
	at    core.Time
	job   placement.Job
	class string
}

const (
	remembered = 10 * time.Minute
	maxShapes  = 64
)

// Note remembers a gang.
func (s *Shapes) Note(now core.Time, spec *api.Job) {
	if spec.Form != api.FormGang {
		return
	}
	if s.seen == nil {
		s.seen = map[Shape]sighting{}
	}
	k := Shape{Need: placement.Need{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}, Spot: spec.Spot}
	for _, t := range spec.Types {
		k.Types += t + " "
	}
	if _, ok := s.seen[k]; !ok && len(s.seen) >= maxShapes {
		return
	}
	s.seen[k] = sighting{now, placement.JobOf("", 0, spec), spec.Class}
}

// NoChoice tells whether a job's tasks fit only on kinds that are kept.
func NoChoice(j *placement.Job, types map[string]api.MachineType, kept KeptKinds) bool {
	for name, t := range types {
		if j.Need.Fits(placement.Room(t)) && j.Allows(name, j.Zone, false) &&
			(!kept.Has(Kind{name, false}) || j.Spot && !kept.Has(Kind{name, true})) {
			return false
		}
	}
	return true
}

// Kind is a type of machine, spot or ordinary.
type Kind struct {
	Type string
	Spot bool
}

// KeptKinds maps each kind of machine that is kept for gangs to the largest need of a
// task of those gangs.
type KeptKinds map[Kind]placement.Need

// Has tells whether a kind is kept for gangs.
func (k KeptKinds) Has(kind Kind) bool {
	_, ok := k[kind]
	return ok
}

// Add notes that a gang wants machines of a type, spot machines too if it may use them.
func (k KeptKinds) Add(typ string, gang *placement.Job) {
	kinds := []Kind{{typ, false}}
	if gang.Spot {
		kinds = append(kinds, Kind{typ, true})
	}
	for _, kind := range kinds {
		have := k[kind]
		k[kind] = placement.Need{CPUs: max(have.CPUs, gang.Need.CPUs), GPUs: max(have.GPUs, gang.Need.GPUs), MemoryGB: max(have.MemoryGB, gang.Need.MemoryGB)}
	}
}

// Kept lists the kinds of machine that are kept for gangs: a gang that came
// lately fits there, does not fit on some other type that arrays can use, and
// cannot wait until one boots.
func (s *Shapes) Kept(now core.Time, aims []config.Aim, types map[string]api.MachineType) KeptKinds {
	out := KeptKinds{}
	for k, seen := range s.seen {
		if now.Sub(seen.at) > remembered {
			delete(s.seen, k)
			continue
		}
		for _, name := range Scarce(&seen.job, types) {
			if canWait(aims, seen.class, 2*core.Seconds(types[name].BootS)) {
				continue
			}
			out.Add(name, &seen.job)
		}
	}
	return out
}

// Scarce lists the types on which a gang's tasks fit, if they do not fit on all. For a
// gang that can never be placed nothing is scarce: it kept arrays off machines that it
// could not use either.
func Scarce(j *placement.Job, types map[string]api.MachineType) (fit []string) {
	if !j.Placeable(types) {
		return nil
	}
	for _, name := range core.Keys(types) {
		if j.Need.Fits(placement.Room(types[name])) && j.Allows(name, j.Zone, false) {
			fit = append(fit, name)
		}
	}
	if len(fit) == len(types) {
		return nil
	}
	return fit
}

// canWait tells whether every aim on the start of a class, of which there is at
// least one, leaves a time. Twice the usual boot time covers the slower boots,
// the rental and the image.
func canWait(aims []config.Aim, class string, d time.Duration) bool {
	stated := false
	for _, a := range aims {
		if a.Kind == "wait" && a.Class == class {
			if a.Within < d {
				return false
			}
			stated = true
		}
	}
	return stated
}
