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

// upstream carries callers' packets to agents, in one or more goroutines.
type upstream struct {
	process *process
}

// Run forwards until the socket is closed.
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

// upstreamThread owns its buffers and counts; threads share only the snapshot.
type upstreamThread struct {
	process *process
	reader  *udp.Reader
	agents  *udp.Writer
	callers *udp.Writer
	packet  packet.Packet
	counts  upstreamCounts
	forward *metrics.Counter
	dropped [entry.Reasons]*metrics.Counter
	replied [entry.Reasons]*metrics.Counter
	invalid *metrics.Counter
	batches *metrics.Histogram
}

// upstreamCounts collects the counts of one batch, so that shared counters
// are written once a batch.
type upstreamCounts struct {
	forwarded int
	invalid   int
	dropped   [entry.Reasons]int
	replied   [entry.Reasons]int
}

func newUpstreamThread(p *process) *upstreamThread {
	m := p.metrics
	t := &upstreamThread{
		process: p,
		reader:  p.callers.NewReader(),
		agents:  p.processes.NewWriter(),
		callers: p.callers.NewWriter(),
		forward: m.GetOrCreateCounter("ibisfold_packets_forwarded_total"),
		invalid: m.GetOrCreateCounter(`ibisfold_packets_dropped_total{reason="malformed"}`),
	}
	t.batches = m.GetOrCreateHistogram("ibisfold_batch_packets")
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

			return errors.Annotate(err, "read callers")
		}
		t.batch(n)
	}

	return nil
}

// batch forwards one batch under one snapshot. The clock is read after the
// packets, so a pause between the two ends the lease.
func (t *upstreamThread) batch(n int) {
	s := t.process.snapshot.Load()
	now := t.process.clock()
	t.process.lastPacket.Store(int64(now))
	for i := range n {
		data, from := t.reader.Packet(i)
		t.route(s, now, data, from)
	}
	if t.process.clock()-now > maxBatchTime {
		// The process was paused within the batch: the decisions may be old.
		t.agents.Discard()
	}
	t.agents.Flush()
	t.callers.Flush()
	t.flushCounts()
	t.batches.Update(float64(n))
}

// maxBatchTime is far above the time that a batch takes, and far below the
// time after which packets to a zone that was taken out are a fault.
const maxBatchTime = 500 * time.Millisecond

func (t *upstreamThread) route(s *entry.Snapshot, now time.Duration, data []byte, from netip.AddrPort) {
	p := &t.packet
	if err := p.Decode(data); err != nil {
		t.counts.invalid++

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
	t.forward.Add(c.forwarded)
	t.invalid.Add(c.invalid)
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
