package steer

import (
	"net/netip"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// messageBytes is the length of a message that carries nothing, with the headers
	// around it.
	messageBytes = relay.HeaderBytes + 28
	// maxQuestions bounds the questions that wait, to about 1 MB. Before 3,700 agents the
	// searches of a few hundred flows would take more.
	maxQuestions = 80_000
)

// questions holds the flows that agents are to be asked for. After a loss of power an
// entry asks all agents for hundreds of flows a second, which would fill a link of
// 10 Mbit/s with single questions and their answers.
type questions struct {
	// waiting holds the flows for each agent in the order in which they came.
	waiting map[netip.AddrPort][]segment.Key
	budget  budget
	// count is the number of all flows in waiting.
	count int
	// next is the place in the order of agents from which the next tick goes on.
	next int
	// held means that questions wait for their share of the link.
	held bool
}

// add takes a question, unless too many wait: the search then has no answer from that
// agent and ends open.
func (q *questions) add(to netip.AddrPort, k segment.Key) {
	if q.count >= maxQuestions {
		return
	}
	q.count++
	q.waiting[to] = append(q.waiting[to], k)
}

// keep leaves the last of the questions for an agent to the next tick.
func (q *questions) keep(to netip.AddrPort, keys []segment.Key) {
	q.count -= len(q.waiting[to]) - len(keys)
	if len(keys) == 0 {
		delete(q.waiting, to)
	} else {
		q.waiting[to] = keys
	}
}

// question asks an agent for a flow: at once if it is the first within a tick, otherwise
// together with those that come until the next tick.
func (c *Core) question(now time.Duration, k segment.Key, at stage, to netip.AddrPort) {
	single := at == stagePreferred || now-c.agent(to).lastAsk >= TickTime
	if single && !c.questions.held && c.questions.budget.take(now, messageBytes) {
		c.ask(now, to, k)

		return
	}
	c.questions.add(to, k)
}

// flushQuestions sends the questions that were collected, as many as the link's share
// allows.
func (c *Core) flushQuestions(now time.Duration) {
	q := &c.questions
	q.held = false
	for i := range c.order {
		place := (q.next + i) % len(c.order)
		to := c.order[place]
		if !c.flushTo(now, to) {
			q.next = place
			q.held = true

			return
		}
	}
}

// flushTo sends the questions for one agent and reports whether all could be sent.
// Flows whose search has ended are left out.
func (c *Core) flushTo(now time.Duration, to netip.AddrPort) bool {
	q := &c.questions
	keys := []segment.Key{}
	for _, k := range q.waiting[to] {
		if _, ok := c.searches[k]; ok {
			keys = append(keys, k)
		}
	}
	for len(keys) > 0 {
		n := min(len(keys), relay.MaxKeys)
		if !q.budget.take(now, messageBytes+n*relay.KeyBytes) {
			q.keep(to, keys)

			return false
		}
		c.asking(now, c.agent(to))
		c.send(to, relay.Message{
			Kind: relay.FindMany,
			Keys: keys[:n:n],
			Born: c.bornOf(to),
		})
		keys = keys[n:]
	}
	q.keep(to, nil)

	return true
}
