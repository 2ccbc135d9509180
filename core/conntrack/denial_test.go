package conntrack

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// Guards against a probe that one agent passes on and whose answer goes to that agent, against one
// that an agent does not pass to its own target, and against bounces that no entry learns of.
func TestForwardedProbeIsAnsweredToItsEntry(t *testing.T) {
	is := is.New(t)
	other := entryAddr(7)
	m := probeMessage(testFlow(1))
	m.Message.Kind = relay.ProbeZone
	m.Message.Forwards = []netip.AddrPort{other}
	first := Core{}
	commands := first.Update(0, m)
	is.True(forwarded(commands))
	passedOn := ToAgent{}
	for _, x := range commands {
		if x, ok := x.(ToAgent); ok {
			passedOn = x
		}
	}
	is.Equal(passedOn.To, other)

	second := Core{}
	is.True(forwarded(second.Update(0, &EntryMessage{
		From:    entryAddr(6),
		Message: passedOn.Message,
		Segment: m.Segment,
	})))
	for _, c := range []*Core{&first, &second} {
		is.Equal(len(c.Update(0, &TargetPacket{
			Segment: segment.Segment{
				Key:   testFlow(1),
				Flags: segment.ACK | segment.Bounced,
			},
			Packet: []byte{1},
		})), 0)
		is.True(c.HasDenials())
		denied := ToEntry{}
		for _, x := range c.Update(0, BatchEnd{}) {
			if x, ok := x.(ToEntry); ok {
				denied = x
			}
		}
		is.Equal(denied.To, m.From)
		is.Equal(denied.Message.Keys, []segment.Key{testFlow(1)})
		is.Equal(denied.Message.Ownership, []relay.Kind{relay.NotOwned})
		is.True(!c.HasDenials())
	}
}

// Guards against an agent beside a leaving target that gives up its flows early because another
// agent, whose target stays, passed a probe on.
func TestForwardedProbeDoesNotTellOfLeaving(t *testing.T) {
	is := is.New(t)
	c := Core{}
	m := probeMessage(testFlow(1))
	m.Message.Kind = relay.ForwardedProbe
	m.Message.Origin = testEntry
	m.Message.Leaving = true
	c.Update(0, m)
	is.True(!c.leaving.reported)
}
