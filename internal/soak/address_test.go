package soak

import "lichenstair/internal/sim"

// holdAddresses takes the addresses that the run of an instance would use.
func holdAddresses(program, dir string, instance int) (*sim.RealWorld, error) {
	return sim.NewRealWorld(sim.NewWorld(sim.FleetSettings(3, 20), 1, nil), program, dir, instance)
}
