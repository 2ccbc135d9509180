package conntrack

import (
	"net/netip"

	"ibisfold.example/core/relay"
)

// asProbe returns a ProbeZone or a ForwardedProbe as the Probe of an entry.
func asProbe(m *EntryMessage, entry netip.AddrPort) *EntryMessage {
	p := *m
	p.From = entry
	p.Message.Kind = relay.Probe

	return &p
}

// forwardProbe passes the packet of a ProbeZone on to the other agents that it names. They answer
// the entry.
func (c *Core) forwardProbe(m *EntryMessage) {
	for _, to := range m.Message.Forwards {
		c.commands = append(c.commands, ToAgent{
			To: to,
			Message: relay.Message{
				Kind:   relay.ForwardedProbe,
				Key:    m.Message.Key,
				Origin: m.From,
				Packet: m.Message.Packet,
			},
		})
	}
}
