package peer

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/wire"
)

// field is one decoded field of a message; value holds varints and fixed64s.
type field struct {
	number protowire.Number
	kind   protowire.Type
	value  uint64
	bytes  []byte
}

// fields calls f for each field of b. Fields of unknown types are skipped.
func fields(b []byte, f func(field) error) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return ErrMalformed
		}
		b = b[size:]

		v := field{
			number: n,
			kind:   t,
		}
		switch t {
		case protowire.VarintType:
			v.value, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v.value, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			v.bytes, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, t, b)
		}
		if size < 0 {
			return ErrMalformed
		}
		b = b[size:]
		if err := f(v); err != nil {
			return err
		}
	}

	return nil
}

func (f field) uint32() (uint32, error) {
	if f.value > 1<<32-1 {
		return 0, ErrField
	}

	return uint32(f.value), nil
}

func (f field) addrPort() (netip.AddrPort, error) {
	a := netip.AddrPort{}
	if err := a.UnmarshalBinary(f.bytes); err != nil || a.Addr().Zone() != "" || !a.IsValid() {
		return a, ErrField
	}

	return a, nil
}

// list appends the value that decode reads from f, up to a limit.
func list[T any](s []T, f field, limit int, decode func([]byte) (T, error)) ([]T, error) {
	if len(s) >= limit {
		return s, ErrField
	}
	v, err := decode(f.bytes)

	return append(s, v), err
}

func appendAddrPort(b []byte, n protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return b
	}
	v, _ := a.MarshalBinary()

	return wire.AppendBytes(b, n, v)
}
