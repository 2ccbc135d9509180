package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

// startTestHandover returns a core that is handing flow 1 over to a peer, the
// caller's token and the Handover sent.
func startTestHandover(t *testing.T) (*Core, packet.Token, SendTunnel) {
	t.Helper()
	c := benchCore(t, 10, 2)
	token := openFlow(c, 0, 1)
	v := *c.view
	v.Ticket++
	v.Draining = true
	v.Peers = []Peer{{
		Target: ticket.ID("t1"),
		Agent:  agentAddr(1),
		Slots:  2,
	}}
	c.Update(0, ViewChanged{
		View: &v,
	})
	deliverHeartbeat(c, 0, 5)
	for _, o := range c.Update(0, Tick{}) {
		if m, ok := o.(SendTunnel); ok && m.Header.Kind == packet.Handover {
			return c, token, m
		}
	}
	t.Fatal("no handover")

	return nil, token, SendTunnel{}
}

// deliverHeartbeat delivers a heartbeat from the peer.
func deliverHeartbeat(c *Core, now time.Duration, incarnation uint64) {
	c.Update(now, FromTunnel{
		Header: fromPeer(packet.Heartbeat, incarnation),
		Body: AppendLoad(nil, Load{
			Target:      ticket.ID("t1"),
			Incarnation: incarnation,
			Slots:       2,
			Limit:       2,
		}),
	})
}

func fromPeer(k packet.TunnelKind, incarnation uint64) packet.Tunnel {
	return packet.Tunnel{
		Kind:              k,
		Service:           ticket.ID("s"),
		Target:            ticket.ID("t0"),
		Incarnation:       1,
		SenderIncarnation: incarnation,
		Sender:            agentAddr(1),
	}
}

func deliverAck(c *Core, now time.Duration, incarnation uint64, epoch uint32) {
	c.Update(now, FromTunnel{
		Header: fromPeer(packet.HandoverAck, incarnation),
		Body: appendAck(nil, ack{
			flow:     1,
			epoch:    epoch,
			accepted: true,
		}),
	})
}

// Guards against a flow with two owners: only the acknowledgement of the
// current handover, from the peer start that it names, transfers the flow.
func TestStaleAcknowledgement(t *testing.T) {
	tests := []struct {
		name        string
		incarnation uint64
		epoch       uint32
		aborted     bool
		gone        bool
	}{
		{
			name:        "present",
			incarnation: 5,
			epoch:       1,
			gone:        true,
		},
		{
			name:        "other epoch",
			incarnation: 5,
			epoch:       2,
		},
		{
			name:        "other start of the peer",
			incarnation: 4,
			epoch:       1,
		},
		{
			name:        "after the peer restarted",
			incarnation: 5,
			epoch:       1,
			aborted:     true,
		},
	}
	for _, o := range tests {
		t.Run(o.name, func(t *testing.T) {
			is := is.New(t)
			c, _, _ := startTestHandover(t)
			if o.aborted {
				deliverHeartbeat(c, 0, 6)
			}
			deliverAck(c, 0, o.incarnation, o.epoch)
			is.Equal(c.Load().Flows == 0, o.gone)
		})
	}
}

// Guards against packets that are served during a handover, and against late
// packets that are not forwarded to the flow's new owner.
func TestLatePacketsAreForwarded(t *testing.T) {
	is := is.New(t)
	c, token, _ := startTestHandover(t)
	m := fromEntry(packet.Packet{
		Kind:    packet.Request,
		Flow:    1,
		Request: 1,
		Token:   token,
	})
	is.Equal(len(c.Update(0, m)), 0)
	deliverAck(c, 0, 5, 1)
	kinds := []packet.TunnelKind{}
	for _, o := range c.out {
		kinds = append(kinds, o.(SendTunnel).Header.Kind)
	}
	is.Equal(kinds, []packet.TunnelKind{packet.ToOwner, packet.HandoverCommit, packet.ToEntry})
	o := c.Update(0, m)[0].(SendTunnel)
	is.Equal(o.Header.Kind, packet.ToOwner)
	is.Equal(o.Header.Incarnation, uint64(5))
	is.Equal(o.Packet.Request, uint64(1))
}

