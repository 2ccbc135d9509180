package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

// Guards against more flows than the target's connections: further ones go to a
// peer with room, and are refused at once when there is none.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1, 2)
	sim.Run(2 * time.Second)
	for range 230 {
		sim.startCaller(sim.agents[0], 0, 0)
	}
	sim.Run(4 * time.Second)
	is.Equal(sim.agents[0].core.Load().Flows, 100)
	is.Equal(sim.agents[1].core.Load().Flows, 100)
	refused := sim.agents[0].core.Counters.FlowsRefused + sim.agents[1].core.Counters.FlowsRefused
	is.True(refused >= 30) // each of the 30 others at least once
}

// Guards against requests that wait until their deadline under overload: what
// can't be served in time is refused at once, with a time to retry.
func TestOverloadRefusedImmediately(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1, 1)
	a := sim.agents[0]
	a.target.serviceTime = 100 * time.Millisecond
	sim.Run(time.Second)
	warm := sim.startCaller(a, 40, 1)
	sim.Run(20 * time.Second)
	is.Equal(warm.count(packet.StatusOK), 40)
	f := sim.startCaller(a, 60, 30)
	f.deadline = time.Second
	sim.Run(400 * time.Millisecond)
	is.True(f.count(packet.StatusNotRun) > 0)
	for _, o := range f.outcomes {
		if o.status == packet.StatusNotRun {
			is.True(o.retryAfter > 0)
			is.True(o.elapsed < 300*time.Millisecond)
		}
	}
	sim.Run(20 * time.Second)
	sim.checkOutcomes(t)
	is.Equal(len(f.waiting), 0)
}

// Guards against packets that reach another target, another start of the agent
// or another service, and against forged tokens.
func TestFence(t *testing.T) {
	const dropped packet.Kind = 255

	tests := []struct {
		name   string
		change func(c *Core, m *FromTunnel)
		want   packet.Kind
	}{
		{
			name:   "served",
			change: func(*Core, *FromTunnel) {},
		},
		{
			name:   "other target",
			change: func(_ *Core, m *FromTunnel) { m.Header.Target++ },
			want:   packet.Reset,
		},
		{
			name:   "other start",
			change: func(_ *Core, m *FromTunnel) { m.Header.Incarnation = 2 },
			want:   packet.Reset,
		},
		{
			name:   "other service",
			change: func(_ *Core, m *FromTunnel) { m.Header.Service++ },
			want:   packet.Reset,
		},
		{
			name: "token of another start",
			change: func(c *Core, m *FromTunnel) {
				m.Packet.Token.Incarnation = 7
				m.Packet.Token.Sign(c.options.Keys, 1)
			},
			want: packet.Reset,
		},
		{
			name:   "forged token",
			change: func(_ *Core, m *FromTunnel) { m.Packet.Token.MAC++ },
			want:   dropped,
		},
		{
			name:   "token of another flow",
			change: func(_ *Core, m *FromTunnel) { m.Packet.Flow = 2 },
			want:   dropped,
		},
	}
	for _, o := range tests {
		t.Run(o.name, func(t *testing.T) {
			is := is.New(t)
			c := benchCore(t, 10, 2)
			m := fromEntry(packet.Packet{
				Kind:    packet.Request,
				Flow:    1,
				Request: 1,
				Token:   openFlow(c, 0, 1),
			})
			o.change(c, &m)
			out := c.Update(0, m)
			switch o.want {
			case 0:
				is.Equal(out[len(out)-1].(SendTarget).Packet.Kind, packet.Request)
			case packet.Reset:
				is.Equal(out[0].(SendTunnel).Packet.Kind, packet.Reset)
				is.Equal(out[0].(SendTunnel).Packet.Status, packet.StatusOutcomeUnknown)
			default:
				is.Equal(len(out), 0)
				is.Equal(c.Counters.DroppedToken, uint64(1))
			}
		})
	}
}

// Guards against answers of another request, pass or start of the target, and
// against incomplete answers.
func TestMismatchedAnswers(t *testing.T) {
	is := is.New(t)
	c := benchCore(t, 10, 1)
	c.Update(0, fromEntry(packet.Packet{
		Kind:    packet.Request,
		Flow:    1,
		Request: 1,
		Token:   openFlow(c, 0, 1),
	}))
	valid := packet.Packet{
		Kind:    packet.Answer,
		Flow:    1,
		Request: 1,
		Boot:    9,
		Parts:   2,
	}
	for _, change := range []func(p *packet.Packet){
		func(p *packet.Packet) { p.Request = 2 },
		func(p *packet.Packet) { p.Flow = 2 },
		func(p *packet.Packet) { p.Attempt = 77 },
		func(p *packet.Packet) { p.Boot = 0 },
		func(*packet.Packet) {},
		func(*packet.Packet) {},
	} {
		p := valid
		change(&p)
		is.Equal(len(c.Update(0, FromTarget{
			Packet: p,
		})), 0)
	}
	valid.Part = 1
	is.Equal(len(c.Update(0, FromTarget{
		Packet: valid,
	})), 4)
}

