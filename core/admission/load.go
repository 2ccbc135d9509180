package admission

import "time"

// Load is the load of a target as its agent reports it to the other agents of its
// group.
type Load struct {
	// Target identifies the target, Incarnation the start of its agent.
	Target      uint64
	Incarnation uint64
	// Busy is a moving average of the number of busy slots; see Average.
	Busy float64
	// Running is the number of requests passed to the target, Waiting the number
	// in the agent's queue.
	Running int
	Waiting int
	// Slots is the number of requests that the warm target runs at a time, Limit
	// the number that the agent's Limiter allows now.
	Slots int
	Limit int
	// Flows is the number of open flows.
	Flows    int
	Draining bool
	// ServiceTime is the target's mean service time when it is warm; zero while it
	// is not known.
	ServiceTime time.Duration
}

// capacity returns the number of requests that the target may run now. It is at
// least one and at most Slots, even if a peer reports a wrong limit.
func (l Load) capacity() float64 {
	return float64(max(1, min(l.Limit, l.Slots)))
}

// busy returns Busy clamped to the range from zero to the capacity.
func (l Load) busy() float64 {
	return max(0, min(l.Busy, l.capacity()))
}

// acceptsOffer reports whether an offered request would get a slot at once or be
// the first in line for one. Queue.AcceptsOffer accepts offers by this rule, and
// Balance applies it to this agent's own target.
func (l Load) acceptsOffer() bool {
	return l.Running+l.Waiting <= l.Limit
}
