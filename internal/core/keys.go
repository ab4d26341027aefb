package core

import (
	"cmp"
	"maps"
	"slices"
)

// Keys returns the keys of a map in order. Whatever has an effect goes through
// maps in this way, so that equal histories lead to equal decisions.
func Keys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
