// Package peer carries hints between controllers over TCP, in a binary format
// of our own. A hint speeds things up; nothing that must hold depends on it.
package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"time"

	"lichenstair/internal/core"
)

// A frame is: 'l' 's', a version, a kind, the length of the payload (four
// bytes, big endian), and the payload. Numbers in a payload are varints, texts
// have their length before them. A receiver drops kinds it does not know, so
// that kinds can be added; a change of a payload needs a new version.
const (
	magic0, magic1 = 'l', 's'
	version        = 4
	headerSize     = 8
	// MaxPayload bounds a frame.
	MaxPayload = 32 << 10

	kindBeat      = 1
	kindCancelled = 2
)

// Heartbeat is what a controller tells the others, about twice a second.
type Heartbeat struct {
	Host    core.Host
	LeaseID core.LeaseID
	// Staleness is how long ago the state service proved the sender up to date.
	Staleness time.Duration
	// WriteRate is how many changes a second the sender has made lately at the state
	// service, in tenths.
	WriteRate uint64
	Blocks    []BlockHint
	Running   []RunningHint
	Misrouted []MisroutedHint
	// Failing lists jobs that have only failed so far and are tried one task at a time.
	Failing []core.JobID
}

// BlockHint is what a holder tells of its block.
type BlockHint struct {
	Number         int
	Term           core.Term
	Placing        bool
	WaitingTasks   int // tasks
	LiveMachines   int // machines that report to the holder
	SilentMachines int // machines that have stopped to
	IdleMachines   []core.MachineID
}

// MisroutedHint counts the machines of another holder's block that have lately
// come to the sender to report.
type MisroutedHint struct {
	Number   int
	Machines int
}

// RunningHint counts the tasks of a job that run.
type RunningHint struct {
	Job   core.JobID
	Tasks int
}

const (
	maxBlocks  = 64
	maxIdle    = 64
	maxRunning = 200
	maxFailing = 200
	// maxCancelled bounds the jobs of a frame that tells of cancellations.
	maxCancelled = 200
)

// EncodeHeartbeat makes a frame of a beat; what exceeds its bounds is left out.
func EncodeHeartbeat(b Heartbeat) []byte {
	p := make([]byte, headerSize, 256)
	p = putText(p, string(b.Host))
	p = binary.AppendUvarint(p, uint64(b.LeaseID))
	p = binary.AppendUvarint(p, uint64(max(b.Staleness, 0)/time.Millisecond))
	p = binary.AppendUvarint(p, b.WriteRate)
	blocks := b.Blocks[:min(len(b.Blocks), maxBlocks)]
	p = binary.AppendUvarint(p, uint64(len(blocks)))
	for _, h := range blocks {
		p = binary.AppendUvarint(p, uint64(h.Number))
		p = binary.AppendUvarint(p, uint64(h.Term))
		placing := byte(0)
		if h.Placing {
			placing = 1
		}
		p = append(p, placing)
		p = binary.AppendUvarint(p, uint64(h.WaitingTasks))
		p = binary.AppendUvarint(p, uint64(h.LiveMachines))
		p = binary.AppendUvarint(p, uint64(h.SilentMachines))
		idle := h.IdleMachines[:min(len(h.IdleMachines), maxIdle)]
		p = binary.AppendUvarint(p, uint64(len(idle)))
		for _, id := range idle {
			p = putText(p, string(id))
		}
	}
	running := b.Running[:min(len(b.Running), maxRunning)]
	p = binary.AppendUvarint(p, uint64(len(running)))
	for _, r := range running {
		p = putText(p, string(r.Job))
		p = binary.AppendUvarint(p, uint64(r.Tasks))
	}
	misrouted := b.Misrouted[:min(len(b.Misrouted), maxBlocks)]
	p = binary.AppendUvarint(p, uint64(len(misrouted)))
	for _, s := range misrouted {
		p = binary.AppendUvarint(p, uint64(s.Number))
		p = binary.AppendUvarint(p, uint64(s.Machines))
	}
	failing := b.Failing[:min(len(b.Failing), maxFailing)]
	p = binary.AppendUvarint(p, uint64(len(failing)))
	for _, id := range failing {
		p = putText(p, string(id))
	}
	return seal(p, kindBeat)
}

