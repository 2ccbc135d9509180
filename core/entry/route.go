package entry

import (
	"net/netip"
	"time"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/packet"
)

const (
	// retryAfter is the time after which callers may try again when no target can
	// be reached.
	retryAfter = time.Second
	// minSuspectAttempt is the attempt from which the entry itself answers a
	// request to a suspected agent. A suspicion may be wrong, so several attempts
	// through other entries have to fail first.
	minSuspectAttempt = 6
)

// Action is what an entry does with a caller's packet.
type Action uint8

// Actions of a Decision.
const (
	// Drop ignores the packet; the caller sends it again if it still matters.
	Drop Action = iota
	// Forward sends the packet through the tunnel to Decision.Agent.
	Forward
	// Reply answers the caller with a packet of kind Decision.Kind.
	Reply
)

// Reason tells why a packet was dropped or answered, for counters.
type Reason uint8

// Reasons of a Decision.
const (
	ReasonNone Reason = iota
	// ReasonUnconfirmed means that the lease on the view has expired.
	ReasonUnconfirmed
	// ReasonKind means that callers may not send this kind of packet.
	ReasonKind
	// ReasonToken means that the token is missing or does not verify. It may be
	// signed with a key that this entry does not have yet, so the flow is not
	// reset.
	ReasonToken
	// ReasonZoneOut means that the zone of the flow's target was taken out of
	// service.
	ReasonZoneOut
	// ReasonNoService means that no service has the address.
	ReasonNoService
	// ReasonNoTarget means that the service has no target for new flows.
	ReasonNoTarget
	// ReasonAgentDown means that the flow's agent is suspected because it has been
	// silent for long.
	ReasonAgentDown
	reasons
)

var reasonNames = [reasons]string{
	ReasonNone:        "none",
	ReasonUnconfirmed: "unconfirmed",
	ReasonKind:        "kind",
	ReasonToken:       "token",
	ReasonZoneOut:     "zone_out",
	ReasonNoService:   "no_service",
	ReasonNoTarget:    "no_target",
	ReasonAgentDown:   "agent_down",
}

// Reasons is the number of reasons, for arrays of counters.
const Reasons = int(reasons)

// String returns the name of the reason in metrics.
func (r Reason) String() string {
	if r >= reasons {
		return "invalid"
	}

	return reasonNames[r]
}

// Decision is the result of Route and Decide.
type Decision struct {
	Action Action
	Reason Reason
	// Agent, Service, Target and Incarnation are set for Forward. Incarnation is 0
	// for Open.
	Agent       netip.AddrPort
	Service     uint64
	Target      uint64
	Incarnation uint64
	// Kind, Status and RetryAfter are set for Reply.
	Kind       packet.Kind
	Status     packet.Status
	RetryAfter time.Duration
}

// Route verifies the packet's token and decides where the packet goes. It does
// not allocate.
func Route(n *Snapshot, r *keyring.Keyring, now time.Duration, p *packet.Packet) Decision {
	if p.Kind != packet.Open && (p.Token.IsZero() || !p.Token.Verify(r, p.Flow)) {
		return drop(ReasonToken)
	}

	return Decide(n, now, p)
}

// Decide is Route for a packet whose token has been verified.
func Decide(n *Snapshot, now time.Duration, p *packet.Packet) Decision {
	if now >= n.ConfirmedUntil {
		return drop(ReasonUnconfirmed)
	}

	switch p.Kind {
	case packet.Open:
		return n.open(p)
	case packet.Request, packet.Cancel, packet.Close, packet.KeepAlive:
		return n.forward(p)
	default:
		return drop(ReasonKind)
	}
}

// Relays reports whether packets of agents may be passed on to callers, that is,
// whether the lease on the view still holds. Packets that wait in the socket
// during a long pause may carry tokens of owners that no longer know the flow;
// agents and callers resend what is lost.
func (n *Snapshot) Relays(now time.Duration) bool {
	return now < n.ConfirmedUntil
}

func drop(r Reason) Decision {
	return Decision{
		Action: Drop,
		Reason: r,
	}
}

func (n *Snapshot) open(p *packet.Packet) Decision {
	t := n.tables.find(p.Service)
	if t == nil {
		return refuse(ReasonNoService)
	}
	c, ok := t.pick(p.Flow, p.Attempt)
	if !ok {
		return refuse(ReasonNoTarget)
	}

	return Decision{
		Action:  Forward,
		Agent:   c.agent,
		Service: t.service,
		Target:  c.target,
	}
}

// refuse answers an Open. Opening a flow runs no request, so the status is always
// StatusNotRun.
func refuse(r Reason) Decision {
	return Decision{
		Action:     Reply,
		Reason:     r,
		Kind:       packet.Refused,
		Status:     packet.StatusNotRun,
		RetryAfter: retryAfter,
	}
}

// forward routes by the token alone, so an entry needs no state per flow.
func (n *Snapshot) forward(p *packet.Packet) Decision {
	if _, out := n.zonesOut[p.Token.Zone]; out {
		return reset(ReasonZoneOut)
	}
	if p.Attempt >= minSuspectAttempt && p.Kind == packet.Request {
		if d := n.agentDown(&p.Token); d.Reason != ReasonNone {
			return d
		}
	}

	return Decision{
		Action:      Forward,
		Agent:       p.Token.Agent,
		Service:     p.Token.Service,
		Target:      p.Token.Target,
		Incarnation: p.Token.Incarnation,
	}
}

// agentDown decides about a request whose agent is suspected; the result has no
// reason if the packet is to be forwarded. A paused agent, or one behind a
// partition, returns with its flows, so a flow is reset only if its target is no
// longer in the state or a later incarnation of its agent is known.
func (n *Snapshot) agentDown(t *packet.Token) Decision {
	suspect, ok := n.suspects[t.Target]
	if !ok || suspect < t.Incarnation {
		return Decision{}
	}
	if _, known := n.targets[t.Target]; !known || suspect > t.Incarnation {
		return reset(ReasonAgentDown)
	}

	return Decision{
		Action:     Reply,
		Reason:     ReasonAgentDown,
		Kind:       packet.Refused,
		Status:     packet.StatusOutcomeUnknown,
		RetryAfter: retryAfter,
	}
}

// reset ends a flow. The outcome is unknown because an earlier copy of a request
// may have run.
func reset(r Reason) Decision {
	return Decision{
		Action: Reply,
		Reason: r,
		Kind:   packet.Reset,
		Status: packet.StatusOutcomeUnknown,
	}
}

// Header returns the tunnel header for a forwarded packet. self is the address of
// the entry, caller that of the caller.
func (d Decision) Header(n *Snapshot, self, caller netip.AddrPort) packet.Tunnel {
	return packet.Tunnel{
		Kind:        packet.ToAgent,
		Ticket:      n.Ticket,
		Service:     d.Service,
		Target:      d.Target,
		Incarnation: d.Incarnation,
		Sender:      self,
		Entry:       self,
		Caller:      caller,
	}
}

// Answer returns the packet for the caller of p. It repeats the token of p: a
// caller with a newer token ignores a reset that answers an old copy.
func (d Decision) Answer(p *packet.Packet) packet.Packet {
	return packet.Packet{
		Token:      p.Token,
		Kind:       d.Kind,
		Service:    p.Service,
		Flow:       p.Flow,
		Request:    p.Request,
		Status:     d.Status,
		RetryAfter: d.RetryAfter,
	}
}
