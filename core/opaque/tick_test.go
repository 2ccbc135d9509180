package opaque

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/eventlog"
	"ibisfold.example/core/udp"
)

// testTickTime is the interval between two ticks of the tests' loops.
const testTickTime = 20 * time.Millisecond

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// testLoop is a Loop with two sockets, to which peer sends datagrams.
type testLoop struct {
	Loop

	peer *udp.Socket
	// serviceTime is how long the loop takes to handle a datagram.
	serviceTime time.Duration
	// handled counts the datagrams of each socket that were handled.
	handled [2]int
	// ticks counts all ticks, behind those that were behind.
	ticks  int
	behind int
}

func newTestLoop(t testing.TB) *testLoop {
	l := &testLoop{}
	l.Loop = Loop{
		Process:  New("test"),
		TickTime: testTickTime,
		Tick: func(behind bool) {
			l.ticks++
			if behind {
				l.behind++
			}
		},
		Flush: func() {},
	}
	for n := range l.handled {
		l.Inputs = append(l.Inputs, Input{
			Socket: listen(t),
			Handle: func(b udp.Batch) {
				l.handled[n] += b.Count
				time.Sleep(time.Duration(b.Count) * l.serviceTime)
				b.Done()
			},
		})
	}
	l.peer = listen(t)

	return l
}

func listen(t testing.TB) *udp.Socket {
	s, err := udp.Listen(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
	})

	return s
}

// startPumps starts the goroutines that read the sockets, but not the Loop itself, so that
// the test runs each step. It returns after they have allocated their buffers.
func (l *testLoop) startPumps(t testing.TB) <-chan inputBatch {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	batches := make(chan inputBatch)
	for n := range l.Inputs {
		i := &l.Inputs[n]
		go i.Socket.Pump(ctx, i.tagBatches(ctx, batches))
		l.send(t, n, 1)
		l.handle(<-batches)
	}

	return batches
}

func (l *testLoop) send(t testing.TB, input, count int) {
	for range count {
		if err := l.peer.WriteTo([]byte{1}, l.Inputs[input].Socket.Addr()); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a timeout that expires in a tick although the answer has already arrived.
// The answer may be in either socket's buffer, in a batch that the socket's goroutine has
// read but not sent, or behind a full batch.
func TestTickHandlesArrivedDatagrams(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t)
	batches := l.startPumps(t)
	for round, count := range []int{0, 1, 2, udp.BatchSize, 3 * udp.BatchSize, 1, 0} {
		input := round % 2
		before := l.handled[input]
		l.send(t, input, count)
		// On a busy machine a goroutine may not be scheduled during a whole tick.
		for tries, behind := 0, -1; behind != l.behind && tries < 50; tries++ {
			behind = l.behind
			l.tick(time.Now(), batches)
		}
		is.Equal(l.handled[input]-before, count)
	}
	is.True(l.behind <= l.ticks/2)
}

// flood sends datagrams to the loop's sockets in turn until the test stops it or
// maxFloodDatagrams are sent. The mutex is held while a datagram is sent and counted.
type flood struct {
	mutex sync.Mutex
	sent  int
	ended sync.WaitGroup
	stop  context.CancelFunc
}

const (
	maxFloodDatagrams = 500_000
	// maxFloodTime bounds the wait until a flood has had the effects that the test checks.
	maxFloodTime = 10 * time.Second
)

// flood starts a flood of the first inputs sockets, with a pause of gap after each datagram.
func (l *testLoop) flood(gap time.Duration, inputs int) *flood {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flood{
		stop: cancel,
	}
	f.ended.Go(func() {
		for i := 0; i < maxFloodDatagrams && ctx.Err() == nil; i++ {
			f.mutex.Lock()
			_ = l.peer.WriteTo([]byte{1}, l.Inputs[i%inputs].Socket.Addr())
			f.sent++
			f.mutex.Unlock()
			time.Sleep(gap)
		}
	})

	return f
}

// arrived returns the number of datagrams sent so far. Over the loopback interface a
// datagram has arrived as soon as it is sent.
func (f *flood) arrived() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.sent
}

