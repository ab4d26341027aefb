package metrics

import (
	"strings"
	"testing"
)

// The metrics appear in the text under the names of docs/operations.md and with the values set.
func TestTextFormat(t *testing.T) {
	m := New()
	m.WorkerMessages.WithLabelValues("report", "taken").Add(3)
	m.Stops.WithLabelValues("superseded").Inc()
	m.Duplicates.Inc()
	m.BlockTerm.WithLabelValues("2").Set(26)
	m.ProofAge.Set(0.25)
	text, err := m.Text()
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`lichenstair_worker_messages_total{result="taken",source="report"} 3`,
		`lichenstair_stops_total{reason="superseded"} 1`,
		`lichenstair_attempts_duplicate_total 1`,
		`lichenstair_starts_total 0`,
		`lichenstair_block_term{block="2"} 26`,
		`lichenstair_state_proof_age_seconds 0.25`,
	} {
		if !strings.Contains(string(text), "\n"+line+"\n") {
			t.Errorf("%s is missing in\n%s", line, text)
		}
	}
}
