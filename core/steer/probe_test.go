package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// passOn returns commands with each ProbeZone as the probes that its agents get.
func passOn(commands []Command) []Command {
	list := []Command{}
	for _, x := range commands {
		s, ok := x.(*Send)
		if !ok || s.Message.Kind != relay.ProbeZone {
			list = append(list, x)
			continue
		}
		for _, to := range append([]netip.AddrPort{s.To}, s.Message.Forwards...) {
			m := s.Message
			m.Kind = relay.Probe
			m.Forwards = nil
			list = append(list, &Send{
				To:      to,
				Message: m,
			})
		}
	}

	return list
}

// answerAllUnsure lets all agents but a silent one answer that they are unsure, and their
// targets bounce probes. It returns the number of probes.
func answerAllUnsure(c *Core, now time.Duration, silent netip.AddrPort, commands []Command) int {
	probes := 0
	for len(commands) > 0 {
		replies := []AgentMessage{}
		for _, x := range passOn(commands) {
			s, ok := x.(*Send)
			if !ok || s.To == silent {
				continue
			}
			switch s.Message.Kind {
			case relay.Find:
				replies = append(replies, unsureAnswer(s))
			case relay.FindMany:
				replies = append(replies, unsureAnswers(s))
			case relay.Probe:
				probes++
				replies = append(replies, bounce(s))
			}
		}
		commands = []Command{}
		for i := range replies {
			for _, x := range c.Update(now, &replies[i]) {
				if s, ok := x.(*Send); ok {
					x = &Send{
						To:      s.To,
						Message: s.Message,
					}
				}
				commands = append(commands, x)
			}
		}
	}

	return probes
}

func unsureAnswers(s *Send) AgentMessage {
	ownership := make([]relay.Kind, len(s.Message.Keys))
	for i := range ownership {
		ownership[i] = relay.Unsure
	}

	return AgentMessage{
		From: s.To,
		Message: relay.Message{
			Kind:      relay.Answers,
			Keys:      s.Message.Keys,
			Ownership: ownership,
		},
	}
}

func unsureAnswer(s *Send) AgentMessage {
	return AgentMessage{
		From: s.To,
		Message: relay.Message{
			Kind: relay.Unsure,
			Key:  s.Message.Key,
		},
	}
}

func bounce(s *Send) AgentMessage {
	return AgentMessage{
		From: s.To,
		Message: relay.Message{
			Kind:   relay.Returned,
			Reason: relay.ReasonNotHeld,
			Key:    s.Message.Key,
			Packet: s.Message.Packet,
		},
		Segment: segment.Segment{
			Key:   s.Message.Key,
			Flags: segment.ACK,
		},
	}
}

// Guards against a caller whose copies each start another search that sends its packet to
// more targets while the agent of its flow is unavailable after an announced stop: a flow
// with three packets at other targets and none at its own counts as misrouted. Before that
// all entries and most agents lose their state. Once the agent is back, all targets get the
// packet.
func TestCopiesDoNotMisroute(t *testing.T) {
	is := is.New(t)
	c := newTestCore(12)
	silent := c.listedOrder[0]
	c.Update(0, &AgentMessage{
		From: silent,
		Message: relay.Message{
			Kind: relay.Stopping,
		},
	})
	probes := 0
	copies := map[time.Duration]bool{
		20 * time.Millisecond:   true,
		1400 * time.Millisecond: true,
		2800 * time.Millisecond: true,
	}
	now := TickTime
	for ; now < 4*time.Second; now += TickTime {
		if copies[now] {
			probes += answerAllUnsure(c, now, silent, c.Update(now, testPacket(1, segment.ACK)))
		}
		probes += answerAllUnsure(c, now, silent, c.Update(now, Tick{}))
	}
	is.Equal(probes, 0)
	probes += answerAllUnsure(c, now, netip.AddrPort{}, c.Update(now, testPacket(1, segment.ACK)))
	for range 10 {
		now += TickTime
		probes += answerAllUnsure(c, now, netip.AddrPort{}, c.Update(now, Tick{}))
	}
	is.Equal(probes, 12)
}

// Guards against callers that wait for a target that had ended before its agent stopped,
// and against a reset where only the agent's process is replaced.
func TestEndedTargetIsNotAwaited(t *testing.T) {
	for _, reason := range []relay.Reason{relay.ReasonTargetDown, relay.ReasonNone} {
		is := is.New(t)
		c := newTestCore(3)
		owner := c.listedOrder[0]
		c.Update(0, testPacket(1, segment.ACK))
		c.Update(time.Millisecond, &AgentMessage{
			From: owner,
			Message: relay.Message{
				Kind: relay.Owned,
				Key:  testPacket(1, segment.ACK).Segment.Key,
			},
		})
		c.Update(time.Second, &AgentMessage{
			From: owner,
			Message: relay.Message{
				Kind:   relay.Stopping,
				Reason: reason,
			},
		})
		_, reset := synRecipients(c.Update(time.Second+time.Millisecond, testPacket(1, segment.ACK)))
		is.Equal(reset, reason == relay.ReasonTargetDown)
	}
}
