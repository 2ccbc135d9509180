package steer

import (
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// probeMessage is one message with a packet that agents pass to their targets: the first agent gets
// it and passes it on to the others, which are in its zone.
type probeMessage struct {
	agents []*reply
}

// probeBytes returns the length of the messages with the packet.
func probeBytes(list []probeMessage, packet []byte) int {
	n := 0
	for _, p := range list {
		n += messageOverhead + len(packet)
		if len(p.agents) > 1 {
			n += 1 + (len(p.agents)-1)*relay.AddressBytes
		}
	}

	return n
}

// probeEach returns a message for each agent.
func (c *Core) probeEach(agents []*reply) []probeMessage {
	list := []probeMessage{}
	for _, r := range agents {
		list = append(list, probeMessage{
			agents: []*reply{r},
		})
	}

	return list
}

// probeZones returns the messages for agents of all zones, those of this zone first: one for each
// zone, as far as a datagram has room. Which agent of a zone passes the packet on depends on the
// flow, so that the agents share this work. An agent that did not react to a probe gets the next
// one directly: the agent that passed it on may be the one that failed.
func (c *Core) probeZones(k segment.Key, agents []*reply, packetBytes int) []probeMessage {
	zones := map[string][]*reply{}
	order := []string{c.Zone}
	direct := []*reply{}
	for _, r := range agents {
		t := c.targetOf(r.addr)
		if t == nil || r.probeCount > 0 {
			direct = append(direct, r)
			continue
		}
		if zones[t.Zone] == nil && t.Zone != c.Zone {
			order = append(order, t.Zone)
		}
		zones[t.Zone] = append(zones[t.Zone], r)
	}
	list := []probeMessage{}
	for _, zone := range order {
		for group := range slices.Chunk(zones[zone], 1+relay.MaxForwards(packetBytes)) {
			i := int(k.Hash() % uint64(len(group)))
			group[0], group[i] = group[i], group[0]
			list = append(list, probeMessage{
				agents: group,
			})
		}
	}

	return append(list, c.probeEach(direct)...)
}

// sendProbe sends a message with the packet and returns the number of agents that get it.
func (c *Core) sendProbe(now time.Duration, k segment.Key, p *probeMessage, packet []byte) int {
	m := relay.Message{
		Kind:   relay.Probe,
		Key:    k,
		Packet: packet,
	}
	for i, r := range p.agents {
		r.answer = answerProbed
		r.sentAt = now
		r.probeCount = min(r.probeCount+1, maxBackoffDoublings+1)
		r.agent.expectReply(now, k)
		if i > 0 {
			m.Kind = relay.ProbeZone
			m.Forwards = append(m.Forwards, r.addr)
		}
	}
	c.send(p.agents[0].addr, m)

	return len(p.agents)
}
