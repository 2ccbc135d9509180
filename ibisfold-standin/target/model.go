// Package target simulates targets: servers that run requests in a limited number of slots, are
// slow after a cold start, shed load, restart when overloaded, and report their load correctly or
// incorrectly.
package target

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
	"ibisfold.example/ibisfold-standin/echo"
)

const (
	// DefaultWork is the mean service time of a warm target.
	DefaultWork = 50 * time.Millisecond
	// DefaultWarmUp is the time from a cold start until the target runs at full speed.
	DefaultWarmUp = 3 * time.Second
	// coldWorkFactor multiplies the service time of a request right after a cold start.
	coldWorkFactor = 4
	// allSlotsProgress is the share of the warm-up after which all slots can be used.
	allSlotsProgress = 0.8
	// agentReactionTime bounds the time that an agent may take to reduce the load after the first
	// packet from which it can tell that the target is cold.
	agentReactionTime = 50 * time.Millisecond
	// workDeviation is the standard deviation of the logarithm of service times.
	workDeviation = 0.3
	// maxWorkFactor bounds the service time of a warm target, as a multiple of the mean.
	maxWorkFactor = 3
)

// Options describe a target.
type Options struct {
	Name  string
	Zone  string
	Slots int
	// Work is the mean service time; by default DefaultWork.
	Work time.Duration
	// WarmUp is the length of a cold start; by default DefaultWarmUp.
	WarmUp time.Duration
	Seed   uint64
	// Ledger records the requests that run; the targets of a site share it. By default the target
	// has its own.
	Ledger *Ledger
}

// Counters count the events at a target.
type Counters struct {
	Packets int
	Runs    int
	Shed    int
	// OverBound and Surprised count requests above the limit of a cold target: OverBound those
	// whose agent should know that the target is cold, Surprised those whose agent can't know yet.
	OverBound int
	Surprised int
	// Falls counts restarts because of overload.
	Falls int
	// WrongService counts requests for a service that the target does not serve.
	WrongService int
	Cancelled    int
	// LastPacket is the time of the last packet.
	LastPacket time.Duration
}

// maxMisrouted bounds the length of Model.Misrouted.
const maxMisrouted = 20

// Misrouted describes a request for a service that the target does not serve.
type Misrouted struct {
	At      time.Duration
	Service netip.AddrPort
	Run     Run
	// Attempt is the delivery number that the agent assigned.
	Attempt uint32
}

// Reply is a packet that the target sends to an agent.
type Reply struct {
	To     netip.AddrPort
	Packet packet.Packet
}

// job is a running request.
type job struct {
	end     time.Duration
	from    netip.AddrPort
	request packet.Packet
}

// servedService is a service that the target serves at an address.
type servedService struct {
	name string
	// until is the time after which requests count as sent to the wrong service, or zero for the
	// present service.
	until time.Duration
}

// Model is the behaviour of one target, without sockets and clock. Times are relative to an origin
// that the caller chooses.
type Model struct {
	Options
	Counters Counters
	Usage    Usage
	Report   Report
	// Misrouted holds the first requests for services that the target does not serve.
	Misrouted []Misrouted

	rand        *rand.Rand
	boot        uint64
	restartedAt time.Duration
	// startedWarm is true until the first cold start.
	startedWarm bool
	// agentInformedAt is the time of the first packet since the last restart from which the agent
	// could tell that the target restarted or sheds load, or zero.
	agentInformedAt time.Duration
	running         []job
	services        map[netip.AddrPort]servedService
}

// NewModel returns a warm target that serves no address yet.
func NewModel(o Options) *Model {
	if o.Work == 0 {
		o.Work = DefaultWork
	}
	if o.WarmUp == 0 {
		o.WarmUp = DefaultWarmUp
	}
	if o.Ledger == nil {
		o.Ledger = &Ledger{}
	}
	m := &Model{
		Options:     o,
		rand:        rand.New(rand.NewPCG(o.Seed, ticket.ID(o.Name))),
		startedWarm: true,
		services:    map[netip.AddrPort]servedService{},
	}
	m.boot = m.rand.Uint64() | 1

	return m
}

