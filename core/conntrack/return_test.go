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

// Times of a simulated target beside an agent, and of its callers.
const (
	returnSlots = 9
	returnWork  = 80 * time.Millisecond
	// returnTrip is the way from the target to a caller and back.
	returnTrip = 10 * time.Millisecond
	// returnAim is the time within which an answer counts as in time.
	returnAim     = 300 * time.Millisecond
	returnTimeout = 1500 * time.Millisecond
	returnAnswer  = 1000
)

// returnWorld joins an agent's decisions with a target that works on requests in the
// order of their arrival, and callers that open a flow for each request.
type returnWorld struct {
	simclock.Clock

	core  Core
	free  [returnSlots]time.Duration
	began map[segment.Key]time.Duration
	ports uint16
	// fresh counts the requests that were first sent after the return, inTime those of
	// them that were answered within returnAim, opened all flows that were opened, and
	// refused those that the agent handed back.
	fresh   int
	inTime  int
	opened  int
	refused int
}

func newReturnWorld(p *Policy) *returnWorld {
	w := &returnWorld{
		core: Core{
			Complete: true,
			Policy:   p,
		},
		began: map[segment.Key]time.Duration{},
	}
	w.Every(TickTime, TickTime, func() {
		w.update(Tick{})
	})

	return w
}

// request opens a flow whose caller has waited for age already.
func (w *returnWorld) request(age time.Duration) {
	w.ports++
	k := testKey
	k.CallerPort = w.ports
	w.began[k] = w.Now - age
	w.update(&EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind:    relay.Open,
			Key:     k,
			Slots:   returnSlots,
			Age:     uint16(age.Milliseconds()),
			Timeout: uint16(returnTimeout.Milliseconds()),
			Packet:  binary.LittleEndian.AppendUint16([]byte{byte(segment.SYN)}, k.CallerPort),
		},
		Segment: segment.Segment{
			Key:   k,
			Flags: segment.SYN,
		},
	})
}

func (w *returnWorld) update(m Message) {
	for _, x := range slices.Clone(w.core.Update(w.Now, m)) {
		switch x := x.(type) {
		case ToTarget:
			w.toTarget(slices.Clone(x.Packet))
		case ToEntry:
			if x.Message.Kind == relay.Returned {
				w.refused++
			}
		}
	}
}

// toTarget lets the target accept a flow or work on its request.
func (w *returnWorld) toTarget(packet []byte) {
	k := testKey
	k.CallerPort = binary.LittleEndian.Uint16(packet[1:])
	if segment.Flags(packet[0]).Has(segment.SYN) {
		w.After(0, func() {
			w.opened++
			w.fromTarget(k, segment.SYN|segment.ACK, 0)
			w.After(returnTrip, func() {
				w.sendRequest(k)
			})
		})

		return
	}
	slot := 0
	for i := range w.free {
		if w.free[i] < w.free[slot] {
			slot = i
		}
	}
	w.free[slot] = max(w.free[slot], w.Now) + returnWork
	w.After(w.free[slot]-w.Now, func() {
		w.fromTarget(k, segment.ACK, 1)
		if w.began[k] > 0 && w.Now-w.began[k] <= returnAim {
			w.inTime++
		}
	})
}

func (w *returnWorld) fromTarget(k segment.Key, flags segment.Flags, length int) {
	w.update(&TargetPacket{
		Segment: segment.Segment{
			Key:        k,
			FromTarget: true,
			Flags:      flags,
			Seq:        returnAnswer,
			Len:        length,
		},
	})
}

// sendRequest sends the request of a flow that was opened, unless its caller has
// given up.
func (w *returnWorld) sendRequest(k segment.Key) {
	if w.Now-w.began[k] >= returnTimeout {
		return
	}
	w.update(&EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind:   relay.Deliver,
			Key:    k,
			Packet: binary.LittleEndian.AppendUint16([]byte{byte(segment.ACK)}, k.CallerPort),
		},
		Segment: segment.Segment{
			Key:   k,
			Flags: segment.ACK,
			Ack:   returnAnswer + 1,
			Len:   1,
		},
	})
}

// returnOfAll plays the return of callers that waited through an outage, beside new
// ones at nearly the rate that the target can serve. It returns the share of the new
// ones that were served in time.
func returnOfAll(p *Policy) float64 {
	const (
		waited = 130
		rate   = 100
		first  = 10 * time.Millisecond
	)
	w := newReturnWorld(p)
	for i := range waited {
		w.At(first, func() {
			w.request([]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}[i%2])
		})
	}
	for i := range 2 * rate {
		w.At(first+time.Duration(i+1)*time.Second/rate, func() {
			w.fresh++
			w.request(0)
		})
	}
	w.Run(4 * time.Second)

	return float64(w.inTime) / float64(w.fresh)
}

// Guards against an outage of a second after which all requests are late for seconds,
// because those that waited through it are served first. Pattern: return of all
// callers.
func TestNewestFirstAfterOutage(t *testing.T) {
	is := is.New(t)
	p := DefaultPolicy()
	newest := returnOfAll(&p)
	p.QueueSlots = 0
	arrival := returnOfAll(&p)
	t.Logf("in time: %.2f newest first, %.2f in the order of arrival", newest, arrival)
	is.True(newest >= 0.9)
	is.True(arrival < newest/2)
}

// Guards against callers that never get a flow, because open flows keep the target
// busy. Pattern: sustained overload by callers that send their next request at once.
func TestNewFlowsHaveAShare(t *testing.T) {
	is := is.New(t)
	p := DefaultPolicy()
	w := newReturnWorld(&p)
	w.request(0)
	w.Run(time.Second)
	w.opened = 0
	for i := range 4 * returnSlots {
		k := testKey
		k.CallerPort = uint16(1000 + i)
		w.core.work.begin(w.Now, k)
	}
	w.request(0)
	is.Equal(w.core.backlog.size(), 0)
	for range 2 * returnSlots {
		w.request(0)
	}
	is.True(w.core.backlog.size() > 0)
}

// Guards against SYNs that wait on after their callers have given up, without an
// answer to the entry, and against copies that move one to the front.
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
	is.Equal(len(b.expired(time.Second+segment.OpenTime-500*time.Millisecond)), 1)
	for _, port := range []uint16{0, 2} {
		w, ok := b.newest()
		is.True(ok)
		is.Equal(w.message.Message.Key.CallerPort, port)
	}
	_, ok := b.newest()
	is.True(!ok)
}

// Guards against urgent requests that wait behind others which are newer. Pattern:
// return of all callers, of routes of several priorities.
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
		w, ok := b.newest()
		is.True(ok)
		is.Equal(w.message.Message.Key.CallerPort, port)
	}
}

// Guards against callers that wait until they give up for a target that could not get
// to them in any case. Pattern: more callers than the target can serve.
func TestUnreachableFlowsAreRefused(t *testing.T) {
	is := is.New(t)
	w := newReturnWorld(nil)
	w.core.work.mean = returnWork
	w.core.slots = returnSlots
	reachable := int(returnSlots * segment.OpenTime / returnWork)
	for range 3 * reachable {
		w.request(0)
	}
	is.True(w.core.backlog.size() <= reachable)
	is.True(w.core.backlog.size() >= reachable-returnSlots)
	is.True(w.refused >= reachable)
}
