package mesh

import (
	"net/netip"
	"time"
)

// Byte budget of a node, for sent and received bytes together.
const (
	// BudgetRate is the refill rate in bytes per second.
	BudgetRate = 2048
	// BudgetBurst is the capacity in bytes: 13 s of BudgetRate, the time in
	// which a ticket must be in force.
	BudgetBurst = 13 * BudgetRate
	// bulkReserveBytes is left in the bucket by bulk transfers, so that a
	// zone-out ticket is not delayed: a round of six pushes costs about 900 B.
	bulkReserveBytes = 2048
	// maxDebtBytes bounds the debt to two seconds of BudgetRate.
	maxDebtBytes = 2 * BudgetRate
	// maxQueuedSends bounds the messages that wait for the budget.
	maxQueuedSends = 128
	// maxQueueTime bounds the wait for the budget. Messages that wait longer
	// are dropped; by then, exchanges have repaired the difference.
	maxQueueTime = 2 * time.Second
)

// priority orders messages by urgency.
type priority uint8

const (
	// priorityControl is sent whatever the budget, because exchanges renew the
	// lease.
	priorityControl priority = iota
	// priorityNormal is queued until the budget covers the message.
	priorityNormal
	// priorityBulk leaves bulkReserveBytes in the bucket and is never queued.
	priorityBulk
)

// budget is a token bucket for the bytes that a node sends and receives.
type budget struct {
	// tokens are the bytes left; below zero they are a debt.
	tokens float64
	// reservedBytes is the cost of the chunks that were requested and have not
	// arrived.
	reservedBytes int
	refilledAt    time.Duration
	queue         []queuedSend
}

// queuedSend is a message that waits for the budget.
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

// spend takes n bytes. The debt is bounded, so that a flood of received bytes
// can't silence a node for long.
func (b *budget) spend(n int) {
	b.tokens = max(b.tokens-float64(n), -maxDebtBytes)
}

// allows reports whether a message of n bytes may be sent now.
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

// send emits a message, or queues a message of normal priority if the budget
// doesn't cover it yet. It reports whether the message was sent or queued.
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

// emit sends a message and charges it to the budget.
func (c *Core) emit(s Send) {
	n := s.Body.Bytes()
	c.budget.spend(n)
	c.counters.BytesSent += uint64(n)
	c.counters.MessagesSent++
	c.commands = append(c.commands, s)
}

// flush sends queued messages in order as far as the budget allows, and drops
// expired ones.
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
