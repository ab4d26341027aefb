package leader

import (
	"slices"
	"testing"

	"lichenstair/internal/capacity"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/placement"
)

// A job that is only expected to become ready takes no part of its team's guarantee from
// jobs that may run now, even if it is older. It gets what those leave.
func TestJobsReadySoonGetUnusedGuarantee(t *testing.T) {
	l := &Leader{Env: Env{Config: &config.Config{Teams: []config.Team{{Name: "red", CPUs: 20}}}}}
	job := func(id core.JobID, tasks int, expected bool) *capacity.Job {
		return &capacity.Job{Job: placement.Job{ID: id, Team: "red", Need: placement.Resources{CPUs: 1}}, Remaining: tasks, ReadySoon: expected}
	}
	jobs := []*capacity.Job{job("req-1", 8, true), job("req-2", 10, false), job("req-3", 5, false), job("req-4", 2, true)}
	l.markGuaranteed(jobs)
	for i, want := range []bool{false, true, true, false} {
		if jobs[i].Guaranteed != want || jobs[i].TimeSensitive != want {
			t.Errorf("%s: within the guarantee %v, time-sensitive %v, want %v", jobs[i].ID, jobs[i].Guaranteed, jobs[i].TimeSensitive, want)
		}
	}
}

// Machines of one offer for several blocks are requested in one rental.
func TestRentalsOfOneOfferAreMerged(t *testing.T) {
	small, large := capacity.Offer{Type: "small", Zone: "a"}, capacity.Offer{Type: "large", Zone: "a"}
	got := mergeByOffer([]capacity.Rental{{Offer: large, Block: 1, Count: 2}, {Offer: small, Block: 1, Count: 4}, {Offer: large, Block: 0, Count: 1}, {Offer: large, Block: capacity.NoBlock, Count: 3}})
	want := []capacity.Rental{{Offer: large, Block: capacity.NoBlock, Count: 6}, {Offer: small, Block: capacity.NoBlock, Count: 4}}
	if !slices.Equal(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
