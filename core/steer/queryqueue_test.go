package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against an entry that fills its own link with queries, hears nothing because of
// it, and then takes all agents for silent. All callers come back over a link of 10 Mbit/s
// while no agent answers.
func TestQueriesKeepToLinkShare(t *testing.T) {
	is := is.New(t)
	const flows = 400
	c := newTestCore(70)
	c.Update(TickTime, Tick{})
	bytes := 0
	count := func(commands []Command) {
		for _, x := range commands {
			s, ok := x.(*Send)
			if !ok {
				continue
			}
			switch s.Message.Kind {
			case relay.Find, relay.FindMany:
				bytes += messageOverhead + relay.KeyBytes*len(s.Message.Keys)
			}
		}
	}
	for now := 2 * TickTime; now < 2*time.Second; now += TickTime {
		if now < time.Second {
			for i := range flows / 50 {
				count(c.Update(now, testPacket(int(now/TickTime)*100+i, segment.ACK)))
			}
		}
		for _, x := range c.Update(now, Tick{}) {
			count([]Command{x})
		}
	}
	// The bucket allows two seconds of its rate and a burst of half a second. Other queries
	// only go to agents that have an unanswered one.
	share := 2.5 * defaultLinkRate * DefaultPolicy().QuestionShare
	renewals := 70 * messageOverhead * 2 * float64(time.Second) / float64(silentQueryInterval)
	is.True(float64(bytes) <= share+renewals)
}

// Guards against an entry that takes all agents for silent, and resets their flows, when
// its own link is cut or congested, so that it hears no agent. A single silent agent is
// still detected.
func TestSilenceOfAllIsNotAgentSilence(t *testing.T) {
	for _, alone := range []bool{true, false} {
		is := is.New(t)
		c := newTestCore(6)
		report := func(now time.Duration, i int, kind relay.Kind) {
			c.Update(now, &AgentMessage{
				From: c.listedOrder[i],
				Message: relay.Message{
					Kind: kind,
					Key:  testPacket(i, segment.ACK).Segment.Key,
				},
			})
		}
		for i := range c.listedOrder {
			c.Update(0, testPacket(i, segment.ACK))
			report(0, i, relay.Owned)
		}
		silent := 0
		for now := TickTime; now < time.Second; now += TickTime {
			for i := range c.listedOrder {
				c.Update(now, testPacket(i, segment.ACK))
				if alone && i > 0 {
					report(now, i, relay.Owned)
				}
			}
			for _, x := range c.Update(now, Tick{}) {
				if n, ok := x.(Note); ok && n.Decision == AgentSilent {
					silent++
				}
			}
		}
		if alone {
			is.Equal(silent, 1)
		} else {
			is.Equal(silent, 0)
		}
	}
}

// Guards against an agent whose failure is detected late because the entry has no traffic
// with other agents that would show that its own link works.
func TestSilentAgentAtLowTraffic(t *testing.T) {
	is := is.New(t)
	c := newTestCore(6)
	lost := c.listedOrder[0]
	packet := testPacket(0, segment.ACK)
	c.Update(0, packet)
	c.Update(0, &AgentMessage{
		From: lost,
		Message: relay.Message{
			Kind: relay.Owned,
			Key:  packet.Segment.Key,
		},
	})
	for _, other := range c.listedOrder[1:] {
		c.recordHeard(0, other, &relay.Message{
			Kind: relay.NotOwned,
		})
	}
	found := time.Duration(0)
	for now := TickTime; now < time.Second && found == 0; now += TickTime {
		c.Update(now, packet)
		for _, x := range c.Update(now, Tick{}) {
			switch x := x.(type) {
			case *Send:
				if x.To != lost && x.Message.Kind == relay.Find {
					c.recordHeard(now, x.To, &relay.Message{
						Kind: relay.NotOwned,
					})
				}
			case Note:
				if x.Decision == AgentSilent {
					found = now
				}
			}
		}
	}
	is.True(found > 0)
	is.True(found <= 2*c.Policy.SilentTime)
}

// Guards against an entry that runs out of memory because it has to query thousands of
// agents for each of many flows over a slow link.
func TestQueuedQueriesAreBounded(t *testing.T) {
	is := is.New(t)
	c := newTestCore(3700)
	c.Update(0, testPacket(1, segment.ACK))
	k := testPacket(1, segment.ACK).Segment.Key
	for i := range 2 * maxQueuedQueries {
		c.queries.add(c.listedOrder[i%len(c.listedOrder)], k)
	}
	is.Equal(c.queries.count, maxQueuedQueries)
	for now := TickTime; now < 200*time.Millisecond; now += TickTime {
		c.Update(now, Tick{})
	}
	waiting := 0
	for _, keys := range c.queries.waiting {
		waiting += len(keys)
	}
	is.Equal(waiting, c.queries.count)
	is.True(waiting < maxQueuedQueries)
}

// Guards against queries that are never sent to the agents late in the order, because those
// before them use up the link's share.
func TestAllAgentsAreQueried(t *testing.T) {
	is := is.New(t)
	c := newTestCore(60)
	c.queries.tokenBucket = newTokenBucket(0, 10*messageOverhead*int(time.Second/TickTime), 1)
	queried := map[string]bool{}
	for now := TickTime; now < 600*time.Millisecond; now += TickTime {
		for i := range 4 {
			c.Update(now, testPacket(int(now/TickTime)*10+i, segment.ACK))
		}
		for _, x := range c.Update(now, Tick{}) {
			if s, ok := x.(*Send); ok && s.Message.Kind == relay.FindMany {
				queried[s.To.String()] = true
			}
		}
	}
	is.Equal(len(queried), 60)
}
