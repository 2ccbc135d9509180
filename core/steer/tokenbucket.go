package steer

import "time"

const (
	// burstSeconds is the time, in seconds, in which an empty bucket fills; it determines
	// the bucket's capacity.
	burstSeconds = 0.5
	// defaultLinkRate is the assumed rate of a link whose rate is not known, in bytes per
	// second.
	defaultLinkRate = 10_000_000 / 8
)

// tokenBucket limits the bytes per second of one kind of message on the entry's link. It
// starts full.
type tokenBucket struct {
	// rate is in bytes per second.
	rate    float64
	tokens  float64
	updated time.Duration
}

// newTokenBucket returns a bucket for a share of a link. The link's rate is in bytes per
// second; zero if it is not known.
func newTokenBucket(now time.Duration, link int, share float64) tokenBucket {
	if link == 0 {
		link = defaultLinkRate
	}
	rate := float64(link) * share

	return tokenBucket{
		rate:    rate,
		tokens:  rate * burstSeconds,
		updated: now,
	}
}

// refund returns tokens that were taken for bytes that were not sent.
func (b *tokenBucket) refund(bytes int) {
	b.tokens = min(b.rate*burstSeconds, b.tokens+float64(bytes))
}

// take reports whether so many bytes may be sent now, and takes their tokens if so. A full
// bucket admits a message that is larger than its capacity.
func (b *tokenBucket) take(now time.Duration, bytes int) bool {
	burst := b.rate * burstSeconds
	b.tokens = min(burst, b.tokens+b.rate*(now-b.updated).Seconds())
	b.updated = now
	if float64(bytes) > b.tokens && b.tokens < burst {
		return false
	}
	b.tokens -= float64(bytes)

	return true
}
