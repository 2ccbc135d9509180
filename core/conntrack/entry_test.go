package conntrack

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

var (
	testEntry = netip.MustParseAddrPort("10.0.0.1:7720")
	testKey   = segment.KeyOf(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
)

// openMessage returns an entry's message with a SYN; coldRate is ten times the rate of new
// flows that a cold target takes, zero for no limit.
func openMessage(k segment.Key, coldRate uint16) *EntryMessage {
	return &EntryMessage{
		From: testEntry,
		Message: relay.Message{
			Kind:     relay.Open,
			Key:      k,
			ColdRate: coldRate,
			Packet:   []byte{1},
		},
		Segment: segment.Segment{
			Key:   k,
			Flags: segment.SYN,
		},
	}
}

// forwarded reports whether one of the commands passes a packet to the target.
func forwarded(commands []Command) bool {
	for _, c := range commands {
		if _, ok := c.(ToTarget); ok {
			return true
		}
	}

	return false
}

// Guards against a retransmitted SYN that is refused although the target got the first
// one: the entry would reset a flow that the target has opened.
func TestRetransmittedSYNIsNotRefused(t *testing.T) {
	is := is.New(t)
	c := Core{
		Complete: true,
	}
	is.True(forwarded(c.Update(0, openMessage(testKey, 1))))
	other := testKey
	other.CallerPort++
	is.True(!forwarded(c.Update(time.Millisecond, openMessage(other, 1))))
	is.True(forwarded(c.Update(2*time.Millisecond, openMessage(testKey, 1))))
}

// Guards against requests that a target dropped, because it restarted or their callers
// gave up, and that count as its load forever.
func TestDroppedRequestsDoNotCountAsLoad(t *testing.T) {
	is := is.New(t)
	f := inflight{}
	for i := range 20 {
		k := testKey
		k.CallerPort += uint16(i)
		f.begin(0, k)
	}
	f.begin(minOverdueTime, testKey)
	f.expire(minOverdueTime + time.Millisecond)
	is.Equal(f.inProgress, 0)

	f.begin(time.Second, testKey)
	is.Equal(f.inProgress, 1)
	took, ok := f.end(time.Second+30*time.Millisecond, testKey)
	is.True(ok)
	is.Equal(took, 30*time.Millisecond)
	_, ok = f.end(2*time.Second, testKey)
	is.True(!ok)
}

// Guards against a target with a long queue that seems idle because its overdue requests
// are discarded before their answers can show how long the target takes.
func TestLongQueueCountsAsLoad(t *testing.T) {
	is := is.New(t)
	f := inflight{}
	const queue = 3 * minOverdueTime
	key := func(i int) segment.Key {
		k := testKey
		k.CallerPort += uint16(i)

		return k
	}
	now := time.Duration(0)
	for i := range 300 {
		now += 10 * time.Millisecond
		f.begin(now, key(i))
		if answered := i - int(queue/(10*time.Millisecond)); answered >= 0 {
			f.end(now, key(answered))
		}
		f.expire(now)
	}
	is.True(f.inProgress >= 100)
}
