package steer

import "time"

const (
	// budgetBurst is the part of a second's share that may be sent at once.
	budgetBurst = 0.5
	// defaultLink is the speed of a link that is not known, in bytes a second.
	defaultLink = 10_000_000 / 8
)

// budget bounds the bytes of one kind of message on the entry's link. It is a token
// bucket that starts full.
type budget struct {
	// rate is in bytes a second.
	rate   float64
	tokens float64
	at     time.Duration
}

// newBudget returns a share of a link, whose rate is in bytes a second; zero if it is
// not known.
func newBudget(now time.Duration, link int, share float64) budget {
	if link == 0 {
		link = defaultLink
	}
	rate := float64(link) * share

	return budget{
		rate:   rate,
		tokens: rate * budgetBurst,
		at:     now,
	}
}

// give takes back what was taken and not sent.
func (b *budget) give(bytes int) {
	b.tokens = min(b.rate*budgetBurst, b.tokens+float64(bytes))
}

// take reports whether so many bytes may be sent now, and counts them if they may. More
// than the burst may be sent once the budget is full.
func (b *budget) take(now time.Duration, bytes int) bool {
	burst := b.rate * budgetBurst
	b.tokens = min(burst, b.tokens+b.rate*(now-b.at).Seconds())
	b.at = now
	if float64(bytes) > b.tokens && b.tokens < burst {
		return false
	}
	b.tokens -= float64(bytes)

	return true
}
