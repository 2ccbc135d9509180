package main

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/conntrack"
	"ibisfold.example/core/kernel"
	"ibisfold.example/core/opaque"
	"ibisfold.example/core/segment"
	"ibisfold.example/core/udp"
	"ibisfold.example/platform"
)

// opaqueAgent is an agent for opaque flows: one goroutine owns all state.
type opaqueAgent struct {
	settings *platform.Settings
	policies *opaque.Policies
	*opaque.Process
	relays   *udp.Socket
	outbound *udp.Socket
	target   *udp.Socket
	toEntry  *udp.Writer
	toCaller *udp.Writer
	toTarget *udp.Writer

	core      conntrack.Core
	decisions []*metrics.Counter
	tables    tableCounters
	times     []*metrics.Histogram
}

func runOpaque(term context.Context, policy string) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	policies, err := opaque.LoadPolicies(policy)
	if err != nil {
		return err
	}
	p, err := newOpaqueAgent(s, policies)
	if err != nil {
		return err
	}

	return p.run(term)
}

func newOpaqueAgent(s *platform.Settings, policies *opaque.Policies) (*opaqueAgent, error) {
	relays, err := udp.Listen(s.Relay)
	if err != nil {
		return nil, errors.Annotate(err, "entries")
	}
	outbound, err := udp.Listen(s.Outbound)
	if err != nil {
		return nil, errors.Annotate(err, "outbound")
	}
	target, err := udp.Dial(s.Target.Addr(), s.Target)
	if err != nil {
		return nil, errors.Annotate(err, "target")
	}
	may, seen := look(s.Target)
	p := &opaqueAgent{
		settings: s,
		policies: policies,
		Process:  opaque.New(s.Name),
		relays:   relays,
		outbound: outbound,
		target:   target,
		toEntry:  relays.NewWriter(),
		toCaller: outbound.NewWriter(),
		toTarget: target.NewWriter(),
		core: conntrack.Core{
			Service:        catalog.ServiceID(s.Service),
			Complete:       s.FirstStart || !may,
			TargetListened: seen,
			Started:        time.Now().UnixMilli(),
			MaxFlowAge:     s.MaxFlowAge,
			Policy:         &policies.Agent,
		},
	}
	p.decisions = p.DecisionCounters(conntrack.DecisionNames())
	p.tables = newTableCounters(p.Metrics)
	p.times = p.Histograms(conntrack.MeasureNames())

	return p, p.register()
}

// dialTime bounds the look at the target at the start.
const dialTime = 50 * time.Millisecond

// look reports whether something may listen at the target's address, and whether it was
// seen to. A target whose port is closed holds no flow.
func look(target netip.AddrPort) (may, seen bool) {
	c, err := net.DialTimeout("tcp4", target.String(), dialTime)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED), false
	}
	c.Close()

	return true, true
}

func (p *opaqueAgent) register() error {
	traffic := kernel.Service{
		Name: "traffic",
		Value: &opaque.Loop{
			Process: p.Process,
			Inputs: []opaque.Input{
				{
					Socket: p.relays,
					Handle: p.relayBatch,
				},
				{
					Socket: p.outbound,
					Handle: p.targetBatch,
				},
				{
					Socket: p.target,
					Handle: p.refusedBatch,
				},
			},
			TickTime: conntrack.TickTime,
			Tick:     p.tick,
			Flush:    p.flush,
		},
	}
	f := platform.CommonServices{
		Settings: p.settings,
		Process:  p.Process,
		Healthy:  p.healthy,
		Changed:  p.settingsChanged,
		Sockets:  []*udp.Socket{p.relays, p.outbound, p.target},
	}

	return p.Register(append([]kernel.Service{traffic}, f.Services()...)...)
}

func (p *opaqueAgent) healthy() bool {
	return !p.Stopping()
}

func (p *opaqueAgent) settingsChanged(s *platform.Settings, err error) {
	p.Post(func() {
		if err != nil {
			p.Log.Info("settings not used", "error", err)

			return
		}
		p.Log.Info("settings changed", "service", s.Service)
		p.execute(p.core.Update(p.Clock(), conntrack.ServiceChanged{
			Service: catalog.ServiceID(s.Service),
		}))
	})
}

// run serves until SIGTERM. It tells the entries and makes room for its next start,
// after the target has ended if that is on its way out.
func (p *opaqueAgent) run(term context.Context) error {
	p.Log.Info("agent started", "service", p.settings.Service, "target", p.settings.Target, "relay", p.settings.Relay,
		"first", p.settings.FirstStart, "policy", p.policies.Changes())

	return p.Run(term, func() {
		p.awaitTarget()
		done := make(chan struct{})
		p.Post(func() {
			p.Log.Info("graceful shutdown started", "flows", p.core.Flows())
			p.announceStop()
			close(done)
		})
		select {
		case <-done:
		case <-time.After(announceTime):
		}
	})
}

