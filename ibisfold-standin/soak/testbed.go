package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/segment"
	"ibisfold.example/platform/platformtest"
)

var (
	zones          = []string{"a", "b", "c"}
	services       = []string{"rufdienst", "kartendienst"}
	serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")
)

// Bounds that the guarantees are checked against.
const (
	// minUnimpairedTime is how long entries, the store and a target's VM must have been free of
	// unplanned faults before a guarantee is checked.
	minUnimpairedTime = 4 * time.Second
	// maxConfigTime bounds the time until a changed route is in force, maxDrainTime the time
	// until a draining target gets no new flows.
	maxConfigTime = 3 * time.Second
	maxDrainTime  = 3 * time.Second
	// maxRecoveryTime bounds the time after the last fault until all callers are served.
	maxRecoveryTime = 5 * time.Second
)

// testbed is a deployment on loopback: entries and agents are real processes, everything
// else is simulated.
type testbed struct {
	random  *rand.Rand
	bin     string
	dir     string
	store   platformtest.Store
	entries []*vm
	agents  []*vm
	// spares are entries that the order "entries join" starts, one in each zone.
	spares []*vm
	// reserves are VMs with targets that only a release registers, one in each zone.
	reserves []*vm
	callers  []*caller
	probers  []*caller
	router   router
	// openings holds the SYNs of all callers.
	openings openings
	// order is locked while an order around the configuration is under way.
	order sync.Mutex

	mu sync.Mutex
	// violations are the violated guarantees, each with its time.
	violations []string
	// routeService is the service that the callers' route leads to.
	routeService string
	// added is the address of the route that was added last, dropped the one that it replaced.
	// addedCount is the number of such routes so far.
	added      netip.AddrPort
	dropped    netip.AddrPort
	addedCount int
	// version is the number of the newest version.
	version uint64
	configs configLog
	// effects holds the versions whose effects were seen through each entry.
	effects map[*vm]effect
	// delaySeed is the seed of restart delays and clock offsets.
	delaySeed uint64
	// links holds the proxies in front of agents.
	links datagramProxies
	// storeFaultEnd is the end of the last fault of the store.
	storeFaultEnd time.Time
}

// newTestbed sets up everything but the processes and the callers' requests.
func newTestbed(o *options) (*testbed, error) {
	b := &testbed{
		random:       rand.New(rand.NewPCG(o.seed, 0)),
		delaySeed:    o.seed,
		bin:          o.bin,
		dir:          o.dir,
		routeService: services[0],
		effects:      map[*vm]effect{},
	}
	b.router.rotation = map[*vm]bool{}
	storeAddress := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, 100, 1}), portStore)
	l, err := net.Listen("tcp4", storeAddress.String())
	if err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(l, &b.store)
	}()
	for z := range zones {
		if err := b.addZone(z, o, storeAddress); err != nil {
			return nil, err
		}
	}
	b.writeConfig()

	return b, b.seed()
}

// addZone adds the VMs and the callers of a zone.
func (b *testbed) addZone(zone int, o *options, store netip.AddrPort) error {
	if err := b.addEntries(zone, o.entries, store); err != nil {
		return err
	}
	if err := b.addAgents(zone, o.agents); err != nil {
		return err
	}

	return b.addCallers(zone, o.callers)
}

// addEntries adds the entries of a zone with their probers, and a spare one.
func (b *testbed) addEntries(zone, count int, store netip.AddrPort) error {
	for n := range count {
		v, err := newEntry(zone, n+1, b.delaySeed, store)
		if err != nil {
			return err
		}
		b.entries = append(b.entries, v)
		if err := b.addProber(v, zone, n+1); err != nil {
			return err
		}
	}
	spare, err := newEntry(zone, count+1, b.delaySeed, store)
	if err != nil {
		return err
	}
	spare.firstStart = false
	b.spares = append(b.spares, spare)

	return nil
}

// addAgents adds the agents of a zone with registered targets, and a reserve. The first two belong to
// the first service, all others to the second one.
func (b *testbed) addAgents(zone, count int) error {
	for n := range count {
		v, err := b.newAgent(zone, n+100, services[min(n, 2)/2])
		if err != nil {
			return err
		}
		b.agents = append(b.agents, v)
		b.register(v)
	}
	reserve, err := b.newAgent(zone, count+100, services[0])
	if err != nil {
		return err
	}
	b.reserves = append(b.reserves, reserve)

	return nil
}

// idleShare is the ratio of busy callers to those whose flows are mostly idle.
const idleShare = 2

// addCallers adds the busy callers of a zone, and the idle ones.
func (b *testbed) addCallers(zone, busy int) error {
	for n := range busy + busy/idleShare {
		c, err := newCaller(b, zone, callerNetwork, n+1)
		if err != nil {
			return err
		}
		if n >= busy {
			c.think = idleTime
		}
		b.callers = append(b.callers, c)
	}

	return nil
}

// newEntry returns entry n of a zone with the proxy for its calls to the store.
func newEntry(zone, n int, seed uint64, store netip.AddrPort) (*vm, error) {
	v := newVM("entry", zone, n, seed)
	v.settings.Store = linkAddress(v.settings.Ready)
	v.settings.Control = address(zone, n, portControl)
	var err error
	v.store, err = newStreamProxy(v.settings.Store, store)

	return v, err
}

