package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout of a packet head, as the users' pages give it. All values are little-endian.
const (
	headBytes  = 32
	flagACK    = 4
	flagRST    = 8
	flagFIN    = 16
	flagBounce = 64
	flagSYN    = 128
)

// packet is a decoded packet of a flow.
type packet struct {
	seq, ack, sum uint32
	src, dst      netip.AddrPort
	flags         byte
	data          []byte
}

func putAddr(b []byte, a netip.Addr) {
	ip := a.As4()
	b[0], b[1], b[2], b[3] = ip[3], ip[2], ip[1], ip[0]
}

func getAddr(b []byte) netip.Addr {
	return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]})
}

// encode returns the bytes of the packet.
func (p *packet) encode() []byte {
	b := make([]byte, headBytes+len(p.data))
	binary.LittleEndian.PutUint16(b, uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[2:], p.seq)
	binary.LittleEndian.PutUint32(b[6:], p.ack)
	binary.LittleEndian.PutUint32(b[14:], p.sum)
	binary.LittleEndian.PutUint16(b[18:], p.src.Port())
	binary.LittleEndian.PutUint16(b[20:], p.dst.Port())
	putAddr(b[22:], p.dst.Addr())
	putAddr(b[26:], p.src.Addr())
	b[30] = p.flags
	copy(b[headBytes:], p.data)

	return b
}

// decode parses a packet. It reports false for bytes that are none.
func decode(b []byte) (packet, bool) {
	if len(b) < headBytes || int(binary.LittleEndian.Uint16(b)) != len(b)-headBytes {
		return packet{}, false
	}

	return packet{
		seq:   binary.LittleEndian.Uint32(b[2:]),
		ack:   binary.LittleEndian.Uint32(b[6:]),
		sum:   binary.LittleEndian.Uint32(b[14:]),
		src:   netip.AddrPortFrom(getAddr(b[26:]), binary.LittleEndian.Uint16(b[18:])),
		dst:   netip.AddrPortFrom(getAddr(b[22:]), binary.LittleEndian.Uint16(b[20:])),
		flags: b[30],
		data:  append([]byte{}, b[headBytes:]...),
	}, true
}