// Guards against a request that runs again, or is reported as not run, after
// its answer has left the cache or its number the window.
func TestCopyAfterCacheExpiry(t *testing.T) {
	is := is.New(t)
	c := benchCore(t, 10, 1)
	token := openFlow(c, 0, 1)
	sendRequest := func(now time.Duration, n uint64) packet.Packet {
		out := c.Update(now, fromEntry(packet.Packet{
			Kind:    packet.Request,
			Flow:    1,
			Request: n,
			Token:   token,
		}))
		if m, ok := out[0].(SendTunnel); ok {
			return m.Packet
		}
		c.Update(now, FromTarget{
			Packet: packet.Packet{
				Kind:    packet.Answer,
				Flow:    1,
				Request: n,
				Boot:    9,
			},
		})

		return packet.Packet{}
	}
	sendRequest(0, 1)
	is.Equal(sendRequest(0, 1).Kind, packet.Answer)
	for range 100 {
		c.Update(DefaultCacheTime, Tick{})
	}
	is.Equal(sendRequest(DefaultCacheTime, 1).Status, packet.StatusOutcomeUnknown)
	sendRequest(DefaultCacheTime, 100)
	is.Equal(sendRequest(DefaultCacheTime, 36).Status, packet.StatusOutcomeUnknown)
	is.Equal(c.Counters.Passed, uint64(1))
}

// Guards against an agent without a view that serves a caller or does not
// answer it.
func TestRefusalWithoutView(t *testing.T) {
	is := is.New(t)
	c := New(Options{
		Self: agentAddr(0),
		Name: "t0",
		Keys: testKeys(t),
	})
	m := fromEntry(packet.Packet{
		Kind: packet.Open,
		Flow: 1,
	})
	out := c.Update(0, m)
	is.Equal(out[0].(SendTunnel).Packet.Status, packet.StatusNotRun)
	is.True(out[0].(SendTunnel).Packet.RetryAfter > 0)
	c.Update(0, ViewChanged{
		View: BuildView(&ticket.State{}, "t0"),
	})
	out = c.Update(0, m)
	is.Equal(out[0].(SendTunnel).Packet.Kind, packet.Refused)
}

// Guards against too much load on a target that restarted: requests passed
// since the restart may be running, and only HelloAck reports how many.
func TestNoPassBeforeHelloAck(t *testing.T) {
	is := is.New(t)
	c := benchCore(t, 10, 2)
	token := openFlow(c, 0, 1)
	sendRequest := func(n uint64) []Command {
		return c.Update(0, fromEntry(packet.Packet{
			Kind:    packet.Request,
			Flow:    1,
			Request: n,
			Token:   token,
		}))
	}
	fromTarget := func(p packet.Packet) []Command {
		p.Boot = 10
		return c.Update(0, FromTarget{
			Packet: p,
		})
	}
	sendRequest(1)
	fromTarget(packet.Packet{
		Kind: packet.Answer,
		Flow: 2,
	})
	is.Equal(len(sendRequest(2)), 0)
	is.Equal(c.Counters.Passed, uint64(1))
	fromTarget(packet.Packet{
		Kind:    packet.HelloAck,
		Running: 1,
	})
	is.Equal(c.Counters.Passed, uint64(1))
	fromTarget(packet.Packet{
		Kind:    packet.Answer,
		Flow:    1,
		Request: 1,
	})
	is.Equal(c.Counters.Passed, uint64(2))
}

// Guards against trust in the first HelloAck of a restarted target, which may
// not count a request that was passed after its Hello.
func TestFirstHelloAckOfNewBoot(t *testing.T) {
	is := is.New(t)
	c := benchCore(t, 10, 2)
	token := openFlow(c, 0, 1)
	ack := func(running uint32) {
		c.Update(0, FromTarget{
			Packet: packet.Packet{
				Kind:    packet.HelloAck,
				Boot:    10,
				Running: running,
			},
		})
	}
	sendRequest := func(n uint64) {
		c.Update(0, fromEntry(packet.Packet{
			Kind:    packet.Request,
			Flow:    1,
			Request: n,
			Token:   token,
		}))
	}
	sendRequest(1)
	ack(0)
	sendRequest(2)
	is.Equal(c.Counters.Passed, uint64(1))
	ack(1)
	is.Equal(c.Counters.Passed, uint64(1))
	ack(0)
	is.Equal(c.Counters.Passed, uint64(2))
}
