package core

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
)

// A set has the same members as a plain map after random additions, also after a JSON round
// trip, and malformed JSON is rejected.
func TestIndexSetMatchesMap(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 7))
		var s IndexSet
		want := map[int]bool{}
		for range 200 {
			lo := r.IntN(300)
			hi := lo + r.IntN(1+r.IntN(20))
			s.AddRange(lo, hi)
			for i := lo; i <= hi; i++ {
				want[i] = true
			}
			raw, _ := json.Marshal(s)
			var decoded IndexSet
			if err := json.Unmarshal(raw, &decoded); err != nil || decoded.Len() != len(want) {
				t.Fatalf("seed %d: %s holds %d, want %d (%v)", seed, raw, decoded.Len(), len(want), err)
			}
			for i := range 330 {
				if s.Has(i) != want[i] {
					t.Fatalf("seed %d: Has(%d) = %v in %s", seed, i, s.Has(i), raw)
				}
				next := i
				for want[next] {
					next++
				}
				if got := s.NextMissing(i); got != next {
					t.Fatalf("seed %d: NextMissing(%d) = %d, want %d in %s", seed, i, got, next, raw)
				}
			}
		}
	}
	var s IndexSet
	for _, bad := range []string{`[1]`, `[3,2]`, `[-1,2]`, `{}`} {
		if json.Unmarshal([]byte(bad), &s) == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}
