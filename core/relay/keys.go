package relay

import (
	"encoding/binary"
	"net/netip"

	"ibisfold.example/core/segment"
)

// MaxKeys is the maximum number of keys in one message. It keeps datagrams small enough
// not to be fragmented.
const MaxKeys = 96

// KeyBytes is the encoded size of a key.
const KeyBytes = 12

func appendKey(b []byte, k segment.Key) []byte {
	b = append(b, k.CallerIP[:]...)
	b = append(b, k.ServiceIP[:]...)
	b = binary.LittleEndian.AppendUint16(b, k.CallerPort)

	return binary.LittleEndian.AppendUint16(b, k.ServicePort)
}

// decodeKey decodes a key from b, which must hold at least KeyBytes.
func decodeKey(b []byte) segment.Key {
	return segment.Key{
		CallerIP:    [4]byte(b),
		ServiceIP:   [4]byte(b[4:]),
		CallerPort:  binary.LittleEndian.Uint16(b[8:]),
		ServicePort: binary.LittleEndian.Uint16(b[10:]),
	}
}

// appendBody encodes what follows the header: addresses and a packet, a list of keys, or a part
// of a flow table.
func (m *Message) appendBody(b []byte) []byte {
	switch m.Kind {
	case FindMany, Answers:
		for i, k := range m.Keys {
			b = appendKey(b, k)
			if m.Kind == Answers {
				b = append(b, byte(m.Ownership[i]))
			}
		}

		return b
	case Handover, HandoverOffer, HandoverWanted, HandoverDone, HandoverPart:
		return m.Table.appendBody(m.Kind, b)
	default:
		return append(m.appendAddresses(b), m.Packet...)
	}
}

func (m *Message) decodeBody(b []byte) error {
	m.Packet = nil
	m.Keys = nil
	m.Ownership = nil
	m.Forwards = nil
	m.Origin = netip.AddrPort{}
	size := KeyBytes
	switch m.Kind {
	case FindMany:
	case Answers:
		size++
	case Handover, HandoverOffer, HandoverWanted, HandoverDone, HandoverPart:
		return m.Table.decodeBody(m.Kind, b)
	default:
		packet, err := m.decodeAddresses(b)
		m.Packet = packet

		return err
	}
	if len(b)%size != 0 || len(b)/size > MaxKeys {
		return ErrKeys
	}
	for ; len(b) > 0; b = b[size:] {
		m.Keys = append(m.Keys, decodeKey(b))
		if m.Kind == Answers {
			m.Ownership = append(m.Ownership, Kind(b[KeyBytes]))
		}
	}

	return nil
}
