package relay

import (
	"encoding/binary"

	"ibisfold.example/core/segment"
)

// TableFlowBytes is the encoded size of a TableFlow.
const TableFlowBytes = KeyBytes + 1 + 1 + 4

// tablePartHeaderBytes is the encoded size of Part, Parts and a reserved byte, which precede
// the flows of a part.
const tablePartHeaderBytes = 1 + 1 + 1

// MaxFlows is the maximum number of flows in one part of a flow table. It keeps a part no
// longer than the longest FindMany.
const MaxFlows = (MaxKeys*KeyBytes - tablePartHeaderBytes) / TableFlowBytes

// MaxParts is the maximum number of parts of a flow table, enough for 8,064 flows.
const MaxParts = 128

// FlowState is what an agent knew of a flow at its planned stop.
type FlowState uint8

// States of flows in a flow table.
const (
	// FlowAnswered means that the target answered the SYN. The caller may have chosen
	// another target.
	FlowAnswered FlowState = iota + 1
	// FlowHeld means that the target holds the flow.
	FlowHeld
	// FlowAssumed means that the target received a packet of the flow and has not bounced
	// it.
	FlowAssumed
	flowStates
)

// TableFlow is a flow in a flow table.
type TableFlow struct {
	Key   segment.Key
	State FlowState
	// Idle is how long ago the last packet of the flow passed, in seconds, at most 255.
	Idle uint8
	// Seq is, for FlowAnswered, the sequence number of the target's SYN-ACK. For the other
	// states it is the last sequence number that the caller acknowledged.
	Seq uint32
}

// Table is the body of a message about the flow table of an agent that stopped: a part of
// the table, an offer of it, a request for parts, or a notice that it is no longer needed.
// The kind of the message determines which fields are encoded.
type Table struct {
	// ID is when the agent stopped, in Unix milliseconds on the clock of its VM. All
	// kinds of messages about a table have it.
	ID int64
	// Parts is the number of all parts, at most MaxParts, in Handover, HandoverPart and
	// HandoverOffer.
	Parts uint8
	// Part is the zero-based index of this part, in Handover and HandoverPart.
	Part uint8
	// Flows are, in Handover and HandoverPart, the flows of this part, at most MaxFlows.
	Flows []TableFlow
	// Wanted lists, in HandoverWanted, the indexes of the requested parts.
	Wanted []uint8
}

// Values of reserved fields, as agents of earlier versions read them.
const (
	// mayLackFlows, in Handover and HandoverPart, says that the target may hold flows that
	// the table lacks. Agents of earlier versions send 1 where they took the table for whole.
	mayLackFlows = 0
	// noAge, in HandoverOffer, is in the place of the age of the table.
	noAge = 0
)

// isHandover reports whether messages of the kind have a Table.
func (k Kind) isHandover() bool {
	return k >= Handover && k <= HandoverPart
}

func (t *Table) appendBody(k Kind, b []byte) []byte {
	switch k {
	case Handover, HandoverPart:
		b = append(b, t.Part, t.Parts, mayLackFlows)
		for _, f := range t.Flows {
			b = appendKey(b, f.Key)
			b = append(b, byte(f.State), f.Idle)
			b = binary.LittleEndian.AppendUint32(b, f.Seq)
		}

		return b
	case HandoverOffer:
		b = append(b, t.Parts)

		return binary.LittleEndian.AppendUint16(b, noAge)
	case HandoverWanted:
		return append(b, t.Wanted...)
	default:
		return b
	}
}

// decodeBody decodes the body of a message about a flow table. Error: ErrTable.
func (t *Table) decodeBody(k Kind, b []byte) error {
	ok := false
	switch k {
	case Handover, HandoverPart:
		ok = t.decodePart(b)
	case HandoverOffer:
		ok = t.decodeOffer(b)
	case HandoverWanted:
		ok = t.decodeWanted(b)
	case HandoverDone:
		ok = len(b) == 0
	}
	if !ok {
		return ErrTable
	}

	return nil
}

func (t *Table) decodePart(b []byte) bool {
	if len(b) < tablePartHeaderBytes {
		return false
	}
	t.Part = b[0]
	t.Parts = b[1]
	if b[2] > 1 || t.Parts > MaxParts || t.Part >= t.Parts {
		return false
	}
	b = b[tablePartHeaderBytes:]
	if len(b)%TableFlowBytes != 0 || len(b)/TableFlowBytes > MaxFlows {
		return false
	}
	if len(b) > 0 {
		t.Flows = make([]TableFlow, 0, len(b)/TableFlowBytes)
	}
	for ; len(b) > 0; b = b[TableFlowBytes:] {
		f := TableFlow{
			Key:   decodeKey(b),
			State: FlowState(b[KeyBytes]),
			Idle:  b[KeyBytes+1],
			Seq:   binary.LittleEndian.Uint32(b[KeyBytes+2:]),
		}
		if f.State == 0 || f.State >= flowStates {
			return false
		}
		t.Flows = append(t.Flows, f)
	}

	return true
}

func (t *Table) decodeOffer(b []byte) bool {
	if len(b) != 3 || b[0] == 0 || b[0] > MaxParts {
		return false
	}
	t.Parts = b[0]

	return true
}

func (t *Table) decodeWanted(b []byte) bool {
	if len(b) == 0 || len(b) > MaxParts {
		return false
	}
	for _, part := range b {
		if part >= MaxParts {
			return false
		}
		t.Wanted = append(t.Wanted, part)
	}

	return true
}
