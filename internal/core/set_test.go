package core

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
)

// A set must agree with a plain map, whatever is added in which order.
func TestSetAgainstMap(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 7))
		var s IndexSet
		plain := map[int]bool{}
		for range 200 {
			lo := r.IntN(300)
			hi := lo + r.IntN(1+r.IntN(20))
			s.AddRange(lo, hi)
			for i := lo; i <= hi; i++ {
				plain[i] = true
			}
			raw, _ := json.Marshal(s)
			var back IndexSet
			if err := json.Unmarshal(raw, &back); err != nil || back.Len() != len(plain) {
				t.Fatalf("seed %d: %s holds %d, want %d (%v)", seed, raw, back.Len(), len(plain), err)
			}
			for i := range 330 {
				if s.Has(i) != plain[i] {
					t.Fatalf("seed %d: Has(%d) = %v in %s", seed, i, s.Has(i), raw)
				}
				next := i
				for plain[next] {
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
			t.Errorf("%s was taken", bad)
		}
	}
}
