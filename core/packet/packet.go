// Package packet encodes and decodes the datagrams between callers, ibisfold and
// targets, and the tunnel header between ibisfold's own processes. It decides which
// packets are well-formed and authentic.
//
// Caller packets are protocol buffer messages, which packet.proto documents.
package packet

import (
	"net/netip"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"ibisfold.example/core/wire"
)

// Limits of a packet.
const (
	// MaxBytes is the length of the longest packet that is accepted, in bytes.
	MaxBytes = 9000
	// MaxTenantBytes is the length of the longest tenant name, in bytes.
	MaxTenantBytes = 64
	// MaxParts is the largest number of packets in one answer.
	MaxParts = 64
	// MaxDeadline bounds the time that a caller may allow for a request.
	MaxDeadline = 10 * time.Minute
)

// Sentinel errors of the decoders. Each is the reason of a drop counter.
const (
	ErrMalformed = errors.ConstError("malformed packet")
	ErrTooLong   = errors.ConstError("packet too long")
	ErrKind      = errors.ConstError("unknown packet kind")
	ErrField     = errors.ConstError("packet field out of range")
	ErrMAC       = errors.ConstError("authentication failed")
)

// Kind is the purpose of a packet.
type Kind uint8

// Kinds of packets.
const (
	// Open asks for a flow. It does not run anything on the target.
	Open Kind = iota + 1
	// Opened answers Open and carries the flow's token.
	Opened
	// Request asks the service to run something on an open flow.
	Request
	// Answer carries one part of the answer to a request.
	Answer
	// Refused ends a request or an Open with a Status and a RetryAfter.
	Refused
	// Reset ends a flow whose owner is gone or whose zone is out of service.
	Reset
	// Close ends a flow at the request of the caller.
	Close
	// Closed answers Close.
	Closed
	// Cancel reports that the caller no longer needs an answer.
	Cancel
	// Moved carries the new token of a flow that was handed over.
	Moved
	// KeepAlive keeps an idle flow open.
	KeepAlive
	// Hello asks a target for its Boot.
	Hello
	// HelloAck answers Hello and carries Boot and Running.
	HelloAck
	// Shed is the refusal of a target to run a request.
	Shed
	kinds
)

var kindNames = [kinds]string{
	Open:      "open",
	Opened:    "opened",
	Request:   "request",
	Answer:    "answer",
	Refused:   "refused",
	Reset:     "reset",
	Close:     "close",
	Closed:    "closed",
	Cancel:    "cancel",
	Moved:     "moved",
	KeepAlive: "keepalive",
	Hello:     "hello",
	HelloAck:  "hello_ack",
	Shed:      "shed",
}

// String returns the kind's name as used in metrics.
func (k Kind) String() string {
	if k == 0 || k >= kinds {
		return "unknown"
	}

	return kindNames[k]
}

// Status is the outcome of a request.
type Status uint8

// Outcomes of a request.
const (
	// StatusOK means that the target answered.
	StatusOK Status = iota
	// StatusNotRun means that the request certainly did not run.
	StatusNotRun
	// StatusOutcomeUnknown means that the request may or may not have run.
	StatusOutcomeUnknown
	// StatusCancelled means that the caller cancelled before the request ran.
	StatusCancelled
	statuses
)

var statusNames = [statuses]string{
	StatusOK:             "ok",
	StatusNotRun:         "not run",
	StatusOutcomeUnknown: "outcome unknown",
	StatusCancelled:      "cancelled",
}

// String returns the status as shown to callers and in metrics.
func (s Status) String() string {
	if s >= statuses {
		return "invalid"
	}

	return statusNames[s]
}

// Packet is one datagram to or from a caller or a target. Processes of the system
// send each other packets behind a Tunnel header.
type Packet struct {
	Kind Kind
	// Service is the service address that the caller sent the packet to.
	Service netip.AddrPort
	// Flow is chosen at random by the caller and identifies the flow.
	Flow uint64
	// Token routes packets of an open flow; it is zero before Opened.
	Token Token
	// Request increases with each request of a flow and is never reused.
	Request uint64
	// Attempt is 0 for the first transmission of a caller's packet and counts its
	// retransmissions. In packets to targets it is instead a delivery number that
	// the agent assigns; answers should echo it.
	Attempt uint32
	// Idempotent marks a request that may safely run more than once.
	Idempotent bool
	// Deadline is the time left for the request, encoded in whole milliseconds.
	Deadline time.Duration
	// Tenant is at most MaxTenantBytes long. It aliases the decoded buffer.
	Tenant []byte
	Status Status
	// RetryAfter is the time after which the caller may retry, encoded in whole
	// milliseconds.
	RetryAfter time.Duration
	// Boot identifies one start of a target; a new value means a cold start.
	// In offers between agents it is the number of the offer.
	Boot uint64
	// Running is the number of requests that a target is running.
	Running uint32
	// Part is the index of this packet in its answer, from 0 to Parts-1.
	Part uint32
	// Parts is the number of packets of the answer, at most MaxParts; 0 means 1.
	Parts uint32
	// Payload belongs to the caller or the target. It aliases the decoded buffer.
	Payload []byte
	// Load is the encoded load of an agent and present only in packets between
	// agents. It aliases the decoded buffer.
	Load []byte
}

// Field numbers of packet.proto.
const (
	fieldKind       protowire.Number = 1
	fieldService    protowire.Number = 2
	fieldFlow       protowire.Number = 3
	fieldToken      protowire.Number = 4
	fieldRequest    protowire.Number = 5
	fieldAttempt    protowire.Number = 6
	fieldIdempotent protowire.Number = 7
	fieldDeadline   protowire.Number = 8
	fieldTenant     protowire.Number = 9
	fieldStatus     protowire.Number = 10
	fieldRetryAfter protowire.Number = 11
	fieldBoot       protowire.Number = 12
	fieldRunning    protowire.Number = 13
	fieldPart       protowire.Number = 14
	fieldParts      protowire.Number = 15
	fieldPayload    protowire.Number = 16
	fieldLoad       protowire.Number = 17
)

