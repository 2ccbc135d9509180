package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/feed"
	"ibisfold.example/core/kernel"
	"ibisfold.example/core/opaque"
	"ibisfold.example/core/segment"
	"ibisfold.example/core/steer"
	"ibisfold.example/core/ticket"
	"ibisfold.example/core/udp"
	"ibisfold.example/platform"
)

// opaqueEntry is an entry for opaque flows. The goroutine of its opaque.Loop owns the core
// and the state; other goroutines reach them by Post.
type opaqueEntry struct {
	settings *platform.Settings
	policies *opaque.Policies
	*opaque.Process
	// callers is the socket for callers' packets, relays the one for messages of agents.
	callers  *udp.Socket
	relays   *udp.Socket
	toCaller *udp.Writer
	toAgent  *udp.Writer

	core  steer.Core
	ports *portChecker
	state catalog.State
	// published is the snapshot that the core got last, nil before the first.
	published *catalog.Snapshot
	// departedTargets is the number of departed targets in published. confirmedAt is when
	// the list of targets was last confirmed, in nanoseconds of Clock.
	departedTargets atomic.Int64
	confirmedAt     atomic.Int64
	// follower receives the changes of the catalog, feedLog serves them to other entries.
	follower feed.Follower
	feedLog  feed.Log
	// ready means that a snapshot has been published.
	ready atomic.Bool
	// lastPacket is when the last packet of a caller arrived, in nanoseconds of Clock.
	lastPacket atomic.Int64
	// decisions has a counter for each steer.Decision, histograms a histogram for each
	// steer.Measure.
	decisions  []*metrics.Counter
	histograms []*metrics.Histogram
	// ownerGone has a counter for each steer.Evidence: the flows that were reset on it.
	ownerGone []*metrics.Counter
	// storeCalls and sourceCalls count the calls for the catalog to the configuration
	// service and to other entries.
	storeCalls  *metrics.Counter
	sourceCalls *metrics.Counter
	// storeRestores counts how often the configuration service came back from an older copy.
	storeRestores *metrics.Counter
	configs       configMonitor
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
	p, err := newOpaqueEntry(s, policies)
	if err != nil {
		return err
	}

	return p.run(term)
}

