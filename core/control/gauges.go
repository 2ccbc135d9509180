package control

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/peer"
)

// gauges exposes the state and the counters of a core as metrics. The control
// goroutine updates them, and /metrics reads them concurrently.
type gauges struct {
	counters  atomic.Pointer[mesh.Counters]
	ticket    atomic.Uint64
	peers     atomic.Int64
	suspects  atomic.Int64
	reader    atomic.Bool
	confirmed atomic.Bool
}

func (g *gauges) update(now time.Duration, c *mesh.Core) {
	counters := c.Counters()
	g.counters.Store(&counters)
	g.ticket.Store(c.State().Highest())
	g.peers.Store(int64(len(c.Peers())))
	g.suspects.Store(int64(len(c.Suspects())))
	g.reader.Store(c.Reader())
	g.confirmed.Store(now < c.ConfirmedUntil())
}

func (g *gauges) register(s *metrics.Set, datagrams, calls *peer.Drops, l *Loop) {
	g.counters.Store(&mesh.Counters{})
	s.NewGauge("ibisfold_ticket", func() float64 {
		return float64(g.ticket.Load())
	})
	s.NewGauge("ibisfold_peers", func() float64 {
		return float64(g.peers.Load())
	})
	s.NewGauge("ibisfold_suspects", func() float64 {
		return float64(g.suspects.Load())
	})
	s.NewGauge("ibisfold_reader", func() float64 {
		return boolValue(g.reader.Load())
	})
	s.NewGauge("ibisfold_view_confirmed", func() float64 {
		return boolValue(g.confirmed.Load())
	})
	s.NewGauge("ibisfold_control_inbox_dropped_total", func() float64 {
		return float64(l.Dropped.Load())
	})
	g.registerCounters(s)
	registerDrops(s, "datagram", datagrams)
	registerDrops(s, "call", calls)
}

// boolValue returns the value of a gauge for b.
func boolValue(b bool) float64 {
	if b {
		return 1
	}

	return 0
}

func (g *gauges) registerCounters(s *metrics.Set) {
	for name, read := range map[string]func(c *mesh.Counters) uint64{
		`ibisfold_tickets_merged_total`:                    func(c *mesh.Counters) uint64 { return c.Merged },
		`ibisfold_tickets_invalid_total{reason="parse"}`:   func(c *mesh.Counters) uint64 { return c.InvalidTicket },
		`ibisfold_tickets_invalid_total{reason="hash"}`:    func(c *mesh.Counters) uint64 { return c.InvalidHash },
		`ibisfold_tickets_invalid_total{reason="body"}`:    func(c *mesh.Counters) uint64 { return c.InvalidBody },
		`ibisfold_control_invalid_total`:                   func(c *mesh.Counters) uint64 { return c.InvalidWire },
		`ibisfold_control_bytes_total{direction="out"}`:    func(c *mesh.Counters) uint64 { return c.BytesSent },
		`ibisfold_control_bytes_total{direction="in"}`:     func(c *mesh.Counters) uint64 { return c.BytesReceived },
		`ibisfold_control_messages_total{direction="out"}`: func(c *mesh.Counters) uint64 { return c.MessagesSent },
		`ibisfold_control_messages_total{direction="in"}`:  func(c *mesh.Counters) uint64 { return c.MessagesReceived },
		`ibisfold_control_queue_dropped_total`:             func(c *mesh.Counters) uint64 { return c.QueueDropped },
		`ibisfold_pauses_total`:                            func(c *mesh.Counters) uint64 { return c.Pauses },
		`ibisfold_cut_offs_total`:                          func(c *mesh.Counters) uint64 { return c.CutOffs },
		`ibisfold_exchanges_total`:                         func(c *mesh.Counters) uint64 { return c.Exchanges },
		`ibisfold_exchange_differences_total`:              func(c *mesh.Counters) uint64 { return c.Differences },
		`ibisfold_exchange_timeouts_total`:                 func(c *mesh.Counters) uint64 { return c.ExchangeTimeouts },
		`ibisfold_config_reads_total`:                      func(c *mesh.Counters) uint64 { return c.ConfigReads },
		`ibisfold_config_failures_total`:                   func(c *mesh.Counters) uint64 { return c.ConfigFailures },
	} {
		s.NewGauge(name, func() float64 {
			return float64(read(g.counters.Load()))
		})
	}
}

// registerDrops registers one gauge for each drop reason of d.
func registerDrops(s *metrics.Set, kind string, d *peer.Drops) {
	d.Each(func(reason string, _ uint64) {
		s.NewGauge(fmt.Sprintf("ibisfold_%s_dropped_total{reason=%q}", kind, reason), func() float64 {
			return float64(d.ByName(reason))
		})
	})
}