// Guards against late copies of Open and Handover that recreate a flow with an
// outdated window: its requests could run again.
func TestLateCopiesDoNotReviveFlow(t *testing.T) {
	is := is.New(t)
	_, _, sent := startTestHandover(t)
	c := benchCore(t, 10, 2)
	take := FromTunnel{
		Header: fromPeer(packet.Handover, 5),
		Body:   sent.Body,
	}
	accepted := func() bool {
		a, err := decodeAck(c.Update(0, take)[0].(SendTunnel).Body)
		is.NoErr(err)

		return a.accepted
	}
	is.True(accepted())
	is.True(accepted())
	is.Equal(c.Counters.FlowsAdopted, uint64(1))
	c.Update(0, fromEntry(packet.Packet{
		Kind:  packet.Close,
		Flow:  1,
		Token: c.ownToken(ticket.ID("s"), 1),
	}))
	is.Equal(c.Load().Flows, 0)
	is.True(!accepted())
	out := c.Update(0, fromEntry(packet.Packet{
		Kind: packet.Open,
		Flow: 1,
	}))
	is.Equal(out[0].(SendTunnel).Packet.Kind, packet.Refused)
	is.Equal(c.Load().Flows, 0)
}

// Guards against suspicions that are raised too early or repeated too often,
// and against suspicions that are not withdrawn when the peer is heard again.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	c, _, _ := startTestHandover(t)
	reports := func(out []Command) (suspect, alive int) {
		for _, o := range out {
			switch o.(type) {
			case ReportSuspect:
				suspect++
			case ReportAlive:
				alive++
			}
		}

		return suspect, alive
	}
	suspect, _ := reports(c.Update(3*time.Second, Tick{}))
	is.Equal(suspect, 0)
	suspect, _ = reports(c.Update(3*time.Second+TickInterval, Tick{}))
	is.Equal(suspect, 1)
	suspect, _ = reports(c.Update(4*time.Second, Tick{}))
	is.Equal(suspect, 0)
	deliverHeartbeat(c, 4*time.Second, 5)
	_, alive := reports(c.out)
	is.Equal(alive, 1)
	deliverHeartbeat(c, 4*time.Second, 6)
	_, alive = reports(c.out)
	is.Equal(alive, 1)
	deliverHeartbeat(c, 4*time.Second, 5)
	is.Equal(c.group.peers[0].incarnation, uint64(6))
}

// Guards against a previous owner that repeats an outdated token forever,
// because the flow moved on before its caller used that token.
func TestHandoverDoneAfterNextHandover(t *testing.T) {
	is := is.New(t)
	c, _, sent := startTestHandover(t)
	deliverAck(c, 0, 5, 1)
	c.forwards = newForwardTable()
	c.drain = drainState{}
	c.view.Draining = false
	body, err := decodeFlow(sent.Body)
	is.NoErr(err)
	body.epoch = 2
	c.adoptFlow(flowKey{
		service: ticket.ID("s"),
		flow:    1,
	}, body, peerInstance{
		agent:       agentAddr(2),
		target:      ticket.ID("t2"),
		incarnation: 8,
	})
	c.flows.live.first.state = active
	c.startHandover(c.flows.live.first, c.group.peers[0])
	deliverAck(c, 0, 5, 3)
	out := c.Update(0, fromEntry(packet.Packet{
		Kind:  packet.KeepAlive,
		Flow:  1,
		Token: c.ownToken(ticket.ID("s"), 1),
	}))
	is.Equal(len(out), 2)
	done := out[0].(SendTunnel)
	is.Equal(done.Header.Kind, packet.HandoverDone)
	is.Equal(done.To, agentAddr(2))
	a, err := decodeAck(done.Body)
	is.NoErr(err)
	is.Equal(a.epoch, uint32(2))
	is.Equal(out[1].(SendTunnel).Header.Kind, packet.ToOwner)
}
