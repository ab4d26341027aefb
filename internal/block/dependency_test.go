package block

import (
	"log/slog"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/capacity"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/metrics"
	"lichenstair/internal/placement"
	"lichenstair/internal/state"
	"lichenstair/internal/state/statetest"
	"lichenstair/internal/worker"
)

// holderWithJobs returns a holder that has just been granted block 0 with the jobs of team red,
// which is guaranteed 20 CPUs.
func holderWithJobs(t *testing.T, jobs ...state.Job) *Holder {
	t.Helper()
	service := &statetest.Service{}
	log := slog.New(slog.DiscardHandler)
	cfg := &config.Config{
		Host: "stalk-0", Workers: config.WorkerTimings{Report: time.Second, Lease: 10 * time.Second, Cancel: 35 * time.Second},
		StateLimits: config.StateLimits{RPS: 100, WriteRPS: 40, ValueBytes: 8 << 10, TxnOps: 32},
		Teams:       []config.Team{{Name: "red", CPUs: 20, CPUsMax: 100}},
	}
	record := state.Block{Holder: cfg.Host, Term: 7, Teams: []string{"red"}}
	service.Put(state.KeyBlock(0), record)
	for _, j := range jobs {
		service.Put(state.KeyJob(core.JobID(j.Spec.ID)), j)
	}
	client := state.NewClient(service, service, metrics.New(), "", cfg.StateLimits, 3)
	mirror := state.NewMirror(service, client, log)
	mirror.Start()
	if !mirror.Complete() {
		t.Fatal("the mirror is not complete")
	}
	return New(Env{
		Loop: service, Log: log, Config: cfg, Host: cfg.Host, Mirror: mirror, State: client, Workers: worker.NewClient(service),
		Types: func() map[string]api.MachineType { return nil }, GangKinds: func() capacity.GangKinds { return capacity.GangKinds{} },
	}, &record)
}

// jobRecord returns the record of an accepted job of ten tasks of one CPU.
func jobRecord(id, rank string, at core.WallTime, dependencies ...string) state.Job {
	spec := &api.Job{ID: id, Team: "red", Form: api.FormArray, Rank: rank, Tasks: 10, CPUs: 1, MemoryGB: 1, EstimateS: 10, Dependencies: dependencies}
	return state.Job{Phase: state.JobAccepted, Tasks: 10, AcceptedAt: at, Team: "red", CPUs: 1, MemoryGB: 1, Spec: spec}
}

// A job with unfinished dependencies has no waiting task, takes no place in the queue and no
// part of its team's guarantee, even if it is the oldest.
func TestBlockedJobHasNoWaitingTasksOrGuarantee(t *testing.T) {
	h := holderWithJobs(t, jobRecord("req-1", api.RankStandard, 500), jobRecord("req-2", api.RankHigh, 100, "req-1"), jobRecord("req-3", api.RankStandard, 900))
	if n := h.jobs["req-2"].waitingTasks(); n != 0 {
		t.Errorf("waiting tasks of a blocked job: got %d, want 0", n)
	}
	if n := h.BlockHint().WaitingTasks; n != 20 {
		t.Errorf("waiting tasks in the block hint: got %d, want 20", n)
	}
	var listed []core.JobID
	for _, candidate := range h.candidates(0) {
		listed = append(listed, candidate.ID)
		if !candidate.Guaranteed {
			t.Errorf("%s is not within the guarantee of 20 CPUs", candidate.ID)
		}
	}
	if len(listed) != 2 || listed[0] != "req-1" || listed[1] != "req-3" {
		t.Errorf("candidates: got %v, want req-1 and req-3", listed)
	}
}

// Waiting, age and guarantees count from the end of the last dependency, for every holder
// alike. If the record of that dependency was written by the previous version, which did not
// store the time of its end, they count from the submission. The deadline always counts from
// the submission, however long the job waits.
func TestTimesCountFromReadiness(t *testing.T) {
	for _, tc := range []struct{ ended, ready core.WallTime }{{50_000, 50_000}, {0, 1000}} {
		second := jobRecord("req-2", api.RankStandard, 1000, "req-1")
		deadline := 30.0
		second.Spec.DeadlineS = &deadline
		first := jobRecord("req-1", api.RankStandard, 500).End(state.JobDone, tc.ended)
		first.Spec = &api.Job{ID: "req-1"} // only its key is needed
		h := holderWithJobs(t, first, second)
		j := h.jobs["req-2"]
		if j == nil || j.blocked || j.readyAt != tc.ready || j.submittedAt != 1000 {
			t.Fatalf("dependency ended at %d: unexpected job %+v", tc.ended, j)
		}
		candidates := h.candidates(0)
		if len(candidates) != 1 || candidates[0].ReadyAt != tc.ready || candidates[0].Timing.Due[0] != 31_000 {
			t.Errorf("dependency ended at %d: unexpected candidates %+v", tc.ended, candidates)
		}
	}
}

// A job counts with the highest rank of the jobs that depend on it, also in relation to other
// jobs of its team.
func TestJobInheritsRankOfDependents(t *testing.T) {
	h := holderWithJobs(t, jobRecord("req-1", api.RankBestEffort, 500), jobRecord("req-2", api.RankHigh, 600, "req-1"))
	candidates := h.candidates(0)
	if len(candidates) != 1 || candidates[0].Rank != placement.Rank(api.RankHigh) {
		t.Errorf("candidates: got %+v, want one of high rank", candidates)
	}
}
