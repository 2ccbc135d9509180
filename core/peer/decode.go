package peer

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/ticket"
)

// DecodeWire decodes a message that AppendWire encoded. It rejects lists above the
// limits of package mesh, and its result does not alias b. Errors: ErrMalformed,
// ErrKind, ErrField.
func DecodeWire(b []byte) (mesh.Wire, error) {
	var m mesh.Wire

	err := eachField(b, func(f field) error {
		if m != nil {
			return ErrField
		}
		var err error
		m, err = decodeMessage(f)

		return err
	})
	if err != nil {
		return nil, err
	}
	if m == nil {
		return nil, ErrKind
	}

	return m, nil
}

// decodeMessage decodes the only field of a Wire message.
func decodeMessage(f field) (mesh.Wire, error) {
	if f.Kind != protowire.BytesType {
		return nil, ErrKind
	}

	switch f.Number {
	case wireDigest:
		x, err := decodeExchange(f.Bytes)

		return mesh.Digest{
			Nonce:          x.ack.Nonce,
			Status:         x.ack.Status,
			AvailableBytes: x.availableBytes,
			WantPeers:      x.wantPeers,
			Pending:        x.pending,
		}, err
	case wireDigestAck:
		x, err := decodeExchange(f.Bytes)

		x.ack.Has = x.pending

		return x.ack, err
	case wireSummary:
		x, err := decodeExchange(f.Bytes)

		return mesh.Summary{
			Ranges:         x.ack.Ranges,
			AvailableBytes: x.availableBytes,
		}, err
	case wireFetch:
		return decodeFetch(f.Bytes)
	case wireSuspicions:
		return decodeSuspicions(f.Bytes)
	case wireAnnounce, wireBody, wireChunkRequest, wireChunk, wireChunkRefused:
		return decodeTicketMessage(f)
	default:
		return nil, ErrKind
	}
}

func decodeVersion(b []byte) (ticket.Version, error) {
	v := ticket.Version{}
	err := eachField(b, func(f field) error {
		switch f.Number {
		case 1:
			v.Number = f.Value
		case 2:
			v.Hash = f.Value
		}

		return nil
	})

	return v, err
}

func decodeNode(b []byte) (mesh.Node, error) {
	n := mesh.Node{}
	err := eachField(b, func(f field) error {
		var err error
		switch f.Number {
		case 1:
			n.Addr, err = f.addrPort()
		case 2:
			if len(f.Bytes) > MaxZoneBytes {
				return ErrField
			}
			n.Zone = string(f.Bytes)
		case 3:
			if f.Value > uint64(mesh.RoleAgent) {
				return ErrField
			}
			n.Role = mesh.Role(f.Value)
		case 4:
			n.Incarnation = f.Value
		}

		return err
	})

	return n, err
}

func decodeStatus(b []byte) (mesh.Status, error) {
	s := mesh.Status{}
	err := eachField(b, func(f field) error {
		var err error
		switch f.Number {
		case 1:
			s.Self, err = decodeNode(f.Bytes)
		case 2:
			s.State.Floor = f.Value
		case 3:
			s.State.Highest = f.Value
		case 4:
			s.State.Hash = f.Value
		case 5:
			s.Confirmed = f.Value != 0
		case 6:
			s.Sample, err = appendDecoded(s.Sample, f, mesh.MaxSample, decodeNode)
		case 7:
			s.Heartbeats, err = appendDecoded(s.Heartbeats, f, mesh.MaxHeartbeats, decodeHeartbeat)
		case 8:
			s.Suspicions, err = appendDecoded(s.Suspicions, f, mesh.MaxSuspicions, decodeSuspicion)
		}

		return err
	})

	return s, err
}

func decodeHeartbeat(b []byte) (mesh.Heartbeat, error) {
	v := mesh.Heartbeat{}
	err := eachField(b, func(f field) error {
		var err error
		switch f.Number {
		case 1:
			v.Addr, err = f.addrPort()
		case 2:
			v.Incarnation = f.Value
		case 3:
			v.Count = f.Value
		}

		return err
	})

	return v, err
}

// exchangeFields are the fields of Digest, DigestAck and Summary, which share their
// field numbers.
type exchangeFields struct {
	ack            mesh.DigestAck
	availableBytes uint32
	wantPeers      bool
	// pending is Pending of a Digest or Has of a DigestAck.
	pending []ticket.Version
}

func decodeExchange(b []byte) (exchangeFields, error) {
	m := exchangeFields{}
	err := eachField(b, func(f field) error {
		var err error
		switch f.Number {
		case 1:
			m.ack.Nonce = f.Value
		case 2:
			m.ack.Status, err = decodeStatus(f.Bytes)
		case 3:
			m.ack.Ranges, err = appendDecoded(m.ack.Ranges, f, mesh.MaxRanges, decodeRange)
		case 4:
			m.availableBytes, err = f.uint32()
		case 5:
			m.wantPeers = f.Value != 0
		case 6:
			m.pending, err = appendDecoded(m.pending, f, mesh.MaxPending, decodeVersion)
		}

		return err
	})

	return m, err
}

