package peer

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/wire"
)

// field adds the decoders of this package to a field of a message.
type field struct {
	wire.Field
}

// eachField calls f for each field of b and stops at the first error. Fields of
// types that this package does not use have neither Value nor Bytes. Errors:
// ErrMalformed and those of f.
func eachField(b []byte, f func(field) error) error {
	return wire.Fields(b, ErrMalformed, func(v wire.Field) error {
		return f(field{
			Field: v,
		})
	})
}

func (f field) uint32() (uint32, error) {
	if f.Value > 1<<32-1 {
		return 0, ErrField
	}

	return uint32(f.Value), nil
}

func (f field) addrPort() (netip.AddrPort, error) {
	a := netip.AddrPort{}
	if err := a.UnmarshalBinary(f.Bytes); err != nil || a.Addr().Zone() != "" || !a.IsValid() {
		return a, ErrField
	}

	return a, nil
}

// appendDecoded appends the value that decode returns for f to a list of at most
// limit values. Errors: ErrField and those of decode.
func appendDecoded[T any](s []T, f field, limit int, decode func([]byte) (T, error)) ([]T, error) {
	if len(s) >= limit {
		return s, ErrField
	}
	v, err := decode(f.Bytes)

	return append(s, v), err
}

// appendAddrPort appends an address field unless a is invalid.
func appendAddrPort(b []byte, n protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return b
	}
	v, _ := a.MarshalBinary()

	return wire.AppendBytes(b, n, v)
}
