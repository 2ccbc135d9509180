// Package peer is the transport between processes: authenticated datagrams for
// the messages of package mesh, and jsonrpc2 over TCP for status and for
// messages that are too big for a datagram.
package peer

import (
	"encoding/binary"
	"net/netip"

	"github.com/juju/errors"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/mesh"
)

// Limits of datagrams.
const (
	// MaxDatagramBytes is the longest datagram; longer messages go over TCP.
	MaxDatagramBytes = 1200
	// MaxZoneBytes is the longest zone name.
	MaxZoneBytes = 64
	// datagramMark is the first byte; packet.IsTunnel has another one.
	datagramMark = 0xB2
	macStart     = 2
	// senderStart is after the mark, the key identifier and the MAC.
	senderStart = macStart + 8
	// datagramHeader is the shortest header: after the MAC follow the length of
	// the sender's IP address in bytes, which is 4 or 16, the address and the port.
	datagramHeader = senderStart + 1 + 4 + 2
)

// Sentinel errors of the datagram codec. Each names a reason for a drop counter.
const (
	ErrMalformed = errors.ConstError("malformed message")
	ErrTooLong   = errors.ConstError("message too long")
	ErrKind      = errors.ConstError("unknown message kind")
	ErrField     = errors.ConstError("message field out of range")
	ErrMAC       = errors.ConstError("authentication failed")
)

// IsDatagram reports whether b starts like a datagram of this package.
func IsDatagram(b []byte) bool {
	return len(b) > 0 && b[0] == datagramMark
}

// AppendDatagram appends the encoded and signed message to b. From is the
// address at which the sender receives, which may differ from the address that
// the datagram leaves from. Error: ErrTooLong.
func AppendDatagram(b []byte, from netip.AddrPort, m mesh.Wire, r *keyring.Keyring) ([]byte, error) {
	start := len(b)
	b = append(b, datagramMark, r.Signer())
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
	binary.BigEndian.PutUint64(b[start+macStart:], mac)

	return b, nil
}

// datagramMAC covers the mark, the key identifier, the sender and the message.
func datagramMAC(b []byte, r *keyring.Keyring) uint64 {
	signed := make([]byte, 0, MaxDatagramBytes)
	signed = append(signed, b[:macStart]...)
	signed = append(signed, b[senderStart:]...)
	mac, _ := r.Sum(keyring.UseDatagram, b[1], signed)

	return mac
}

// DecodeDatagram checks and decodes a datagram and returns the sender's address
// with the message. The message doesn't alias b.
// Errors: ErrMalformed, ErrTooLong, ErrMAC, ErrKind, ErrField.
func DecodeDatagram(b []byte, r *keyring.Keyring) (mesh.Received, error) {
	if len(b) > MaxDatagramBytes {
		return mesh.Received{}, ErrTooLong
	}
	if len(b) < datagramHeader || b[0] != datagramMark {
		return mesh.Received{}, ErrMalformed
	}
	mac := binary.BigEndian.Uint64(b[macStart:])
	signed := make([]byte, 0, MaxDatagramBytes)
	signed = append(signed, b[:macStart]...)
	signed = append(signed, b[senderStart:]...)
	if !r.Verify(keyring.UseDatagram, b[1], signed, mac) {
		return mesh.Received{}, ErrMAC
	}

	from, b, err := decodeSender(b[senderStart:])
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

// decodeSender reads the sender's address at the start of b and returns the rest.
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
