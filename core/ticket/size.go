package ticket

import (
	"bytes"

	"github.com/klauspost/compress/flate"
)

// MaxFastBytes is the largest compressed ticket that was in force within 13 s at
// all of 4,440 nodes, also with 10% loss (docs/capacity/spread.csv). A node may
// use 2 KB/s for control traffic and both receives and forwards the ticket.
const MaxFastBytes = 4_000

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
