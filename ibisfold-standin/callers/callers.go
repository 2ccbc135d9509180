// Package callers simulates callers: it sends open-loop requests on many long-lived flows, spreads
// the packets randomly over the entries and verifies each answer.
package callers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"ibisfold.example/ibisfold-standin/delay"
)

// Options configures Callers.
type Options struct {
	Entries *Entries
	Zones   *Zones
	// Delay is the one-way delay between callers and entries.
	Delay time.Duration
	// Listen is the local IP address of the sockets; by default 127.0.0.1.
	Listen netip.Addr
	// Sockets is the maximum number of sockets that the flows of a load share; zero means one for
	// each flow.
	Sockets int
	Seed    uint64
	Loads   []Load
}

// Callers runs one or more loads.
type Callers struct {
	options Options
	line    *delay.Line
	groups  []*group
	sockets []*socket
}

// group holds the flows of one load.
type group struct {
	load  *Load
	stats *Stats

	mu    sync.Mutex
	rand  *rand.Rand
	flows []*flow
}

// New returns callers without sockets or flows; see Open. Close releases their resources.
func New(o Options) *Callers {
	if !o.Listen.IsValid() {
		o.Listen = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	if o.Zones == nil {
		o.Zones = &Zones{}
	}
	c := &Callers{
		options: o,
		line:    delay.NewLine(),
	}
	for i := range o.Loads {
		c.groups = append(c.groups, &group{
			load:  &c.options.Loads[i],
			stats: NewStats(),
			rand:  rand.New(rand.NewPCG(o.Seed, uint64(i))),
			flows: make([]*flow, o.Loads[i].Flows),
		})
	}

	return c
}

// Stats returns the counts of the load with index i.
func (c *Callers) Stats(i int) *Stats {
	return c.groups[i].stats
}

// Total returns the sums over all loads of the counts that decide whether a run passes.
func (c *Callers) Total() Counts {
	t := Counts{}
	for _, g := range c.groups {
		n := g.stats.Counts()
		t.Flows += n.Flows
		t.Broken += n.Broken
		t.Silent += n.Silent
		t.GivenUp += n.GivenUp
		t.Requests += n.Requests
		t.Answered += n.Answered
		t.WrongService += n.WrongService
		t.WrongAnswers += n.WrongAnswers
	}

	return t
}

// Open opens the sockets and starts to open all flows. Until ctx is done, a flow that ends is
// replaced by a new one.
func (c *Callers) Open(ctx context.Context) error {
	for _, g := range c.groups {
		sockets, err := c.openSockets(g)
		if err != nil {
			return err
		}
		for i := range g.flows {
			go g.keepOpen(ctx, i, &c.options, sockets[i%len(sockets)])
		}
	}

	return nil
}

func (c *Callers) openSockets(g *group) ([]*socket, error) {
	n := len(g.flows)
	if c.options.Sockets > 0 {
		n = min(n, c.options.Sockets)
	}
	sockets := []*socket{}
	for range n {
		s, err := newSocket(&c.options, c.line)
		if err != nil {
			return nil, err
		}
		sockets = append(sockets, s)
		c.sockets = append(c.sockets, s)
	}

	return sockets, nil
}

// keepOpen opens the flow with index i, and replaces it by a new one whenever it ends.
func (g *group) keepOpen(ctx context.Context, i int, o *Options, s *socket) {
	for ctx.Err() == nil {
		f := newFlow(g.newFlowID(), g.load, o, g.stats, s)
		if !f.connect(ctx) {
			f.end(causeNone, 0)
			continue
		}
		g.setFlow(i, f)
		go f.keepOpen(ctx)
		select {
		case <-f.ended:
		case <-ctx.Done():
		}
	}
}

func (g *group) newFlowID() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.rand.Uint64() | 1
}

func (g *group) setFlow(i int, f *flow) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.flows[i] = f
}

func (g *group) flowAt(i int) *flow {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.flows[i]
}

// OpenFlows returns the number of open flows.
func (c *Callers) OpenFlows() int {
	n := 0
	for _, g := range c.groups {
		for i := range g.flows {
			if f := g.flowAt(i); f != nil && f.isOpen() {
				n++
			}
		}
	}

	return n
}

func (f *flow) isOpen() bool {
	select {
	case <-f.ended:
		return false
	default:
		return true
	}
}

// Run sends the requests of all loads until ctx is done, then waits until each request is answered
// or its deadline is over.
func (c *Callers) Run(ctx context.Context) {
	wg := sync.WaitGroup{}
	for i, g := range c.groups {
		wg.Go(func() {
			g.run(ctx, c.options.Seed+uint64(i))
		})
	}
	wg.Wait()
}

func (g *group) run(ctx context.Context, seed uint64) {
	if g.load.Rate <= 0 || len(g.flows) == 0 {
		return
	}
	arrivals := NewArrivals(*g.load, seed)
	start := time.Now()
	wg := sync.WaitGroup{}
	defer wg.Wait()
	for {
		a := arrivals.Next()
		due := start.Add(a.At)
		if !sleepUntil(ctx, due) {
			return
		}
		f := g.flowAt(a.Flow)
		if f == nil || !f.isOpen() {
			g.stats.count(func(c *Counts) {
				c.Requests++
				c.NoFlow++
			})

			continue
		}
		wg.Go(func() {
			f.handleArrival(context.WithoutCancel(ctx), a, due)
		})
	}
}

// sleepUntil waits until a time and returns false if ctx is done.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// CloseFlows closes all open flows and waits until they are closed. The context of Open must be
// done, or the flows would be replaced.
func (c *Callers) CloseFlows() {
	wg := sync.WaitGroup{}
	for _, g := range c.groups {
		for i := range g.flows {
			if f := g.flowAt(i); f != nil {
				wg.Go(f.close)
			}
		}
	}
	wg.Wait()
}

// Close closes all sockets and drops delayed packets.
func (c *Callers) Close() {
	c.line.Close()
	for _, s := range c.sockets {
		_ = s.conn.Close()
	}
}