// Serve makes the target serve a service at addrs. Requests for its previous addresses still count
// as right for the duration grace.
func (m *Model) Serve(now, grace time.Duration, name string, addrs []netip.AddrPort) {
	for a, s := range m.services {
		if s.until == 0 {
			s.until = now + grace
			m.services[a] = s
		}
	}
	for _, a := range addrs {
		m.services[a] = servedService{
			name: name,
		}
	}
}

// Restart drops all running requests and begins a cold start. The boot ID changes only if the
// restart is announced.
func (m *Model) Restart(now time.Duration, announced bool) {
	m.Usage.advance(now, len(m.running))
	m.running = nil
	m.restartedAt = now
	m.startedWarm = false
	m.agentInformedAt = 0
	if announced {
		m.boot = m.rand.Uint64() | 1
	}
}

// warmUpProgress returns 0 at a cold start and 1 when the target is warm.
func (m *Model) warmUpProgress(now time.Duration) float64 {
	if m.startedWarm {
		return 1
	}

	return min(1, float64(now-m.restartedAt)/float64(m.WarmUp))
}

// MaxRunning returns the number of requests that the target can run at the same time.
func (m *Model) MaxRunning(now time.Duration) int {
	slotShare := min(1, m.warmUpProgress(now)/allSlotsProgress)

	return 1 + int(float64(m.Slots-1)*slotShare)
}

// Running returns the number of running requests.
func (m *Model) Running() int {
	return len(m.running)
}

// Receive handles a packet of an agent and returns the immediate replies. It does not keep p.
func (m *Model) Receive(now time.Duration, from netip.AddrPort, p *packet.Packet) []Reply {
	m.Counters.Packets++
	m.Counters.LastPacket = now
	switch p.Kind {
	case packet.Hello:
		m.markAgentInformed(now)

		return []Reply{m.reply(now, from, p, packet.HelloAck)}
	case packet.Request:
		return m.request(now, from, p)
	case packet.Cancel:
		return m.cancel(now, p)
	}

	return nil
}

// markAgentInformed records that the agent gets a packet, unless it got one since the last restart.
func (m *Model) markAgentInformed(now time.Duration) {
	if m.agentInformedAt == 0 {
		m.agentInformedAt = now
	}
}

// request runs or sheds a request. An overload of which the agent should have known restarts the
// target.
func (m *Model) request(now time.Duration, from netip.AddrPort, p *packet.Packet) []Reply {
	if !m.serves(now, p.Service) {
		m.addMisrouted(now, p)
	}
	maxRunning := m.MaxRunning(now)
	switch {
	case len(m.running) < maxRunning:
		m.run(now, from, p)

		return nil
	case maxRunning < m.Slots && m.agentInformedAt > 0 && now-m.agentInformedAt > agentReactionTime:
		m.Counters.OverBound++
		m.Counters.Falls++
		m.Restart(now, true)

		return nil
	case maxRunning < m.Slots:
		m.Counters.Surprised++
	}
	m.Counters.Shed++
	m.markAgentInformed(now)

	return []Reply{m.reply(now, from, p, packet.Shed)}
}

func (m *Model) addMisrouted(now time.Duration, p *packet.Packet) {
	m.Counters.WrongService++
	if len(m.Misrouted) >= maxMisrouted {
		return
	}
	m.Misrouted = append(m.Misrouted, Misrouted{
		At:      now,
		Service: p.Service,
		Run: Run{
			Flow:    p.Flow,
			Request: p.Request,
		},
		Attempt: p.Attempt,
	})
}

