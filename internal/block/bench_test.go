package block

import (
	"encoding/json"
	"fmt"
	"testing"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// BenchmarkReport measures decoding and applying the report of a machine with 32 tasks.
func BenchmarkReport(b *testing.B) {
	h, m := testHolder()
	rep := api.Report{Machine: "n-1", Addr: "10.1.0.1:9000", Type: "large", Zone: "a", Session: 1, Term: 7}
	for i := range 32 {
		rep.Tasks = append(rep.Tasks, api.TaskStatus{Task: fmt.Sprintf("req-000001/%d", i), Attempt: 9, State: api.TaskRunning})
	}
	for b.Loop() {
		rep.Sequence++
		raw, _ := json.Marshal(rep)
		var got api.Report
		if err := api.Decode(raw, &got); err != nil {
			b.Fatal(err)
		}
		h.applyMessage(m, &got, origin{fromReport, core.Time(rep.Sequence)})
	}
	if len(m.slots) != 32 {
		b.Fatal(len(m.slots))
	}
}
