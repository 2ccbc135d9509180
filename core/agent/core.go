package agent

import (
	"math/rand/v2"
	"time"

	"ibisfold.example/core/admission"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

// Core holds all flows and requests of one agent. One goroutine owns it.
type Core struct {
	// Counters count events since the start.
	Counters Counters

	options Options
	// target is the identity of Options.Name; it fences packets.
	target uint64
	rand   *rand.Rand
	now    time.Duration
	out    []Command

	view *View
	// zone is the own zone as last known; it outlives the target's removal.
	zone uint64
	// group is the current service's group, former the groups of services that
	// the own target has left while flows remain.
	group  *group
	formerGroups []*group
	hold   holdQueue

	flows    flowTable
	closed   ttlCache[flowKey, ending]
	forwardedOpens ttlCache[flowKey, uint64]
	forwards forwardTable
	entries  entryList
	// handoversByFlow and handovers hold the handovers in progress, by flow and in order.
	handoversByFlow   map[flowKey]*handover
	handovers []*handover
	adoptions ttlCache[flowKey, adoption]
	// busyFlows are those that did not become idle while they were paused.
	busyFlows ttlCache[flowKey, struct{}]

	requests requestList
	answers  ttlCache[answerKey, answer]
	sentOffers   map[offerKey]*request
	receivedOffers  map[originKey]*request
	// lastOfferNumber is the number of the last offer. Numbers are never reused, since
	// peers recognise copies by them.
	lastOfferNumber uint64
	ownerWindows   ownerWindowTable

	queue   admission.Queue[*request]
	limiter admission.Limiter
	balance admission.Balance
	retries admission.RetryBudget
	busy    admission.Average
	backend backend
	drain   drainState

	nextHeartbeat time.Duration
	tenants     map[string]string
	candidates       candidateList
}

// New returns a core without a view; it refuses everything until ViewChanged.
func New(o Options) *Core {
	o = o.withDefaults()
	c := &Core{
		options:  o,
		target:   ticket.ID(o.Name),
		rand:     rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		handoversByFlow:  map[flowKey]*handover{},
		sentOffers:   map[offerKey]*request{},
		receivedOffers:  map[originKey]*request{},
		tenants:  map[string]string{},
		flows:    newFlowTable(),
		forwards: newForwardTable(),
	}
	c.queue.Max = o.QueueMax
	c.queue.LongestWait = o.LongestWait
	c.answers.limit(o.CacheTime, o.CacheBytes)
	c.closed.limit(closedFlowTime, maxClosedFlows)
	c.forwardedOpens.limit(halfOpenTime, maxForwardedOpens)
	c.adoptions.limit(o.IdleTimeout, maxAdoptions)
	c.busyFlows.limit(maxPauseTime, maxHandovers)

	return c
}

// Update applies a message and returns the commands that follow from it. The
// result and the payloads in it are valid until the next call.
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

// tick runs all timers. What acts on the view waits until the view is confirmed.
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

// internTenant returns an interned copy of a internTenant's name. Tenants beyond
// tenantsMax share one name, so that callers can't grow the table.
func (c *Core) internTenant(name []byte) string {
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

// Load returns what the agent tells its peers.
func (c *Core) Load() Load {
	l := admission.Load{
		Target:      c.target,
		Incarnation: c.options.Incarnation,
		Busy:        c.busy.Value(c.now),
		Running:     c.running(),
		Waiting:     c.queue.Len(),
		Limit:       c.limiter.Allow(),
		Flows:       c.flows.len(),
		Draining:    !c.acceptsWork(),
		Usual:       c.limiter.Usual(),
	}
	if c.view != nil {
		l.Slots = c.view.Slots
	}

	return l
}

// send sends a packet through the tunnel under the own identity.
func (c *Core) send(m SendTunnel) {
	m.Header.SenderIncarnation = c.options.Incarnation
	m.Header.Sender = c.options.Self
	if c.view != nil {
		m.Header.Ticket = c.view.Ticket
	}
	c.emit(m)
}

func (c *Core) ownToken(service, flow uint64) packet.Token {
	t := packet.Token{
		Agent:       c.options.Self,
		Service:     service,
		Zone:        c.zone,
		Target:      c.target,
		Incarnation: c.options.Incarnation,
	}
	t.Sign(c.options.Keys, flow)

	return t
}
