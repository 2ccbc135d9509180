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

// testTickTime is the time between two ticks of the tests' loops.
const testTickTime = 20 * time.Millisecond

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// testLoop is a loop with two sockets. Datagrams that peers send are counted, and each
// takes work.
type testLoop struct {
	Loop

	peer  *udp.Socket
	work  time.Duration
	taken [2]int
	// behind counts the ticks that were behind, ticks all.
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
	for n := range l.taken {
		l.Inputs = append(l.Inputs, Input{
			Socket: listen(t),
			Take: func(b udp.Batch) {
				l.taken[n] += b.Count
				time.Sleep(time.Duration(b.Count) * l.work)
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

// pump starts the sockets' goroutines only, so that the test runs each step. It returns
// when they have made their buffers.
func (l *testLoop) pump(t testing.TB) <-chan inputBatch {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	batches := make(chan inputBatch)
	for n := range l.Inputs {
		i := &l.Inputs[n]
		go i.Socket.Pump(ctx, i.channel(ctx, batches))
		l.send(t, n, 1)
		l.take(<-batches)
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

// Guards against a tick that ends a wait while the answer is in a socket, in either of
// two, in the hands of a goroutine that reads it, or behind a full batch.
func TestTickTakesWhatHasArrived(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t)
	batches := l.pump(t)
	for round, count := range []int{0, 1, 2, udp.BatchSize, 3 * udp.BatchSize, 1, 0} {
		input := round % 2
		before := l.taken[input]
		l.send(t, input, count)
		// On a busy machine a goroutine may get no core for the whole of a tick.
		for tries, behind := 0, -1; behind != l.behind && tries < 50; tries++ {
			behind = l.behind
			l.tick(time.Now(), batches)
		}
		is.Equal(l.taken[input]-before, count)
	}
	is.True(l.behind <= l.ticks/2)
}

// flood sends datagrams to the loop's sockets by turns until the test stops it, or has
// sent enough of them. It counts them before each is sent off.
type flood struct {
	mutex sync.Mutex
	sent  int
	ended sync.WaitGroup
	stop  context.CancelFunc
}

const (
	// floodMost bounds the datagrams of a flood.
	floodMost = 500_000
	// floodTime bounds the wait for what a flood has to bring about.
	floodTime = 10 * time.Second
)

func (l *testLoop) flood(gap time.Duration, inputs int) *flood {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flood{
		stop: cancel,
	}
	f.ended.Go(func() {
		for i := 0; i < floodMost && ctx.Err() == nil; i++ {
			f.mutex.Lock()
			_ = l.peer.WriteTo([]byte{1}, l.Inputs[i%inputs].Socket.Addr())
			f.sent++
			f.mutex.Unlock()
			time.Sleep(gap)
		}
	})

	return f
}

func (f *flood) arrived() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	return f.sent
}

func (f *flood) end() {
	f.stop()
	f.ended.Wait()
}

// Guards against the same while datagrams come without end, and against a process that
// counts as behind because there is always one in its socket.
func TestTickBesideTraffic(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t)
	batches := l.pump(t)
	f := l.flood(20*time.Microsecond, 1)
	defer f.end()
	for range 100 {
		time.Sleep(time.Millisecond)
		arrived, behind := f.arrived(), l.behind
		l.tick(time.Now(), batches)
		is.True(l.behind > behind || l.taken[0] >= arrived)
	}
	is.True(l.behind < 20)
}

// Guards against a flood that holds ticks up, and against ticks that do not say that
// they are behind.
func TestFloodDoesNotHoldTicksUp(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t)
	l.work = 20 * time.Microsecond
	batches := l.pump(t)
	f := l.flood(0, len(l.Inputs))
	time.Sleep(testTickTime)
	start := l.taken
	behind := 0
	// On a busy machine a goroutine may get no core for the whole of a tick.
	for end := time.Now().Add(floodTime); time.Now().Before(end) && (behind < 5 || l.taken[0] == start[0] || l.taken[1] == start[1]); {
		before := l.taken
		told := l.behind
		begin := time.Now()
		l.tick(begin, batches)
		is.True(l.behind > told || l.drained(begin))
		is.True(l.taken[0]+l.taken[1]-before[0]-before[1] <= catchUpBatches*udp.BatchSize)
		behind = l.behind
	}
	is.True(behind >= 5)
	is.True(l.taken[0] > start[0])
	is.True(l.taken[1] > start[1])
	f.end()
	for range 100 {
		l.tick(time.Now(), batches)
	}
	is.True(l.drained(time.Time{}))
	is.True(l.behind < l.ticks)
}

// Guards against a datagram that a goroutine has read and that counts as handled.
func TestBatchInHandIsNotDrained(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t)
	batches := l.pump(t)
	l.send(t, 0, 1)
	time.Sleep(10 * time.Millisecond)
	is.True(!l.drained(time.Time{}))
	b := <-batches
	is.True(!l.drained(time.Time{}))
	l.take(b)
	is.True(l.drained(time.Time{}))
}

// Guards against a process that stood still and does not tell it.
func TestPauseIsTold(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t)
	out := bytes.Buffer{}
	l.Process.Log = eventlog.New(&out, "test")
	batches := l.pump(t)
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
	batches := l.pump(b)
	b.ReportAllocs()
	for b.Loop() {
		l.tick(time.Now(), batches)
	}
}

// BenchmarkPump measures datagrams through a socket and its goroutines, one at a time
// and in bursts.
func BenchmarkPump(b *testing.B) {
	for _, burst := range []int{1, udp.BatchSize} {
		b.Run(fmt.Sprint(burst), func(b *testing.B) {
			l := newTestLoop(b)
			batches := l.pump(b)
			b.ReportAllocs()
			for b.Loop() {
				end := l.taken[0] + burst
				l.send(b, 0, burst)
				for l.taken[0] < end {
					l.take(<-batches)
				}
			}
		})
	}
}
