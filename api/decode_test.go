package api

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// Decode yields the same values as encoding/json for every body that encoding/json accepts, and
// never panics on any input, since it runs on the event loop.
func TestDecodeMatchesEncodingJSON(t *testing.T) {
	notice := 12.5
	rep := Report{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 1, Sequence: 88, Term: 1 << 63, NoticeS: &notice}
	for i := range 5 {
		rep.Tasks = append(rep.Tasks, TaskStatus{Task: fmt.Sprintf("req-000412/%d", i), Attempt: 1<<40 + uint64(i), State: TaskExited, Cause: CauseDone, Saved: i%2 == 0})
	}
	raw, _ := json.Marshal(rep)
	watch, _ := json.Marshal(WatchResponse{Revision: 433, Events: []Event{{Set: "c/9", Value: json.RawMessage(`{"a":[1,{"b":null}]}`), Version: 433}, {Remove: "c/d", Version: 432}}})
	r := rand.New(rand.NewPCG(4, 2))
	valid := 0
	for n := range 60_000 {
		body := append([]byte{}, [][]byte{raw, watch}[n%2]...)
		for range r.IntN(4) {
			switch at := r.IntN(len(body)); r.IntN(4) {
			case 0:
				body[at] = byte(r.IntN(256))
			case 1:
				body = append(body[:at], body[min(at+1+r.IntN(6), len(body)):]...)
			case 2:
				body = append(body[:at:at], append([]byte([]string{" ", "0", "null", `"x":1,`, "{}", "[", "-", "\\u00e9", "1e3", "true"}[r.IntN(10)]), body[at:]...)...)
			case 3:
				body = body[:at]
			}
			if len(body) == 0 {
				body = []byte("x")
			}
		}
		var expected, decoded any = &Report{}, &Report{}
		if n%2 == 1 {
			expected, decoded = &WatchResponse{}, &WatchResponse{}
		}
		err := Decode(body, decoded)
		if json.Unmarshal(body, expected) != nil {
			continue
		}
		valid++
		if err != nil || !reflect.DeepEqual(expected, decoded) {
			t.Fatalf("%s\ndecoded as %+v (error %v), want %+v", body, decoded, err, expected)
		}
	}
	if valid < 10_000 {
		t.Fatalf("only %d bodies were valid, want at least 10000", valid)
	}
}
