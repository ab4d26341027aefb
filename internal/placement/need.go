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

// Scale returns the resources of k tasks that need n each.
func (n Resources) Scale(k float64) Resources {
	return Resources{n.CPUs * k, n.GPUs * k, n.MemoryGB * k}
}

// fitTolerance absorbs rounding errors of sums of fractional amounts.
const fitTolerance = 1e-6

// Fits reports whether n is no more than room in every resource.
func (n Resources) Fits(room Resources) bool {
	return n.CPUs <= room.CPUs+fitTolerance && n.GPUs <= room.GPUs+fitTolerance && n.MemoryGB <= room.MemoryGB+fitTolerance
}

// Min returns the smaller amount of each resource.
func (n Resources) Min(other Resources) Resources {
	return Resources{min(n.CPUs, other.CPUs), min(n.GPUs, other.GPUs), min(n.MemoryGB, other.MemoryGB)}
}

// FitsQuota is Fits for the resources that team quotas limit: CPUs and GPUs.
func (n Resources) FitsQuota(room Resources) bool {
	return n.CPUs <= room.CPUs+fitTolerance && n.GPUs <= room.GPUs+fitTolerance
}

// CapacityOf returns all resources of a machine of a type.
func CapacityOf(t api.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }
