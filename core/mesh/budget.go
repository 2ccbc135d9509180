package mesh

import (
	"net/netip"
	"time"
)

// Byte budget of a node, for sent and received bytes together.
const (
	// BudgetRate is in bytes per second.
	BudgetRate = 2048
	// BudgetBurst is 13 s of BudgetRate, in bytes: the time in which a ticket
	// must be in force.
	BudgetBurst = 13 * BudgetRate
	// bulkReserve is left in the bucket by bulk transfers, in bytes, so that a
	// zone-out ticket is not kept back: a round of six pushes costs about 900 B.
	bulkReserve = 2048
	// maxDebt is two seconds of BudgetRate, in bytes.
	maxDebt = 2 * BudgetRate
	// maxQueue bounds the messages that wait for the budget.
	maxQueue = 128
	// queueFor is when a queued message is dropped: exchanges repair it by then.
	queueFor = 2 * time.Second
)

// class orders messages by urgency.
type class uint8

const (
	// classControl is sent whatever the budget: exchanges renew the lease.
	classControl class = iota
	// classSmall waits until the bucket is not empty.
	classSmall
	// classBulk leaves bulkReserve in the bucket.
	classBulk
)

type budget struct {
	tokens float64
	// expected is the cost of the chunks that were asked for, in bytes.
	expected int
	at       time.Duration
	queue    []queued
}

type queued struct {
	send    Send
	expires time.Duration
}

// room returns the number of bytes that bulk transfers may use now.
func (b *budget) room() int {
	return max(0, int(b.tokens)-b.expected-bulkReserve)
}

func (b *budget) refill(now time.Duration) {
	b.tokens += (now - b.at).Seconds() * BudgetRate
	b.tokens = min(b.tokens, BudgetBurst)
	b.at = now
}

// spend takes n bytes. Debt is bounded, so that a flood of received bytes
// can't silence a node for long.
func (b *budget) spend(n int) {
	b.tokens = max(b.tokens-float64(n), -maxDebt)
}

// allows reports whether n bytes of a class may be spent now.
func (b *budget) allows(k class, n int) bool {
	switch k {
	case classControl:
		return true
	case classSmall:
		return b.tokens >= float64(n)
	default:
		return n <= b.room()
	}
}

// send emits a message, or queues it if the budget doesn't allow it yet. It
// reports false for bulk messages that the budget doesn't allow.
func (c *Core) send(k class, to netip.AddrPort, m Wire) bool {
	if !to.IsValid() || to == c.options.Self.Addr {
		return false
	}
	s := Send{
		To:   to,
		Body: m,
	}
	if !c.budget.allows(k, m.Bytes()) {
		return k == classSmall && c.enqueue(s)
	}
	c.emit(s)

	return true
}

func (c *Core) enqueue(s Send) bool {
	if len(c.budget.queue) >= maxQueue {
		c.counters.QueueDropped++

		return false
	}
	c.budget.queue = append(c.budget.queue, queued{
		send:    s,
		expires: c.now + queueFor,
	})

	return true
}

func (c *Core) emit(s Send) {
	n := s.Body.Bytes()
	c.budget.spend(n)
	c.counters.BytesSent += uint64(n)
	c.counters.MessagesSent++
	c.out = append(c.out, s)
}

// flush sends queued messages as far as the budget allows.
func (c *Core) flush() {
	rest := c.budget.queue[:0]
	for _, q := range c.budget.queue {
		switch {
		case c.now >= q.expires:
			c.counters.QueueDropped++
		case len(rest) == 0 && c.budget.allows(classSmall, q.send.Body.Bytes()):
			c.emit(q.send)
		default:
			rest = append(rest, q)
		}
	}
	clear(c.budget.queue[len(rest):])
	c.budget.queue = rest
}
