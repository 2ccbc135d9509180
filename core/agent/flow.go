package agent

import (
	"net/netip"
	"time"
)

const (
	// halfOpenTime is how long an opened flow is protected from eviction before
	// the caller's first use of the token. An Open whose copies reached several
	// agents leaves flows that no caller uses. They are evicted only when room is
	// needed, because a caller may open a flow long before its first request.
	halfOpenTime = 5 * time.Second
	// closedFlowTime is how long an ended flow is remembered, so that late copies
	// of its packets can't open it again and run a request twice.
	closedFlowTime = time.Minute
	maxClosedFlows = 65536
	// maxForwardedOpens bounds the remembered Open packets that were forwarded to
	// peers.
	maxForwardedOpens = 65536
)

// flowKey identifies a flow. Flow numbers are chosen by callers, so flows of
// different services may share one.
type flowKey struct {
	service uint64
	flow    uint64
}

// ending says how a flow ended.
type ending uint8

const (
	// endedByAgent means that the agent ended the flow, for example because it was
	// idle.
	endedByAgent ending = iota
	// endedByCaller means that the caller closed the flow.
	endedByCaller
)

type flowState uint8

const (
	// halfOpen means that the caller has not used the token yet.
	halfOpen flowState = iota
	// adopted means that a peer handed the flow over. The peer still owns it
	// until it confirms the handover, or until a packet arrives under the new
	// token or from the peer.
	adopted
	// active flows are owned and served by this agent.
	active
	// handingOver flows are being handed over to a peer; see handover.
	handingOver
)

// flow is the state of one flow. With its table entry it takes at most 256
// bytes, without its requests in progress.
type flow struct {
	key  flowKey
	prev *flow
	next *flow
	// entry is the entry that delivered the flow's last packet, caller the
	// address that it came from.
	entry  netip.AddrPort
	caller netip.AddrPort
	// address is the service address that the caller uses.
	address  netip.AddrPort
	window   window
	lastUsed time.Duration
	// requests heads the list of the flow's requests in progress, linked by
	// request.sibling.
	requests *request
	// epoch counts the handover attempts in the flow's lifetime. A copy of an
	// older epoch never replaces a newer one.
	epoch uint32
	// unused means that the flow was promoted before its caller used it; see
	// promoteUnused.
	unused bool
	state  flowState
}

// flowTable holds flows by key and in order of last use.
type flowTable struct {
	flows map[flowKey]*flow
	// halfOpenFlows lists half-open flows, live all others; the least recently
	// used is first.
	halfOpenFlows flowList
	live          flowList
}

func newFlowTable() flowTable {
	return flowTable{
		flows: map[flowKey]*flow{},
	}
}

func (t *flowTable) get(k flowKey) *flow {
	return t.flows[k]
}

func (t *flowTable) len() int {
	return len(t.flows)
}

func (t *flowTable) list(f *flow) *flowList {
	if f.state == halfOpen {
		return &t.halfOpenFlows
	}

	return &t.live
}

func (t *flowTable) add(f *flow) {
	t.flows[f.key] = f
	t.list(f).append(f)
}

func (t *flowTable) remove(f *flow) {
	delete(t.flows, f.key)
	t.list(f).remove(f)
}

// renew restarts the idle time of a flow.
func (t *flowTable) renew(now time.Duration, f *flow) {
	t.list(f).remove(f)
	f.lastUsed = now
	t.list(f).append(f)
}

// markUsed restarts the idle time of a flow that is in use. A half-open flow
// becomes active.
func (t *flowTable) markUsed(now time.Duration, f *flow) {
	t.list(f).remove(f)
	f.lastUsed = now
	if f.state == halfOpen {
		f.state = active
	}
	f.unused = false
	t.live.append(f)
}

// promote turns a half-open flow into an active one, so that it can be handed
// over, and marks it as unused.
func (t *flowTable) promote(f *flow) {
	t.halfOpenFlows.remove(f)
	f.state = active
	f.unused = true
	t.live.append(f)
}

type flowList struct {
	first *flow
	last  *flow
}

func (l *flowList) append(f *flow) {
	f.prev = l.last
	f.next = nil
	if l.last == nil {
		l.first = f
	} else {
		l.last.next = f
	}
	l.last = f
}

func (l *flowList) remove(f *flow) {
	if f.prev == nil {
		l.first = f.next
	} else {
		f.prev.next = f.next
	}
	if f.next == nil {
		l.last = f.prev
	} else {
		f.next.prev = f.prev
	}
	f.prev = nil
	f.next = nil
}

// expireFlows ends idle flows. A flow with a request in progress is not idle.
func (c *Core) expireFlows() {
	for f := c.flows.halfOpenFlows.first; f != nil && f.lastUsed+c.options.IdleTimeout <= c.now; f = c.flows.halfOpenFlows.first {
		c.expireFlow(f)
	}
	for f := c.flows.live.first; f != nil && f.lastUsed+c.options.IdleTimeout <= c.now; f = c.flows.live.first {
		if f.requests != nil {
			c.flows.markUsed(c.now, f)
			continue
		}
		c.expireFlow(f)
	}
}

func (c *Core) expireFlow(f *flow) {
	c.Counters.FlowsExpired++
	c.removeFlow(f)
}

// evictable returns the oldest half-open flow if halfOpenTime has passed since
// its last Open, or nil.
func (c *Core) evictable() *flow {
	f := c.flows.halfOpenFlows.first
	if f == nil || f.lastUsed+halfOpenTime > c.now {
		return nil
	}

	return f
}

// removeFlow removes a flow. A flow that may have run requests is remembered as
// closed; an adopted copy was never owned here and may be adopted again.
func (c *Core) removeFlow(f *flow) {
	c.cancelHandover(f)
	c.flows.remove(f)
	if f.state == active || f.state == handingOver {
		c.closed.put(c.now, f.key, endedByAgent, 1)
	}
}
