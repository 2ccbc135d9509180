// Package target stands in for targets: servers that run requests in slots,
// start cold, shed load, fall over and report their load, rightly or wrongly.
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
	// DefaultWarmUp is the time from a cold start until full speed.
	DefaultWarmUp = 3 * time.Second
	// coldFactor is how much longer a request takes right after a cold start.
	coldFactor = 4
	// bearAll is the share of the warm-up after which all slots can be used.
	bearAll = 0.8
	// toldGrace is the time that an agent has to act on a sign of a cold start.
	toldGrace = 50 * time.Millisecond
	// spread is the standard deviation of the logarithm of service times.
	spread = 0.3
	// longest bounds a service time, as a multiple of the mean.
	longest = 3
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
	// Ledger is shared by the targets of a site.
	Ledger *Ledger
}

// Counters count the events at a target.
type Counters struct {
	Packets int
	Runs    int
	Shed    int
	// OverBound counts requests above the bound of a cold target whose agent
	// had been told, and Surprised those whose agent could not know yet.
	OverBound int
	Surprised int
	// Falls counts restarts because of too much load.
	Falls int
	// WrongService counts requests of a service that the target does not serve.
	WrongService int
	Cancelled    int
	// LastPacket is the time of the last packet.
	LastPacket time.Duration
}

// maxWrong bounds the requests of other services that are kept.
const maxWrong = 20

// Wrong describes a request of a service that the target does not serve.
type Wrong struct {
	At      time.Duration
	Service netip.AddrPort
	Run     Run
	// Attempt is the pass of the agent.
	Attempt uint32
}

// Reply is a packet for the agent.
type Reply struct {
	To     netip.AddrPort
	Packet packet.Packet
}

type job struct {
	until time.Duration
	from  netip.AddrPort
	ask   packet.Packet
}

type served struct {
	name string
	// until is the end of service; zero while it lasts.
	until time.Duration
}

// Model is the behaviour of one target without sockets and clock.
type Model struct {
	Options
	Counters Counters
	Usage    Usage
	Report   Report
	// Wrong holds the first requests of other services.
	Wrong []Wrong

	rand    *rand.Rand
	boot    uint64
	started time.Duration
	// warm is set for targets that begin without a cold start.
	warm bool
	// told is the time of the first sign of the present cold start to the agent.
	told     time.Duration
	running  []job
	services map[netip.AddrPort]served
}

// NewModel starts a target that is warm.
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
		Options:  o,
		rand:     rand.New(rand.NewPCG(o.Seed, ticket.ID(o.Name))),
		warm:     true,
		services: map[netip.AddrPort]served{},
	}
	m.boot = m.rand.Uint64() | 1

	return m
}

// Serve makes the target serve the addresses of a service. What it served
// before is still right until grace after now.
func (m *Model) Serve(now, grace time.Duration, name string, addrs []netip.AddrPort) {
	for a, s := range m.services {
		if s.until == 0 {
			s.until = now + grace
			m.services[a] = s
		}
	}
	for _, a := range addrs {
		m.services[a] = served{
			name: name,
		}
	}
}

// Restart ends all requests and begins a cold start. Without announcement the
// boot identity stays.
func (m *Model) Restart(now time.Duration, announced bool) {
	m.Usage.advance(now, len(m.running))
	m.running = nil
	m.started = now
	m.warm = false
	m.told = 0
	if announced {
		m.boot = m.rand.Uint64() | 1
	}
}

// warmth is 0 at a cold start and 1 when warm.
func (m *Model) warmth(now time.Duration) float64 {
	if m.warm {
		return 1
	}

	return min(1, float64(now-m.started)/float64(m.WarmUp))
}

// Bears returns how many requests the target can run at a time.
func (m *Model) Bears(now time.Duration) int {
	w := min(1, m.warmth(now)/bearAll)

	return 1 + int(float64(m.Slots-1)*w)
}

// Running returns the number of requests that run.
func (m *Model) Running() int {
	return len(m.running)
}

