package proof_test

import (
	"bytes"
	"encoding/binary"
	"time"

	"ibisfold.example/core/agent"
	"ibisfold.example/core/packet"
)

// coldTime is how long a started target can run only one request at a time.
const coldTime = 3 * time.Second

// target is a model of a target: it runs requests in slots and starts cold. More
// requests than its capacity are a violation.
type target struct {
	w     *world
	agent *agentNode
	slots int
	alive bool
	// boot changes with each start of the target's process, planned or not.
	boot    uint64
	coldEnd time.Duration
	running int
	// hung means that the target takes requests and never answers them.
	hung bool
	// meanServiceTime is the mean time to run one request.
	meanServiceTime time.Duration
}

func newTarget(w *world, n *agentNode, slots int) *target {
	t := &target{
		w:               w,
		agent:           n,
		slots:           slots,
		meanServiceTime: 50 * time.Millisecond,
	}
	t.start()

	return t
}

func (t *target) start() {
	t.alive = true
	t.boot = t.w.nextIncarnation()
	t.running = 0
	t.coldEnd = t.w.Now + coldTime
}

// capacity returns the number of requests that the target can run at once now.
func (t *target) capacity() int {
	if t.w.Now < t.coldEnd {
		return 1
	}

	return t.slots
}

func (t *target) handle(p packet.Packet) {
	if !t.alive {
		t.agent.update(agent.TargetUnreachable{})

		return
	}
	switch p.Kind {
	case packet.Hello:
		t.reply(packet.Packet{
			Kind: packet.HelloAck,
		})
	case packet.Request:
		t.request(p)
	}
}

// request runs a request, whose payload is an encoded requestPayload.
func (t *target) request(p packet.Packet) {
	t.w.oracle.requestRan(t, decodePayload(p.Payload))
	if t.hung {
		return
	}
	t.running++
	if t.running > t.capacity() {
		t.w.oracle.overloaded(t)
	}
	boot := t.boot
	d := t.meanServiceTime/2 + time.Duration(t.w.rand.Int64N(int64(t.meanServiceTime)))
	t.w.After(d, func() {
		if t.boot != boot || !t.alive {
			return
		}
		t.running--
		const parts = 2
		for i := range uint32(parts) {
			t.reply(packet.Packet{
				Kind:    packet.Answer,
				Flow:    p.Flow,
				Request: p.Request,
				Attempt: p.Attempt,
				Part:    i,
				Parts:   parts,
				Payload: append([]byte{byte(i)}, p.Payload...),
			})
		}
	})
}

func (t *target) reply(p packet.Packet) {
	p.Boot = t.boot
	if t.w.disabled == breakAdmission {
		p.Boot = 1
	}
	p.Running = uint32(t.running)
	p.Payload = bytes.Clone(p.Payload)
	t.w.After(100*time.Microsecond, func() {
		t.agent.update(agent.FromTarget{
			Packet: p,
		})
	})
}

// requestPayload is the payload of a request. It holds the service, flow and number
// as the caller knows them, so that the oracle need not trust packet headers.
type requestPayload struct {
	service    uint64
	flow       uint64
	number     uint64
	idempotent bool
}

func (p requestPayload) encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, p.service)
	b = binary.BigEndian.AppendUint64(b, p.flow)
	b = binary.BigEndian.AppendUint64(b, p.number)
	if p.idempotent {
		return append(b, 1)
	}

	return append(b, 0)
}

func decodePayload(b []byte) requestPayload {
	return requestPayload{
		service:    binary.BigEndian.Uint64(b),
		flow:       binary.BigEndian.Uint64(b[8:]),
		number:     binary.BigEndian.Uint64(b[16:]),
		idempotent: b[24] == 1,
	}
}
