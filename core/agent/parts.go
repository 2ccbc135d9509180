package agent

import (
	"slices"

	"ibisfold.example/core/packet"
)

// parts reassembles an answer from its packets. An answer is used only when it
// is complete.
type parts struct {
	data  [][]byte
	count int
}

// add copies one part and reports whether the answer is complete. It ignores
// repeated parts and parts that state another total.
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
	s.count++

	return s.count == total
}
