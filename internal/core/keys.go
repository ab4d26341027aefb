package core

import (
	"cmp"
	"maps"
	"slices"
)

// SortedKeys returns the keys of a map in order. Whatever has an effect goes through
// maps in this way, so that equal histories lead to equal decisions.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
