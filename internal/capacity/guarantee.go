package capacity

import "lichenstair/internal/config"

// Guarantees tells, for unfinished jobs taken the oldest first, which of them fit
// into what their team is guaranteed together with those before them.
type Guarantees struct {
	guaranteed map[string]float64
	wanted     map[string]float64
}

// NewGuarantees starts with the teams' guarantees and no jobs.
func NewGuarantees(teams []config.Team) *Guarantees {
	g := &Guarantees{guaranteed: map[string]float64{}, wanted: map[string]float64{}}
	for _, t := range teams {
		g.guaranteed[t.Name] = t.CPUs
	}
	return g
}

// AddJob adds a team's next job, that wants so many CPUs, and tells whether it
// fits.
func (g *Guarantees) AddJob(team string, cpus float64) bool {
	g.wanted[team] += cpus
	return g.wanted[team] <= g.guaranteed[team]
}
