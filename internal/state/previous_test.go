package state

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// Records of the version in production (deploy/service.toml) can be read, and writing them again
// yields the same bytes. The one new field, `ended` in the record of a done job, is one that the
// previous version ignores.
func TestRecordsOfThePreviousVersion(t *testing.T) {
	raw, err := os.ReadFile("testdata/previous.json")
	if err != nil {
		t.Fatal(err)
	}
	var records map[string]json.RawMessage
	if err := json.Unmarshal(raw, &records); err != nil {
		t.Fatal(err)
	}
	m := newTestMirror(0)
	var events []api.Event
	for i, key := range core.SortedKeys(records) {
		events = append(events, api.Event{Set: key, Value: records[key], Version: uint64(i + 1)})
	}
	m.applyEvents(events)
	job := m.Jobs["req-000412"]
	if at, ok := job.ReadyAt(); !ok || at != 1700000000123 || job.Finished() || job.Done.Len() != 3 || *job.Spec.DeadlineS != 120.5 {
		t.Fatalf("accepted job read as %+v", job)
	}
	if !m.Jobs["req-000398"].Finished() || m.Jobs["req-000398"].Cancelled() || !m.Jobs["req-000399"].Cancelled() {
		t.Fatal("wrong phases of finished jobs")
	}
	part := func(inventory, k int) *InventoryPart { return m.inventories[inventory].parts[k].Record }
	var types []api.MachineType
	for _, typ := range m.Types.Record {
		types = append(types, typ)
	}
	written := map[string]any{
		KeyJob("req-000412"): job.Job, KeyJob("req-000398"): m.Jobs["req-000398"].Job, KeyJob("req-000399"): job.End(JobCancelled, 0),
		KeyBlock(1): m.Blocks[1].Record, keyPart(1, 0): part(1, 0), keyPart(PoolInventory, 2): part(PoolInventory, 2),
		KeyCompletionBatch(1, 41, 3): m.CompletionBatches[1][KeyCompletionBatch(1, 41, 3)], KeyTerm: m.Term.Record, KeyLeader: m.Leader.Record,
		KeyMember("stalk-0"): m.Members["stalk-0"].Record, keyAdditions: m.additions.Record, KeyTypes: types,
	}
	if len(written) != len(records) {
		t.Fatalf("%d of %d kinds of records are compared", len(written), len(records))
	}
	for key, record := range written {
		var want bytes.Buffer
		if err := json.Compact(&want, records[key]); err != nil {
			t.Fatal(err)
		}
		if got := Put(key, record).Value; string(got) != want.String() {
			t.Errorf("%s is written as\n%s, the previous version wrote\n%s", key, got, want.String())
		}
	}
	// The fields that the previous version reads from the record of a done job.
	var previous struct {
		Phase    JobPhase
		Tasks    int
		At       core.WallTime
		Team     string
		CPUs     float64
		MemoryGB float64 `json:"memory"`
	}
	if err := json.Unmarshal(Put("", job.End(JobDone, 99)).Value, &previous); err != nil || previous.Phase != JobDone || previous.Tasks != 4 || previous.CPUs != 8 || previous.MemoryGB != 64 {
		t.Fatalf("%+v, %v", previous, err)
	}
}
