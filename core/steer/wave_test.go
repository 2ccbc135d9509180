package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against three misrouted packets of one search while the owner gets none: an agent
// stops between the wave of the preferred targets and the other one.
func TestOwnerIsProbedWhenAgentStopsBetweenWaves(t *testing.T) {
	is := is.New(t)
	c := newTestCore(40)
	agents := newTestAgents(c.listedOrder, relay.Unsure)
	group := c.snapshot.Groups[c.routeOf(flowOne).Splits[0].Service]
	first := c.preferred(flowOne, group, c.Policy.Preferred+extraTargets, anyTarget)
	preferred := map[netip.AddrPort]bool{}
	for _, m := range first {
		preferred[c.agentOf(m)] = true
	}
	others := []netip.AddrPort{}
	for _, a := range c.listedOrder {
		if !preferred[a] {
			others = append(others, a)
		}
	}
	agents.owner = others[0]
	// Probes are answered 10 ms later; another agent announces its stop in between.
	probes := []*Send{}
	step := func(now time.Duration, m Message) {
		queue := []Message{m}
		for len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			for _, x := range passOn(c.Update(now, next)) {
				s, ok := x.(*Send)
				if !ok {
					continue
				}
				if s.Message.Kind == relay.Probe {
					probes = append(probes, &Send{
						To:      s.To,
						Message: s.Message,
					})
					continue
				}
				if a, ok := agents.answer(s); ok {
					queue = append(queue, &a)
				}
			}
		}
	}
	step(TickTime, testPacket(1, segment.ACK))
	step(2*TickTime, Tick{})
	misrouted := len(probes)
	receive(c, 2*TickTime+5*time.Millisecond, others[1], stopMessage(relay.ReasonNone))
	delete(agents.replies, others[1])
	for i := range misrouted {
		b := bounce(probes[i])
		step(2*TickTime+10*time.Millisecond, &b)
	}
	for now := 3 * TickTime; now < 500*time.Millisecond; now += TickTime {
		step(now, CatalogConfirmed{})
		step(now, Tick{})
	}
	got := 0
	for _, s := range probes {
		if s.To == agents.owner {
			got++
		}
	}
	t.Logf("misrouted packets: %d, packets at the owner within 0.5 s: %d", misrouted, got)
	is.True(misrouted < 3 || got > 0)
}

// Guards against a flow that counts as misrouted after one search: the preferred targets
// get packets, then unsure agents are stopped in turn, so that the second wave would not
// follow for 2 s.
func TestOwnerIsProbedDuringRollingRestart(t *testing.T) {
	is := is.New(t)
	const downtime = 500 * time.Millisecond
	c := newTestCore(12)
	agents := newTestAgents(c.listedOrder, relay.Unsure)
	group := c.snapshot.Groups[c.routeOf(flowOne).Splits[0].Service]
	preferred := map[netip.AddrPort]bool{}
	for _, m := range c.preferred(flowOne, group, c.Policy.Preferred+extraTargets, anyTarget) {
		preferred[c.agentOf(m)] = true
	}
	others := []netip.AddrPort{}
	for _, a := range c.listedOrder {
		if !preferred[a] {
			others = append(others, a)
		}
	}
	agents.owner = others[0]
	restarted := others[1:]
	const bounceTime = 2 * time.Millisecond
	bounces := []AgentMessage{}
	misrouted := 0
	step := func(now time.Duration, m Message) {
		queue := []Message{m}
		for ; len(queue) > 0; queue = queue[1:] {
			for _, x := range passOn(c.Update(now, queue[0])) {
				s, ok := x.(*Send)
				if !ok {
					continue
				}
				if s.Message.Kind == relay.Probe && s.To != agents.owner {
					misrouted++
					bounces = append(bounces, bounce(&Send{
						To:      s.To,
						Message: s.Message,
					}))
					continue
				}
				if a, ok := agents.answer(s); ok {
					queue = append(queue, &a)
				}
			}
		}
	}
	step(TickTime, testPacket(1, segment.ACK))
	begin := TickTime + bounceTime
	stopped := netip.AddrPort{}
	for now := begin; now < begin+2*time.Second; now += bounceTime {
		due := bounces
		bounces = nil
		if i := int((now - begin) / downtime); restarted[i] != stopped {
			if stopped.IsValid() {
				agents.replies[stopped] = relay.Unsure
			}
			stopped = restarted[i]
			receive(c, now, stopped, stopMessage(relay.ReasonNone))
			delete(agents.replies, stopped)
		}
		for i := range due {
			step(now, &due[i])
		}
		if now%TickTime == 0 {
			step(now, CatalogConfirmed{})
			step(now, Tick{})
		}
		if now%(400*time.Millisecond) == 0 {
			step(now, testPacket(1, segment.ACK))
		}
	}
	t.Logf("misrouted packets: %d, packets at the owner within 2 s: %d", misrouted, agents.delivered)
	is.True(misrouted < 3 || agents.delivered > 0)
}
