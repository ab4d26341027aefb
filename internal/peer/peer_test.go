package peer

import (
	"bytes"
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

func beat() Heartbeat {
	return Heartbeat{
		Host: "c0", LeaseID: 7, Staleness: 1500 * time.Millisecond, WriteRate: 73,
		Blocks:    []BlockHint{{Number: 2, Term: 1 << 40, Placing: true, WaitingTasks: 300, LiveMachines: 3, SilentMachines: 9, IdleMachines: []core.MachineID{"n-1", "n-22"}}, {Number: 0}},
		Running:   []RunningHint{{"req-1", 12}},
		Misrouted: []MisroutedHint{{1, 4}},
		Failing:   []core.JobID{"req-5", "req-8"},
	}
}

func TestBeatSurvivesTheWire(t *testing.T) {
	frame, err := ReadFrame(bytes.NewReader(append(EncodeHeartbeat(beat()), 1, 2, 3)))
	if err != nil {
		t.Fatal(err)
	}
	got, ok, err := DecodeHeartbeat(frame)
	if err != nil || !ok || !reflect.DeepEqual(got, beat()) {
		t.Fatalf("%+v %v %v", got, ok, err)
	}
	frame[2]++
	if _, ok, err := DecodeHeartbeat(frame); ok || err != nil {
		t.Fatal("a version to come must be passed over", ok, err)
	}
}

// Whatever arrives, decoding ends without a crash and within its bounds.
func TestDecodeAnything(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		frame := EncodeHeartbeat(beat())
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
			t.Fatal("a piece of a header was taken")
		}
	}
}

// A line whose other end has been closed is opened anew before the next frame, so that
// none is lost in it.
func TestClosedLineIsOpenedAnew(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	lines := NewTransport([]config.Peer{{Host: "c1", Addr: ln.Addr().String()}}, func([]byte) {}, slog.New(slog.DiscardHandler))
	for round := range 3 {
		lines.Broadcast(EncodeHeartbeat(beat()))
		_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
		conn, err := ln.Accept()
		if err != nil {
			t.Fatalf("round %d: no new line: %v", round, err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := ReadFrame(conn); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		conn.Close()
		time.Sleep(50 * time.Millisecond) // until the end of the line has been seen
	}
}

// Cancellations travel in a kind of their own, which a version that does not know it
// passes over as it does all unknown kinds; beats stay as they are.
func TestCancellationsSurviveTheWire(t *testing.T) {
	ids := []core.JobID{"req-1", "req-000398"}
	frame, err := ReadFrame(bytes.NewReader(EncodeCancellations(ids)))
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := DecodeCancellations(frame); !ok || !reflect.DeepEqual(got, ids) {
		t.Fatalf("%v %v", got, ok)
	}
	if _, ok, err := DecodeHeartbeat(frame); ok || err != nil {
		t.Fatal("taken for a beat", ok, err)
	}
	if _, ok := DecodeCancellations(EncodeHeartbeat(beat())); ok {
		t.Fatal("a beat is taken for cancellations")
	}
	if _, ok := DecodeCancellations(frame[:len(frame)-2]); ok {
		t.Fatal("a frame that is cut off is read")
	}
}

// A beat is what the version in production sends, to the byte: one that it could not read
// would make live holders look dead.
func TestBeatOfThePreviousVersion(t *testing.T) {
	previous, err := os.ReadFile("testdata/previous-beat.bin")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(previous, EncodeHeartbeat(beat())) {
		t.Fatalf("written as %x, the previous version wrote %x", EncodeHeartbeat(beat()), previous)
	}
	if got, ok, err := DecodeHeartbeat(previous); err != nil || !ok || !reflect.DeepEqual(got, beat()) {
		t.Fatalf("%+v %v %v", got, ok, err)
	}
}
