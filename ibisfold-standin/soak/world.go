package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
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

// Times after which the promises are judged.
const (
	// touchTime is how long a VM has to be without unplanned faults.
	touchTime = 4 * time.Second
	// configTime is the time in which a configuration has to be in force, drainTime
	// that in which a leaving target has to be passed by.
	configTime = 3 * time.Second
	drainTime  = 3 * time.Second
	// recoveryTime is the time after all faults in which all callers are served.
	recoveryTime = 5 * time.Second
)

// world is a deployment on loopback: real processes, stand-ins for the rest.
type world struct {
	random  *rand.Rand
	store   platformtest.Store
	entries []*vm
	agents  []*vm
	callers []*caller
	router  router

	mu     sync.Mutex
	broken []string
	// moved is when the route last changed, routed where it leads.
	moved   time.Time
	routed  string
	version uint64
	// storeFault is the end of the store's last fault.
	storeFault time.Time
}

func newWorld(o *options) (*world, error) {
	w := &world{
		random: rand.New(rand.NewPCG(o.seed, 0)),
		routed: services[0],
	}
	w.router.rotation = map[*vm]bool{}
	storeAddress := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, 100, 1}), portStore)
	l, err := net.Listen("tcp4", storeAddress.String())
	if err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(l, &w.store)
	}()
	for z := range zones {
		for n := range o.entries {
			v := newVM("entry", z, n+1)
			v.settings.Store = linkAddress(v.settings.Ready)
			if v.store, err = newStreamProxy(v.settings.Store, storeAddress); err != nil {
				return nil, err
			}
			v.settings.Control = address(z, n+1, portControl)
			w.entries = append(w.entries, v)
		}
		for n := range o.agents {
			if err := w.addAgent(z, n+100, services[min(n, 2)/2]); err != nil {
				return nil, err
			}
		}
		for n := range o.callers {
			c, err := newCaller(w, z, n+1)
			if err != nil {
				return nil, err
			}
			w.callers = append(w.callers, c)
		}
	}
	w.configure()

	return w, w.seed()
}

// seed names the first entry of each zone in the settings of all entries. Others
// reach it through a proxy; it knows itself by its own address.
func (w *world) seed() error {
	for z := range zones {
		for _, v := range w.entries {
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

// seeds returns the entries that others follow.
func (w *world) seeds() []*vm {
	list := []*vm{}
	for _, v := range w.entries {
		if v.feed != nil {
			list = append(list, v)
		}
	}

	return list
}

func (w *world) addAgent(zone, n int, service string) error {
	v := newVM("agent", zone, n)
	v.settings.Service = service
	v.settings.Store = v.settings.Ready
	var err error
	if v.link, err = newDatagramProxy(linkAddress(v.settings.Relay), v.settings.Relay); err != nil {
		return err
	}
	if v.target, err = newTarget(w, v, service); err != nil {
		return err
	}
	w.agents = append(w.agents, v)
	w.register(v)

	return nil
}

// register writes the entry of the target on a VM.
func (w *world) register(v *vm) {
	v.target.mu.Lock()
	defer v.target.mu.Unlock()
	w.store.SetTarget(catalog.Target{
		ID:       v.name,
		Address:  linkAddress(v.settings.Target),
		Zone:     v.zone,
		Slots:    4,
		Draining: !v.target.drained.IsZero(),
		Born:     v.target.born,
	}, v.target.service)
}

// configure writes the configuration with the route as it leads now.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	w.moved = time.Now()
	w.store.SetConfig(w.version, []platformtest.Route{
		{
			Address: serviceAddress,
			Service: w.routed,
		},
	}, services)
}

func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// calm reports whether no entry and not the store had an unplanned fault lately.
func (w *world) calm() bool {
	for _, e := range w.entries {
		if !e.calm() {
			return false
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()

	return time.Since(w.storeFault) > touchTime
}

// judgeOpen checks that a SYN may reach a target.
func (w *world) judgeOpen(t *target, s *segment.Segment) {
	if !w.calm() || !t.vm.calm() {
		return
	}
	w.mu.Lock()
	routed, moved := w.routed, w.moved
	w.mu.Unlock()
	if t.service != routed && time.Since(moved) > configTime {
		w.breaks("CONFIG: flow %v reached %s of %s, the route leads to %s", s.Key, t.vm.name, t.service, routed)
	}
	if !t.drained.IsZero() && time.Since(t.drained) > drainTime {
		w.breaks("DRAIN: flow %v reached %s that leaves", s.Key, t.vm.name)
	}
}

// judgeReset checks that a flow which the system has reset was gone.
func (w *world) judgeReset(c *caller) {
	if !w.calm() {
		return
	}
	for _, a := range w.agents {
		if a.calm() && a.target.holds(c.key, c.answer) {
			w.breaks("FLOW: flow %v was reset, though the target of %s holds it", c.key, a.name)
		}
	}
}

// judgeRecovery checks that all callers are served again after the faults.
func (w *world) judgeRecovery() {
	for _, c := range w.callers {
		if age := time.Since(time.UnixMilli(c.served.Load())); age > budget {
			w.breaks("RECOVER: caller %v was served %v ago", c.addr, age)
		}
	}
}

// start starts all processes and callers.
func (w *world) start(ctx context.Context, o *options) error {
	for _, v := range append(append([]*vm{}, w.entries...), w.agents...) {
		if err := v.start(o.bin, o.dir); err != nil {
			return err
		}
	}
	go w.router.poll(ctx, w.entries)
	time.Sleep(startTime)
	for _, c := range w.callers {
		go c.run(ctx)
	}

	return nil
}

// startTime is how long processes run before the first caller.
const startTime = 2 * time.Second

func (w *world) halt() {
	for _, v := range append(append([]*vm{}, w.entries...), w.agents...) {
		v.halt()
	}
}
