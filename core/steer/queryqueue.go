package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// messageOverhead is the length of a message without content, including IP and UDP
	// headers.
	messageOverhead = relay.HeaderBytes + 28
	// maxQueuedQueries bounds the memory of the queue to about 1 MB. With 3,700 agents the
	// searches for a few hundred flows would exceed it.
	maxQueuedQueries = 80_000
)

// queries is a queue that batches queries to agents. After a power outage an entry queries
// all agents for hundreds of flows a second; single queries and their answers would fill a
// link of 10 Mbit/s.
type queries struct {
	// waiting holds the flows for each agent in order of arrival.
	waiting     map[netip.AddrPort][]segment.Key
	tokenBucket tokenBucket
	// count is the number of all flows in waiting.
	count int
	// next is the index in agentOrder at which the next flush starts.
	next int
	// throttled means that queries wait for their share of the link.
	throttled bool
}

// add queues a query. If the queue is full the query is dropped: the search then gets no
// answer from that agent and ends without a result.
func (q *queries) add(to netip.AddrPort, k segment.Key) {
	if q.count >= maxQueuedQueries {
		return
	}
	q.count++
	q.waiting[to] = append(q.waiting[to], k)
}

// retain replaces the queued queries for an agent by those of them that were not sent,
// which wait for the next flush.
func (q *queries) retain(to netip.AddrPort, keys []segment.Key) {
	q.count -= len(q.waiting[to]) - len(keys)
	if len(keys) == 0 {
		delete(q.waiting, to)
	} else {
		q.waiting[to] = keys
	}
}

// sendOrQueue queries an agent for a flow: at once in stagePreferred or if it is the
// agent's first query within a tick, as far as the link's share allows; otherwise batched
// with others at the next tick.
func (c *Core) sendOrQueue(now time.Duration, k segment.Key, at stage, to netip.AddrPort) {
	single := at == stagePreferred || now-c.agent(to).lastQuery >= TickTime
	if single && !c.queries.throttled && c.queries.tokenBucket.take(now, messageOverhead) {
		c.query(now, to, k)

		return
	}
	c.queries.add(to, k)
}

// flushQueries sends the queued queries, as many as the link's share allows.
func (c *Core) flushQueries(now time.Duration) {
	q := &c.queries
	q.throttled = false
	for i := range c.agentOrder {
		index := (q.next + i) % len(c.agentOrder)
		to := c.agentOrder[index]
		if !c.flushTo(now, to) {
			q.next = index
			q.throttled = true

			return
		}
	}
}

// flushTo sends the queued queries for one agent and reports whether all could be sent. It
// drops flows whose search has ended.
func (c *Core) flushTo(now time.Duration, to netip.AddrPort) bool {
	q := &c.queries
	keys := []segment.Key{}
	for _, k := range q.waiting[to] {
		if _, ok := c.searches[k]; ok {
			keys = append(keys, k)
		}
	}
	for len(keys) > 0 {
		n := min(len(keys), relay.MaxKeys)
		if !q.tokenBucket.take(now, messageOverhead+n*relay.KeyBytes) {
			q.retain(to, keys)

			return false
		}
		c.recordQuery(now, c.agent(to))
		c.send(to, relay.Message{
			Kind: relay.FindMany,
			Keys: keys[:n:n],
		})
		keys = keys[n:]
	}
	q.retain(to, nil)

	return true
}
