package core

import (
	"encoding/json"
	"fmt"
	"slices"
)

// IndexSet is a set of task indices, stored as sorted ranges that neither touch nor
// overlap. Its JSON form is a flat list of bounds: first, last, first, last.
type IndexSet struct{ ranges []indexRange }

type indexRange struct{ lo, hi int } // both included

// Add adds n to the set.
func (s *IndexSet) Add(n int) { s.AddRange(n, n) }

// AddRange adds lo to hi, both included.
func (s *IndexSet) AddRange(lo, hi int) {
	i, _ := slices.BinarySearchFunc(s.ranges, lo, func(p indexRange, lo int) int { return p.hi + 1 - lo })
	j := i
	for j < len(s.ranges) && s.ranges[j].lo <= hi+1 {
		lo, hi = min(lo, s.ranges[j].lo), max(hi, s.ranges[j].hi)
		j++
	}
	s.ranges = slices.Replace(s.ranges, i, j, indexRange{lo, hi})
}

// Union adds all members of o.
func (s *IndexSet) Union(o IndexSet) {
	for _, p := range o.ranges {
		s.AddRange(p.lo, p.hi)
	}
}

// Has reports whether n is in the set.
func (s IndexSet) Has(n int) bool {
	i, _ := slices.BinarySearchFunc(s.ranges, n, func(p indexRange, n int) int { return p.hi - n })
	return i < len(s.ranges) && s.ranges[i].lo <= n
}

// Len returns the number of members.
func (s IndexSet) Len() (n int) {
	for _, p := range s.ranges {
		n += p.hi - p.lo + 1
	}
	return n
}

// Empty reports whether the set has no members.
func (s IndexSet) Empty() bool { return len(s.ranges) == 0 }

// Clone returns a copy of the set.
func (s IndexSet) Clone() IndexSet { return IndexSet{slices.Clone(s.ranges)} }

// Split returns the set as sets of at most n ranges each.
func (s IndexSet) Split(n int) (parts []IndexSet) {
	for c := range slices.Chunk(s.ranges, n) {
		parts = append(parts, IndexSet{slices.Clone(c)})
	}
	return parts
}

// NextMissing returns the smallest number from n on that is not in the set.
func (s IndexSet) NextMissing(n int) int {
	for _, p := range s.ranges {
		if n < p.lo {
			return n
		}
		if n <= p.hi {
			n = p.hi + 1
		}
	}
	return n
}

// NextIn returns the smallest member from n on, or -1 if there is none.
func (s IndexSet) NextIn(n int) int {
	i, _ := slices.BinarySearchFunc(s.ranges, n, func(p indexRange, n int) int { return p.hi - n })
	if i == len(s.ranges) {
		return -1
	}
	return max(n, s.ranges[i].lo)
}

// MarshalJSON encodes the set as a flat list of bounds.
func (s IndexSet) MarshalJSON() ([]byte, error) {
	flat := make([]int, 0, 2*len(s.ranges))
	for _, p := range s.ranges {
		flat = append(flat, p.lo, p.hi)
	}
	return json.Marshal(flat)
}

// UnmarshalJSON decodes a flat list of bounds.
func (s *IndexSet) UnmarshalJSON(b []byte) error {
	var flat []int
	if err := json.Unmarshal(b, &flat); err != nil {
		return err
	}
	if len(flat)%2 != 0 {
		return fmt.Errorf("task set has %d range bounds, want an even number", len(flat))
	}
	s.ranges = nil
	for i := 0; i < len(flat); i += 2 {
		if flat[i] < 0 || flat[i+1] < flat[i] {
			return fmt.Errorf("task set has the invalid range [%d, %d]", flat[i], flat[i+1])
		}
		s.AddRange(flat[i], flat[i+1])
	}
	return nil
}
