package main

import (
	"context"
	"math"
	"math/rand/v2"
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
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
	"ibisfold.example/core/udp"
	"ibisfold.example/platform"
)

// opaqueAgent is an agent for opaque flows. The goroutine of its opaque.Loop owns the
// core; other goroutines reach it by Post.
type opaqueAgent struct {
	settings *platform.Settings
	policies *opaque.Policies
	*opaque.Process
	// relays is the socket for messages of entries. outbound receives the packets that the
	// target sends and sends packets to callers. target is connected to the target.
	relays   *udp.Socket
	outbound *udp.Socket
	target   *udp.Socket
	toEntry  *udp.Writer
	toCaller *udp.Writer
	toTarget *udp.Writer

	core    conntrack.Core
	watcher platform.SettingsWatcher
	// service is the name of the service that the core takes new flows for.
	service string
	// decisions has a counter for each conntrack.Decision, histograms a histogram for each
	// conntrack.Measure.
	decisions  []*metrics.Counter
	tableFlows tableCounters
	histograms []*metrics.Histogram
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
	mayListen := probeTarget(s.Target)
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
		service:  s.Service,
		core: conntrack.Core{
			Service:         catalog.ServiceID(s.Service),
			ServiceValidity: serviceValidity,
			Complete:        s.FirstStart || !mayListen,
			Process:         1 + rand.Uint64N(math.MaxUint64),
			Started:         time.Now().UnixMilli(),
			MaxFlowAge:      s.MaxFlowAge,
			Policy:          &policies.Agent,
		},
	}
	p.watcher.Initial = s
	p.watcher.Changed = p.settingsChanged
	p.decisions = p.DecisionCounters(conntrack.DecisionNames())
	p.tableFlows = newTableCounters(p.Metrics)
	p.histograms = p.Histograms(conntrack.MeasureNames())

	return p, p.register()
}

// dialTimeout bounds the connection attempt of probeTarget.
const dialTimeout = 50 * time.Millisecond

// probeTarget tries to connect to the target's address. It reports whether something may
// listen there, which only a refused connection rules out. A target whose port is closed holds
// no flow.
func probeTarget(target netip.AddrPort) bool {
	c, err := net.DialTimeout("tcp4", target.String(), dialTimeout)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	c.Close()

	return true
}

// checkTarget tells the core whether the target still listens. It takes at most dialTimeout.
func (p *opaqueAgent) checkTarget() {
	mayListen := probeTarget(p.settings.Target)
	p.Post(func() {
		p.execute(p.core.Update(p.Clock(), conntrack.TargetChecked{
			Refused: !mayListen,
		}))
	})
}

