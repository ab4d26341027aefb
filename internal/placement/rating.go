package placement

import (
	"math"
)

// Score rates a need on a machine; lower is better. It is the balance measure of Backfill Balanced
// minus one, multiplied by the fullness modifier of the same paper (see the package comment). mean
// is the average utilization of the machine's resources including the need.
func Score(m *Machine, n Resources) (score, mean float64) {
	most, sum, k := 0.0, 0.0, 0.0
	add := func(booked, need, total float64) {
		if total > 0 {
			f := (booked + need) / total
			most, sum, k = max(most, f), sum+f, k+1
		}
	}
	add(m.Booked.CPUs, n.CPUs, m.Total.CPUs)
	add(m.Booked.MemoryGB, n.MemoryGB, m.Total.MemoryGB)
	add(m.Booked.GPUs, n.GPUs, m.Total.GPUs)
	if sum == 0 {
		return 0, 0
	}
	mean = sum / k
	return (most/mean - 1) * (1 - mean), mean
}

// rating orders machines for a job; lower is better: reliable ones first, then by score, then the
// fuller machine, then one that has the job's image. From the highest bit on it holds: unreliable (1
// bit), score (31), what is missing to a mean utilization of 1 (31), image missing (1).
type rating uint64

// better reports whether a is strictly better than b.
func (a rating) better(b rating) bool { return a < b }

const (
	ratingPrecision = 1e9 // scores are rounded, so that sums computed in a different order are equal
	ratingFieldMax  = 1<<31 - 1
)

// rate rates a machine for a job.
func rate(j *Job, m *Machine) rating {
	score, mean := Score(m, j.Need)
	out := ratingField(score)<<32 | (ratingFieldMax-ratingField(mean))<<1
	if m.Unreliable {
		out |= 1 << 63
	}
	if !m.Images[j.Image] {
		out |= 1
	}
	return out
}

// ratingField rounds a score or mean to a field of a rating.
func ratingField(x float64) rating {
	return rating(min(max(math.Round(x*ratingPrecision), 0), ratingFieldMax))
}

// bestOf returns the machine with the best rating for one task of an array, or nil.
func (p *pass) bestOf(machines []*Machine, j *Job, free freeFunc) (*Machine, rating) {
	var best *Machine
	var bestRating rating
	for _, m := range machines {
		if !j.canRunOn(m, free(m)) || !j.AllowsZone(m.Zone, j.TasksByZone) {
			continue
		}
		if r := p.rate(j, m); best == nil || r.better(bestRating) {
			best, bestRating = m, r
		}
	}
	return best, bestRating
}
