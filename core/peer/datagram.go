// Package peer is the transport between processes: authenticated datagrams for
// the messages of package mesh, and jsonrpc2 over TCP for status and for
// messages that are too big for a datagram.
package peer

import (
	"encoding/binary"

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
	// datagramHeader is the mark, the key identifier and the MAC.
	datagramHeader = macStart + 8
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

// AppendDatagram appends the encoded and signed message to b. Error: ErrTooLong.
func AppendDatagram(b []byte, m mesh.Wire, r *keyring.Keyring) ([]byte, error) {
	start := len(b)
	b = append(b, datagramMark, r.Signer())
	b = append(b, make([]byte, 8)...)
	b = AppendWire(b, m)
	if len(b)-start > MaxDatagramBytes {
		return b[:start], ErrTooLong
	}
	mac := datagramMAC(b[start:], r)
	binary.BigEndian.PutUint64(b[start+macStart:], mac)

	return b, nil
}

// datagramMAC covers the mark, the key identifier and the message.
func datagramMAC(b []byte, r *keyring.Keyring) uint64 {
	signed := make([]byte, 0, MaxDatagramBytes)
	signed = append(signed, b[:macStart]...)
	signed = append(signed, b[datagramHeader:]...)
	mac, _ := r.Sum(keyring.UseDatagram, b[1], signed)

	return mac
}

// DecodeDatagram checks and decodes a datagram. The message doesn't alias b.
// Errors: ErrMalformed, ErrTooLong, ErrMAC, ErrKind, ErrField.
func DecodeDatagram(b []byte, r *keyring.Keyring) (mesh.Wire, error) {
	if len(b) > MaxDatagramBytes {
		return nil, ErrTooLong
	}
	if len(b) < datagramHeader || b[0] != datagramMark {
		return nil, ErrMalformed
	}
	signed := make([]byte, 0, MaxDatagramBytes)
	signed = append(signed, b[:macStart]...)
	signed = append(signed, b[datagramHeader:]...)
	if !r.Verify(keyring.UseDatagram, b[1], signed, binary.BigEndian.Uint64(b[macStart:])) {
		return nil, ErrMAC
	}

	return DecodeWire(b[datagramHeader:])
}