func decodeRange(b []byte) (mesh.Range, error) {
	r := mesh.Range{}
	err := eachField(b, func(f field) error {
		var err error
		switch f.Number {
		case 1:
			r.From, err = decodeVersion(f.Bytes)
		case 2:
			r.To, err = decodeVersion(f.Bytes)
		case 3:
			r.Count, err = f.uint32()
		case 4:
			r.Hash = f.Value
		case 5:
			r.List = f.Value != 0
		case 6:
			r.Items, err = appendDecoded(r.Items, f, mesh.MaxItems, decodeVersion)
		}

		return err
	})

	return r, err
}

func decodeFetch(b []byte) (mesh.Fetch, error) {
	m := mesh.Fetch{}
	err := eachField(b, func(f field) error {
		if f.Number != 1 {
			return nil
		}
		var err error
		m.Versions, err = appendDecoded(m.Versions, f, mesh.MaxItems, decodeVersion)

		return err
	})

	return m, err
}

func decodeSuspicions(b []byte) (mesh.Suspicions, error) {
	m := mesh.Suspicions{}
	err := eachField(b, func(f field) error {
		if f.Number != 1 {
			return nil
		}
		var err error
		m.Items, err = appendDecoded(m.Items, f, mesh.MaxSuspicions, decodeSuspicion)

		return err
	})

	return m, err
}

func decodeSuspicion(b []byte) (mesh.Suspicion, error) {
	s := mesh.Suspicion{}
	err := eachField(b, func(f field) error {
		var err error
		switch f.Number {
		case 1:
			s.Target = f.Value
		case 2:
			s.Incarnation = f.Value
		case 3:
			s.Change, err = f.uint32()
		case 4:
			s.Age, err = f.uint32()
		}

		return err
	})

	return s, err
}

// ticketFields are the fields of the messages about one ticket, which share their
// field numbers.
type ticketFields struct {
	version ticket.Version
	// field2 and field3 hold the fields of these numbers, whose meaning depends on
	// the message; see wire.proto.
	field2 uint32
	field3 uint32
	data   []byte
	have   []byte
}

// decodeTicketMessage decodes a message about one ticket.
func decodeTicketMessage(f field) (mesh.Wire, error) {
	t, err := decodeTicketFields(f.Bytes)
	switch f.Number {
	case wireAnnounce:
		return mesh.Announce{
			Version: t.version,
			Size:    t.field2,
			Urgent:  t.field3 != 0,
			Have:    t.have,
		}, err
	case wireBody:
		return mesh.Body{
			Version: t.version,
			Data:    t.data,
		}, err
	case wireChunkRequest:
		indexes, indexErr := decodeIndexes(t.data)

		return mesh.ChunkRequest{
			Version: t.version,
			Indexes: indexes,
		}, cmp.Or(err, indexErr)
	case wireChunk:
		return mesh.Chunk{
			Version: t.version,
			Index:   t.field2,
			Size:    t.field3,
			Data:    t.data,
			Have:    t.have,
		}, err
	default:
		indexes, indexErr := decodeIndexes(t.data)

		return mesh.ChunkRefused{
			Version: t.version,
			Indexes: indexes,
			Gone:    t.field3 != 0,
			Busy:    t.field2 != 0,
			Have:    t.have,
		}, cmp.Or(err, indexErr)
	}
}

// decodeIndexes decodes a list of chunk indexes.
func decodeIndexes(b []byte) ([]uint32, error) {
	indexes := []uint32{}
	for len(b) > 0 {
		v, size := protowire.ConsumeVarint(b)
		if size < 0 {
			return nil, ErrMalformed
		}
		if v > mesh.MaxBodyBytes || len(indexes) >= mesh.MaxIndexes {
			return nil, ErrField
		}
		indexes = append(indexes, uint32(v))
		b = b[size:]
	}

	return indexes, nil
}

func decodeTicketFields(b []byte) (ticketFields, error) {
	t := ticketFields{}
	err := eachField(b, func(f field) error {
		var err error
		switch f.Number {
		case 1:
			t.version, err = decodeVersion(f.Bytes)
		case 2:
			t.field2, err = f.uint32()
		case 3:
			t.field3, err = f.uint32()
		case 4:
			if len(f.Bytes) > mesh.MaxPushBytes {
				return ErrField
			}
			t.data = slices.Clone(f.Bytes)
		case fieldHave:
			if len(f.Bytes) > mesh.MaxHaveBytes {
				return ErrField
			}
			t.have = slices.Clone(f.Bytes)
		}

		return err
	})

	return t, err
}