func (f *flood) end() {
	f.stop()
	f.ended.Wait()
}

// Guards against a tick under constant traffic that leaves a datagram unhandled which
// arrived before it. Also guards against a process that counts as behind only because
// there is always a datagram in its socket.
func TestTickUnderConstantTraffic(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t)
	batches := l.startPumps(t)
	f := l.flood(20*time.Microsecond, 1)
	defer f.end()
	for range 100 {
		time.Sleep(time.Millisecond)
		arrived, behind := f.arrived(), l.behind
		l.tick(time.Now(), batches)
		is.True(l.behind > behind || l.handled[0] >= arrived)
	}
	is.True(l.behind < 20)
}

// Guards against a flood that delays ticks, and against ticks that leave datagrams
// unhandled without reporting that they are behind.
func TestFloodDoesNotDelayTicks(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t)
	l.serviceTime = 20 * time.Microsecond
	batches := l.startPumps(t)
	f := l.flood(0, len(l.Inputs))
	time.Sleep(testTickTime)
	start := l.handled
	behind := 0
	// On a busy machine a goroutine may not be scheduled during a whole tick.
	for end := time.Now().Add(maxFloodTime); time.Now().Before(end) && (behind < 5 || l.handled[0] == start[0] || l.handled[1] == start[1]); {
		before := l.handled
		behindBefore := l.behind
		begin := time.Now()
		l.tick(begin, batches)
		is.True(l.behind > behindBefore || l.drainedSince(begin))
		is.True(l.handled[0]+l.handled[1]-before[0]-before[1] <= maxDrainBatches*udp.BatchSize)
		behind = l.behind
	}
	is.True(behind >= 5)
	is.True(l.handled[0] > start[0])
	is.True(l.handled[1] > start[1])
	f.end()
	for range 100 {
		l.tick(time.Now(), batches)
	}
	is.True(l.drainedSince(time.Time{}))
	is.True(l.behind < l.ticks)
}

// Guards against a datagram that counts as handled as soon as the socket's goroutine has
// read it.
func TestReadBatchIsNotDrained(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t)
	batches := l.startPumps(t)
	l.send(t, 0, 1)
	time.Sleep(10 * time.Millisecond)
	is.True(!l.drainedSince(time.Time{}))
	b := <-batches
	is.True(!l.drainedSince(time.Time{}))
	l.handle(b)
	is.True(l.drainedSince(time.Time{}))
}

// Guards against a pause of the process that is missing from the log or the metrics.
func TestPauseIsReported(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t)
	out := bytes.Buffer{}
	l.Process.Log = eventlog.New(&out, "test")
	batches := l.startPumps(t)
	l.tick(time.Now().Add(-testTickTime), batches)
	l.tick(time.Now().Add(-2*time.Second), batches)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(l.Process.Log.Run(ctx))
	is.Equal(strings.Count(out.String(), "process was paused"), 1)
	is.True(strings.Contains(out.String(), "duration=2"))

	out.Reset()
	l.Process.Metrics.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), "ibisfold_tick_delay_seconds_count 2"))
	is.True(strings.Contains(out.String(), "ibisfold_ticks_behind_total 0"))
}

// BenchmarkTick measures the tick of an idle process.
func BenchmarkTick(b *testing.B) {
	l := newTestLoop(b)
	batches := l.startPumps(b)
	b.ReportAllocs()
	for b.Loop() {
		l.tick(time.Now(), batches)
	}
}

// BenchmarkPump measures how long datagrams take from the sending socket through the
// receiving socket and its goroutines, one at a time and in bursts.
func BenchmarkPump(b *testing.B) {
	for _, burst := range []int{1, udp.BatchSize} {
		b.Run(fmt.Sprint(burst), func(b *testing.B) {
			l := newTestLoop(b)
			batches := l.startPumps(b)
			b.ReportAllocs()
			for b.Loop() {
				end := l.handled[0] + burst
				l.send(b, 0, burst)
				for l.handled[0] < end {
					l.handle(<-batches)
				}
			}
		})
	}
}