// serves reports whether requests for an address count as right: the target serves the address,
// or stopped serving it within the last grace time.
func (m *Model) serves(now time.Duration, a netip.AddrPort) bool {
	s, ok := m.services[a]

	return ok && (s.until == 0 || now <= s.until)
}

func (m *Model) run(now time.Duration, from netip.AddrPort, p *packet.Packet) {
	m.Counters.Runs++
	m.Ledger.add(Run{
		Flow:    p.Flow,
		Request: p.Request,
	}, p.Idempotent)
	m.Usage.advance(now, len(m.running))

	c := *p
	c.Tenant = append([]byte(nil), p.Tenant...)
	c.Payload = append([]byte(nil), p.Payload...)
	m.running = append(m.running, job{
		end:     now + m.workTime(now),
		from:    from,
		request: c,
	})
}

// workTime returns a random service time, which is longer while the target is cold.
func (m *Model) workTime(now time.Duration) time.Duration {
	f := min(maxWorkFactor, math.Exp(workDeviation*m.rand.NormFloat64()))
	f *= coldWorkFactor - (coldWorkFactor-1)*m.warmUpProgress(now)

	return time.Duration(f * float64(m.Work))
}

func (m *Model) cancel(now time.Duration, p *packet.Packet) []Reply {
	for i, j := range m.running {
		if j.request.Flow != p.Flow || j.request.Request != p.Request {
			continue
		}
		m.Counters.Cancelled++
		m.remove(now, i)
		r := m.reply(now, j.from, &j.request, packet.Answer)
		r.Packet.Status = packet.StatusCancelled

		return []Reply{r}
	}

	return nil
}

func (m *Model) remove(now time.Duration, i int) {
	m.Usage.advance(now, len(m.running))
	m.running = append(m.running[:i], m.running[i+1:]...)
}

// Next returns the time at which the next running request ends, or false if none runs.
func (m *Model) Next() (time.Duration, bool) {
	if len(m.running) == 0 {
		return 0, false
	}
	t := m.running[0].end
	for _, j := range m.running {
		t = min(t, j.end)
	}

	return t, true
}

// Due ends the requests whose service time is over and returns their answers.
func (m *Model) Due(now time.Duration) []Reply {
	replies := []Reply{}
	for i := 0; i < len(m.running); {
		j := m.running[i]
		if j.end > now {
			i++
			continue
		}
		m.remove(now, i)
		replies = append(replies, m.answer(now, &j)...)
	}

	return replies
}

// answer returns the parts of a request's answer. A payload that can't be decoded gets an empty
// answer.
func (m *Model) answer(now time.Duration, j *job) []Reply {
	m.markAgentInformed(now)
	request := echo.RequestPayload{}
	if request.Decode(j.request.Payload) != nil {
		return []Reply{m.reply(now, j.from, &j.request, packet.Answer)}
	}

	parts := max(1, min(request.Parts, packet.MaxParts))
	replies := make([]Reply, 0, parts)
	for i := range parts {
		r := m.reply(now, j.from, &j.request, packet.Answer)
		r.Packet.Part = uint32(i)
		r.Packet.Parts = uint32(parts)
		a := echo.Answer{
			Service: ticket.ID(m.services[j.request.Service].name),
			Flow:    j.request.Flow,
			Request: j.request.Request,
			Target:  ticket.ID(m.Name),
			Part:    i,
			Parts:   parts,
		}
		r.Packet.Payload = a.Append(nil, int(request.Bytes))
		replies = append(replies, r)
	}

	return replies
}

func (m *Model) reply(now time.Duration, to netip.AddrPort, p *packet.Packet, k packet.Kind) Reply {
	return Reply{
		To: to,
		Packet: packet.Packet{
			Kind:    k,
			Service: p.Service,
			Flow:    p.Flow,
			Request: p.Request,
			Attempt: p.Attempt,
			Tenant:  p.Tenant,
			Boot:    m.boot,
			Running: m.Report.reported(now, len(m.running)),
		},
	}
}