// announceTime bounds the wait until the stop is announced.
const announceTime = time.Second

const (
	// stopReserve is the part of the time between SIGTERM and SIGKILL that is left for
	// the announcement and the flow table.
	stopReserve = 2 * time.Second
	stopPoll    = 250 * time.Millisecond
)

// awaitTarget goes on serving while a target that leaves is still there and has flows.
func (p *opaqueAgent) awaitTarget() {
	begin := p.Clock()
	waits := true
	for waits && p.Clock()-begin < p.settings.StopTime-stopReserve {
		asked := make(chan bool, 1)
		p.Post(func() {
			asked <- p.core.TargetLeaving(p.Clock())
		})
		select {
		case waits = <-asked:
		case <-time.After(announceTime):
			waits = false
		}
		if may, _ := look(p.settings.Target); !may {
			waits = false
		}
		if waits {
			time.Sleep(stopPoll)
		}
	}
	if waited := p.Clock() - begin; waited >= stopPoll {
		p.Post(func() {
			p.Log.Info("waited for the target that leaves", "time", waited)
		})
	}
}

// stopCopies is how often the stop is announced: a datagram may be lost.
const stopCopies = 3

func (p *opaqueAgent) announceStop() {
	may, _ := look(p.settings.Target)
	ended := !may
	p.Log.Info("stop announced", "flows", p.core.Flows(), "target ended", ended)
	for range stopCopies {
		p.execute(p.core.Update(p.Clock(), conntrack.Stop{
			TargetEnded: ended,
		}))
		p.flush()
	}
}

func (p *opaqueAgent) tick(behind bool) {
	p.execute(p.core.Update(p.Clock(), conntrack.Tick{
		Behind: behind,
	}))
}

func (p *opaqueAgent) flush() {
	p.toTarget.Flush()
	p.toCaller.Flush()
	p.toEntry.Flush()
}

func (p *opaqueAgent) relayBatch(b udp.Batch) {
	defer b.Done()
	now := p.Clock()
	m := conntrack.EntryMessage{}
	for i := range b.Count {
		data, from := b.Packet(i)
		if err := m.Message.Decode(data); err != nil {
			p.Malformed.Inc()
			continue
		}
		m.Segment = segment.Segment{}
		if m.Message.Kind.CarriesPacket() {
			s, err := platform.FromCaller(m.Message.Packet)
			if err != nil || s.Key != m.Message.Key {
				p.Malformed.Inc()
				continue
			}
			m.Segment = s
		}
		m.From = from
		p.execute(p.core.Update(now, &m))
	}
}

func (p *opaqueAgent) targetBatch(b udp.Batch) {
	defer b.Done()
	now := p.Clock()
	m := conntrack.TargetPacket{}
	for i := range b.Count {
		data, _ := b.Packet(i)
		s, err := platform.FromTarget(data)
		if err != nil {
			p.Malformed.Inc()
			continue
		}
		m.Segment = s
		m.Packet = data
		p.execute(p.core.Update(now, &m))
	}
}

// refusedBatch handles what comes back from the target's own address: only
// the news that nothing listens there. Targets send to outbound.
func (p *opaqueAgent) refusedBatch(b udp.Batch) {
	defer b.Done()
	if b.Refused {
		p.execute(p.core.Update(p.Clock(), conntrack.TargetRefused{}))
	}
}

func (p *opaqueAgent) execute(commands []conntrack.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case conntrack.ToTarget:
			p.toTarget.Add(append(p.toTarget.Next(), c.Packet...), p.settings.Target)
		case conntrack.ToCaller:
			to := platform.CallerAddress(c.Key, p.settings)
			p.toCaller.Add(append(p.toCaller.Next(), c.Packet...), to)
		case conntrack.ToEntry:
			if c.Bounced {
				platform.RestoreBounced(c.Message.Packet)
			}
			p.toEntry.Add(c.Message.Append(p.toEntry.Next()), c.To)
		case conntrack.Reset:
			to := platform.CallerAddress(c.Key, p.settings)
			p.toCaller.Add(platform.AppendReset(p.toCaller.Next(), c.Key, c.Seq), to)
		case conntrack.Measured:
			p.times[c.Measure].Update(c.Time.Seconds())
		case conntrack.Note:
			p.note(c)
		}
	}
}

func (p *opaqueAgent) note(n conntrack.Note) {
	p.decisions[n.Decision].Inc()
	if p.noteTable(n) {
		return
	}
	p.Log.Info(n.Decision.String(), "flow", n.Key, "entry", n.Entry, "heard", n.Age, "count", n.Count, "reason", n.Reason)
}
