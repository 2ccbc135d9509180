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
	// bulkReserveBytes is left in the bucket by bulk transfers, in bytes, so that a
	// zone-out ticket is not kept back: a round of six pushes costs about 900 B.
	bulkReserveBytes = 2048
	// maxDebtBytes is two seconds of BudgetRate, in bytes.
	maxDebtBytes = 2 * BudgetRate
	// maxQueuedSends bounds the messages that wait for the budget.
	maxQueuedSends = 128
	// maxQueueTime is when a queued message is dropped: exchanges repair it by then.
	maxQueueTime = 2 * time.Second
)

// priority orders messages by urgency.
type priority uint8

const (
	// priorityControl is sent whatever the budget: exchanges renew the lease.
	priorityControl priority = iota
	// priorityNormal waits until the bucket is not empty.
	priorityNormal
	// priorityBulk leaves bulkReserve in the bucket.
	priorityBulk
)

type budget struct {
	tokens float64
	// reservedBytes is the cost of the chunks that were asked for, in bytes.
	reservedBytes int
	refilledAt    time.Duration
	queue         []queuedSend
}

type queuedSend struct {
	send    Send
	expires time.Duration
}

// available returns the number of bytes that bulk transfers may use now.
func (b *budget) available() int {
	return max(0, int(b.tokens)-b.reservedBytes-bulkReserveBytes)
}

func (b *budget) refill(now time.Duration) {
	b.tokens += (now - b.refilledAt).Seconds() * BudgetRate
	b.tokens = min(b.tokens, BudgetBurst)
	b.refilledAt = now
}

// spend takes n bytes. Debt is bounded, so that a flood of received bytes
// can't silence a node for long.
func (b *budget) spend(n int) {
	b.tokens = max(b.tokens-float64(n), -maxDebtBytes)
}

// allows reports whether n bytes of a class may be spent now.
func (b *budget) allows(p priority, n int) bool {
	switch p {
	case priorityControl:
		return true
	case priorityNormal:
		return b.tokens >= float64(n)
	default:
		return n <= b.available()
	}
}

// send emits a message, or queues it if the budget doesn't allow it yet. It
// reports false for bulk messages that the budget doesn't allow.
func (c *Core) send(p priority, to netip.AddrPort, m Wire) bool {
	if !to.IsValid() || to == c.options.Self.Addr {
		return false
	}
	s := Send{
		To:   to,
		Body: m,
	}
	if !c.budget.allows(p, m.Bytes()) {
		return p == priorityNormal && c.enqueue(s)
	}
	c.emit(s)

	return true
}

func (c *Core) enqueue(s Send) bool {
	if len(c.budget.queue) >= maxQueuedSends {
		c.counters.QueueDropped++

		return false
	}
	c.budget.queue = append(c.budget.queue, queuedSend{
		send:    s,
		expires: c.now + maxQueueTime,
	})

	return true
}

func (c *Core) emit(s Send) {
	n := s.Body.Bytes()
	c.budget.spend(n)
	c.counters.BytesSent += uint64(n)
	c.counters.MessagesSent++
	c.commands = append(c.commands, s)
}

// flush sends queued messages as far as the budget allows.
func (c *Core) flush() {
	waiting := c.budget.queue[:0]
	for _, q := range c.budget.queue {
		switch {
		case c.now >= q.expires:
			c.counters.QueueDropped++
		case len(waiting) == 0 && c.budget.allows(priorityNormal, q.send.Body.Bytes()):
			c.emit(q.send)
		default:
			waiting = append(waiting, q)
		}
	}
	clear(c.budget.queue[len(waiting):])
	c.budget.queue = waiting
}
