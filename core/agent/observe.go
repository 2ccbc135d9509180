package agent

import (
	"time"

	"ibisfold.example/core/packet"
)

// ObserveKind says which time an Observe measures.
type ObserveKind uint8

// Kinds of observations.
const (
	// ObserveWait is the time from receipt of a request until it was passed to the
	// target.
	ObserveWait ObserveKind = iota
	// ObserveService is the time that the target took to answer.
	ObserveService
	// ObserveTotal is the time from receipt until the final answer.
	ObserveTotal
)

// String returns the kind's name as used in metrics.
func (k ObserveKind) String() string {
	switch k {
	case ObserveWait:
		return "wait"
	case ObserveService:
		return "service"
	default:
		return "total"
	}
}

// Observe is one measurement for the tenant's histograms.
type Observe struct {
	Tenant   string
	Kind     ObserveKind
	Duration time.Duration
	// Status is StatusOK for ObserveWait and ObserveService.
	Status packet.Status
}

func (Observe) isCommand() {}

func (c *Core) observe(r *request, k ObserveKind, d time.Duration, s packet.Status) {
	c.emit(Observe{
		Tenant:   r.tenant,
		Kind:     k,
		Duration: d,
		Status:   s,
	})
}
