package placement

import (
	"lichenstair/api"
)

// Resources is an amount of each resource.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// Add returns n + o.
func (n Resources) Add(o Resources) Resources {
	return Resources{n.CPUs + o.CPUs, n.GPUs + o.GPUs, n.MemoryGB + o.MemoryGB}
}

// Sub returns n - o.
func (n Resources) Sub(o Resources) Resources {
	return Resources{n.CPUs - o.CPUs, n.GPUs - o.GPUs, n.MemoryGB - o.MemoryGB}
}

// Scale returns n for k tasks.
func (n Resources) Scale(k float64) Resources {
	return Resources{n.CPUs * k, n.GPUs * k, n.MemoryGB * k}
}

const fitTolerance = 1e-6

// Fits tells whether n is no more than room.
func (n Resources) Fits(room Resources) bool {
	return n.CPUs <= room.CPUs+fitTolerance && n.GPUs <= room.GPUs+fitTolerance && n.MemoryGB <= room.MemoryGB+fitTolerance
}

// Min is the smaller amount of each resource.
func (n Resources) Min(other Resources) Resources {
	return Resources{min(n.CPUs, other.CPUs), min(n.GPUs, other.GPUs), min(n.MemoryGB, other.MemoryGB)}
}

// FitsQuota is Fits for what teams are limited in: CPUs and GPUs.
func (n Resources) FitsQuota(room Resources) bool {
	return n.CPUs <= room.CPUs+fitTolerance && n.GPUs <= room.GPUs+fitTolerance
}

// CapacityOf is all that a machine of a type has.
func CapacityOf(t api.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }
