package ticket

import (
	"bytes"

	"github.com/klauspost/compress/flate"
)

// MaxFastBytes is the largest compressed ticket that is in force everywhere
// within 13 s. A node may use 2 KB/s for control traffic, which is 26 KB in
// 13 s, and each node both receives and forwards the ticket.
const MaxFastBytes = 13_000

// CompressedBytes returns the length of text as processes send it to each
// other: DEFLATE at its highest level.
func CompressedBytes(text []byte) int {
	b := &bytes.Buffer{}
	w, err := flate.NewWriter(b, flate.BestCompression)
	if err != nil {
		return len(text)
	}
	// Writes to a buffer do not fail.
	_, _ = w.Write(text)
	_ = w.Close()

	return b.Len()
}
