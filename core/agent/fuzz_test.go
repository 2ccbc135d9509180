package agent

import (
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/packet"
)

func sampleLoad() Load {
	return Load{
		Target:      1,
		Incarnation: 2,
		Busy:        1.5,
		Running:     3,
		Waiting:     4,
		Slots:       5,
		Limit:       6,
		Flows:       7,
		Draining:    true,
	}
}

// Guards against fields of a load report that are lost in encoding or decoding.
func TestLoadCodec(t *testing.T) {
	is := is.New(t)
	l, err := DecodeLoad(AppendLoad(nil, sampleLoad()))
	is.NoErr(err)
	is.Equal(l, sampleLoad())
}

// Guards against panics, values out of range and loads that change when they
// are encoded and decoded again.
func FuzzDecodeLoad(f *testing.F) {
	f.Add(AppendLoad(nil, sampleLoad()))
	f.Add([]byte{0x08, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := DecodeLoad(b)
		if err != nil {
			return
		}
		if l.Flows < 0 || l.Running < 0 || l.Busy < 0 || l.Flows > maxLoadCount {
			t.Errorf("%+v", l)
		}
		if again, err := DecodeLoad(AppendLoad(nil, l)); err != nil || again != l {
			t.Errorf("%+v, then %+v (%v)", l, again, err)
		}
	})
}

// Guards against panics and unbounded allocation in the decoders of flows and
// acknowledgements.
func FuzzDecodeFlow(f *testing.F) {
	c := benchCore(f, 10, 2)
	token := openFlow(c, 0, 5)
	c.Update(0, fromEntry(packet.Packet{
		Kind:    packet.Cancel,
		Flow:    5,
		Request: 3,
		Token:   token,
	}))
	f.Add(c.encodeFlow(c.flows.live.first))
	f.Add(appendAck(nil, ack{
		flow:     5,
		epoch:    1,
		accepted: true,
	}))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = decodeAck(b)
		m, err := decodeFlow(b)
		if err != nil {
			return
		}
		if len(m.answers) > windowBits {
			t.Errorf("%d answers", len(m.answers))
		}
		for _, a := range m.answers {
			if len(a.answer.parts) > packet.MaxParts {
				t.Errorf("%d parts", len(a.answer.parts))
			}
		}
	})
}

// Guards against windows and answers that are lost in a handover, and against a
// body that does not fit into a packet.
func TestFlowCodec(t *testing.T) {
	is := is.New(t)
	c := benchCore(t, 10, 2)
	openFlow(c, 0, 5)
	f := c.flows.live.first
	f.epoch = 3
	for n := range uint64(20) {
		f.window.mark(n + 1)
		a := answer{
			kind:  packet.Answer,
			parts: [][]byte{make([]byte, 900), {}},
		}
		c.answers.put(0, answerKey{
			scope:  f.key.service,
			flow:   5,
			number: n + 1,
		}, a, a.bytes())
	}
	b := c.encodeFlow(f)
	is.True(len(b)+packet.TunnelBytes <= packet.MaxBytes)
	m, err := decodeFlow(b)
	is.NoErr(err)
	is.Equal(m.window, f.window)
	is.Equal(m.epoch, uint32(3))
	is.Equal(m.entry, entryAddr)
	is.Equal(m.address, serviceAddr)
	is.True(len(m.answers) >= 7)
	is.Equal(m.answers[0].number, uint64(20))
	is.Equal(len(m.answers[0].answer.parts), 2)
}
