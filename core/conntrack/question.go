package conntrack

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// restoreWait is how long after the start the parts of a table that was offered are
	// awaited. Entries take an agent for silent that leaves questions of 180 ms unanswered.
	restoreWait = 150 * time.Millisecond
	// maxQuestions bounds the flows that entries are told of once more, to about 400 KB.
	maxQuestions = 8192
)

// question is one of an entry about a flow that was not known here when it came.
type question struct {
	from netip.AddrPort
	key  segment.Key
	// told means that the entry was told that the agent is unsure.
	told bool
}

// keepQuestion notes a question that the flow table of the process before may answer. It
// reports whether the answer waits for the table, whose parts are on their way. Before
// one is offered the agent says that it is unsure, and corrects that later: after a kill
// there is no table, and entries would wait in vain.
func (c *Core) keepQuestion(now time.Duration, from netip.AddrPort, k segment.Key) bool {
	if !c.restores(now) || c.stopped.active(now) || len(c.questions) == maxQuestions || c.holds(k) != relay.Unsure {
		return false
	}
	waits := c.restore.parts > 0 && now-c.restore.began < restoreWait
	c.questions = append(c.questions, question{
		from: from,
		key:  k,
		told: !waits,
	})

	return waits
}

// askedMany is keepQuestion for many flows. It returns those to tell of now.
func (c *Core) askedMany(now time.Duration, m *EntryMessage) []segment.Key {
	return slices.DeleteFunc(slices.Clone(m.Message.Keys), func(k segment.Key) bool {
		return c.keepQuestion(now, m.From, k)
	})
}

// answerQuestions answers the questions that wait, once no table is awaited any more, and
// tells entries where the table has made the agent sure.
func (c *Core) answerQuestions(now time.Duration) {
	if len(c.questions) == 0 {
		return
	}
	ended := !c.restores(now)
	if !ended && now-c.restore.began < restoreWait {
		return
	}
	answers := map[netip.AddrPort][]segment.Key{}
	order := []netip.AddrPort{}
	for i := range c.questions {
		q := &c.questions[i]
		changed := ended && c.restore.parts > 0 && c.holds(q.key) != relay.Unsure
		if q.told && !changed {
			continue
		}
		q.told = true
		if answers[q.from] == nil {
			order = append(order, q.from)
		}
		answers[q.from] = append(answers[q.from], q.key)
	}
	if ended {
		c.questions = nil
	}
	for _, to := range order {
		for keys := range slices.Chunk(answers[to], relay.MaxKeys) {
			c.tellMany(to, keys)
		}
	}
}
