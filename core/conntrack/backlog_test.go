package conntrack

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
	"ibisfold.example/core/simclock"
)

// Parameters of a simulated target beside an agent, and of its callers.
const (
	simSlots       = 9
	simServiceTime = 80 * time.Millisecond
	// simRoundTrip is the round-trip time between the target and a caller.
	simRoundTrip = 10 * time.Millisecond
	// simLatencyTarget is the time within which an answer counts as in time.
	simLatencyTarget = 300 * time.Millisecond
	simTimeout       = 1500 * time.Millisecond
	simSYNACKSeq     = 1000
)

// backlogSim connects an agent's core with a simulated target that works on requests in
// the order of their arrival, and with callers that open a flow for each request.
type backlogSim struct {
	simclock.Clock

	core       Core
	slotFreeAt [simSlots]time.Duration
	firstSYN   map[segment.Key]time.Duration
	ports      uint16
	// newRequests counts the requests that were first sent after the outage. inTime counts
	// those of them that were answered within simLatencyTarget. opened counts all flows
	// that were opened, and refused those that the agent returned.
	newRequests int
	inTime      int
	opened      int
	refused     int
}

func newBacklogSim(p *Policy) *backlogSim {
	s := &backlogSim{
		core: Core{
			Complete: true,
			Policy:   p,
		},
		firstSYN: map[segment.Key]time.Duration{},
	}
	s.Every(TickTime, TickTime, func() {
		s.update(Tick{})
	})

	return s
}

// request opens a flow whose caller has already waited for age.
func (s *backlogSim) request(age time.Duration) {
	s.ports++
	k := testKey
	k.CallerPort = s.ports
	s.firstSYN[k] = s.Now - age
	s.update(&EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind:    relay.Open,
			Key:     k,
			Slots:   simSlots,
			Age:     uint16(age.Milliseconds()),
			Timeout: uint16(simTimeout.Milliseconds()),
			Packet:  binary.LittleEndian.AppendUint16([]byte{byte(segment.SYN)}, k.CallerPort),
		},
		Segment: segment.Segment{
			Key:   k,
			Flags: segment.SYN,
		},
	})
}

func (s *backlogSim) update(m Message) {
	for _, x := range slices.Clone(s.core.Update(s.Now, m)) {
		switch x := x.(type) {
		case ToTarget:
			s.toTarget(slices.Clone(x.Packet))
		case ToEntry:
			if x.Message.Kind == relay.Returned {
				s.refused++
			}
		}
	}
}

// toTarget makes the target accept a flow or work on its request.
func (s *backlogSim) toTarget(packet []byte) {
	k := testKey
	k.CallerPort = binary.LittleEndian.Uint16(packet[1:])
	if segment.Flags(packet[0]).Has(segment.SYN) {
		s.After(0, func() {
			s.opened++
			s.fromTarget(k, segment.SYN|segment.ACK, 0)
			s.After(simRoundTrip, func() {
				s.sendRequest(k)
			})
		})

		return
	}
	slot := 0
	for i := range s.slotFreeAt {
		if s.slotFreeAt[i] < s.slotFreeAt[slot] {
			slot = i
		}
	}
	s.slotFreeAt[slot] = max(s.slotFreeAt[slot], s.Now) + simServiceTime
	s.After(s.slotFreeAt[slot]-s.Now, func() {
		s.fromTarget(k, segment.ACK, 1)
		if s.firstSYN[k] > 0 && s.Now-s.firstSYN[k] <= simLatencyTarget {
			s.inTime++
		}
	})
}

func (s *backlogSim) fromTarget(k segment.Key, flags segment.Flags, length int) {
	s.update(&TargetPacket{
		Segment: segment.Segment{
			Key:        k,
			FromTarget: true,
			Flags:      flags,
			Seq:        simSYNACKSeq,
			Len:        length,
		},
	})
}

// sendRequest sends the request of an open flow, unless its caller has given up.
func (s *backlogSim) sendRequest(k segment.Key) {
	if s.Now-s.firstSYN[k] >= simTimeout {
		return
	}
	s.update(&EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind:   relay.Deliver,
			Key:    k,
			Packet: binary.LittleEndian.AppendUint16([]byte{byte(segment.ACK)}, k.CallerPort),
		},
		Segment: segment.Segment{
			Key:   k,
			Flags: segment.ACK,
			Ack:   simSYNACKSeq + 1,
			Len:   1,
		},
	})
}

