package steer

import (
	"time"

	"ibisfold.example/core/document"
)

// Policy holds the thresholds of an entry's decisions. Ablations and experiments
// change them; the zero value is not valid, DefaultPolicy is.
type Policy struct {
	// ZonePenalty is how much busier, in requests a slot, a target of this zone may
	// be before new flows go to another zone, over links that are slow and dear. Below
	// one request a slot a target serves at once.
	ZonePenalty float64 `yaml:"ZonePenalty,omitempty"`
	// FlowLoad is the load, in requests, that an open flow is expected to bring: the
	// requests in progress now say little of long flows.
	FlowLoad float64 `yaml:"FlowLoad,omitempty"`
	// OpenedLoad is the same for a flow that was placed here since the agent's last
	// report.
	OpenedLoad float64 `yaml:"OpenedLoad,omitempty"`
	// ColdPenalty is added, in requests a slot, for a target that started a moment ago.
	ColdPenalty float64 `yaml:"ColdPenalty,omitempty"`
	// UnstablePenalty puts a target that lost its flows lately behind stable ones.
	UnstablePenalty float64 `yaml:"UnstablePenalty,omitempty"`
	// Affinity is how much busier, in requests a slot, the best of a flow's preferred
	// targets may be than the best of all. It has to be small against the load of a
	// busy slot.
	Affinity float64 `yaml:"Affinity,omitempty"`
	// IdleLoad is the load, in requests a slot, up to which a preferred target is
	// taken without a look at the others.
	IdleLoad float64 `yaml:"IdleLoad,omitempty"`
	// Preferred is the number of targets of a service that a flow's hash prefers. The
	// least busy of three is nearly as good as that of all, and an entry without
	// memory of the flow finds its owner among them.
	Preferred int `yaml:"Preferred,omitempty"`
	// ReportHalfLife is the age at which a report of load counts half.
	ReportHalfLife time.Duration `yaml:"ReportHalfLife,omitempty"`
	// AcceptTime is how long a target may take to answer a SYN before another one
	// gets a copy. Targets answer within a millisecond; the rest is the way to
	// another zone and back, and VMs that stand still for a moment.
	AcceptTime time.Duration `yaml:"AcceptTime,omitempty"`
	// MaxTried bounds the targets that get the SYN of one flow.
	MaxTried int `yaml:"MaxTried,omitempty"`
	// FullTime is how long new flows avoid a target that did not accept one.
	FullTime time.Duration `yaml:"FullTime,omitempty"`
	// DownTime is the same for a target that does not react.
	DownTime time.Duration `yaml:"DownTime,omitempty"`
	// SilentTime is how long an agent does not answer before it counts as silent.
	// A VM whose share of a core is used up stands still for up to 100 ms.
	SilentTime time.Duration `yaml:"SilentTime,omitempty"`
	// StrangerTime is SilentTime for an agent that this entry has not heard for
	// acquaintedTime before it asked: its process may have been replaced since, and
	// have announced another stop to the entries that it had heard only.
	StrangerTime time.Duration `yaml:"StrangerTime,omitempty"`
	// SlowTime is how long an agent may not answer before new flows avoid it.
	SlowTime time.Duration `yaml:"SlowTime,omitempty"`
	// StopTime is how long an agent may be away after it announced its stop.
	StopTime time.Duration `yaml:"StopTime,omitempty"`
	// ResendTime is the age to which packets are sent again. Callers repeat older
	// ones themselves, or have given up; all at once would overrun the target.
	ResendTime time.Duration `yaml:"ResendTime,omitempty"`
	// SpreadTime is how long after its first listing here a target that has just
	// started gets no new flow if there is another: other entries may learn of it
	// later, by 0.7 s as a rule and by 1.5 s where the source that they follow fails.
	// One that gets a packet of a flow of a target that it has never heard of would
	// find that no target holds the flow. Targets that only come back to the list,
	// after an outage of the configuration service, do not wait: those before them
	// would be overrun.
	SpreadTime time.Duration `yaml:"SpreadTime,omitempty"`
	// ProbeShare is the share of the entry's link that packets may take which are
	// passed to agents in search of an owner. After a loss of power all callers come
	// back to agents that are unsure: 60 flows times 50 agents of 1 KB each would
	// fill a link of 10 Mbit/s for seconds.
	ProbeShare float64 `yaml:"ProbeShare,omitempty"`
	// QuestionShare is the same for questions to agents, whose answers take as much in
	// the other direction. A link that is full of questions loses the answers, and the
	// questions are asked again.
	QuestionShare float64 `yaml:"QuestionShare,omitempty"`
	// HearingTime is how long no agent at all may be heard before the cause is probably
	// this entry's own link, whose silence says nothing of a single agent.
	HearingTime time.Duration `yaml:"HearingTime,omitempty"`
	// HandoverTime is how long the flow table of an agent that stopped is kept for its
	// next process. Why it has a bound, conntrack.Policy says. Zero keeps none.
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
		ZonePenalty:     0.8,
		FlowLoad:        0.02,
		OpenedLoad:      0.02,
		ColdPenalty:     0.3,
		UnstablePenalty: 10,
		Affinity:        0.25,
		IdleLoad:        0.4,
		Preferred:       3,
		ReportHalfLife:  2 * time.Second,
		AcceptTime:      60 * time.Millisecond,
		MaxTried:        4,
		FullTime:        100 * time.Millisecond,
		DownTime:        300 * time.Millisecond,
		SilentTime:      180 * time.Millisecond,
		StrangerTime:    3 * time.Second,
		SlowTime:        80 * time.Millisecond,
		StopTime:        5 * time.Second,
		ResendTime:      250 * time.Millisecond,
		SpreadTime:      2 * time.Second,
		ProbeShare:      0.25,
		QuestionShare:   0.25,
		HearingTime:     60 * time.Millisecond,
		HandoverTime:    maxHandoverTime,
	}
}