// Receive takes one packet of the agent. The packet is valid only during the call.
func (m *Model) Receive(now time.Duration, from netip.AddrPort, p *packet.Packet) []Reply {
	m.Counters.Packets++
	m.Counters.LastPacket = now
	switch p.Kind {
	case packet.Hello:
		m.tell(now)

		return []Reply{m.reply(now, from, p, packet.HelloAck)}
	case packet.Request:
		return m.request(now, from, p)
	case packet.Cancel:
		return m.cancel(now, p)
	}

	return nil
}

func (m *Model) tell(now time.Duration) {
	if m.told == 0 {
		m.told = now
	}
}

func (m *Model) request(now time.Duration, from netip.AddrPort, p *packet.Packet) []Reply {
	if !m.serves(now, p.Service) {
		m.wrong(now, p)
	}
	bears := m.Bears(now)
	switch {
	case len(m.running) < bears:
		m.run(now, from, p)

		return nil
	case bears < m.Slots && m.told > 0 && now-m.told > toldGrace:
		m.Counters.OverBound++
		m.Counters.Falls++
		m.Restart(now, true)

		return nil
	case bears < m.Slots:
		m.Counters.Surprised++
	}
	m.Counters.Shed++
	m.tell(now)

	return []Reply{m.reply(now, from, p, packet.Shed)}
}

func (m *Model) wrong(now time.Duration, p *packet.Packet) {
	m.Counters.WrongService++
	if len(m.Wrong) >= maxWrong {
		return
	}
	m.Wrong = append(m.Wrong, Wrong{
		At:      now,
		Service: p.Service,
		Run: Run{
			Flow:    p.Flow,
			Request: p.Request,
		},
		Attempt: p.Attempt,
	})
}

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
		until: now + m.workTime(now),
		from:  from,
		ask:   c,
	})
}

// workTime draws a service time around the mean, longer when cold.
func (m *Model) workTime(now time.Duration) time.Duration {
	f := min(longest, math.Exp(spread*m.rand.NormFloat64()))
	f *= coldFactor - (coldFactor-1)*m.warmth(now)

	return time.Duration(f * float64(m.Work))
}

func (m *Model) cancel(now time.Duration, p *packet.Packet) []Reply {
	for i, j := range m.running {
		if j.ask.Flow != p.Flow || j.ask.Request != p.Request {
			continue
		}
		m.Counters.Cancelled++
		m.remove(now, i)
		r := m.reply(now, j.from, &j.ask, packet.Answer)
		r.Packet.Status = packet.StatusCancelled

		return []Reply{r}
	}

	return nil
}

func (m *Model) remove(now time.Duration, i int) {
	m.Usage.advance(now, len(m.running))
	m.running = append(m.running[:i], m.running[i+1:]...)
}

// Next returns the time at which the next request ends, if one runs.
func (m *Model) Next() (time.Duration, bool) {
	if len(m.running) == 0 {
		return 0, false
	}
	t := m.running[0].until
	for _, j := range m.running {
		t = min(t, j.until)
	}

	return t, true
}

// Due ends the requests that are done by now and returns their answers.
func (m *Model) Due(now time.Duration) []Reply {
	replies := []Reply{}
	for i := 0; i < len(m.running); {
		j := m.running[i]
		if j.until > now {
			i++
			continue
		}
		m.remove(now, i)
		replies = append(replies, m.answer(now, &j)...)
	}

	return replies
}

func (m *Model) answer(now time.Duration, j *job) []Reply {
	m.tell(now)
	ask := echo.Ask{}
	if ask.Decode(j.ask.Payload) != nil {
		return []Reply{m.reply(now, j.from, &j.ask, packet.Answer)}
	}

	parts := max(1, min(ask.Parts, packet.MaxParts))
	replies := make([]Reply, 0, parts)
	for i := range parts {
		r := m.reply(now, j.from, &j.ask, packet.Answer)
		r.Packet.Part = uint32(i)
		r.Packet.Parts = uint32(parts)
		a := echo.Answer{
			Service: ticket.ID(m.services[j.ask.Service].name),
			Flow:    j.ask.Flow,
			Request: j.ask.Request,
			Target:  ticket.ID(m.Name),
			Part:    i,
			Parts:   parts,
		}
		r.Packet.Payload = a.Append(nil, int(ask.Bytes))
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
			Running: m.Report.show(now, len(m.running)),
		},
	}
}