// Append appends the encoded packet to b. It allocates only to grow b.
func (p *Packet) Append(b []byte) []byte {
	b = wire.AppendVarint(b, fieldKind, uint64(p.Kind))
	if p.Service.IsValid() {
		b = protowire.AppendTag(b, fieldService, protowire.BytesType)
		b = protowire.AppendVarint(b, addrPortBytes)
		b = appendAddrPort(b, p.Service)
	}
	b = wire.AppendFixed(b, fieldFlow, p.Flow)
	if !p.Token.IsZero() {
		b = protowire.AppendTag(b, fieldToken, protowire.BytesType)
		b = protowire.AppendVarint(b, TokenBytes)
		b = p.Token.append(b)
	}
	b = wire.AppendVarint(b, fieldRequest, p.Request)
	b = wire.AppendVarint(b, fieldAttempt, uint64(p.Attempt))
	b = wire.AppendVarint(b, fieldIdempotent, protowire.EncodeBool(p.Idempotent))
	b = wire.AppendVarint(b, fieldDeadline, uint64(p.Deadline.Milliseconds()))
	b = wire.AppendBytes(b, fieldTenant, p.Tenant)
	b = wire.AppendVarint(b, fieldStatus, uint64(p.Status))
	b = wire.AppendVarint(b, fieldRetryAfter, uint64(p.RetryAfter.Milliseconds()))
	b = wire.AppendFixed(b, fieldBoot, p.Boot)
	b = wire.AppendVarint(b, fieldRunning, uint64(p.Running))
	b = wire.AppendVarint(b, fieldPart, uint64(p.Part))
	b = wire.AppendVarint(b, fieldParts, uint64(p.Parts))
	b = wire.AppendBytes(b, fieldPayload, p.Payload)
	b = wire.AppendBytes(b, fieldLoad, p.Load)

	return b
}

// Decode decodes b into p without allocation. Tenant, Payload and Load alias b.
// Unknown fields are skipped. Errors: ErrTooLong, ErrMalformed, ErrKind, ErrField.
func (p *Packet) Decode(b []byte) error {
	if len(b) > MaxBytes {
		return ErrTooLong
	}

	*p = Packet{}
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return ErrMalformed
		}
		b = b[size:]

		used, err := p.decodeField(n, t, b)
		if err != nil {
			return err
		}
		b = b[used:]
	}

	return p.check()
}

func (p *Packet) decodeField(n protowire.Number, t protowire.Type, b []byte) (int, error) {
	switch t {
	case protowire.VarintType:
		v, size := protowire.ConsumeVarint(b)
		if size < 0 {
			return 0, ErrMalformed
		}

		return size, p.setVarint(n, v)
	case protowire.Fixed64Type:
		v, size := protowire.ConsumeFixed64(b)
		if size < 0 {
			return 0, ErrMalformed
		}
		p.setFixed(n, v)

		return size, nil
	case protowire.BytesType:
		v, size := protowire.ConsumeBytes(b)
		if size < 0 {
			return 0, ErrMalformed
		}

		return size, p.setBytes(n, v)
	default:
		size := protowire.ConsumeFieldValue(n, t, b)
		if size < 0 {
			return 0, ErrMalformed
		}

		return size, nil
	}
}

func (p *Packet) setVarint(n protowire.Number, v uint64) error {
	// Values up to this bound fit in 32 bits and in a duration in milliseconds.
	const maxValue = 1 << 31

	if n != fieldRequest && v > maxValue {
		return ErrField
	}

	switch n {
	case fieldKind:
		if v >= uint64(kinds) {
			return ErrKind
		}
		p.Kind = Kind(v)
	case fieldRequest:
		p.Request = v
	case fieldAttempt:
		p.Attempt = uint32(v)
	case fieldIdempotent:
		p.Idempotent = v != 0
	case fieldDeadline:
		p.Deadline = time.Duration(v) * time.Millisecond
	case fieldStatus:
		if v >= uint64(statuses) {
			return ErrField
		}
		p.Status = Status(v)
	case fieldRetryAfter:
		p.RetryAfter = time.Duration(v) * time.Millisecond
	case fieldRunning:
		p.Running = uint32(v)
	case fieldPart:
		p.Part = uint32(v)
	case fieldParts:
		p.Parts = uint32(v)
	}

	return nil
}

func (p *Packet) setFixed(n protowire.Number, v uint64) {
	switch n {
	case fieldFlow:
		p.Flow = v
	case fieldBoot:
		p.Boot = v
	}
}

func (p *Packet) setBytes(n protowire.Number, v []byte) error {
	switch n {
	case fieldService:
		if len(v) != addrPortBytes {
			return ErrField
		}
		p.Service = decodeAddrPort(v)
	case fieldToken:
		return p.Token.decode(v)
	case fieldTenant:
		if len(v) > MaxTenantBytes {
			return ErrField
		}
		p.Tenant = v
	case fieldPayload:
		p.Payload = v
	case fieldLoad:
		p.Load = v
	}

	return nil
}

func (p *Packet) check() error {
	switch {
	case p.Kind == 0:
		return ErrKind
	case p.Deadline > MaxDeadline:
		return ErrField
	case p.Parts > MaxParts:
		return ErrField
	case p.Parts > 0 && p.Part >= p.Parts:
		return ErrField
	}

	return nil
}
