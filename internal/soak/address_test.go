package soak

import "lichenstair/internal/sim"

// holdAddresses takes the addresses that the run of an instance would use.
func holdAddresses(program, dir string, instance int) (*sim.RealWorld, error) {
	return sim.NewRealWorld(sim.NewWorld(sim.FleetSettings(3, 20), 1, nil), program, dir, instance)
}

// controllerAddress returns the address of the first controller that the run of an instance would use.
func controllerAddress(program, dir string, instance int) (string, error) {
	w := sim.NewWorld(sim.FleetSettings(3, 20), 1, nil)
	r, err := sim.NewRealWorld(w, program, dir, instance)
	if err != nil {
		return "", err
	}
	r.Close()
	return w.Hosts[0].Addr(), nil
}
