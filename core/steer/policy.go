package steer

import (
	"time"

	"ibisfold.example/core/document"
)

// Policy holds the thresholds of an entry's decisions, which ablations and experiments
// change. The zero value is not valid; use DefaultPolicy.
type Policy struct {
	// ZonePenalty is how much busier, in requests per slot, a target of this zone may be
	// before new flows go to another zone, over slow and expensive links. Below one request
	// per slot a target serves at once.
	ZonePenalty float64 `yaml:"ZonePenalty,omitempty"`
	// FlowLoad is the load, in requests, that an open flow is expected to cause. The
	// requests that are in progress at the moment say little about long-lived flows.
	FlowLoad float64 `yaml:"FlowLoad,omitempty"`
	// OpenedLoad is the load, in requests, that a flow is expected to cause that was placed
	// after the agent's last report.
	OpenedLoad float64 `yaml:"OpenedLoad,omitempty"`
	// ColdPenalty is added, in requests per slot, for a target that started a short while
	// ago.
	ColdPenalty float64 `yaml:"ColdPenalty,omitempty"`
	// UnstablePenalty ranks a target that lost its flows a short while ago behind stable
	// ones. It is in requests per slot.
	UnstablePenalty float64 `yaml:"UnstablePenalty,omitempty"`
	// Affinity is how much busier, in requests per slot, the best of a flow's preferred
	// targets may be than the best of all. It has to be small compared with the load of a
	// busy slot.
	Affinity float64 `yaml:"Affinity,omitempty"`
	// IdleLoad is the load, in requests per slot, up to which a preferred target is chosen
	// without comparing it with the others.
	IdleLoad float64 `yaml:"IdleLoad,omitempty"`
	// Preferred is the number of targets of a service that a flow's hash prefers. The least
	// busy of three is nearly as good as the least busy of all, and an entry that does not
	// know the flow finds its owner among them.
	Preferred int `yaml:"Preferred,omitempty"`
	// ReportHalfLife is the age at which a load report counts half.
	ReportHalfLife time.Duration `yaml:"ReportHalfLife,omitempty"`
	// AcceptTime is how long a target may take to answer a SYN before another one gets a
	// copy. Targets answer within a millisecond; the rest covers the round trip to another
	// zone and short stalls of VMs.
	AcceptTime time.Duration `yaml:"AcceptTime,omitempty"`
	// MaxTried bounds the number of targets that get the SYN of one flow.
	MaxTried int `yaml:"MaxTried,omitempty"`
	// FullTime is how long new flows avoid a target that did not accept one.
	FullTime time.Duration `yaml:"FullTime,omitempty"`
	// DownTime is how long new flows avoid a target that does not react.
	DownTime time.Duration `yaml:"DownTime,omitempty"`
	// SilentTime is how long an agent may leave queries unanswered before it counts as
	// silent. A VM that has used up its CPU quota stalls for up to 100 ms.
	SilentTime time.Duration `yaml:"SilentTime,omitempty"`
	// StrangerTime replaces SilentTime for an agent that this entry had not heard within
	// maxHeardAge before its first unanswered query. Its process may have been replaced
	// since, and the new one announces its stop only to the entries that it has heard.
	StrangerTime time.Duration `yaml:"StrangerTime,omitempty"`
	// SlowTime is how long an agent may leave queries unanswered before new flows avoid its
	// target.
	SlowTime time.Duration `yaml:"SlowTime,omitempty"`
	// UnreachableTime is for how long a silent agent's VM has to leave connection attempts
	// unanswered to count as unreachable.
	UnreachableTime time.Duration `yaml:"UnreachableTime,omitempty"`
	// StopTime is how long an agent may be unavailable after it announced its stop, or after
	// its VM began to refuse connections to its process.
	StopTime time.Duration `yaml:"StopTime,omitempty"`
	// ResendTime bounds the age of packets that are sent again. Callers retransmit older
	// ones themselves or have given up, and sending all at once would overload the target.
	ResendTime time.Duration `yaml:"ResendTime,omitempty"`
	// SpreadTime is how long after its first listing here a target that others may not know
	// yet gets no new flow if there is another target. Other entries learn of it up to 0.7 s
	// later as a rule, and up to 1.5 s later if the source that they follow fails. If such
	// an entry got a packet of a flow at a target that it does not know, it would conclude
	// that no target holds the flow. Targets that return to the list after an outage of the
	// configuration service do not wait: the targets that are listed before them would be
	// overloaded.
	SpreadTime time.Duration `yaml:"SpreadTime,omitempty"`
	// ProbeShare is the share of the entry's link that probes may take, the packets that
	// are sent to agents in search of an owner. After a power outage all callers come back
	// to agents that are unsure: 60 flows times 50 agents of 1 KB each would fill a link of
	// 10 Mbit/s for seconds.
	ProbeShare float64 `yaml:"ProbeShare,omitempty"`
	// QuestionShare is the share of the entry's link that queries to agents may take; the
	// answers take as much in the other direction. A link that is full of queries loses the
	// answers, and the queries are repeated.
	QuestionShare float64 `yaml:"QuestionShare,omitempty"`
	// HearingTime is how long no agent at all may be heard before this entry's own link is
	// the probable cause, so that the silence says nothing about a single agent.
	HearingTime time.Duration `yaml:"HearingTime,omitempty"`
	// HandoverTime is how long the flow table of an agent that stopped is kept for its next
	// process. conntrack.Policy says why it is bounded. Zero keeps no table.
	HandoverTime time.Duration `yaml:"HandoverTime,omitempty"`
}

// DefaultPolicy returns the policy of a Core that has none.
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
		UnreachableTime: 200 * time.Millisecond,
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
	// maxPenalty is the upper bound of every penalty and load, in the unit of each.
	maxPenalty = 50
	// maxTargets is the highest number of targets that may get one SYN, and of targets that
	// a flow may prefer.
	maxTargets = 16
	// minShare and maxShare bound a share of the link; a share above 1 is no limit.
	minShare = 0.01
	maxShare = 100
	// maxDuration is the upper bound of every duration but HandoverTime.
	maxDuration = 10 * time.Second
	// maxHandoverTime is the upper bound of HandoverTime.
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
	document.Between(c, section+"ProbeShare", p.ProbeShare, minShare, maxShare)
	document.Between(c, section+"QuestionShare", p.QuestionShare, minShare, maxShare)
	c.Range(section+"Preferred", p.Preferred, 1, maxTargets)
	c.Range(section+"MaxTried", p.MaxTried, 1, maxTargets)
	for name, d := range map[string]time.Duration{
		"AcceptTime":      p.AcceptTime,
		"FullTime":        p.FullTime,
		"DownTime":        p.DownTime,
		"SilentTime":      p.SilentTime,
		"StrangerTime":    p.StrangerTime,
		"UnreachableTime": p.UnreachableTime,
		"SlowTime":        p.SlowTime,
		"StopTime":        p.StopTime,
		"ResendTime":      p.ResendTime,
		"SpreadTime":      p.SpreadTime,
		"HearingTime":     p.HearingTime,
	} {
		document.Between(c, section+name, d, 0, maxDuration)
	}
	document.Between(c, section+"HandoverTime", p.HandoverTime, 0, maxHandoverTime)
	document.Between(c, section+"ReportHalfLife", p.ReportHalfLife, TickTime, maxDuration)
}
