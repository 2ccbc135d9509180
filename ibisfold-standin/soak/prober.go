package soak

import (
	"context"
	"net/netip"
	"time"
)

// probeInterval is the time between two probes of an entry.
const probeInterval = 50 * time.Millisecond

// unknownAddress is the address of a route that no version has.
var unknownAddress = netip.MustParseAddrPort("198.18.9.9:443")

// addProber adds a prober of an entry.
func (b *testbed) addProber(v *vm, zone, n int) error {
	c, err := newCaller(b, zone, proberNetwork, n)
	if err != nil {
		return err
	}
	c.via = v
	b.probers = append(b.probers, c)

	return nil
}

// probe opens flows directly through one entry until ctx is done, to routes that exist, that
// were dropped, and that never existed.
func (c *caller) probe(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(probeInterval)
		if !c.testbed.router.inRotation(c.via) {
			continue
		}
		list := c.testbed.probedAddresses()
		c.to = list[i%len(list)]
		process := c.via.process()
		if !c.open() && !c.refused && process == c.via.process() && c.testbed.router.inRotation(c.via) {
			c.testbed.checkUnserved(c)
		}
	}
}

// probedAddresses returns the addresses to which probes are sent.
func (b *testbed) probedAddresses() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []netip.AddrPort{serviceAddress, unknownAddress}
	for _, a := range []netip.AddrPort{b.added, b.dropped} {
		if a.IsValid() {
			list = append(list, a)
		}
	}

	return list
}

// checkRefused checks that the route of a refused flow need not exist. A service whose VMs had
// faults may lack a target to go to.
func (b *testbed) checkRefused(c *caller) {
	if o, ok := b.openings.find(c.key, 0); ok && b.agentsUnimpaired() {
		b.checkConfig(c.key, &o, "")
	}
}

// checkUnserved checks that the route of a flow which got no answer need not exist.
func (b *testbed) checkUnserved(c *caller) {
	o, ok := b.openings.find(c.key, 0)
	if !ok || !b.unimpaired() || !b.agentsUnimpaired() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.configs.allows(o.sent.Add(-maxConfigTime), time.Now(), c.to, "") {
		b.recordViolation("UNSERVED: flow %v through %s got no answer, though its route is there", c.key, c.via.name)
	}
}

// agentsUnimpaired reports whether no target has failed or drains, and no agent had an
// unplanned fault within minUnimpairedTime.
func (b *testbed) agentsUnimpaired() bool {
	for _, v := range b.agents {
		if !v.unimpaired() || !v.target.ready() {
			return false
		}
	}

	return true
}

// ready reports whether the target runs and is not draining.
func (t *target) ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return !t.down && t.drainingSince.IsZero()
}
