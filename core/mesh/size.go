package mesh

import (
	"math/bits"
	"net/netip"

	"ibisfold.example/core/ticket"
)

// Sizes on the wire in bytes. They are close upper bounds of what package peer
// encodes, because the core must account for bytes without the codec.
const (
	// headerBytes is the sum of IPv4, UDP, first byte, key identifier, MAC, the
	// sender's IPv4 address, kind and length.
	headerBytes = 20 + 8 + 10 + 7 + 3
	// fixed64Bytes is the length of a tag and a 64-bit value.
	fixed64Bytes = 9
)

// varintBytes returns the length of a tag and a varint; zero is not encoded.
func varintBytes(v uint64) int {
	if v == 0 {
		return 0
	}

	return 1 + (bits.Len64(v)+6)/7
}

func addrBytes(a netip.AddrPort) int {
	switch {
	case !a.IsValid():
		return 0
	case a.Addr().Is4():
		return 8
	default:
		return 20
	}
}

func nodeBytes(n Node) int {
	return 6 + addrBytes(n.Addr) + len(n.Zone) + fixed64Bytes
}

func versionBytes(v ticket.Version) int {
	n := 2 + varintBytes(v.Number)
	if v.Hash != 0 {
		n += fixed64Bytes
	}

	return n
}

// indexesBytes returns the length of a packed list of varints.
func indexesBytes(indexes []uint32) int {
	n := 2
	for _, i := range indexes {
		n += max(1, varintBytes(uint64(i))-1)
	}

	return n
}

func versionsBytes(versions []ticket.Version) int {
	n := 0
	for _, v := range versions {
		n += versionBytes(v)
	}

	return n
}

func (s Status) bytes() int {
	n := 4 + nodeBytes(s.Self) + varintBytes(s.State.Floor) + varintBytes(s.State.Highest) + fixed64Bytes + 2
	for _, v := range s.Sample {
		n += nodeBytes(v)
	}
	for _, v := range s.Heartbeats {
		n += 2 + addrBytes(v.Addr) + fixed64Bytes + varintBytes(v.Count)
	}

	return n + suspicionsBytes(s.Suspicions)
}

func suspicionsBytes(suspicions []Suspicion) int {
	n := 0
	for _, s := range suspicions {
		n += 2 + 2*fixed64Bytes + varintBytes(uint64(s.Change)) + varintBytes(uint64(s.Age))
	}

	return n
}

func rangesBytes(ranges []Range) int {
	n := 0
	for _, r := range ranges {
		n += r.bytes()
	}

	return n
}

func (r Range) bytes() int {
	n := 3 + versionBytes(r.From) + versionBytes(r.To) + varintBytes(uint64(r.Count)) + fixed64Bytes + 2

	return n + versionsBytes(r.Items)
}

// Bytes returns the length of the message with all headers.
func (m Digest) Bytes() int {
	return headerBytes + fixed64Bytes + m.Status.bytes() + varintBytes(uint64(m.AvailableBytes)) + 2 + versionsBytes(m.Pending)
}

// Bytes returns the length of the message with all headers.
func (m DigestAck) Bytes() int {
	return headerBytes + fixed64Bytes + m.Status.bytes() + rangesBytes(m.Ranges) + versionsBytes(m.Has)
}

// Bytes returns the length of the message with all headers.
func (m Summary) Bytes() int {
	return headerBytes + rangesBytes(m.Ranges) + varintBytes(uint64(m.AvailableBytes))
}

// Bytes returns the length of the message with all headers.
func (m Fetch) Bytes() int { return headerBytes + versionsBytes(m.Versions) }

// Bytes returns the length of the message with all headers.
func (m Announce) Bytes() int {
	return headerBytes + versionBytes(m.Version) + varintBytes(uint64(m.Size)) + 4 + len(m.Have)
}

// Bytes returns the length of the message with all headers.
func (m Body) Bytes() int { return headerBytes + versionBytes(m.Version) + 3 + len(m.Data) }

// Bytes returns the length of the message with all headers.
func (m ChunkRequest) Bytes() int {
	return headerBytes + versionBytes(m.Version) + indexesBytes(m.Indexes)
}

// Bytes returns the length of the message with all headers.
func (m Chunk) Bytes() int {
	return headerBytes + versionBytes(m.Version) + varintBytes(uint64(m.Index)) +
		varintBytes(uint64(m.Size)) + 5 + len(m.Data) + len(m.Have)
}

// Bytes returns the length of the message with all headers.
func (m ChunkRefused) Bytes() int {
	return headerBytes + versionBytes(m.Version) + indexesBytes(m.Indexes) + 6 + len(m.Have)
}

// Bytes returns the length of the message with all headers.
func (m Suspicions) Bytes() int { return headerBytes + suspicionsBytes(m.Items) }