func (p *opaqueAgent) register() error {
	traffic := kernel.Service{
		Name: "traffic",
		Value: &opaque.Loop{
			Process: p.Process,
			Inputs: []opaque.Input{
				{
					Socket: p.relays,
					Handle: p.handleEntryBatch,
				},
				{
					Socket: p.outbound,
					Handle: p.handleTargetBatch,
				},
				{
					Socket: p.target,
					Handle: p.handleRefusal,
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
		Watcher:  &p.watcher,
		Sockets:  []*udp.Socket{p.relays, p.outbound, p.target},
	}

	return p.Register(append([]kernel.Service{traffic}, f.Services()...)...)
}

func (p *opaqueAgent) healthy() bool {
	return !p.Stopping()
}

func (p *opaqueAgent) settingsChanged(_ *platform.Settings, err error) {
	p.Post(func() {
		if err != nil {
			p.Log.Info("settings not used", "error", err)

			return
		}
		// The settings may have changed again while this function waited.
		p.readService()
	})
}

// serviceValidity is how long the agent relies on the settings that it read last when it passes
// SYNs to its target. It covers two ticks.
const serviceValidity = 2*conntrack.TickTime + 10*time.Millisecond

// readService reads the settings, so that the core knows which service the target belongs to
// now. The error of settings that can't be used is logged by settingsChanged.
func (p *opaqueAgent) readService() {
	s, _ := p.watcher.Current()
	p.confirmService(s)
}

// noService is the ID of no service.
const noService = 0

// confirmService tells the core the service of the target in the settings. If they name another
// target than the one that this process sends packets to, no SYN is for that one.
func (p *opaqueAgent) confirmService(s *platform.Settings) {
	name, id := s.Service, catalog.ServiceID(s.Service)
	if s.Target != p.settings.Target {
		name, id = "", noService
	}
	if name != p.service {
		p.Log.Info("settings changed", "service", s.Service, "target", s.Target)
		p.service = name
	}
	p.execute(p.core.Update(p.Clock(), conntrack.ServiceConfirmed{
		Service: id,
	}))
}

// run serves until SIGTERM, and afterwards until awaitLeavingTarget returns. It then
// announces the stop to the entries and hands the flow table over to them, so that the agent
// can restore it at its next start.
func (p *opaqueAgent) run(term context.Context) error {
	p.Log.Info("agent started", "service", p.settings.Service, "target", p.settings.Target, "relay", p.settings.Relay,
		"first", p.settings.FirstStart, "policy", p.policies.Changes())

	return p.Run(term, func() {
		p.awaitLeavingTarget()
		p.Call(func() {
			p.Log.Info("graceful shutdown started", "flows", p.core.Flows())
			p.announceStop()
		})
	})
}

const (
	// stopReserve is the part of the time between SIGTERM and SIGKILL that is left for
	// announcing the stop and handing over the flow table.
	stopReserve = 2 * time.Second
	// stopPollInterval is how often awaitLeavingTarget checks the target.
	stopPollInterval = 250 * time.Millisecond
)

// awaitLeavingTarget waits while a leaving target still runs and has active flows, because
// the agent of such a target is probably not started again and nobody else could serve the
// flows. It returns at the latest when only stopReserve is left. The loop keeps serving these
// flows in the meantime and takes no new ones.
func (p *opaqueAgent) awaitLeavingTarget() {
	begin := p.Clock()
	waiting := true
	for waiting && p.Clock()-begin < p.settings.StopTime-stopReserve {
		waiting = false
		p.Call(func() {
			waiting = p.core.TargetLeaving(p.Clock())
			if waiting {
				p.execute(p.core.Update(p.Clock(), conntrack.TargetLeaves{}))
			}
		})
		if !probeTarget(p.settings.Target) {
			waiting = false
		}
		if waiting {
			time.Sleep(stopPollInterval)
		}
	}
	if waited := p.Clock() - begin; waited >= stopPollInterval {
		p.Post(func() {
			p.Log.Info("waited for the target that leaves", "time", waited)
		})
	}
}

// stopAnnouncements is how many times the stop is announced, because datagrams may be lost.
const stopAnnouncements = 3

// announceStop passes the stop to the core and sends its messages, stopAnnouncements times.
func (p *opaqueAgent) announceStop() {
	ended := !probeTarget(p.settings.Target)
	p.Log.Info("stop announced", "flows", p.core.Flows(), "target ended", ended)
	for range stopAnnouncements {
		p.execute(p.core.Update(p.Clock(), conntrack.Stop{
			TargetEnded: ended,
		}))
		p.flush()
	}
}

func (p *opaqueAgent) tick(behind bool) {
	if p.core.Waiting() > 0 {
		p.readService()
	}
	p.execute(p.core.Update(p.Clock(), conntrack.Tick{
		Behind: behind,
	}))
}

func (p *opaqueAgent) flush() {
	if p.core.HasDenials() {
		p.execute(p.core.Update(p.Clock(), conntrack.BatchEnd{}))
	}
	p.toTarget.Flush()
	p.toCaller.Flush()
	p.toEntry.Flush()
}

func (p *opaqueAgent) handleEntryBatch(b udp.Batch) {
	defer b.Done()
	now := p.Clock()
	m := conntrack.EntryMessage{}
	serviceRead := false
	for i := range b.Count {
		data, from := b.Packet(i)
		if err := m.Message.Decode(data); err != nil {
			p.Malformed.Inc()
			continue
		}
		if m.Message.Kind == relay.Open && !serviceRead {
			serviceRead = true
			p.readService()
			now = p.Clock()
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
		p.handleDatagram(now, &m, m.Message.Key)
	}
}

// handleDatagram passes a packet or a message about a flow to the core.
func (p *opaqueAgent) handleDatagram(now time.Duration, m conntrack.Message, k segment.Key) {
	defer p.dropOnPanic(now, m, k)
	p.execute(p.core.Update(now, m))
}

// dropOnPanic ends a panic of handleDatagram: one datagram must not end the process, which knows
// what flows its target holds.
func (p *opaqueAgent) dropOnPanic(now time.Duration, m conntrack.Message, k segment.Key) {
	value := recover()
	if value == nil {
		return
	}
	fields := []any{"flow", k}
	switch m := m.(type) {
	case *conntrack.EntryMessage:
		fields = append(fields, "entry", m.From, "kind", m.Message.Kind)
	case *conntrack.TargetPacket:
		fields = append(fields, "flags", m.Segment.Flags)
	}
	p.RecordPanic(value, fields...)
	p.core.Doubt(now, k)
}

func (p *opaqueAgent) handleTargetBatch(b udp.Batch) {
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
		p.handleDatagram(now, &m, s.Key)
	}
}

// handleRefusal handles the batches of the socket that is connected to the target. They
// only report that nothing listens at the target's address, as targets send their packets
// to outbound.
func (p *opaqueAgent) handleRefusal(b udp.Batch) {
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
		case conntrack.ToAgent:
			p.toEntry.Add(c.Message.Append(p.toEntry.Next()), c.To)
		case conntrack.CheckTarget:
			go p.checkTarget()
		case conntrack.Reset:
			to := platform.CallerAddress(c.Key, p.settings)
			p.toCaller.Add(platform.AppendReset(p.toCaller.Next(), c.Key, c.Seq), to)
		case conntrack.Measured:
			p.histograms[c.Measure].Update(c.Time.Seconds())
		case conntrack.Note:
			p.recordDecision(c)
		}
	}
}

// recordDecision counts and logs a decision.
func (p *opaqueAgent) recordDecision(n conntrack.Note) {
	p.decisions[n.Decision].Inc()
	if p.recordTableDecision(n) {
		return
	}
	fields := []any{"flow", n.Key, "entry", n.Entry, "heard", n.Age, "count", n.Count, "reason", n.Reason}
	if n.Decision == conntrack.Opened {
		fields = append(fields, "service", p.service)
	}
	p.Log.Info(n.Decision.String(), fields...)
}