// Bounds of a policy.
const (
	// maxPenalty is the greatest load that may be added to a target's own.
	maxPenalty = 50
	// mostTried is the greatest number of targets that may get one SYN, and of
	// targets that a flow may prefer.
	mostTried = 16
	// leastShare and mostShare bound a share of the link; more than 1 is no bound.
	leastShare = 0.01
	mostShare  = 100
	// maxWait is the longest of all times.
	maxWait = 10 * time.Second
	// maxHandoverTime is the greatest HandoverTime.
	maxHandoverTime = 900 * time.Millisecond
)

// Check reports the fields that are out of range. Section is the path of the policy
// in the document, with a dot at its end.
func (p *Policy) Check(c *document.Checker, section string) {
	for name, x := range map[string]float64{
		"ZonePenalty":     p.ZonePenalty,
		"FlowLoad":        p.FlowLoad,
		"OpenedLoad":      p.OpenedLoad,
		"ColdPenalty":     p.ColdPenalty,
		"UnstablePenalty": p.UnstablePenalty,
		"Affinity":        p.Affinity,
		"IdleLoad":        p.IdleLoad,
	} {
		document.Between(c, section+name, x, 0, maxPenalty)
	}
	document.Between(c, section+"ProbeShare", p.ProbeShare, leastShare, mostShare)
	document.Between(c, section+"QuestionShare", p.QuestionShare, leastShare, mostShare)
	c.Range(section+"Preferred", p.Preferred, 1, mostTried)
	c.Range(section+"MaxTried", p.MaxTried, 1, mostTried)
	for name, d := range map[string]time.Duration{
		"AcceptTime":   p.AcceptTime,
		"FullTime":     p.FullTime,
		"DownTime":     p.DownTime,
		"SilentTime":   p.SilentTime,
		"StrangerTime": p.StrangerTime,
		"SlowTime":     p.SlowTime,
		"StopTime":     p.StopTime,
		"ResendTime":   p.ResendTime,
		"SpreadTime":   p.SpreadTime,
		"HearingTime":  p.HearingTime,
	} {
		document.Between(c, section+name, d, 0, maxWait)
	}
	document.Between(c, section+"HandoverTime", p.HandoverTime, 0, maxHandoverTime)
	document.Between(c, section+"ReportHalfLife", p.ReportHalfLife, TickTime, maxWait)
}
