package admission

import "time"

// Load is what an agent tells the others of its group about its target.
type Load struct {
	// Target and Incarnation identify the target and the start of its agent.
	Target      uint64
	Incarnation uint64
	// Busy is a moving average of busy slots; see Average.
	Busy float64
	// Running and Waiting are the requests passed to the target and in the queue.
	Running int
	Waiting int
	// Slots is the target's size, Limit what the agent's Limiter allows now.
	Slots int
	Limit int
	// Flows is the number of open flows.
	Flows    int
	Draining bool
	// Usual is the target's usual service time; zero while it is not known.
	Usual time.Duration
}

// capacity is the number of requests that the target may run now. It is at
// least one and at most Slots, whatever the peer says.
func (l Load) capacity() float64 {
	return float64(max(1, min(l.Limit, l.Slots)))
}

// busy is Busy within the bounds that a slot count allows.
func (l Load) busy() float64 {
	return max(0, min(l.Busy, l.capacity()))
}

// welcomes reports whether a slot is free or next to free. Queue.Welcomes accepts
// offers and Balance judges the own target by the same rule.
func (l Load) welcomes() bool {
	return l.Running+l.Waiting <= l.Limit
}
