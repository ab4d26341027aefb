package peer

import (
	"encoding/binary"

	"lichenstair/internal/core"
)

// MaxCancellations bounds the jobs of a frame of cancellations or acknowledgements.
const MaxCancellations = 200

// Acknowledgement states that neither the sender, which holds a block under a grant, nor any holder
// under an earlier grant will send a start of a cancelled job any more. Once this is true it stays
// true.
type Acknowledgement struct {
	Job   core.JobID
	Block int       // the block that the job belongs to
	Term  core.Term // of the sender's grant
}

// EncodeCancellations encodes a frame that announces durably cancelled jobs. Jobs beyond
// the limit are left out.
func EncodeCancellations(ids []core.JobID) []byte {
	p := make([]byte, headerSize, 64)
	ids = ids[:min(len(ids), MaxCancellations)]
	p = binary.AppendUvarint(p, uint64(len(ids)))
	for _, id := range ids {
		p = appendString(p, string(id))
	}
	return putHeader(p, kindCancellations)
}

// DecodeCancellations decodes a frame of cancellations; ok is false for all other frames.
func DecodeCancellations(frame []byte) (ids []core.JobID, ok bool) {
	if !hasKind(frame, kindCancellations) {
		return nil, false
	}
	d := decoder{rest: frame[headerSize:]}
	for range d.count(MaxCancellations) {
		ids = append(ids, core.JobID(d.shortString()))
	}
	return ids, d.complete()
}

// EncodeAcknowledgements encodes a frame of acknowledgements. Those beyond the limit are left out.
func EncodeAcknowledgements(acknowledgements []Acknowledgement) []byte {
	p := make([]byte, headerSize, 64)
	acknowledgements = acknowledgements[:min(len(acknowledgements), MaxCancellations)]
	p = binary.AppendUvarint(p, uint64(len(acknowledgements)))
	for _, a := range acknowledgements {
		p = appendString(p, string(a.Job))
		p = binary.AppendUvarint(p, uint64(a.Block))
		p = binary.AppendUvarint(p, uint64(a.Term))
	}
	return putHeader(p, kindAcknowledgements)
}

// DecodeAcknowledgements decodes a frame of acknowledgements; ok is false for all other frames.
func DecodeAcknowledgements(frame []byte) (acknowledgements []Acknowledgement, ok bool) {
	if !hasKind(frame, kindAcknowledgements) {
		return nil, false
	}
	d := decoder{rest: frame[headerSize:]}
	for range d.count(MaxCancellations) {
		acknowledgements = append(acknowledgements, Acknowledgement{core.JobID(d.shortString()), int(d.uvarint()), core.Term(d.uvarint())})
	}
	return acknowledgements, d.complete()
}
