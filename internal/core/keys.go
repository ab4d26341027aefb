package core

import (
	"cmp"
	"maps"
	"slices"
)

// SortedKeys returns the keys of a map in ascending order. Code with side effects iterates
// over maps in this order, so that equal histories lead to equal decisions.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
