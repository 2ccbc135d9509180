package conntrack

import (
	"time"

	"ibisfold.example/core/segment"
)

// seqWindow is how far apart, in bytes, positions of one flow may be: what the target has
// sent and the caller has not acknowledged. 0.2 s of a link of 10 Mbit/s are the same. Of two
// flows whose first numbers are random, one pair in 8192 is as close.
const seqWindow = 1 << 18

// near reports whether two sequence numbers of a target may be of the same flow.
func near(a, b uint32) bool {
	d := int32(a - b)

	return d >= -seqWindow && d <= seqWindow
}

// notePosition notes what the target sent of the flow.
func (f *flow) notePosition(s *segment.Segment) {
	f.sent = s.Seq + uint32(s.Len)
	f.located = true
}

// another reports whether a packet that acknowledges a number is of another flow with
// the same key.
func (f *flow) another(ack uint32) bool {
	return f.located && !near(ack, f.sent)
}

// replaces reports whether the target's answer to a SYN opens another flow with the key of
// one that it held: its caller has used the port again.
func (f *flow) replaces(seq uint32) bool {
	if f.state != stateHeld {
		return false
	}
	if f.synAck != 0 {
		return seq != f.synAck
	}

	return f.another(seq)
}

// replace forgets what was known of an earlier flow with the key.
func (c *Core) replace(now time.Duration, k segment.Key, f *flow) {
	c.work.drop(k)
	*f = flow{
		entry:  f.entry,
		used:   now,
		opened: f.opened,
	}
}