func newOpaqueEntry(s *platform.Settings, policies *opaque.Policies) (*opaqueEntry, error) {
	callers, err := udp.Listen(s.Packets)
	if err != nil {
		return nil, errors.Annotate(err, "callers")
	}
	relays, err := udp.Listen(s.Relay)
	if err != nil {
		return nil, errors.Annotate(err, "agents")
	}
	p := &opaqueEntry{
		settings: s,
		policies: policies,
		Process:  opaque.New(s.Name),
		callers:  callers,
		relays:   relays,
		toCaller: callers.NewWriter(),
		toAgent:  relays.NewWriter(),
		core: steer.Core{
			Zone:       s.Zone,
			RelayPort:  s.Relay.Port(),
			LinkRate:   s.LinkRate,
			MaxFlowAge: s.MaxFlowAge,
			Policy:     &policies.Entry,
			Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}
	p.ports = newPortChecker(s.Metrics.Port(), p.handlePortCheck)
	p.state.MaxAge = s.MaxFlowAge
	p.feedLog.MaxAge = s.MaxFlowAge
	p.follower = feed.Follower{
		Service:   platform.NewStore(s, p.logInvalid),
		Log:       &p.feedLog,
		Change:    p.applyChanges,
		Confirmed: p.handleConfirmation,
		Called:    p.countUpstreamCall,
		Failed:    p.logUpstreamFailure,
		Recovered: p.logUpstreamRecovery,
		Restored:  p.logStoreRestore,
	}
	p.followSources(s)
	p.decisions = p.DecisionCounters(steer.DecisionNames())
	for _, name := range steer.EvidenceNames() {
		p.ownerGone = append(p.ownerGone, p.Metrics.NewCounter(`ibisfold_flows_owner_gone_total{evidence="`+name+`"}`))
	}
	p.storeCalls = p.Metrics.NewCounter(`ibisfold_catalog_calls_total{to="store"}`)
	p.sourceCalls = p.Metrics.NewCounter(`ibisfold_catalog_calls_total{to="source"}`)
	p.storeRestores = p.Metrics.NewCounter("ibisfold_store_restores_total")
	p.configs.register(p.Process)
	p.histograms = p.Histograms(steer.MeasureNames())
	p.registerCatalogGauges()

	return p, p.register()
}

// followSources sets the entries that this one gets its catalog from: the seeds of the
// settings, except itself. An entry that is a seed is a source and also watches the store.
// The name of the entry decides at which seed the order starts, so that entries spread over
// the seeds.
func (p *opaqueEntry) followSources(s *platform.Settings) {
	sources := []feed.Upstream{}
	first := int(ticket.ID(s.Name) % uint64(max(1, len(s.Seeds))))
	for i := range s.Seeds {
		a := s.Seeds[(first+i)%len(s.Seeds)]
		if a != s.Control {
			sources = append(sources, feed.NewSourceClient(a, p.logInvalid))
		}
	}
	p.follower.Follow(slices.Contains(s.Seeds, s.Control), sources)
}

func (p *opaqueEntry) register() error {
	services := []kernel.Service{
		{
			Name: "traffic",
			Value: &opaque.Loop{
				Process: p.Process,
				Inputs: []opaque.Input{
					{
						Socket: p.callers,
						Handle: p.handleCallerBatch,
					},
					{
						Socket: p.relays,
						Handle: p.handleAgentBatch,
					},
				},
				TickTime: steer.TickTime,
				Tick:     p.tick,
				Flush:    p.flush,
			},
		},
		{
			Name:  "follower",
			Value: &p.follower,
		},
		{
			Name:  "port checks",
			Value: p.ports,
		},
	}
	if p.settings.Control.IsValid() {
		services = append(services, kernel.Service{
			Name: "feed",
			Value: &feed.Server{
				Address: p.settings.Control,
				Log:     &p.feedLog,
			},
		})
	}
	f := platform.CommonServices{
		Settings: p.settings,
		Process:  p.Process,
		Healthy:  p.healthy,
		Watcher: &platform.SettingsWatcher{
			Initial: p.settings,
			Changed: p.settingsChanged,
		},
		Sockets: []*udp.Socket{p.callers, p.relays},
	}

	return p.Register(append(services, f.Services()...)...)
}

func (p *opaqueEntry) healthy() bool {
	return p.ready.Load() && !p.Stopping()
}

func (p *opaqueEntry) countUpstreamCall(isSource bool) {
	if isSource {
		p.sourceCalls.Inc()
	} else {
		p.storeCalls.Inc()
	}
}

func (p *opaqueEntry) logUpstreamFailure(err error) {
	p.Post(func() {
		p.Log.Info("catalog source failed", "error", err)
	})
}

func (p *opaqueEntry) logUpstreamRecovery(after time.Duration) {
	p.Post(func() {
		p.Log.Info("catalog source answers again", "after", after)
	})
}

func (p *opaqueEntry) logStoreRestore(r feed.Restore) {
	p.storeRestores.Inc()
	p.Post(func() {
		p.Log.Info("store came back from an older copy", "era_before", r.From.Era, "era", r.To.Era,
			"revision_before", r.From.Revision, "revision", r.To.Revision)
	})
}

func (p *opaqueEntry) logInvalid(err error) {
	p.Post(func() {
		if errors.Is(err, catalog.ErrInvalidConfig) {
			p.configs.refused(err)

			return
		}
		p.Log.Info("store entry not used", "error", err)
	})
}

func (p *opaqueEntry) settingsChanged(s *platform.Settings, err error) {
	p.Post(func() {
		if err != nil {
			p.Log.Info("settings not used", "error", err)

			return
		}
		p.Log.Info("settings changed", "zone", s.Zone)
		p.core.Zone = s.Zone
		p.followSources(s)
	})
}

// run serves until SIGTERM, then keeps forwarding until the routers have stopped
// sending packets here.
func (p *opaqueEntry) run(term context.Context) error {
	p.Log.Info("entry started", "zone", p.settings.Zone, "callers", p.settings.Packets, "relay", p.settings.Relay,
		"store", p.settings.Store, "first", p.settings.FirstStart, "policy", p.policies.Changes())

	return p.Run(term, func() {
		p.Post(func() {
			p.Log.Info("graceful shutdown started", "flows", p.core.Flows())
		})
		p.awaitQuiet()
	})
}

const (
	// stopReserve is the part of the time between SIGTERM and SIGKILL that stays free after
	// the graceful shutdown.
	stopReserve = time.Second
	// stopPollInterval is how often a stopping entry checks whether it may end.
	stopPollInterval = 50 * time.Millisecond
)

// awaitQuiet returns when the routers have stopped sending packets here, or when
// only stopReserve is left.
func (p *opaqueEntry) awaitQuiet() {
	shutdown := steer.Shutdown{
		Began:   p.Clock(),
		MaxTime: p.settings.StopTime - stopReserve,
	}
	for !shutdown.Done(p.Clock(), time.Duration(p.lastPacket.Load())) {
		time.Sleep(stopPollInterval)
	}
}

func (p *opaqueEntry) flush() {
	p.toAgent.Flush()
	p.toCaller.Flush()
}

func (p *opaqueEntry) tick(behind bool) {
	if p.state.Expire(p.Clock()) {
		p.publish(catalogUpdate{
			origin: "time",
		})
	}
	p.execute(p.core.Update(p.Clock(), steer.Tick{
		Behind: behind,
	}))
}

func (p *opaqueEntry) handlePortCheck(m steer.PortChecked) {
	p.Post(func() {
		p.execute(p.core.Update(p.Clock(), m))
	})
}

func (p *opaqueEntry) handleCallerBatch(b udp.Batch) {
	defer b.Done()
	now := p.Clock()
	p.lastPacket.Store(int64(now))
	m := steer.CallerPacket{}
	for i := range b.Count {
		data, _ := b.Packet(i)
		s, err := platform.FromCaller(data)
		if err != nil {
			p.Malformed.Inc()
			continue
		}
		m.Segment = s
		m.Packet = data
		p.handleDatagram(now, &m, s.Key)
	}
}

func (p *opaqueEntry) handleAgentBatch(b udp.Batch) {
	defer b.Done()
	now := p.Clock()
	m := steer.AgentMessage{}
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
		p.handleDatagram(now, &m, m.Message.Key)
	}
}

