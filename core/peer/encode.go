package peer

import (
	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/ticket"
	"ibisfold.example/core/wire"
)

// Field numbers of the message Wire in wire.proto, which documents all messages.
const (
	wireDigest protowire.Number = iota + 1
	wireDigestAck
	wireSummary
	wireFetch
	wireAnnounce
	wireBody
	wireChunkRequest
	wireChunk
	wireChunkRefused
	wireSuspicions
)

// fieldHave is the field number of Have in all messages that carry a set of chunks.
const fieldHave protowire.Number = 5

// AppendWire appends the encoded message to b, without a MAC.
func AppendWire(b []byte, m mesh.Wire) []byte {
	switch m := m.(type) {
	case mesh.Digest:
		v := wire.AppendVarint(encodeExchange(m.Nonce, m.Status, nil), 4, uint64(m.AvailableBytes))
		v = wire.AppendVarint(v, 5, protowire.EncodeBool(m.WantPeers))
		v = appendVersions(v, 6, m.Pending)

		return wire.AppendMessage(b, wireDigest, v)
	case mesh.DigestAck:
		return wire.AppendMessage(b, wireDigestAck, appendVersions(encodeExchange(m.Nonce, m.Status, m.Ranges), 6, m.Has))
	case mesh.Summary:
		return wire.AppendMessage(b, wireSummary, wire.AppendVarint(appendRanges(nil, m.Ranges), 4, uint64(m.AvailableBytes)))
	case mesh.Fetch:
		return wire.AppendMessage(b, wireFetch, appendVersions(nil, 1, m.Versions))
	case mesh.Announce:
		return wire.AppendMessage(b, wireAnnounce, wire.AppendBytes(encodeTicket(m.Version, uint64(m.Size), m.Urgent, nil), fieldHave, m.Have))
	case mesh.Body:
		return wire.AppendMessage(b, wireBody, encodeTicket(m.Version, 0, false, m.Data))
	case mesh.ChunkRequest:
		return wire.AppendMessage(b, wireChunkRequest, encodeTicket(m.Version, 0, false, encodeIndexes(m.Indexes)))
	case mesh.Chunk:
		return wire.AppendMessage(b, wireChunk, encodeChunk(m))
	case mesh.ChunkRefused:
		return wire.AppendMessage(b, wireChunkRefused, encodeChunkRefused(m))
	case mesh.Suspicions:
		return wire.AppendMessage(b, wireSuspicions, appendSuspicions(nil, 1, m.Items))
	default:
		return b
	}
}

func encodeVersion(v ticket.Version) []byte {
	b := wire.AppendVarint(nil, 1, v.Number)

	return wire.AppendFixed(b, 2, v.Hash)
}

func appendVersions(b []byte, n protowire.Number, versions []ticket.Version) []byte {
	for _, v := range versions {
		b = wire.AppendMessage(b, n, encodeVersion(v))
	}

	return b
}

func encodeNode(n mesh.Node) []byte {
	b := appendAddrPort(nil, 1, n.Addr)
	b = wire.AppendBytes(b, 2, []byte(n.Zone))
	b = wire.AppendVarint(b, 3, uint64(n.Role))

	return wire.AppendFixed(b, 4, n.Incarnation)
}

func encodeStatus(s mesh.Status) []byte {
	b := wire.AppendMessage(nil, 1, encodeNode(s.Self))
	b = wire.AppendVarint(b, 2, s.State.Floor)
	b = wire.AppendVarint(b, 3, s.State.Highest)
	b = wire.AppendFixed(b, 4, s.State.Hash)
	b = wire.AppendVarint(b, 5, protowire.EncodeBool(s.Confirmed))
	for _, n := range s.Sample {
		b = wire.AppendMessage(b, 6, encodeNode(n))
	}
	for _, v := range s.Heartbeats {
		b = wire.AppendMessage(b, 7, encodeHeartbeat(v))
	}

	return appendSuspicions(b, 8, s.Suspicions)
}

func encodeHeartbeat(v mesh.Heartbeat) []byte {
	b := appendAddrPort(nil, 1, v.Addr)
	b = wire.AppendFixed(b, 2, v.Incarnation)

	return wire.AppendVarint(b, 3, v.Count)
}

// encodeExchange encodes the fields that Digest and DigestAck have in common.
func encodeExchange(nonce uint64, s mesh.Status, ranges []mesh.Range) []byte {
	b := wire.AppendFixed(nil, 1, nonce)
	b = wire.AppendMessage(b, 2, encodeStatus(s))

	return appendRanges(b, ranges)
}

func appendRanges(b []byte, ranges []mesh.Range) []byte {
	for _, r := range ranges {
		v := wire.AppendMessage(nil, 1, encodeVersion(r.From))
		v = wire.AppendMessage(v, 2, encodeVersion(r.To))
		v = wire.AppendVarint(v, 3, uint64(r.Count))
		v = wire.AppendFixed(v, 4, r.Hash)
		v = wire.AppendVarint(v, 5, protowire.EncodeBool(r.List))
		v = appendVersions(v, 6, r.Items)
		b = wire.AppendMessage(b, 3, v)
	}

	return b
}

// encodeTicket encodes a message about one ticket whose second and third field are a
// number and a flag.
func encodeTicket(v ticket.Version, number uint64, flag bool, data []byte) []byte {
	b := wire.AppendMessage(nil, 1, encodeVersion(v))
	b = wire.AppendVarint(b, 2, number)
	b = wire.AppendVarint(b, 3, protowire.EncodeBool(flag))

	return wire.AppendBytes(b, 4, data)
}

func encodeIndexes(indexes []uint32) []byte {
	b := []byte{}
	for _, i := range indexes {
		b = protowire.AppendVarint(b, uint64(i))
	}

	return b
}

func encodeChunk(m mesh.Chunk) []byte {
	b := wire.AppendMessage(nil, 1, encodeVersion(m.Version))
	b = wire.AppendVarint(b, 2, uint64(m.Index))
	b = wire.AppendVarint(b, 3, uint64(m.Size))

	b = wire.AppendBytes(b, 4, m.Data)

	return wire.AppendBytes(b, fieldHave, m.Have)
}

func encodeChunkRefused(m mesh.ChunkRefused) []byte {
	b := encodeTicket(m.Version, protowire.EncodeBool(m.Busy), m.Gone, encodeIndexes(m.Indexes))

	return wire.AppendBytes(b, fieldHave, m.Have)
}

func appendSuspicions(b []byte, n protowire.Number, items []mesh.Suspicion) []byte {
	for _, s := range items {
		v := wire.AppendFixed(nil, 1, s.Target)
		v = wire.AppendFixed(v, 2, s.Incarnation)
		v = wire.AppendVarint(v, 3, uint64(s.Change))
		v = wire.AppendVarint(v, 4, uint64(s.Age))
		b = wire.AppendMessage(b, n, v)
	}

	return b
}
