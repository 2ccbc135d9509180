// Package peer is the transport between processes. It carries the messages of
// package mesh in authenticated datagrams, and uses jsonrpc2 over authenticated TCP
// streams for status and for messages that are too long for a datagram. It decides
// which messages are well-formed and authentic, and counts the others as drops.
package peer

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/mesh"
)

// Limits and layout of a datagram. Lengths and offsets are in bytes.
const (
	// MaxDatagramBytes is the length of the longest datagram; longer messages are
	// sent over TCP.
	MaxDatagramBytes = 1200
	// MaxZoneBytes is the length of the longest zone name.
	MaxZoneBytes = 64
	// datagramMagic is the first byte. It differs from that of packet.Tunnel.
	datagramMagic = 0xB2
	// macOffset is the offset of the MAC, which follows the magic byte and the key
	// identifier.
	macOffset = 2
	// senderOffset is the offset of the sender's address, which follows the MAC.
	senderOffset = macOffset + 8
	// minHeaderBytes is the length of a header with an IPv4 sender. The MAC is
	// followed by the length of the sender's IP address, which is 4 or 16, the
	// address and the port.
	minHeaderBytes = senderOffset + 1 + 4 + 2
)

// Sentinel errors of the decoders. Each is the reason of a drop counter.
const (
	ErrMalformed = errors.ConstError("malformed message")
	ErrTooLong   = errors.ConstError("message too long")
	ErrKind      = errors.ConstError("unknown message kind")
	ErrField     = errors.ConstError("message field out of range")
	ErrMAC       = errors.ConstError("authentication failed")
)

// IsDatagram reports whether b starts like a datagram of this package.
func IsDatagram(b []byte) bool {
	return len(b) > 0 && b[0] == datagramMagic
}

// AppendDatagram appends the encoded and signed message to b. From is the address
// at which the sender receives, which may differ from the datagram's source
// address. Error: ErrTooLong.
func AppendDatagram(b []byte, from netip.AddrPort, m mesh.Wire, r *keyring.Keyring) ([]byte, error) {
	start := len(b)
	b = append(b, datagramMagic, r.Signer())
	b = append(b, make([]byte, 8)...)
	ip := from.Addr().AsSlice()
	b = append(b, byte(len(ip)))
	b = append(b, ip...)
	b = binary.BigEndian.AppendUint16(b, from.Port())
	b = AppendWire(b, m)
	if len(b)-start > MaxDatagramBytes {
		return b[:start], ErrTooLong
	}
	mac := datagramMAC(b[start:], r)
	binary.BigEndian.PutUint64(b[start+macOffset:], mac)

	return b, nil
}

// datagramMAC returns the MAC of the datagram b, which covers all but the MAC field.
func datagramMAC(b []byte, r *keyring.Keyring) uint64 {
	signed := make([]byte, 0, MaxDatagramBytes)
	signed = append(signed, b[:macOffset]...)
	signed = append(signed, b[senderOffset:]...)
	mac, _ := r.Sum(keyring.UseDatagram, b[1], signed)

	return mac
}

// DecodeDatagram authenticates and decodes a datagram and returns the message with
// the sender's address. The result does not alias b.
// Errors: ErrMalformed, ErrTooLong, ErrMAC, ErrKind, ErrField.
func DecodeDatagram(b []byte, r *keyring.Keyring) (mesh.Received, error) {
	if len(b) > MaxDatagramBytes {
		return mesh.Received{}, ErrTooLong
	}
	if len(b) < minHeaderBytes || b[0] != datagramMagic {
		return mesh.Received{}, ErrMalformed
	}
	mac := binary.BigEndian.Uint64(b[macOffset:])
	signed := make([]byte, 0, MaxDatagramBytes)
	signed = append(signed, b[:macOffset]...)
	signed = append(signed, b[senderOffset:]...)
	if !r.Verify(keyring.UseDatagram, b[1], signed, mac) {
		return mesh.Received{}, ErrMAC
	}

	from, b, err := decodeSender(b[senderOffset:])
	if err != nil {
		return mesh.Received{}, err
	}
	m, err := DecodeWire(b)
	if err != nil {
		return mesh.Received{}, err
	}

	return mesh.Received{
		From: from,
		Body: m,
	}, nil
}

// decodeSender decodes the sender's address at the start of b and returns it with
// the rest of b.
func decodeSender(b []byte) (netip.AddrPort, []byte, error) {
	n := int(b[0])
	if len(b) < 1+n+2 {
		return netip.AddrPort{}, nil, ErrMalformed
	}
	ip, ok := netip.AddrFromSlice(b[1 : 1+n])
	if !ok {
		return netip.AddrPort{}, nil, ErrField
	}
	port := binary.BigEndian.Uint16(b[1+n:])

	return netip.AddrPortFrom(ip.Unmap(), port), b[1+n+2:], nil
}
