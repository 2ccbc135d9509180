// Package wire encodes and decodes fields in the wire format of protocol buffers. As in
// proto3, fields with the zero value are omitted.
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

// AppendFixed appends a fixed-size integer field of 8 bytes.
func AppendFixed(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.Fixed64Type)

	return protowire.AppendFixed64(b, v)
}

// AppendBytes appends a length-delimited field.
func AppendBytes(b []byte, n protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}

	return AppendMessage(b, n, v)
}

// AppendMessage appends a submessage, even if it is empty, because its presence has a
// meaning.
func AppendMessage(b []byte, n protowire.Number, v []byte) []byte {
	b = protowire.AppendTag(b, n, protowire.BytesType)

	return protowire.AppendBytes(b, v)
}