// seal fills in the header of a frame.
func seal(p []byte, kind byte) []byte {
	p[0], p[1], p[2], p[3] = magic0, magic1, version, kind
	binary.BigEndian.PutUint32(p[4:], uint32(len(p)-headerSize))
	return p
}

// EncodeCancellations makes a frame that tells of jobs that are durably cancelled.
func EncodeCancellations(ids []core.JobID) []byte {
	p := make([]byte, headerSize, 64)
	ids = ids[:min(len(ids), maxCancelled)]
	p = binary.AppendUvarint(p, uint64(len(ids)))
	for _, id := range ids {
		p = putText(p, string(id))
	}
	return seal(p, kindCancelled)
}

// DecodeCancellations reads such a frame; ok is false for all others.
func DecodeCancellations(frame []byte) (ids []core.JobID, ok bool) {
	if len(frame) < headerSize || frame[2] != version || frame[3] != kindCancelled {
		return nil, false
	}
	d := decoder{rest: frame[headerSize:]}
	for range d.count(maxCancelled) {
		ids = append(ids, core.JobID(d.text()))
	}
	return ids, !d.failed && len(d.rest) == 0
}

func putText(p []byte, s string) []byte {
	s = s[:min(len(s), 255)]
	return append(append(p, byte(len(s))), s...)
}

var errMalformed = errors.New("malformed message")

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) ([]byte, error) {
	head := make([]byte, headerSize)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[4:])
	if head[0] != magic0 || head[1] != magic1 || n > MaxPayload {
		return nil, errMalformed
	}
	frame := append(head, make([]byte, n)...)
	if _, err := io.ReadFull(r, frame[headerSize:]); err != nil {
		return nil, err
	}
	return frame, nil
}

// DecodeHeartbeat reads a frame. ok is false for kinds and versions that are unknown,
// which are not an error.
func DecodeHeartbeat(frame []byte) (b Heartbeat, ok bool, err error) {
	if len(frame) < headerSize || frame[0] != magic0 || frame[1] != magic1 || int(binary.BigEndian.Uint32(frame[4:])) != len(frame)-headerSize {
		return b, false, errMalformed
	}
	if frame[2] != version || frame[3] != kindBeat {
		return b, false, nil
	}
	d := decoder{rest: frame[headerSize:]}
	b.Host = core.Host(d.text())
	b.LeaseID = core.LeaseID(d.number())
	b.Staleness = time.Duration(min(d.number(), 1<<32)) * time.Millisecond
	b.WriteRate = d.number()
	for range d.count(maxBlocks) {
		h := BlockHint{Number: int(d.number()), Term: core.Term(d.number()), Placing: d.byte() == 1, WaitingTasks: int(d.number()), LiveMachines: int(d.number()), SilentMachines: int(d.number())}
		for range d.count(maxIdle) {
			h.IdleMachines = append(h.IdleMachines, core.MachineID(d.text()))
		}
		b.Blocks = append(b.Blocks, h)
	}
	for range d.count(maxRunning) {
		b.Running = append(b.Running, RunningHint{core.JobID(d.text()), int(d.number())})
	}
	for range d.count(maxBlocks) {
		b.Misrouted = append(b.Misrouted, MisroutedHint{int(d.number()), int(d.number())})
	}
	for range d.count(maxFailing) {
		b.Failing = append(b.Failing, core.JobID(d.text()))
	}
	if d.failed || len(d.rest) > 0 {
		return Heartbeat{}, false, errMalformed
	}
	return b, true, nil
}

type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) byte() byte {
	if len(d.rest) == 0 {
		d.failed = true
		return 0
	}
	b := d.rest[0]
	d.rest = d.rest[1:]
	return b
}

func (d *decoder) number() uint64 {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

func (d *decoder) count(most int) int {
	n := d.number()
	if n > uint64(most) {
		d.failed, d.rest = true, nil
		return 0
	}
	return int(n)
}

func (d *decoder) text() string {
	n := int(d.byte())
	if n > len(d.rest) {
		d.failed, d.rest = true, nil
		return ""
	}
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s
}
