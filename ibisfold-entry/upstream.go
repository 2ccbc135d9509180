package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"ibisfold.example/core/entry"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/udp"
)

// upstream forwards callers' packets to agents, in one or more goroutines.
type upstream struct {
	process *process
}

// Run implements kernel.Runner. It forwards packets until the socket is closed.
func (u *upstream) Run(ctx context.Context) error {
	g := &errgroup.Group{}
	for range max(1, u.process.settings.Threads) {
		t := newUpstreamThread(u.process)
		g.Go(func() error {
			return t.run(ctx)
		})
	}

	return g.Wait()
}

// upstreamThread forwards packets in one goroutine. It owns its buffers and counts; only the
// process, with its snapshot, and the metrics are shared between threads.
type upstreamThread struct {
	process *process
	reader  *udp.Reader
	// agents and callers write to the sockets for other processes and for callers.
	agents         *udp.Writer
	callers        *udp.Writer
	packet         packet.Packet
	counts         upstreamCounts
	forwardedTotal *metrics.Counter
	dropped        [entry.Reasons]*metrics.Counter
	replied        [entry.Reasons]*metrics.Counter
	malformed      *metrics.Counter
	batchSizes     *metrics.Histogram
}

// upstreamCounts holds the counts of one batch, so that the shared counters are
// written only once per batch.
type upstreamCounts struct {
	forwarded int
	malformed int
	dropped   [entry.Reasons]int
	replied   [entry.Reasons]int
}

func newUpstreamThread(p *process) *upstreamThread {
	m := p.metrics
	t := &upstreamThread{
		process:        p,
		reader:         p.callers.NewReader(),
		agents:         p.processes.NewWriter(),
		callers:        p.callers.NewWriter(),
		forwardedTotal: m.GetOrCreateCounter("ibisfold_packets_forwarded_total"),
		malformed:      m.GetOrCreateCounter(`ibisfold_packets_dropped_total{reason="malformed"}`),
	}
	t.batchSizes = m.GetOrCreateHistogram("ibisfold_batch_packets")
	for i := range entry.Reasons {
		r := entry.Reason(i).String()
		t.dropped[i] = m.GetOrCreateCounter(`ibisfold_packets_dropped_total{reason="` + r + `"}`)
		t.replied[i] = m.GetOrCreateCounter(`ibisfold_packets_answered_total{reason="` + r + `"}`)
	}

	return t
}

func (t *upstreamThread) run(ctx context.Context) error {
	for ctx.Err() == nil {
		n, err := t.reader.Read(time.Time{})
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if udp.Transient(err) {
				t.process.log.Warn("socket error", "error", err)

				continue
			}

			return errors.Annotate(err, "read from the socket of callers")
		}
		t.forwardBatch(n)
	}

	return nil
}

// forwardBatch forwards the n packets of a batch by one snapshot. The clock is read after
// the packets, so that a pause between the two reads counts against the lease.
func (t *upstreamThread) forwardBatch(n int) {
	s := t.process.snapshot.Load()
	now := t.process.clock()
	t.process.lastPacket.Store(int64(now))
	for i := range n {
		data, from := t.reader.Packet(i)
		t.route(s, now, data, from)
	}
	if t.process.clock()-now > maxBatchTime {
		// The process was paused during the batch, so its decisions may be outdated.
		t.agents.Discard()
	}
	t.agents.Flush()
	t.callers.Flush()
	t.flushCounts()
	t.batchSizes.Update(float64(n))
}

// maxBatchTime bounds the time between the decisions on a batch and its sending. If it is
// exceeded, the packets of the batch for agents are discarded. It is far above the time that
// a batch takes, and far below the time within which an entry has to stop sending packets to
// a zone out of service.
const maxBatchTime = 500 * time.Millisecond

func (t *upstreamThread) route(s *entry.Snapshot, now time.Duration, data []byte, from netip.AddrPort) {
	p := &t.packet
	if err := p.Decode(data); err != nil {
		t.counts.malformed++

		return
	}

	d := entry.Route(s, t.process.keys, now, p)
	switch d.Action {
	case entry.Forward:
		t.counts.forwarded++
		h := d.Header(s, t.process.self, from)
		b := h.Append(t.agents.Next(), t.process.keys)
		t.agents.Add(append(b, data...), d.Agent)
	case entry.Reply:
		t.counts.replied[d.Reason]++
		a := d.Answer(p)
		t.callers.Add(a.Append(t.callers.Next()), from)
	default:
		t.counts.dropped[d.Reason]++
	}
}

func (t *upstreamThread) flushCounts() {
	c := &t.counts
	t.forwardedTotal.Add(c.forwarded)
	t.malformed.Add(c.malformed)
	for i := range entry.Reasons {
		if c.dropped[i] > 0 {
			t.dropped[i].Add(c.dropped[i])
		}
		if c.replied[i] > 0 {
			t.replied[i].Add(c.replied[i])
		}
	}
	*c = upstreamCounts{}
}
