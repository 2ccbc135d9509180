package target

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/packet"
)

const readBufferBytes = 1 << 20

// Target runs a model on a UDP socket and the system clock.
type Target struct {
	mu    sync.Mutex
	model *Model
	conn  *net.UDPConn
	start time.Time
}

// Listen starts a target on an address. Close stops it. The model's times are relative to start.
func Listen(a netip.AddrPort, start time.Time, o Options) (*Target, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Trace(err)
	}
	_ = c.SetReadBuffer(readBufferBytes)
	t := &Target{
		model: NewModel(o),
		conn:  c,
		start: start,
	}
	go t.loop()

	return t, nil
}

// Addr returns the target's address.
func (t *Target) Addr() netip.AddrPort {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close stops the target and drops its running requests.
func (t *Target) Close() {
	_ = t.conn.Close()
}

// Do calls f with the model and its present time, while no packet is handled.
func (t *Target) Do(f func(m *Model, now time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()

	f(t.model, time.Since(t.start))
}

// Serve sets the service; see Model.Serve.
func (t *Target) Serve(grace time.Duration, name string, addrs []netip.AddrPort) {
	t.Do(func(m *Model, now time.Duration) {
		m.Serve(now, grace, name, addrs)
	})
}

// SetInService records whether the target should get requests from now on; see Usage.
func (t *Target) SetInService(in bool) {
	t.Do(func(m *Model, now time.Duration) {
		m.Usage.setInService(now, m.Running(), in)
	})
}

// Restart begins a cold start; see Model.Restart.
func (t *Target) Restart(announced bool) {
	t.Do(func(m *Model, now time.Duration) {
		m.Restart(now, announced)
	})
}

// Counters returns the counters so far.
func (t *Target) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.model.Counters
}

// Misrouted returns the first requests for services that the target does not serve.
func (t *Target) Misrouted() []Misrouted {
	t.mu.Lock()
	defer t.mu.Unlock()

	return slices.Clone(t.model.Misrouted)
}

// Usage returns the usage up to now.
func (t *Target) Usage() Usage {
	u := Usage{}
	t.Do(func(m *Model, now time.Duration) {
		m.Usage.advance(now, m.Running())
		u.Busy = append(u.Busy, m.Usage.Busy...)
		u.InService = append(u.InService, m.Usage.InService...)
	})

	return u
}

// loop handles packets and ends due requests until the socket is closed.
func (t *Target) loop() {
	b := make([]byte, packet.MaxBytes)
	out := make([]byte, 0, packet.MaxBytes)
	for {
		_ = t.conn.SetReadDeadline(t.deadline())
		n, from, err := t.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		for _, r := range t.step(b[:n], from, err == nil) {
			out = r.Packet.Append(out[:0])
			_, _ = t.conn.WriteToUDPAddrPort(out, r.To)
		}
	}
}

// deadline returns the time at which the next request ends, or zero to wait for packets only.
func (t *Target) deadline() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	next, ok := t.model.Next()
	if !ok {
		return time.Time{}
	}

	return t.start.Add(next)
}

// step ends due requests, handles the packet b if one was received, and returns the replies.
func (t *Target) step(b []byte, from netip.AddrPort, received bool) []Reply {
	t.mu.Lock()
	defer t.mu.Unlock()

	now := time.Since(t.start)
	replies := t.model.Due(now)
	p := packet.Packet{}
	if received && p.Decode(b) == nil {
		replies = append(replies, t.model.Receive(now, from, &p)...)
	}

	return replies
}
