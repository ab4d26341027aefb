package core

import (
	"encoding/json"
	"errors"
	"slices"
)

// IndexSet is a set of task numbers, kept as sorted ranges that neither touch nor
// overlap. On the wire it is a flat list: first, last, first, last.
type IndexSet struct{ spans []span }

type span struct{ lo, hi int }

// Add puts n into the set.
func (s *IndexSet) Add(n int) { s.AddRange(n, n) }

// AddRange puts lo to hi into the set.
func (s *IndexSet) AddRange(lo, hi int) {
	i, _ := slices.BinarySearchFunc(s.spans, lo, func(p span, lo int) int { return p.hi + 1 - lo })
	j := i
	for j < len(s.spans) && s.spans[j].lo <= hi+1 {
		lo, hi = min(lo, s.spans[j].lo), max(hi, s.spans[j].hi)
		j++
	}
	s.spans = slices.Replace(s.spans, i, j, span{lo, hi})
}

// Union puts all of o into the set.
func (s *IndexSet) Union(o IndexSet) {
	for _, p := range o.spans {
		s.AddRange(p.lo, p.hi)
	}
}

// Has tells whether n is in the set.
func (s IndexSet) Has(n int) bool {
	i, _ := slices.BinarySearchFunc(s.spans, n, func(p span, n int) int { return p.hi - n })
	return i < len(s.spans) && s.spans[i].lo <= n
}

// Len counts the members.
func (s IndexSet) Len() (n int) {
	for _, p := range s.spans {
		n += p.hi - p.lo + 1
	}
	return n
}

// Empty tells whether nothing is in the set.
func (s IndexSet) Empty() bool { return len(s.spans) == 0 }

// Clone copies the set.
func (s IndexSet) Clone() IndexSet { return IndexSet{slices.Clone(s.spans)} }

// Split returns the set in parts of at most n ranges each.
func (s IndexSet) Split(n int) (parts []IndexSet) {
	for c := range slices.Chunk(s.spans, n) {
		parts = append(parts, IndexSet{slices.Clone(c)})
	}
	return parts
}

// NextMissing returns the least number from n on that is not in the set.
func (s IndexSet) NextMissing(n int) int {
	for _, p := range s.spans {
		if n < p.lo {
			return n
		}
		if n <= p.hi {
			n = p.hi + 1
		}
	}
	return n
}

// NextIn returns the least member from n on, or -1.
func (s IndexSet) NextIn(n int) int {
	i, _ := slices.BinarySearchFunc(s.spans, n, func(p span, n int) int { return p.hi - n })
	if i == len(s.spans) {
		return -1
	}
	return max(n, s.spans[i].lo)
}

// MarshalJSON writes the flat list.
func (s IndexSet) MarshalJSON() ([]byte, error) {
	flat := make([]int, 0, 2*len(s.spans))
	for _, p := range s.spans {
		flat = append(flat, p.lo, p.hi)
	}
	return json.Marshal(flat)
}

// UnmarshalJSON reads the flat list.
func (s *IndexSet) UnmarshalJSON(b []byte) error {
	var flat []int
	if err := json.Unmarshal(b, &flat); err != nil {
		return err
	}
	if len(flat)%2 != 0 {
		return errors.New("odd number of bounds")
	}
	s.spans = nil
	for i := 0; i < len(flat); i += 2 {
		if flat[i] < 0 || flat[i+1] < flat[i] {
			return errors.New("bounds out of order")
		}
		s.AddRange(flat[i], flat[i+1])
	}
	return nil
}
