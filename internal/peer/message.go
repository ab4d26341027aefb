// Package peer exchanges frames between controllers over TCP, in a binary format. Heartbeats and
// announcements of cancellations are hints: they only improve speed, and correctness must not depend
// on them. An acknowledgement is a statement that stays true, however late it arrives.
package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"time"

	"lichenstair/internal/core"
)

// A frame is: 'l' 's', a version, a kind, the length of the payload (four bytes, big
// endian), and the payload. Integers in a payload are varints; strings have a length byte
// before them. A receiver ignores frames of unknown kinds, so that kinds can be added; a
// change of a payload needs a new version.
const (
	magic0, magic1 = 'l', 's'
	version        = 4
	headerSize     = 8
	// MaxPayload bounds the payload of a frame, in bytes.
	MaxPayload = 32 << 10

	kindHeartbeat        = 1
	kindCancellations    = 2
	kindAcknowledgements = 3
)

// Heartbeat is the status that a controller sends to the others, about twice a second.
type Heartbeat struct {
	Host    core.Host
	LeaseID core.LeaseID // 0: the sender has no lease
	// Staleness is the time since the sender's mirror of the state was last confirmed fresh.
	Staleness time.Duration
	// WriteRate is the sender's recent rate of changes at the state service, in tenths of a
	// change per second.
	WriteRate uint64
	Blocks    []BlockHint     // of the blocks that the sender holds
	Running   []RunningHint   // of jobs in these blocks
	Misrouted []MisroutedHint // of blocks that others hold
	// Failing lists the jobs that have failed on more than one machine and completed no task,
	// and are therefore tried one task at a time.
	Failing []core.JobID
}

// BlockHint is the state of a block as its holder sees it.
type BlockHint struct {
	Number         int              // of the block
	Term           core.Term        // of the holder's grant
	Placing        bool             // the holder has recovered the state of its machines and places tasks
	WaitingTasks   int              // tasks that wait to be placed
	LiveMachines   int              // machines that report to the holder
	SilentMachines int              // machines that have stopped reporting to it
	IdleMachines   []core.MachineID // live machines on which nothing is booked
}

// MisroutedHint counts the machines of another holder's block that have recently reported
// to the sender.
type MisroutedHint struct {
	Number   int // of the block
	Machines int
}

// RunningHint counts the running tasks of a job.
type RunningHint struct {
	Job   core.JobID
	Tasks int
}

// Limits of the lists of a heartbeat.
const (
	maxBlocks  = 64 // of blocks, and of misrouted hints
	maxIdle    = 64 // of idle machines, per block
	maxRunning = 200
	maxFailing = 200
)

// EncodeHeartbeat encodes a heartbeat as a frame. List entries beyond the limits are left
// out.
func EncodeHeartbeat(b Heartbeat) []byte {
	p := make([]byte, headerSize, 256)
	p = appendString(p, string(b.Host))
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
			p = appendString(p, string(id))
		}
	}
	running := b.Running[:min(len(b.Running), maxRunning)]
	p = binary.AppendUvarint(p, uint64(len(running)))
	for _, r := range running {
		p = appendString(p, string(r.Job))
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
		p = appendString(p, string(id))
	}
	return putHeader(p, kindHeartbeat)
}

// putHeader fills in the header of a frame.
func putHeader(p []byte, kind byte) []byte {
	p[0], p[1], p[2], p[3] = magic0, magic1, version, kind
	binary.BigEndian.PutUint32(p[4:], uint32(len(p)-headerSize))
	return p
}

// appendString appends s, cut off at 255 bytes, after its length byte.
func appendString(p []byte, s string) []byte {
	s = s[:min(len(s), 255)]
	return append(append(p, byte(len(s))), s...)
}

var errMalformed = errors.New("malformed peer frame")

// ReadFrame reads one frame, including its header.
func ReadFrame(r io.Reader) ([]byte, error) {
	header := make([]byte, headerSize)
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[4:])
	if header[0] != magic0 || header[1] != magic1 || n > MaxPayload {
		return nil, errMalformed
	}
	frame := append(header, make([]byte, n)...)
	if _, err := io.ReadFull(r, frame[headerSize:]); err != nil {
		return nil, err
	}
	return frame, nil
}

// DecodeHeartbeat decodes a heartbeat frame. An unknown kind or version is not an error; ok
// is false for it.
func DecodeHeartbeat(frame []byte) (b Heartbeat, ok bool, err error) {
	if len(frame) < headerSize || frame[0] != magic0 || frame[1] != magic1 || int(binary.BigEndian.Uint32(frame[4:])) != len(frame)-headerSize {
		return b, false, errMalformed
	}
	if !hasKind(frame, kindHeartbeat) {
		return b, false, nil
	}
	d := decoder{rest: frame[headerSize:]}
	b.Host = core.Host(d.shortString())
	b.LeaseID = core.LeaseID(d.uvarint())
	b.Staleness = time.Duration(min(d.uvarint(), 1<<32)) * time.Millisecond
	b.WriteRate = d.uvarint()
	for range d.count(maxBlocks) {
		h := BlockHint{Number: int(d.uvarint()), Term: core.Term(d.uvarint()), Placing: d.byte() == 1, WaitingTasks: int(d.uvarint()), LiveMachines: int(d.uvarint()), SilentMachines: int(d.uvarint())}
		for range d.count(maxIdle) {
			h.IdleMachines = append(h.IdleMachines, core.MachineID(d.shortString()))
		}
		b.Blocks = append(b.Blocks, h)
	}
	for range d.count(maxRunning) {
		b.Running = append(b.Running, RunningHint{core.JobID(d.shortString()), int(d.uvarint())})
	}
	for range d.count(maxBlocks) {
		b.Misrouted = append(b.Misrouted, MisroutedHint{int(d.uvarint()), int(d.uvarint())})
	}
	for range d.count(maxFailing) {
		b.Failing = append(b.Failing, core.JobID(d.shortString()))
	}
	if !d.complete() {
		return Heartbeat{}, false, errMalformed
	}
	return b, true, nil
}

// hasKind reports whether a frame is of this version and of a kind.
func hasKind(frame []byte, kind byte) bool {
	return len(frame) >= headerSize && frame[2] == version && frame[3] == kind
}

// decoder reads the fields of a payload. After an error, failed is set and the values read
// are meaningless.
type decoder struct {
	rest   []byte // not yet decoded
	failed bool
}

// complete reports whether the whole payload was decoded without an error.
func (d *decoder) complete() bool { return !d.failed && len(d.rest) == 0 }

func (d *decoder) byte() byte {
	if len(d.rest) == 0 {
		d.failed = true
		return 0
	}
	b := d.rest[0]
	d.rest = d.rest[1:]
	return b
}

func (d *decoder) uvarint() uint64 {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

// count decodes the length of a list. A length above the limit is an error.
func (d *decoder) count(limit int) int {
	n := d.uvarint()
	if n > uint64(limit) {
		d.failed, d.rest = true, nil
		return 0
	}
	return int(n)
}

// shortString decodes a string with a length byte before it.
func (d *decoder) shortString() string {
	n := int(d.byte())
	if n > len(d.rest) {
		d.failed, d.rest = true, nil
		return ""
	}
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s
}
