package capacity

import "lichenstair/internal/config"

// Guarantees decides which unfinished jobs fit into the CPUs guaranteed to their team, together with
// the jobs added before them.
type Guarantees struct {
	guaranteed map[string]float64 // CPUs by team
	wanted     map[string]float64 // CPUs of the jobs so far, by team
}

// NewGuarantees returns the guarantees of the teams, with no jobs added.
func NewGuarantees(teams []config.Team) *Guarantees {
	g := &Guarantees{guaranteed: map[string]float64{}, wanted: map[string]float64{}}
	for _, t := range teams {
		g.guaranteed[t.Name] = t.CPUs
	}
	return g
}

// AddJob adds a team's next job, which needs so many CPUs, and reports whether it fits into the
// guarantee. The job counts for later ones even if it does not fit.
func (g *Guarantees) AddJob(team string, cpus float64) bool {
	g.wanted[team] += cpus
	return g.wanted[team] <= g.guaranteed[team]
}
