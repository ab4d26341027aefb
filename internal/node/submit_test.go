package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lichenstair/api"
	"lichenstair/internal/config"
	"lichenstair/internal/core"
	"lichenstair/internal/state"
	"lichenstair/internal/state/statetest"
)

// submissionBody returns a submission of a job of one task with the given dependencies.
func submissionBody(t *testing.T, id string, dependencies []string) []byte {
	t.Helper()
	raw, err := json.Marshal(map[string]any{
		"uid": id, "strain": "steps", "crew": "red", "form": "batch", "rank": "standard", "spores": 1, "cpus": 1, "gpus": 0, "ramGb": 1,
		"seedcase": "img", "pullGb": 1, "oneZone": false, "scatter": false, "windfall": false, "growS": 10, "moltS": 0, "shedS": 0, "roots": dependencies,
	})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// nodeWithLinks returns a node that knows a hundred jobs without dependencies, whose names are returned too,
// and further ones that each depend on 80 of those. It accepts the given number of links.
func nodeWithLinks(dependents, limit int) (n *testNode, names []string) {
	service := &statetest.Service{Time: core.Time(time.Minute)}
	service.Put(state.KeyTypes, []api.MachineType{{Name: "large", CPUs: 8, MemoryGB: 32, Zones: []string{"a"}}})
	put := func(id string, dependencies []string) {
		spec := &api.Job{ID: id, Team: "red", Form: api.FormArray, Tasks: 1, CPUs: 1, MemoryGB: 1, Dependencies: dependencies}
		service.Put(state.KeyJob(core.JobID(id)), state.Job{Phase: state.JobAccepted, Tasks: 1, Team: "red", CPUs: 1, MemoryGB: 1, Spec: spec})
	}
	for i := range 100 {
		names = append(names, fmt.Sprintf("req-1%02d", i))
		put(names[i], nil)
	}
	for i := range dependents {
		put(fmt.Sprintf("req-20%d", i), names[:80])
	}
	n = newLoadingNode(ownHost, service)
	n.cfg.Teams = []config.Team{{Name: "red", CPUsMax: 10}}
	n.cfg.Limits.MemoryBytes = int64(float64(limit*linkBytes) / linkMemoryShare)
	return n, names
}

// Guards against accepted pipelines that no controller can hold in its memory: all controllers ended, and
// again after each start. Submissions with dependencies are put off while there are too many links between
// unfinished jobs, those with many dependencies first; repeats of accepted jobs and jobs without
// dependencies are not.
func TestSubmissionsAreLimitedByLinks(t *testing.T) {
	const limit = 400
	for _, tc := range []struct {
		dependents   int // 80 links each
		id           string
		dependencies int
		putOff       bool
	}{
		{3, "req-301", 60, false},
		{3, "req-301", 61, true}, // more than three quarters
		{4, "req-301", fewDependencies, false},
		{4, "req-301", fewDependencies + 1, true},
		{5, "req-301", 1, true},
		{5, "req-301", 0, false},
		{5, "req-201", 80, false}, // a repeat
	} {
		n, names := nodeWithLinks(tc.dependents, limit)
		if links := 80 * tc.dependents; n.mirror.Links() != links {
			t.Fatalf("%d links, want %d", n.mirror.Links(), links)
		}
		status := 0
		n.Submit(submissionBody(t, tc.id, names[:tc.dependencies]), func(r Response) { status = r.Status })
		if putOff := status == 429; putOff != tc.putOff {
			t.Errorf("%s with %d dependencies at %d links: status %d, want put off: %v", tc.id, tc.dependencies, n.mirror.Links(), status, tc.putOff)
		}
	}
}

// Submissions that wait for their transaction count as well: a burst of them could go far beyond the
// limit before the first of them is stored.
func TestQueuedSubmissionsCountAsLinks(t *testing.T) {
	n, names := nodeWithLinks(3, 400)
	n.committing = true
	var answers []int
	for i := range 3 {
		n.Submit(submissionBody(t, fmt.Sprintf("req-30%d", i), names[:25]), func(r Response) { answers = append(answers, r.Status) })
	}
	n.Submit(submissionBody(t, "req-310", names[:60]), func(r Response) { answers = append(answers, r.Status) })
	if len(answers) != 1 || answers[0] != 429 || len(n.submissions) != 3 {
		t.Fatalf("%d queued with 315 of 400 links, answers %v: want 3 and 429 for one with 60 dependencies", len(n.submissions), answers)
	}
}
