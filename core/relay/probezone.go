package relay

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"
)

// AddressBytes is the encoded size of the address of an entry or an agent.
const AddressBytes = 4 + 2

// maxDatagramBytes is the length of the longest datagram that is not fragmented, without its
// IP and UDP headers.
const maxDatagramBytes = 1500 - 28

// ErrAddresses means that a ProbeZone or a ForwardedProbe has no valid addresses.
const ErrAddresses = errors.ConstError("malformed list of addresses")

// MaxForwards returns the maximum number of agents to which a ProbeZone can ask to pass a packet
// of the given length on.
func MaxForwards(packetBytes int) int {
	return min(255, max(0, maxDatagramBytes-HeaderBytes-1-packetBytes)/AddressBytes)
}

func appendAddress(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As4()

	return binary.LittleEndian.AppendUint16(append(b, ip[:]...), a.Port())
}

// decodeAddress decodes an address from b, which must hold at least AddressBytes.
func decodeAddress(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.LittleEndian.Uint16(b[4:]))
}

func (m *Message) appendAddresses(b []byte) []byte {
	switch m.Kind {
	case ProbeZone:
		b = append(b, byte(len(m.Forwards)))
		for _, a := range m.Forwards {
			b = appendAddress(b, a)
		}
	case ForwardedProbe:
		b = appendAddress(b, m.Origin)
	}

	return b
}

// decodeAddresses decodes Forwards or Origin and returns the rest of the body, the packet. Error:
// ErrAddresses.
func (m *Message) decodeAddresses(b []byte) ([]byte, error) {
	count := 0
	switch m.Kind {
	case ProbeZone:
		if len(b) == 0 {
			return nil, ErrAddresses
		}
		count = int(b[0])
		b = b[1:]
	case ForwardedProbe:
		count = 1
	}
	if len(b) < count*AddressBytes {
		return nil, ErrAddresses
	}
	for range count {
		a := decodeAddress(b)
		b = b[AddressBytes:]
		if m.Kind == ForwardedProbe {
			m.Origin = a
		} else {
			m.Forwards = append(m.Forwards, a)
		}
	}

	return b, nil
}
