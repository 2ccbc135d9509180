package packet

import (
	"encoding/binary"
	"net/netip"
)

// addrPortBytes is the length of an encoded address in bytes: 16 bytes of IP
// address, with IPv4 in its mapped form, and 2 bytes of port.
const addrPortBytes = 18

func appendAddrPort(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	b = append(b, ip[:]...)

	return binary.BigEndian.AppendUint16(b, a.Port())
}

// decodeAddrPort decodes the address at the start of b, which must hold at least
// addrPortBytes.
func decodeAddrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	port := binary.BigEndian.Uint16(b[16:addrPortBytes])

	return netip.AddrPortFrom(ip, port)
}
