package conntrack

import (
	"time"

	"ibisfold.example/core/document"
)

// Policy holds the thresholds of an agent's decisions. Ablations and experiments
// change them; the zero value is not valid, DefaultPolicy is.
type Policy struct {
	// QueueSlots is the number of requests for each of the target's slots that may be
	// in progress or expected when a new flow is passed to the target. Others wait at
	// the agent, which lets the newest in first. Zero passes all of them on.
	QueueSlots float64 `yaml:"QueueSlots,omitempty"`
	// NewShare is the number of first requests of new flows for each slot that may be
	// in progress or expected however busy the target is with those of open flows.
	NewShare float64 `yaml:"NewShare,omitempty"`
	// ExpectTime is how long after a SYN was passed on its flow counts as a request
	// that is about to come.
	ExpectTime time.Duration `yaml:"ExpectTime,omitempty"`
	// LoadTime is the time over which the reported load is averaged.
	LoadTime time.Duration `yaml:"LoadTime,omitempty"`
	// DownTime is how long a target may not send anything while packets that ask for
	// an answer wait. Work takes up to about 100 ms before its answer.
	DownTime time.Duration `yaml:"DownTime,omitempty"`
	// HandoverTime is the age to which the flow table of the process before is taken. A
	// process that ends is started again after 0.5 s at the least, so one that opened
	// flows after a planned stop and was killed can't be back within 1 s of that stop.
	// Zero hands no table over and takes none.
	HandoverTime time.Duration `yaml:"HandoverTime,omitempty"`
}

// DefaultPolicy returns the policy of a Core that is given none.
func DefaultPolicy() Policy {
	p := Policy{}
	p.SetDefaults()

	return p
}

// SetDefaults implements document.Defaulter.
func (p *Policy) SetDefaults() {
	*p = Policy{
		QueueSlots: 1.5,
		NewShare:   1,
		ExpectTime: 100 * time.Millisecond,
		LoadTime:   500 * time.Millisecond,
		DownTime:   400 * time.Millisecond,

		HandoverTime: maxHandoverTime,
	}
}

// Bounds of a policy.
const (
	// maxQueueSlots is the greatest number of requests for each slot.
	maxQueueSlots = 100
	// maxWait is the longest of all times.
	maxWait = 10 * time.Second
	// maxHandoverTime is the greatest HandoverTime: see there.
	maxHandoverTime = 900 * time.Millisecond
)

// Check reports the fields that are out of range. Section is the path of the policy
// in the document, with a dot at its end.
func (p *Policy) Check(c *document.Checker, section string) {
	document.Between(c, section+"QueueSlots", p.QueueSlots, 0, maxQueueSlots)
	document.Between(c, section+"NewShare", p.NewShare, 0, maxQueueSlots)
	document.Between(c, section+"HandoverTime", p.HandoverTime, 0, maxHandoverTime)
	document.Between(c, section+"LoadTime", p.LoadTime, TickTime, maxWait)
	for name, d := range map[string]time.Duration{
		"ExpectTime": p.ExpectTime,
		"DownTime":   p.DownTime,
	} {
		document.Between(c, section+name, d, 0, maxWait)
	}
}