// simulateOutageRecovery simulates the return of callers that waited through an outage,
// alongside new callers at nearly the rate that the target can serve. It returns the share
// of the new requests that were answered in time.
func simulateOutageRecovery(p *Policy) float64 {
	const (
		returning = 130
		rate      = 100
		outageEnd = 10 * time.Millisecond
	)
	s := newBacklogSim(p)
	for i := range returning {
		s.At(outageEnd, func() {
			s.request([]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}[i%2])
		})
	}
	for i := range 2 * rate {
		s.At(outageEnd+time.Duration(i+1)*time.Second/rate, func() {
			s.newRequests++
			s.request(0)
		})
	}
	s.Run(4 * time.Second)

	return float64(s.inTime) / float64(s.newRequests)
}

// Guards against requests that stay late for seconds after an outage of one second,
// because those that waited through it are served first when all callers return at once.
func TestNewestFirstAfterOutage(t *testing.T) {
	is := is.New(t)
	p := DefaultPolicy()
	newest := simulateOutageRecovery(&p)
	p.QueueSlots = 0
	arrival := simulateOutageRecovery(&p)
	t.Logf("in time: %.2f newest first, %.2f in the order of arrival", newest, arrival)
	is.True(newest >= 0.9)
	is.True(arrival < newest/2)
}

// Guards against callers that never get a flow because open flows keep the target busy.
// This happens in sustained overload by callers that send their next request at once.
func TestNewFlowsHaveReservedShare(t *testing.T) {
	is := is.New(t)
	p := DefaultPolicy()
	s := newBacklogSim(&p)
	s.request(0)
	s.Run(time.Second)
	s.opened = 0
	for i := range 4 * simSlots {
		k := testKey
		k.CallerPort = uint16(1000 + i)
		s.core.inflight.begin(s.Now, k)
	}
	s.request(0)
	is.Equal(s.core.backlog.size(), 0)
	for range 2 * simSlots {
		s.request(0)
	}
	is.True(s.core.backlog.size() > 0)
}

// Guards against SYNs that stay queued after their callers have given up without an answer
// to the entry, and against retransmitted SYNs that move a flow to the front.
func TestBacklogOrder(t *testing.T) {
	is := is.New(t)
	b := backlog{}
	for i, age := range []uint16{0, 600, 200} {
		m := openMessage(testKey, 0)
		m.Message.Key.CallerPort = uint16(i)
		m.Message.Age = age
		b.put(time.Second, m)
		b.put(time.Second, m)
	}
	is.Equal(b.size(), 3)
	is.Equal(len(b.removeExpired(time.Second+segment.ConnectTimeout-500*time.Millisecond)), 1)
	for _, port := range []uint16{0, 2} {
		w, ok := b.popMostUrgent()
		is.True(ok)
		is.Equal(w.message.Message.Key.CallerPort, port)
	}
	_, ok := b.popMostUrgent()
	is.True(!ok)
}

// Guards against urgent requests that wait behind newer, less urgent ones, when all
// callers return at once on routes with several priorities.
func TestUrgentFlowsGoFirst(t *testing.T) {
	is := is.New(t)
	b := backlog{}
	for i, priority := range []uint8{2, 1, 2, 1} {
		m := openMessage(testKey, 0)
		m.Message.Key.CallerPort = uint16(i)
		m.Message.Priority = priority
		b.put(time.Duration(i)*time.Millisecond, m)
	}
	for _, port := range []uint16{3, 1, 2, 0} {
		w, ok := b.popMostUrgent()
		is.True(ok)
		is.Equal(w.message.Message.Key.CallerPort, port)
	}
}

// Guards against callers that wait until they give up for a target that could never have
// served them in time, because there are more callers than it can serve.
func TestUnservableFlowsAreRefused(t *testing.T) {
	is := is.New(t)
	s := newBacklogSim(nil)
	s.core.inflight.meanAnswerTime = simServiceTime
	s.core.slots = simSlots
	limit := int(simSlots * segment.ConnectTimeout / simServiceTime)
	for range 3 * limit {
		s.request(0)
	}
	is.True(s.core.backlog.size() <= limit)
	is.True(s.core.backlog.size() >= limit-simSlots)
	is.True(s.refused >= limit)
}
