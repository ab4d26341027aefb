package capacity

import (
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// GangShape is what a task of a gang needs of its machine.
type GangShape struct {
	Need  placement.Resources
	Types string // the allowed types, joined
	Spot  bool   // may use spot machines
}

// GangShapes remembers the shapes of gangs that arrived recently, so that machines which alone can
// take them are not filled with work that fits elsewhere.
type GangShapes struct {
	seen map[GangShape]observedGang
}

// observedGang is the last gang of a shape.
type observedGang struct {
	at    core.Time
	job   placement.Job
	class string
}

const (
	shapeRetention = 10 * time.Minute
	maxShapes      = 64
)

// Observe remembers the shape of a job that is a gang. New shapes are ignored while maxShapes are
// known.
func (s *GangShapes) Observe(now core.Time, spec *api.Job) {
	if spec.Form != api.FormGang {
		return
	}
	if s.seen == nil {
		s.seen = map[GangShape]observedGang{}
	}
	k := GangShape{Need: placement.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}, Spot: spec.Spot}
	for _, t := range spec.Types {
		k.Types += t + " "
	}
	if _, ok := s.seen[k]; !ok && len(s.seen) >= maxShapes {
		return
	}
	s.seen[k] = observedGang{now, placement.NewJob("", 0, spec), spec.Class}
}

// GangMachinesOnly reports whether a job's tasks fit only on kinds of machine that are reserved for
// gangs, or on none.
func GangMachinesOnly(j *placement.Job, types map[string]api.MachineType, reserved GangKinds) bool {
	for name, t := range types {
		if j.Need.Fits(placement.CapacityOf(t)) && j.Allows(name, j.Zone, false) &&
			(!reserved.Has(MachineKind{name, false}) || j.Spot && !reserved.Has(MachineKind{name, true})) {
			return false
		}
	}
	return true
}

// MachineKind is a machine type, as spot or on-demand machine.
type MachineKind struct {
	Type string
	Spot bool
}

// GangKinds maps each kind of machine that is reserved for gangs to the largest need of a task of
// those gangs.
type GangKinds map[MachineKind]placement.Resources

// Has reports whether a kind is reserved for gangs.
func (k GangKinds) Has(kind MachineKind) bool {
	_, ok := k[kind]
	return ok
}

// Add reserves a type for a gang, also as spot machine if the gang may use those.
func (k GangKinds) Add(typ string, gang *placement.Job) {
	kinds := []MachineKind{{typ, false}}
	if gang.Spot {
		kinds = append(kinds, MachineKind{typ, true})
	}
	for _, kind := range kinds {
		have := k[kind]
		k[kind] = placement.Resources{CPUs: max(have.CPUs, gang.Need.CPUs), GPUs: max(have.GPUs, gang.Need.GPUs), MemoryGB: max(have.MemoryGB, gang.Need.MemoryGB)}
	}
}

// GangKinds lists the kinds of machine that are reserved for gangs: a recent gang fits there, does
// not fit on some other type that arrays can use, and cannot wait until a machine boots. It forgets
// shapes that were last seen more than shapeRetention ago.
func (s *GangShapes) GangKinds(now core.Time, objectives []config.Objective, types map[string]api.MachineType) GangKinds {
	out := GangKinds{}
	for k, seen := range s.seen {
		if now.Sub(seen.at) > shapeRetention {
			delete(s.seen, k)
			continue
		}
		for _, name := range RestrictedTypes(&seen.job, types) {
			if toleratesWait(objectives, seen.class, 2*core.Seconds(types[name].BootS)) {
				continue
			}
			out.Add(name, &seen.job)
		}
	}
	return out
}

// RestrictedTypes lists the types on which a gang's tasks fit, if they do not fit on all types. It
// is empty for a gang that can never be placed: such a gang kept arrays off machines that it could
// not use either.
func RestrictedTypes(j *placement.Job, types map[string]api.MachineType) (fit []string) {
	if !j.Placeable(types) {
		return nil
	}
	for _, name := range core.SortedKeys(types) {
		if j.Need.Fits(placement.CapacityOf(types[name])) && j.Allows(name, j.Zone, false) {
			fit = append(fit, name)
		}
	}
	if len(fit) == len(types) {
		return nil
	}
	return fit
}

// toleratesWait reports whether every objective on the start of a class, of which there is at least
// one, allows a wait of d. Callers pass twice the usual boot time, which covers slower boots, the
// rental and fetching the image.
func toleratesWait(objectives []config.Objective, class string, d time.Duration) bool {
	stated := false
	for _, a := range objectives {
		if a.Kind == "wait" && a.Class == class {
			if a.Within < d {
				return false
			}
			stated = true
		}
	}
	return stated
}
