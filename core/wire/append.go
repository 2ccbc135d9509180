// Package wire appends fields in the wire format of protocol buffers. Fields
// with the zero value are left out, as the format has it.
package wire

import "google.golang.org/protobuf/encoding/protowire"

// AppendVarint appends an integer field.
func AppendVarint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.VarintType)

	return protowire.AppendVarint(b, v)
}

// AppendFixed appends an integer field of 8 bytes.
func AppendFixed(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.Fixed64Type)

	return protowire.AppendFixed64(b, v)
}

// AppendBytes appends a field of bytes.
func AppendBytes(b []byte, n protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}

	return AppendMessage(b, n, v)
}

// AppendMessage appends v even if it is empty, because its presence counts.
func AppendMessage(b []byte, n protowire.Number, v []byte) []byte {
	b = protowire.AppendTag(b, n, protowire.BytesType)

	return protowire.AppendBytes(b, v)
}
