package peer

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"testing"
	"time"

	"lichenstair/internal/config"
	"lichenstair/internal/core"
)

func testHeartbeat() Heartbeat {
	return Heartbeat{
		Host: "c0", LeaseID: 7, Staleness: 1500 * time.Millisecond, WriteRate: 73,
		Blocks:    []BlockHint{{Number: 2, Term: 1 << 40, Placing: true, WaitingTasks: 300, LiveMachines: 3, SilentMachines: 9, IdleMachines: []core.MachineID{"n-1", "n-22"}}, {Number: 0}},
		Running:   []RunningHint{{"req-1", 12}},
		Misrouted: []MisroutedHint{{1, 4}},
		Failing:   []core.JobID{"req-5", "req-8"},
	}
}

// A heartbeat is read from a stream, without the bytes that follow it, and decoded
// unchanged. A heartbeat of a later version is ignored.
func TestHeartbeatRoundTrip(t *testing.T) {
	frame, err := ReadFrame(bytes.NewReader(append(EncodeHeartbeat(testHeartbeat()), 1, 2, 3)))
	if err != nil {
		t.Fatal(err)
	}
	got, ok, err := DecodeHeartbeat(frame)
	if err != nil || !ok || !reflect.DeepEqual(got, testHeartbeat()) {
		t.Fatalf("%+v %v %v", got, ok, err)
	}
	frame[2]++
	if _, ok, err := DecodeHeartbeat(frame); ok || err != nil {
		t.Fatal("a frame of a later version must be ignored without an error", ok, err)
	}
}

// Decoding corrupted and truncated frames neither panics nor exceeds the limits of the
// lists.
func TestDecodeCorruptFrames(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		frame := EncodeHeartbeat(testHeartbeat())
		for range 1 + r.IntN(4) {
			frame[headerSize+r.IntN(len(frame)-headerSize)] = byte(r.Uint32())
		}
		if cut := r.IntN(4); cut == 0 {
			frame = frame[:r.IntN(len(frame))]
		}
		if b, ok, _ := DecodeHeartbeat(frame); ok && (len(b.Blocks) > maxBlocks || len(b.Running) > maxRunning) {
			t.Fatalf("%+v", b)
		}
		if _, err := ReadFrame(bytes.NewReader(frame)); err == nil && len(frame) < headerSize {
			t.Fatal("a truncated header was accepted")
		}
	}
}

// A connection that the peer has closed is opened again before the next frame is sent, so
// that the frame is not lost in the closed one.
func TestReconnectAfterPeerCloses(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	transport := NewTransport([]config.Peer{{Host: "c1", Addr: ln.Addr().String()}}, func([]byte) {}, slog.New(slog.DiscardHandler))
	for round := range 3 {
		transport.Broadcast(EncodeHeartbeat(testHeartbeat()))
		_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
		conn, err := ln.Accept()
		if err != nil {
			t.Fatalf("round %d: no new connection: %v", round, err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := ReadFrame(conn); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		conn.Close()
		time.Sleep(50 * time.Millisecond) // until the sender has noticed that the connection is closed
	}
}

// Cancellations have a frame kind of their own, which a version that does not know it
// ignores like all unknown kinds; heartbeats stay unchanged.
func TestCancellationsRoundTrip(t *testing.T) {
	ids := []core.JobID{"req-1", "req-000398"}
	frame, err := ReadFrame(bytes.NewReader(EncodeCancellations(ids)))
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := DecodeCancellations(frame); !ok || !reflect.DeepEqual(got, ids) {
		t.Fatalf("%v %v", got, ok)
	}
	if _, ok, err := DecodeHeartbeat(frame); ok || err != nil {
		t.Fatal("a frame of cancellations was decoded as a heartbeat", ok, err)
	}
	if _, ok := DecodeCancellations(EncodeHeartbeat(testHeartbeat())); ok {
		t.Fatal("a heartbeat was decoded as cancellations")
	}
	if _, ok := DecodeCancellations(frame[:len(frame)-2]); ok {
		t.Fatal("a truncated frame was accepted")
	}
}

// Acknowledgements have a frame kind of their own as well, which no other kind is decoded as.
func TestAcknowledgementsRoundTrip(t *testing.T) {
	want := []Acknowledgement{{"req-1", 0, 1 << 40}, {"req-000398", 12, 3}}
	frame, err := ReadFrame(bytes.NewReader(EncodeAcknowledgements(want)))
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := DecodeAcknowledgements(frame); !ok || !reflect.DeepEqual(got, want) {
		t.Fatalf("%v %v", got, ok)
	}
	if _, ok := DecodeCancellations(frame); ok {
		t.Fatal("acknowledgements were decoded as cancellations")
	}
	if _, ok := DecodeAcknowledgements(EncodeCancellations([]core.JobID{"req-1"})); ok {
		t.Fatal("cancellations were decoded as acknowledgements")
	}
	for length := range len(frame) {
		if _, ok := DecodeAcknowledgements(frame[:length]); ok {
			t.Fatalf("a frame truncated to %d bytes was accepted", length)
		}
	}
}

// Guards against announcements of cancellations that are lost because a heartbeat, or the next
// announcement, takes their place in the queue of a peer.
func TestQueuedCancellationsAreNotDisplaced(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	transport := NewTransport([]config.Peer{{Host: "c1", Addr: ln.Addr().String()}}, func([]byte) {}, slog.New(slog.DiscardHandler))
	var want, got []core.JobID
	for i := range maxMessages / 2 {
		id := core.JobID(fmt.Sprintf("req-%06d", i))
		want = append(want, id)
		transport.Broadcast(EncodeCancellations([]core.JobID{id}))
		transport.Broadcast(EncodeHeartbeat(testHeartbeat()))
	}
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for heartbeats := 0; len(got) < len(want) || heartbeats == 0; {
		frame, err := ReadFrame(conn)
		if err != nil {
			t.Fatalf("got %v and %d heartbeats, then %v; want %v", got, heartbeats, err, want)
		}
		if ids, ok := DecodeCancellations(frame); ok {
			got = append(got, ids...)
		} else {
			heartbeats++
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// Heartbeats are encoded byte for byte as by the version in production: if that could not
// decode them, it would take live holders for dead.
func TestHeartbeatMatchesPreviousVersion(t *testing.T) {
	previous, err := os.ReadFile("testdata/previous-beat.bin")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(previous, EncodeHeartbeat(testHeartbeat())) {
		t.Fatalf("encoded as %x, the previous version encodes %x", EncodeHeartbeat(testHeartbeat()), previous)
	}
	if got, ok, err := DecodeHeartbeat(previous); err != nil || !ok || !reflect.DeepEqual(got, testHeartbeat()) {
		t.Fatalf("%+v %v %v", got, ok, err)
	}
}
