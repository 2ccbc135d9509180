package peer

import (
	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/ticket"
)

// Field numbers of Wire; wire.proto documents all messages.
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
	wireRumours
)

// fieldHave is the field of the messages that carry a set of chunks.
const fieldHave protowire.Number = 5

// AppendWire appends the encoded message to b, without authentication.
func AppendWire(b []byte, m mesh.Wire) []byte {
	switch m := m.(type) {
	case mesh.Digest:
		v := appendVarint(encodeExchange(m.Nonce, m.Status, nil), 4, uint64(m.Room))
		v = appendVarint(v, 5, protowire.EncodeBool(m.Sparse))
		v = appendVersions(v, 6, m.Pending)

		return appendMessage(b, wireDigest, v)
	case mesh.DigestAck:
		return appendMessage(b, wireDigestAck, appendVersions(encodeExchange(m.Nonce, m.Status, m.Parts), 6, m.Has))
	case mesh.Summary:
		return appendMessage(b, wireSummary, appendVarint(appendParts(nil, m.Parts), 4, uint64(m.Room)))
	case mesh.Fetch:
		return appendMessage(b, wireFetch, appendVersions(nil, 1, m.Versions))
	case mesh.Announce:
		return appendMessage(b, wireAnnounce, appendBytes(encodeTicket(m.Version, uint64(m.Size), m.Urgent, nil), fieldHave, m.Have))
	case mesh.Body:
		return appendMessage(b, wireBody, encodeTicket(m.Version, 0, false, m.Data))
	case mesh.ChunkRequest:
		return appendMessage(b, wireChunkRequest, encodeTicket(m.Version, 0, false, encodeIndexes(m.Indexes)))
	case mesh.Chunk:
		return appendMessage(b, wireChunk, encodeChunk(m))
	case mesh.ChunkRefused:
		return appendMessage(b, wireChunkRefused, encodeRefused(m))
	case mesh.Rumours:
		return appendMessage(b, wireRumours, appendRumours(nil, 1, m.Items))
	default:
		return b
	}
}

func encodeVersion(v ticket.Version) []byte {
	b := appendVarint(nil, 1, v.Number)

	return appendFixed(b, 2, v.Hash)
}

func appendVersions(b []byte, n protowire.Number, versions []ticket.Version) []byte {
	for _, v := range versions {
		b = appendMessage(b, n, encodeVersion(v))
	}

	return b
}

func encodeNode(n mesh.Node) []byte {
	b := appendAddrPort(nil, 1, n.Addr)
	b = appendBytes(b, 2, []byte(n.Zone))
	b = appendVarint(b, 3, uint64(n.Role))

	return appendFixed(b, 4, n.Incarnation)
}

func encodeStatus(s mesh.Status) []byte {
	b := appendMessage(nil, 1, encodeNode(s.Self))
	b = appendVarint(b, 2, s.State.Floor)
	b = appendVarint(b, 3, s.State.Highest)
	b = appendFixed(b, 4, s.State.Hash)
	b = appendVarint(b, 5, protowire.EncodeBool(s.Confirmed))
	for _, n := range s.Sample {
		b = appendMessage(b, 6, encodeNode(n))
	}
	for _, v := range s.Beats {
		b = appendMessage(b, 7, encodeBeat(v))
	}

	return appendRumours(b, 8, s.Rumours)
}

func encodeBeat(v mesh.Beat) []byte {
	b := appendAddrPort(nil, 1, v.Addr)
	b = appendFixed(b, 2, v.Incarnation)

	return appendVarint(b, 3, v.Count)
}

func encodeExchange(nonce uint64, s mesh.Status, parts []mesh.Part) []byte {
	b := appendFixed(nil, 1, nonce)
	b = appendMessage(b, 2, encodeStatus(s))

	return appendParts(b, parts)
}

func appendParts(b []byte, parts []mesh.Part) []byte {
	for _, p := range parts {
		v := appendMessage(nil, 1, encodeVersion(p.From))
		v = appendMessage(v, 2, encodeVersion(p.To))
		v = appendVarint(v, 3, uint64(p.Count))
		v = appendFixed(v, 4, p.Hash)
		v = appendVarint(v, 5, protowire.EncodeBool(p.List))
		v = appendVersions(v, 6, p.Items)
		b = appendMessage(b, 3, v)
	}

	return b
}

// encodeTicket encodes the messages that name a ticket, a number and a flag.
func encodeTicket(v ticket.Version, number uint64, flag bool, data []byte) []byte {
	b := appendMessage(nil, 1, encodeVersion(v))
	b = appendVarint(b, 2, number)
	b = appendVarint(b, 3, protowire.EncodeBool(flag))

	return appendBytes(b, 4, data)
}

func encodeIndexes(indexes []uint32) []byte {
	b := []byte{}
	for _, i := range indexes {
		b = protowire.AppendVarint(b, uint64(i))
	}

	return b
}

func encodeChunk(m mesh.Chunk) []byte {
	b := appendMessage(nil, 1, encodeVersion(m.Version))
	b = appendVarint(b, 2, uint64(m.Index))
	b = appendVarint(b, 3, uint64(m.Size))

	b = appendBytes(b, 4, m.Data)

	return appendBytes(b, fieldHave, m.Have)
}

func encodeRefused(m mesh.ChunkRefused) []byte {
	b := encodeTicket(m.Version, protowire.EncodeBool(m.Busy), m.Gone, encodeIndexes(m.Indexes))

	return appendBytes(b, fieldHave, m.Have)
}

func appendRumours(b []byte, n protowire.Number, items []mesh.Rumour) []byte {
	for _, r := range items {
		v := appendFixed(nil, 1, r.Target)
		v = appendFixed(v, 2, r.Incarnation)
		v = appendVarint(v, 3, uint64(r.Change))
		v = appendVarint(v, 4, uint64(r.Age))
		b = appendMessage(b, n, v)
	}

	return b
}
