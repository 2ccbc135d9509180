package agent_test

import (
	"fmt"
	"net/netip"
	"time"

	"ibisfold.example/core/agent"
	"ibisfold.example/core/keyring"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

// A core answers Open with a token and passes requests to its target.
func ExampleCore() {
	keys, _ := keyring.New([]keyring.Key{{
		ID:     1,
		Secret: "000102030405060708090a0b0c0d0e0f",
	}})
	c := agent.New(agent.Options{
		Self:        netip.MustParseAddrPort("127.0.0.1:7100"),
		Name:        "rufdienst-1",
		Incarnation: 1,
		Keys:        keys,
	})
	show := func(out []agent.Command) {
		for _, o := range out {
			switch o := o.(type) {
			case agent.SendTunnel:
				fmt.Println("to the caller:", o.Packet.Kind)
			case agent.SendTarget:
				fmt.Println("to the target:", o.Packet.Kind)
			}
		}
	}

	c.Update(0, agent.ViewChanged{
		View: &agent.View{
			Ticket:         1,
			Known:          true,
			Service:        ticket.ID("rufdienst"),
			ZoneInService:  true,
			Slots:          2,
			Connections:    2000,
			ConfirmedUntil: time.Second,
		},
	})
	show(c.Update(0, agent.Tick{}))
	show(c.Update(0, agent.FromTarget{
		Packet: packet.Packet{
			Kind: packet.HelloAck,
			Boot: 77,
		},
	}))

	m := agent.FromTunnel{
		Header: packet.Tunnel{
			Kind:    packet.ToAgent,
			Service: ticket.ID("rufdienst"),
			Target:  ticket.ID("rufdienst-1"),
		},
		Packet: packet.Packet{
			Kind: packet.Open,
			Flow: 5,
		},
	}
	out := c.Update(0, m)
	show(out)

	m.Packet.Kind = packet.Request
	m.Packet.Request = 1
	m.Packet.Token = out[0].(agent.SendTunnel).Packet.Token
	show(c.Update(0, m))
	show(c.Update(0, agent.FromTarget{
		Packet: packet.Packet{
			Kind:    packet.Answer,
			Flow:    5,
			Request: 1,
			Boot:    77,
		},
	}))
	// Output:
	// to the target: hello
	// to the caller: opened
	// to the target: request
	// to the caller: answer
}
