package main

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/agent"
)

// maxTenants bounds the tenants that have their own histograms, because tenant names
// come from callers. All other tenants share the histograms of tenant "other".
const maxTenants = 256

// histograms records the durations of requests by tenant, kind and status.
type histograms struct {
	set     *metrics.Set
	tenants map[string]bool
}

func (h *histograms) observe(o agent.Observe) {
	name := fmt.Sprintf("ibisfold_request_seconds{tenant=%q,kind=%q,status=%q}", h.tenantLabel(o.Tenant), o.Kind, o.Status)
	h.set.GetOrCreateHistogram(name).Update(o.Duration.Seconds())
}

// tenantLabel returns the value of the label tenant: name, or "other" if there are
// maxTenants tenants already and name is not one of them.
func (h *histograms) tenantLabel(name string) string {
	if h.tenants[name] {
		return name
	}
	if len(h.tenants) >= maxTenants {
		return "other"
	}
	if h.tenants == nil {
		h.tenants = map[string]bool{}
	}
	h.tenants[name] = true

	return name
}

// registerMetrics registers the core's counters and load as gauges.
func (t *traffic) registerMetrics(s *metrics.Set) {
	for name, read := range counterReaders {
		s.NewGauge(name, func() float64 {
			return float64(read(t.counters.Load()))
		})
	}
	for name, read := range loadReaders {
		s.NewGauge(name, func() float64 {
			return read(t.load.Load())
		})
	}
}

var loadReaders = map[string]func(l *admission.Load) float64{
	"ibisfold_busy_slots":         func(l *admission.Load) float64 { return l.Busy },
	"ibisfold_requests_running":   func(l *admission.Load) float64 { return float64(l.Running) },
	"ibisfold_requests_waiting":   func(l *admission.Load) float64 { return float64(l.Waiting) },
	"ibisfold_requests_limit":     func(l *admission.Load) float64 { return float64(l.Limit) },
	"ibisfold_flows":              func(l *admission.Load) float64 { return float64(l.Flows) },
	"ibisfold_target_is_draining": func(l *admission.Load) float64 { return boolToFloat(l.Draining) },
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}

	return 0
}

var counterReaders = map[string]func(c *agent.Counters) uint64{
	`ibisfold_flows_total{event="opened"}`:             func(c *agent.Counters) uint64 { return c.FlowsOpened },
	`ibisfold_flows_total{event="passed"}`:             func(c *agent.Counters) uint64 { return c.FlowsPassed },
	`ibisfold_flows_total{event="refused"}`:            func(c *agent.Counters) uint64 { return c.FlowsRefused },
	`ibisfold_flows_total{event="expired"}`:            func(c *agent.Counters) uint64 { return c.FlowsExpired },
	`ibisfold_flows_total{event="closed"}`:             func(c *agent.Counters) uint64 { return c.FlowsClosed },
	`ibisfold_flows_total{event="given_up"}`:           func(c *agent.Counters) uint64 { return c.FlowsGivenUp },
	`ibisfold_flows_total{event="cut"}`:                func(c *agent.Counters) uint64 { return c.FlowsCut },
	`ibisfold_flows_total{event="handed_over"}`:        func(c *agent.Counters) uint64 { return c.FlowsHandedOver },
	`ibisfold_flows_total{event="adopted"}`:            func(c *agent.Counters) uint64 { return c.FlowsAdopted },
	`ibisfold_flows_total{event="handover_aborted"}`:   func(c *agent.Counters) uint64 { return c.HandoversAborted },
	`ibisfold_resets_total`:                            func(c *agent.Counters) uint64 { return c.Resets },
	`ibisfold_requests_total{event="received"}`:        func(c *agent.Counters) uint64 { return c.Requests },
	`ibisfold_requests_total{event="duplicate"}`:       func(c *agent.Counters) uint64 { return c.Duplicates },
	`ibisfold_requests_total{event="passed"}`:          func(c *agent.Counters) uint64 { return c.Passed },
	`ibisfold_requests_total{event="answered"}`:        func(c *agent.Counters) uint64 { return c.Answered },
	`ibisfold_requests_total{event="not_run"}`:         func(c *agent.Counters) uint64 { return c.NotRun },
	`ibisfold_requests_total{event="outcome_unknown"}`: func(c *agent.Counters) uint64 { return c.OutcomeUnknown },
	`ibisfold_requests_total{event="cancelled"}`:       func(c *agent.Counters) uint64 { return c.Cancelled },
	`ibisfold_requests_total{event="shed"}`:            func(c *agent.Counters) uint64 { return c.Shed },
	`ibisfold_requests_total{event="retried"}`:         func(c *agent.Counters) uint64 { return c.Retries },
	`ibisfold_requests_total{event="late_answer"}`:     func(c *agent.Counters) uint64 { return c.LateAnswers },
	`ibisfold_offers_total{event="sent"}`:              func(c *agent.Counters) uint64 { return c.OffersSent },
	`ibisfold_offers_total{event="refused"}`:           func(c *agent.Counters) uint64 { return c.OffersRefused },
	`ibisfold_offers_total{event="lost"}`:              func(c *agent.Counters) uint64 { return c.OffersLost },
	`ibisfold_offers_total{event="taken"}`:             func(c *agent.Counters) uint64 { return c.OffersTaken },
	`ibisfold_target_restarts_total`:                   func(c *agent.Counters) uint64 { return c.TargetRestarts },
	`ibisfold_packets_held_total{event="held"}`:        func(c *agent.Counters) uint64 { return c.Held },
	`ibisfold_packets_held_total{event="refused"}`:     func(c *agent.Counters) uint64 { return c.HeldRefused },
	`ibisfold_packets_dropped_total{reason="fence"}`:   func(c *agent.Counters) uint64 { return c.DroppedFence },
	`ibisfold_packets_dropped_total{reason="token"}`:   func(c *agent.Counters) uint64 { return c.DroppedToken },
	`ibisfold_packets_dropped_total{reason="kind"}`:    func(c *agent.Counters) uint64 { return c.DroppedKind },
	`ibisfold_packets_dropped_total{reason="body"}`:    func(c *agent.Counters) uint64 { return c.DroppedBody },
	`ibisfold_packets_dropped_total{reason="number"}`:  func(c *agent.Counters) uint64 { return c.DroppedNumber },
}
