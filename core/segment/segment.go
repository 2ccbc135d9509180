// Package segment describes the packets of opaque flows, whose callers and targets are
// unaware of ibisfold. It identifies flows and reads the control fields of their packets;
// only the caller and the target interpret the data.
package segment

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// Flags are the control bits of a packet.
type Flags uint8

// Bits of Flags.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Bounced marks a packet that a target sent back because it can't accept the flow or
	// does not hold it.
	Bounced
)

// Has reports whether all flags in x are set.
func (f Flags) Has(x Flags) bool {
	return f&x == x
}

// String returns the names of the flags that are set, such as "SYN+ACK".
func (f Flags) String() string {
	names := []string{}
	for i, n := range [...]string{"SYN", "ACK", "FIN", "RST", "Bounced"} {
		if f&(1<<i) != 0 {
			names = append(names, n)
		}
	}

	return strings.Join(names, "+")
}

// Segment is the part of a packet that ibisfold reads. Ibisfold forwards the packet without
// changing these fields, except that agents clear Bounced in packets that they return to
// entries.
type Segment struct {
	// Key identifies the flow. It is the same in both directions.
	Key Key
	// FromTarget means that a target sent the packet. It is set by the decoder, not read
	// from the packet.
	FromTarget bool
	Flags      Flags
	Seq        uint32
	// Ack is, in a SYN of a caller, the number of copies that were sent before. In all
	// other packets it is the next sequence number that the sender expects.
	Ack uint32
	// Len is the number of bytes of data.
	Len int
}

// Opens reports whether the packet is a SYN that requests a new flow.
func (s *Segment) Opens() bool {
	return s.Flags&(SYN|ACK) == SYN
}

// Key identifies a flow by the address of the caller and the service address that it
// called.
type Key struct {
	CallerIP    [4]byte
	ServiceIP   [4]byte
	CallerPort  uint16
	ServicePort uint16
}

// KeyOf returns the key of the flow between a caller and a service address. Both must be
// IPv4 addresses.
func KeyOf(caller, service netip.AddrPort) Key {
	return Key{
		CallerIP:    caller.Addr().As4(),
		ServiceIP:   service.Addr().As4(),
		CallerPort:  caller.Port(),
		ServicePort: service.Port(),
	}
}

// Caller returns the address of the caller.
func (k Key) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.CallerIP), k.CallerPort)
}

// Service returns the service address that the caller called.
func (k Key) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.ServiceIP), k.ServicePort)
}

// String returns the flow's ID in logs, such as "100.64.0.7:40001>198.18.0.1:443".
func (k Key) String() string {
	return fmt.Sprintf("%v>%v", k.Caller(), k.Service())
}

// Compare orders keys, so that a set of flows can be processed in a deterministic order.
func (k Key) Compare(o Key) int {
	return cmp.Or(
		bytes.Compare(k.CallerIP[:], o.CallerIP[:]),
		cmp.Compare(k.CallerPort, o.CallerPort),
		bytes.Compare(k.ServiceIP[:], o.ServiceIP[:]),
		cmp.Compare(k.ServicePort, o.ServicePort),
	)
}

// SortedKeys returns the keys of m in the order of Compare.
func SortedKeys[V any](m map[Key]V) []Key {
	return slices.SortedFunc(maps.Keys(m), Key.Compare)
}

// Hash returns a hash that distributes flows evenly over 64 bits.
func (k Key) Hash() uint64 {
	a := binary.LittleEndian.Uint32(k.CallerIP[:])
	b := binary.LittleEndian.Uint32(k.ServiceIP[:])

	return Mix(Mix(uint64(a)<<32|uint64(b)) + uint64(k.CallerPort)<<16 + uint64(k.ServicePort))
}

// Mix is the finalizer of SplitMix64: every input bit changes every output bit.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb

	return x ^ x>>31
}
