package ticket

import (
	"sync"

	"github.com/klauspost/compress/zstd"
)

// MaxFastBytes is the largest compressed ticket that is in force everywhere
// within 13 s. A node may use 2 KB/s for control traffic, which is 26 KB in
// 13 s, and each node both receives and forwards the ticket.
const MaxFastBytes = 13_000

var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
})

// CompressedBytes returns the length of text compressed with zstd.
func CompressedBytes(text []byte) int {
	e, err := encoder()
	if err != nil {
		return len(text)
	}

	return len(e.EncodeAll(text, nil))
}
