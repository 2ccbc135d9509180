package agent

import (
	"math/rand/v2"
	"time"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

// Core holds the flows and requests of one agent and decides on every message.
// It is not safe for concurrent use; one goroutine owns it.
type Core struct {
	// Counters counts events since the agent started.
	Counters Counters

	options Options
	// target is the identity of Options.Name; packets for any other target are
	// rejected.
	target uint64
	rand   *rand.Rand
	now    time.Duration
	out    []Command

	view *View
	// zone is the last known zone of this agent's target. It is kept when a
	// ticket removes the target.
	zone uint64
	// group is the group of the current service. formerGroups are the groups of
	// services that the target has left and that may still have flows here.
	group        *group
	formerGroups []*group
	hold         holdQueue

	flows  flowTable
	closed ttlCache[flowKey, ending]
	// forwardedOpens holds the target of the peer that the Open of a flow was
	// forwarded to.
	forwardedOpens ttlCache[flowKey, uint64]
	forwards       forwardTable
	entries        entryList
	// handoversByFlow and handovers hold the same handovers in progress, by flow
	// and in the order of their start.
	handoversByFlow map[flowKey]*handover
	handovers       []*handover
	adoptions       ttlCache[flowKey, adoption]
	// busyFlows are flows that did not become idle during a pause. They are not
	// paused again before their entries expire.
	busyFlows ttlCache[flowKey, struct{}]

	inProgress requestList
	answers    ttlCache[answerKey, answer]
	// sentOffers are the requests offered to peers, receivedOffers the requests
	// that peers offered to this agent.
	sentOffers     map[offerKey]*request
	receivedOffers map[originKey]*request
	// lastOfferNumber is the number of the last offer sent. Numbers are never
	// reused, because peers detect duplicates by them.
	lastOfferNumber uint64
	ownerWindows    ownerWindowTable

	queue   admission.Queue[*request]
	limiter admission.Limiter
	balance admission.Balance
	retries admission.RetryBudget
	busy    admission.Average
	backend backend
	drain   drainState

	nextHeartbeat time.Duration
	tenants       map[string]string
	candidates    candidates
}

// New returns a core without a view; it refuses everything until ViewChanged.
func New(o Options) *Core {
	o = o.withDefaults()
	c := &Core{
		options:         o,
		target:          ticket.ID(o.Name),
		rand:            rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		handoversByFlow: map[flowKey]*handover{},
		sentOffers:      map[offerKey]*request{},
		receivedOffers:  map[originKey]*request{},
		tenants:         map[string]string{},
		flows:           newFlowTable(),
		forwards:        newForwardTable(),
	}
	c.queue.MaxPerTenant = o.QueueMax
	c.queue.LongestWait = o.LongestWait
	c.answers.limit(o.CacheTime, o.CacheBytes)
	c.closed.limit(closedFlowTime, maxClosedFlows)
	c.forwardedOpens.limit(halfOpenTime, maxForwardedOpens)
	c.adoptions.limit(o.IdleTimeout, maxAdoptions)
	c.busyFlows.limit(maxPauseTime, maxHandovers)

	return c
}

// Update applies a message and returns the resulting commands. The result and
// the payloads in it are valid until the next call.
func (c *Core) Update(now time.Duration, m Message) []Command {
	c.now = max(c.now, now)
	clear(c.out)
	c.out = c.out[:0]

	switch m := m.(type) {
	case FromTunnel:
		c.fromTunnel(&m)
	case FromTarget:
		c.fromTarget(&m.Packet)
	case TargetUnreachable:
		c.targetUnreachable()
	case ViewChanged:
		c.applyView(m.View)
	case Tick:
		c.tick()
	case Stop:
		c.stop()
	}
	c.passWaiting()

	return c.out
}

func (c *Core) emit(m Command) {
	c.out = append(c.out, m)
}

// tick runs all timers. Timers that act on the view run only while the view is
// confirmed.
func (c *Core) tick() {
	c.expireFlows()
	c.expireRequests()
	c.expireCaches()
	c.pollTarget()
	c.heartbeat()
	c.checkPeers()
	c.expireHeld()
	c.finishStop()
	if !c.confirmed() {
		return
	}
	c.repeatOffers()
	c.repeatHandovers()
	c.advanceDrain()
}

func (c *Core) expireCaches() {
	c.answers.expire(c.now)
	c.closed.expire(c.now)
	c.forwardedOpens.expire(c.now)
	c.adoptions.expire(c.now)
	c.busyFlows.expire(c.now)
	c.forwards.expire(c.now)
}

// tenant returns an interned copy of a tenant's name. Tenants beyond maxTenants
// share the name otherTenant, so that callers can't grow the table without
// bound.
func (c *Core) tenant(name []byte) string {
	if t, ok := c.tenants[string(name)]; ok {
		return t
	}
	if len(c.tenants) >= maxTenants {
		return otherTenant
	}
	t := string(name)
	c.tenants[t] = t

	return t
}

const (
	maxTenants  = 1024
	otherTenant = "other"
)

// Load returns the load report that the agent sends to its peers.
func (c *Core) Load() Load {
	l := admission.Load{
		Target:      c.target,
		Incarnation: c.options.Incarnation,
		Busy:        c.busy.Value(c.now),
		Running:     c.running(),
		Waiting:     c.queue.Len(),
		Limit:       c.limiter.CurrentLimit(),
		Flows:       c.flows.len(),
		Draining:    !c.acceptsWork(),
		ServiceTime: c.limiter.ServiceTime(),
	}
	if c.view != nil {
		l.Slots = c.view.Slots
	}

	return l
}

// send sends a packet through the tunnel with this agent as the sender.
func (c *Core) send(m SendTunnel) {
	m.Header.SenderIncarnation = c.options.Incarnation
	m.Header.Sender = c.options.Self
	if c.view != nil {
		m.Header.Ticket = c.view.Ticket
	}
	c.emit(m)
}

// sendBody sends a message other than a caller's packet to one start of a peer.
func (c *Core) sendBody(to peerInstance, k packet.TunnelKind, service uint64, body []byte) {
	c.send(SendTunnel{
		To: to.agent,
		Header: packet.Tunnel{
			Kind:        k,
			Service:     service,
			Target:      to.target,
			Incarnation: to.incarnation,
		},
		Body: body,
	})
}

// ownToken returns a token that names this start of the agent as the owner of a
// flow.
func (c *Core) ownToken(service, flow uint64) packet.Token {
	return c.ownerToken(peerInstance{
		agent:       c.options.Self,
		target:      c.target,
		zone:        c.zone,
		incarnation: c.options.Incarnation,
	}, flowKey{
		service: service,
		flow:    flow,
	})
}

// ownerToken returns a signed token that names the owner of a flow.
func (c *Core) ownerToken(owner peerInstance, k flowKey) packet.Token {
	t := packet.Token{
		Agent:       owner.agent,
		Service:     k.service,
		Zone:        owner.zone,
		Target:      owner.target,
		Incarnation: owner.incarnation,
	}
	t.Sign(c.options.Keys, k.flow)

	return t
}
