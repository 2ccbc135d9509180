package wire

import "google.golang.org/protobuf/encoding/protowire"

// Field is one decoded field of a message. Bytes aliases the message.
type Field struct {
	Number protowire.Number
	Kind   protowire.Type
	// Value is set for varints and fixed-size integers of 8 bytes.
	Value uint64
	Bytes []byte
}

// Fields calls f for each field of b and stops at the first error, which it returns. Fields
// of types other than varint, 8-byte integer and length-delimited have neither Value nor
// Bytes. If b is not a valid message, Fields returns the error malformed.
func Fields(b []byte, malformed error, f func(Field) error) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return malformed
		}
		b = b[size:]

		v := Field{
			Number: n,
			Kind:   t,
		}
		switch t {
		case protowire.VarintType:
			v.Value, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v.Value, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			v.Bytes, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, t, b)
		}
		if size < 0 {
			return malformed
		}
		b = b[size:]
		if err := f(v); err != nil {
			return err
		}
	}

	return nil
}