// seed adds the first entry of each zone to the seeds in the settings of all entries. Other
// entries reach such a seed entry through a proxy. In its own settings the seed entry is listed
// under its own address.
func (b *testbed) seed() error {
	for z := range zones {
		for _, v := range slices.Concat(b.entries, b.spares) {
			if v.settings.Control != address(z, 1, portControl) {
				v.settings.Seeds = append(v.settings.Seeds, linkAddress(address(z, 1, portControl)))
				continue
			}
			v.settings.Seeds = append(v.settings.Seeds, v.settings.Control)
			var err error
			if v.feed, err = newStreamProxy(linkAddress(v.settings.Control), v.settings.Control); err != nil {
				return err
			}
		}
	}

	return nil
}

// seedEntries returns the entries that are the seeds of all others.
func (b *testbed) seedEntries() []*vm {
	list := []*vm{}
	for _, v := range b.entries {
		if v.feed != nil {
			list = append(list, v)
		}
	}

	return list
}

// newAgent returns agent n of a zone with its proxy and its target.
func (b *testbed) newAgent(zone, n int, service string) (*vm, error) {
	v := newVM("agent", zone, n, b.delaySeed)
	v.settings.Service = service
	v.settings.Store = v.settings.Ready
	var err error
	if v.link, err = newDatagramProxy(linkAddress(v.settings.Relay), v.settings.Relay, &b.links); err != nil {
		return nil, err
	}
	v.target, err = newTarget(b, v, service)

	return v, err
}

// register writes the target of a VM to the store.
func (b *testbed) register(v *vm) {
	v.target.mu.Lock()
	defer v.target.mu.Unlock()
	b.store.SetTarget(catalog.Target{
		ID:       v.target.id,
		Address:  linkAddress(v.settings.Target),
		Zone:     v.zone,
		Slots:    4,
		Draining: !v.target.drainingSince.IsZero(),
		Born:     v.target.born,
	}, v.target.service)
}

// addViolation records a violated guarantee.
func (b *testbed) addViolation(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordViolation(format, args...)
}

// recordViolation records a violated guarantee. The caller holds mu.
func (b *testbed) recordViolation(format string, args ...any) {
	b.violations = append(b.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// unimpaired reports whether neither the entries nor the store had an unplanned fault
// within minUnimpairedTime.
func (b *testbed) unimpaired() bool {
	for _, e := range b.entries {
		if !e.unimpaired() {
			return false
		}
	}

	return b.storeUnimpaired()
}

// storeUnimpaired reports whether the store had no fault within minUnimpairedTime.
func (b *testbed) storeUnimpaired() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return time.Since(b.storeFaultEnd) > minUnimpairedTime
}

// checkOpen checks that a target which gets a SYN belongs to a service of its route and is
// not draining.
func (b *testbed) checkOpen(t *target, s *segment.Segment) {
	if t.service == unroutedService {
		b.addViolation("ROUTE: flow %v reached %s of %s, to which no route leads", s.Key, t.vm.name, t.service)
	}
	if !t.vm.unimpaired() {
		return
	}
	if o, ok := b.openings.find(s.Key, s.Ack); ok {
		b.checkConfig(s.Key, &o, t.service)
	}
	if !b.unimpaired() {
		return
	}
	if !t.drainingSince.IsZero() && time.Since(t.drainingSince) > maxDrainTime {
		b.addViolation("DRAIN: flow %v reached %s that leaves", s.Key, t.vm.name)
	}
}

// checkReset checks that no target still holds a flow which the system has reset.
func (b *testbed) checkReset(c *caller) {
	if !b.unimpaired() {
		return
	}
	for _, a := range slices.Concat(b.agents, b.reserves) {
		if a.unimpaired() && a.target.holds(c.key, c.targetSeq) {
			b.addViolation("FLOW: flow %v was reset, though the target of %s holds it", c.key, a.name)
		}
	}
}

// checkRecovery checks that each caller got an answer within requestTimeout after its last pause.
func (b *testbed) checkRecovery() {
	for _, c := range b.callers {
		if age := time.Since(time.UnixMilli(c.lastAnswered.Load())); age > requestTimeout+c.think {
			b.addViolation("RECOVER: caller %v was served %v ago", c.addr, age)
		}
	}
}

// start starts all processes, then the callers.
func (b *testbed) start(ctx context.Context, o *options) error {
	for _, v := range slices.Concat(b.entries, b.agents, b.reserves) {
		if err := v.start(o.bin, o.dir); err != nil {
			return err
		}
	}
	go b.router.poll(ctx, slices.Concat(b.entries, b.spares))
	time.Sleep(startDelay)
	for _, c := range b.callers {
		go c.run(ctx)
	}
	for _, c := range b.probers {
		go c.probe(ctx)
	}

	return nil
}

// startDelay is the time between the start of the processes and the first caller.
const startDelay = 2 * time.Second

// stop ends all processes.
func (b *testbed) stop() {
	for _, v := range slices.Concat(b.entries, b.spares, b.agents, b.reserves) {
		v.stop()
	}
}