// handleDatagram passes a packet or a message about a flow to the core.
func (p *opaqueEntry) handleDatagram(now time.Duration, m steer.Message, k segment.Key) {
	defer p.dropOnPanic(m, k)
	p.execute(p.core.Update(now, m))
}

// dropOnPanic ends a panic of handleDatagram: one datagram must not end the process with all flows.
func (p *opaqueEntry) dropOnPanic(m steer.Message, k segment.Key) {
	value := recover()
	if value == nil {
		return
	}
	fields := []any{"flow", k}
	switch m := m.(type) {
	case *steer.CallerPacket:
		fields = append(fields, "flags", m.Segment.Flags)
	case *steer.AgentMessage:
		fields = append(fields, "agent", m.From, "kind", m.Message.Kind, "reason", m.Message.Reason)
	}
	p.RecordPanic(value, fields...)
	p.core.Forget(k)
}

func (p *opaqueEntry) execute(commands []steer.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case *steer.Send:
			p.toAgent.Add(c.Message.Append(p.toAgent.Next()), c.To)
		case steer.CheckPort:
			p.ports.check(c)
		case steer.ConfirmList:
			p.follower.RequestConfirmation()
		case steer.Reset:
			to := platform.CallerAddress(c.Key, p.settings)
			p.toCaller.Add(platform.AppendReset(p.toCaller.Next(), c.Key, c.Seq), to)
		case steer.Measured:
			p.histograms[c.Measure].Update(c.Time.Seconds())
		case steer.Note:
			p.recordDecision(c)
		}
	}
}

// recordDecision counts and logs a decision.
func (p *opaqueEntry) recordDecision(n steer.Note) {
	p.decisions[n.Decision].Inc()
	if n.Decision == steer.OwnerGone {
		p.ownerGone[n.Evidence].Inc()
	}
	fields := []any{"flow", n.Key, "agent", n.Agent, "version", n.Version, "heard", n.Age, "count", n.Count, "reason", n.Reason}
	if n.Decision == steer.SilentPortChecked {
		fields = append(fields, "port", n.Port)
	}
	if n.Evidence != steer.EvidenceNone {
		fields = append(fields, "evidence", n.Evidence)
	}
	if n.Service != "" {
		fields = append(fields, "service", n.Service)
	}
	if n.Asked > 0 {
		fields = append(fields, "asked", n.Asked, "unsure", n.Unsure, "unanswered", n.Unanswered, "tried", n.Tried, "listed", n.ListAge)
	}
	p.Log.Info(n.Decision.String(), fields...)
}
