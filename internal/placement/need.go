package placement

import (
	"lichenstair/api"
)

// Need is an amount of each resource.
type Need struct{ CPUs, GPUs, MemoryGB float64 }

// Plus returns n + o.
func (n Need) Plus(o Need) Need {
	return Need{n.CPUs + o.CPUs, n.GPUs + o.GPUs, n.MemoryGB + o.MemoryGB}
}

// Minus returns n - o.
func (n Need) Minus(o Need) Need {
	return Need{n.CPUs - o.CPUs, n.GPUs - o.GPUs, n.MemoryGB - o.MemoryGB}
}

// Times returns n for k tasks.
func (n Need) Times(k float64) Need { return Need{n.CPUs * k, n.GPUs * k, n.MemoryGB * k} }

const slack = 1e-6

// Fits tells whether n is no more than room.
func (n Need) Fits(room Need) bool {
	return n.CPUs <= room.CPUs+slack && n.GPUs <= room.GPUs+slack && n.MemoryGB <= room.MemoryGB+slack
}

// Least is the smaller amount of each resource.
func (n Need) Least(other Need) Need {
	return Need{min(n.CPUs, other.CPUs), min(n.GPUs, other.GPUs), min(n.MemoryGB, other.MemoryGB)}
}

// FitsCounts is Fits for what teams are limited in: CPUs and GPUs.
func (n Need) FitsCounts(room Need) bool {
	return n.CPUs <= room.CPUs+slack && n.GPUs <= room.GPUs+slack
}

// Room is all that a machine of a type has.
func Room(t api.MachineType) Need { return Need{t.CPUs, t.GPUs, t.MemoryGB} }
