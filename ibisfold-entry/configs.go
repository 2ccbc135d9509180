package main

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/opaque"
)

// configMonitor logs and counts which versions of the configuration an entry takes and which it
// does not. It writes a line only if the version is another one than in the line before, because
// each listing repeats the stored version. Its methods are called by the goroutine that owns the
// state.
type configMonitor struct {
	process *opaque.Process
	// inForce is the configuration that was logged last, current the same for the metrics.
	inForce *catalog.Config
	current atomic.Pointer[catalog.Config]
	// older is the version that was logged last as older than the one in force.
	older *catalog.Config
	// refusal is the reason that was logged last for a version that can't be used.
	refusal string

	taken, notNewer, invalid *metrics.Counter
}

func (m *configMonitor) register(p *opaque.Process) {
	m.process = p
	m.current.Store(&catalog.Config{})
	m.taken = p.Metrics.NewCounter(`ibisfold_configs_total{result="taken"}`)
	m.notNewer = p.Metrics.NewCounter(`ibisfold_configs_total{result="older"}`)
	m.invalid = p.Metrics.NewCounter(`ibisfold_configs_total{result="refused"}`)
	for name, value := range map[string]func(*catalog.Config) uint64{
		"version":  func(c *catalog.Config) uint64 { return c.Version },
		"era":      func(c *catalog.Config) uint64 { return c.Written.Era },
		"revision": func(c *catalog.Config) uint64 { return c.Written.Revision },
	} {
		p.Metrics.NewGauge("ibisfold_config_"+name, func() float64 {
			return float64(value(m.current.Load()))
		})
	}
}

// observe reports the changes of the configuration since the last call.
func (m *configMonitor) observe(s *catalog.State) {
	if c := s.Config(); c != m.inForce {
		m.observeTaken(c)
	}
	if c := s.OlderConfig(); c != m.older {
		m.observeOlder(c)
	}
}

func (m *configMonitor) observeTaken(c *catalog.Config) {
	known := m.inForce
	m.inForce = c
	m.current.Store(c)
	if known != nil && c.HasContentOf(known) {
		return
	}
	m.taken.Inc()
	m.process.Log.Info("configuration in force", "version", c.Version, "written", c.Written,
		"routes", len(c.Routes), "services", len(c.Services))
}

func (m *configMonitor) observeOlder(c *catalog.Config) {
	known := m.older
	m.older = c
	if known != nil && c.Written == known.Written && c.HasContentOf(known) {
		return
	}
	m.notNewer.Inc()
	m.process.Log.Info("configuration not taken: older than the one in force", "version", c.Version, "written", c.Written,
		"in_force", m.inForce.Version, "in_force_written", m.inForce.Written)
}

// refused reports a version that can't be used.
func (m *configMonitor) refused(err error) {
	if err.Error() == m.refusal {
		return
	}
	m.refusal = err.Error()
	m.invalid.Inc()
	c := m.current.Load()
	m.process.Log.Info("configuration refused", "reason", err, "in_force", c.Version, "in_force_written", c.Written)
}
