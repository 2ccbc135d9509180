package conntrack

import (
	"time"

	"ibisfold.example/core/document"
)

// Policy holds the thresholds of an agent's decisions. Ablations and experiments change
// them. The zero value is not valid; use DefaultPolicy.
type Policy struct {
	// QueueSlots is the number of requests per slot of the target, in progress or
	// expected, below which another new flow is passed to the target. Further flows wait
	// at the agent, which admits the newest first. Zero means no limit.
	QueueSlots float64 `yaml:"QueueSlots,omitempty"`
	// NewShare is the number of first requests of new flows per slot, in progress or
	// expected, below which another new flow is passed to the target, however busy it is
	// with requests of open flows.
	NewShare float64 `yaml:"NewShare,omitempty"`
	// ExpectTime is how long after its SYN was passed to the target a flow counts as a
	// request that is about to arrive.
	ExpectTime time.Duration `yaml:"ExpectTime,omitempty"`
	// LoadTime is the time constant of the moving average of the reported load.
	LoadTime time.Duration `yaml:"LoadTime,omitempty"`
	// DownTime is how long a target may stay silent while packets that expect an answer
	// are outstanding. A request takes the target up to about 100 ms before it answers.
	DownTime time.Duration `yaml:"DownTime,omitempty"`
	// HandoverTime is how long entries keep a flow table, as in steer.Policy. Zero disables
	// the handover: no table is handed over or restored.
	HandoverTime time.Duration `yaml:"HandoverTime,omitempty"`
}

// DefaultPolicy returns the policy of a Core whose Policy is nil.
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
	// maxQueueSlots bounds QueueSlots and NewShare.
	maxQueueSlots = 100
	// maxPolicyTime bounds all durations of a policy other than HandoverTime.
	maxPolicyTime = 10 * time.Second
	// maxHandoverTime is the upper bound of Policy.HandoverTime.
	maxHandoverTime = 900 * time.Millisecond
)

// Check reports the fields that are out of range. Section is the path of the policy in the
// document, with a trailing dot.
func (p *Policy) Check(c *document.Checker, section string) {
	document.Between(c, section+"QueueSlots", p.QueueSlots, 0, maxQueueSlots)
	document.Between(c, section+"NewShare", p.NewShare, 0, maxQueueSlots)
	document.Between(c, section+"HandoverTime", p.HandoverTime, 0, maxHandoverTime)
	document.Between(c, section+"LoadTime", p.LoadTime, TickTime, maxPolicyTime)
	for name, d := range map[string]time.Duration{
		"ExpectTime": p.ExpectTime,
		"DownTime":   p.DownTime,
	} {
		document.Between(c, section+name, d, 0, maxPolicyTime)
	}
}
