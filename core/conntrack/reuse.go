package conntrack

import (
	"time"

	"ibisfold.example/core/segment"
)

// seqWindow bounds the distance in bytes between two sequence numbers of one flow: the
// data that the target has sent and the caller has not acknowledged. It equals 0.2 s of a
// link of 10 Mbit/s. Two flows with random initial sequence numbers are this close in 1 of
// 8192 cases.
const seqWindow = 1 << 18

// withinSeqWindow reports whether two sequence numbers of a target may belong to the same
// flow.
func withinSeqWindow(a, b uint32) bool {
	d := int32(a - b)

	return d >= -seqWindow && d <= seqWindow
}

// recordPosition records how far the target has sent in the flow.
func (f *flow) recordPosition(s *segment.Segment) {
	f.sentEnd = s.Seq + uint32(s.Len)
	f.sentEndKnown = true
}

// isOtherFlow reports whether a packet with the given acknowledgement number belongs to
// another flow with the same key.
func (f *flow) isOtherFlow(ack uint32) bool {
	return f.sentEndKnown && !withinSeqWindow(ack, f.sentEnd)
}

// isReplacedBy reports whether the target's answer to a SYN opens another flow with the
// key of a flow that it held: its caller has reused the port.
func (f *flow) isReplacedBy(seq uint32) bool {
	if f.state != stateHeld {
		return false
	}
	if f.synAckSeq != 0 {
		return seq != f.synAckSeq
	}

	return f.isOtherFlow(seq)
}

// replace discards the state of an earlier flow with the key.
func (c *Core) replace(now time.Duration, k segment.Key, f *flow) {
	c.inflight.drop(k)
	*f = flow{
		entry:    f.entry,
		lastUsed: now,
		openedAt: f.openedAt,
	}
}
