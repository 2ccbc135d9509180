package relay

import (
	"encoding/binary"
	"time"

	"ibisfold.example/core/segment"
)

// FlowBytes is what each flow adds to a part of a flow table.
const FlowBytes = KeyBytes + 1 + 1 + 4

// tableBytes is what a part of a flow table says of the table.
const tableBytes = 1 + 1 + 1

// MaxFlows is the greatest number of flows in one part of a flow table, so that a
// part is not longer than the longest FindMany.
const MaxFlows = (MaxKeys*KeyBytes - tableBytes) / FlowBytes

// MaxParts is the greatest number of parts of a flow table, enough for 8,064 flows.
const MaxParts = 128

// FlowState says what an agent knew of a flow at its planned stop.
type FlowState uint8

// States of flows in a table.
const (
	// FlowAnswered: the target answered the SYN; its caller may have chosen another target.
	FlowAnswered FlowState = iota + 1
	// FlowHeld: the target holds the flow.
	FlowHeld
	// FlowAssumed: the target got a packet of the flow and did not bounce it.
	FlowAssumed
	flowStates
)

// TableFlow is a flow of a table.
type TableFlow struct {
	Key   segment.Key
	State FlowState
	// Idle is how long ago the last packet passed, in seconds.
	Idle uint8
	// Seq is the sequence number of the target's answer to the SYN of a flow that is
	// FlowAnswered, of others what the caller acknowledged last.
	Seq uint32
}

// Table is a part of the flow table of an agent that stopped, or what is told of the
// table. Which fields a message has depends on its kind.
type Table struct {
	// ID is when the agent stopped, in Unix milliseconds on the clock of its VM. All
	// kinds of messages about a table have it.
	ID int64
	// Parts is the number of all parts, at most MaxParts, in Handover, HandoverPart and
	// HandoverOffer.
	Parts uint8
	// Part is the number of this part, from zero, in Handover and HandoverPart.
	Part uint8
	// Complete means, in Handover and HandoverPart, that the target held no other flow.
	Complete bool
	// Age is, in HandoverOffer, how long the entry has had the table. It has a
	// resolution of a millisecond.
	Age time.Duration
	// Flows are, in Handover and HandoverPart, those of this part, at most MaxFlows.
	Flows []TableFlow
	// Wanted are, in HandoverWanted, the numbers of the parts that are asked for.
	Wanted []uint8
}

// handsOver reports whether messages of the kind are about a flow table.
func (k Kind) handsOver() bool {
	return k >= Handover && k <= HandoverPart
}

func (t *Table) appendBody(k Kind, b []byte) []byte {
	switch k {
	case Handover, HandoverPart:
		complete := byte(0)
		if t.Complete {
			complete = 1
		}
		b = append(b, t.Part, t.Parts, complete)
		for _, f := range t.Flows {
			b = appendKey(b, f.Key)
			b = append(b, byte(f.State), f.Idle)
			b = binary.LittleEndian.AppendUint32(b, f.Seq)
		}

		return b
	case HandoverOffer:
		b = append(b, t.Parts)

		return binary.LittleEndian.AppendUint16(b, uint16(min(max(0, t.Age.Milliseconds()), 1<<16-1)))
	case HandoverWanted:
		return append(b, t.Wanted...)
	default:
		return b
	}
}

// decodeBody reads the body of a message about a flow table. Error: ErrTable.
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
	if len(b) < tableBytes {
		return false
	}
	t.Part = b[0]
	t.Parts = b[1]
	t.Complete = b[2] == 1
	if b[2] > 1 || t.Parts > MaxParts || t.Part >= t.Parts {
		return false
	}
	b = b[tableBytes:]
	if len(b)%FlowBytes != 0 || len(b)/FlowBytes > MaxFlows {
		return false
	}
	if len(b) > 0 {
		t.Flows = make([]TableFlow, 0, len(b)/FlowBytes)
	}
	for ; len(b) > 0; b = b[FlowBytes:] {
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
	t.Age = time.Duration(binary.LittleEndian.Uint16(b[1:])) * time.Millisecond

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
