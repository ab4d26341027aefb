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

// rating orders machines for a job: reliable ones first, then by score, then the fuller machine,
// then one that has the job's image.
type rating struct {
	unreliable   bool
	score        float64
	mean         float64
	imageMissing bool
}

// better reports whether a is strictly better than b.
func (a rating) better(b rating) bool {
	switch {
	case a.unreliable != b.unreliable:
		return !a.unreliable
	case a.score != b.score:
		return a.score < b.score
	case a.mean != b.mean:
		return a.mean > b.mean
	}
	return !a.imageMissing && b.imageMissing
}

// rate rates a machine for a job. Scores are rounded, so that sums computed in a different order
// compare as equal.
func rate(j *Job, m *Machine) rating {
	const precision = 1e9
	s, mean := Score(m, j.Need)
	return rating{m.Unreliable, math.Round(s * precision), math.Round(mean * precision), !m.Images[j.Image]}
}

// best returns the candidate with the best rating for one task of an array.
func (p *pass) best(j *Job, free freeFunc) (*Machine, rating) {
	return p.bestOf(p.candidates, j, free)
}

// bestOf returns the machine with the best rating for one task of an array, or nil.
func (p *pass) bestOf(machines []*Machine, j *Job, free freeFunc) (*Machine, rating) {
	var best *Machine
	var bestRating rating
	for _, m := range machines {
		if !j.canRunOn(m, free(m)) || !j.AllowsZone(m.Zone, j.TasksByZone) {
			continue
		}
		if p.policy.FirstFit {
			return m, bestRating
		}
		if r := rate(j, m); best == nil || r.better(bestRating) {
			best, bestRating = m, r
		}
	}
	return best, bestRating
}
