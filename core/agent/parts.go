package agent

import (
	"slices"

	"ibisfold.example/core/packet"
)

// parts collects the packets of one answer. An answer is used only as a whole.
type parts struct {
	data [][]byte
	received  int
}

// add copies one part and reports whether the answer is complete. Repeated
// parts and parts of another division are ignored.
func (s *parts) add(p *packet.Packet) bool {
	total := int(max(1, p.Parts))
	if s.data == nil {
		s.data = make([][]byte, total)
	}
	if len(s.data) != total || int(p.Part) >= total || s.data[p.Part] != nil {
		return false
	}

	b := slices.Clone(p.Payload)
	if b == nil {
		b = []byte{}
	}
	s.data[p.Part] = b
	s.received++

	return s.received == total
}
