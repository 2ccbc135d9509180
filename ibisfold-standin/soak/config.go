package soak

import (
	"net/netip"
	"time"

	"ibisfold.example/platform/platformtest"
)

// configVersion is a usable version of the configuration that the store has acknowledged.
type configVersion struct {
	acked time.Time
	// routes holds the service of each address.
	routes map[netip.AddrPort]string
	// lost means that the store came back from a copy without this version.
	lost bool
}

// allows reports whether a flow to an address may go to a service; no service means that it may
// be refused.
func (v *configVersion) allows(a netip.AddrPort, service string) bool {
	return v.routes[a] == service
}

// configLog holds the versions in the order of their acks.
type configLog []configVersion

// allows reports whether a version that may have been in force between two moments allows a
// flow to an address to go to a service.
func (l configLog) allows(from, to time.Time, a netip.AddrPort, service string) bool {
	for i := range l {
		if l[i].allows(a, service) && !l[i].acked.After(to) && !l.replacedBefore(i, from) {
			return true
		}
	}

	return false
}

// replacedBefore reports whether a later version that the store has kept was acknowledged before t.
func (l configLog) replacedBefore(i int, t time.Time) bool {
	for _, v := range l[i+1:] {
		if !v.lost {
			return v.acked.Before(t)
		}
	}

	return false
}

// writeConfig writes the current routes as a version with the next number.
func (b *testbed) writeConfig() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version += 3
	b.writeConfigNumber(b.version)
}

// writeConfigNumber writes the current routes as the version of a number. The caller holds mu.
func (b *testbed) writeConfigNumber(number uint64) {
	b.store.SetConfig(number, b.currentRoutes(), services)
	b.recordConfig()
}

// recordConfig records that the store has acknowledged the current routes. The caller holds mu.
func (b *testbed) recordConfig() {
	v := configVersion{
		acked:  time.Now(),
		routes: map[netip.AddrPort]string{},
	}
	for _, r := range b.currentRoutes() {
		v.routes[r.Address] = r.Service
	}
	b.configs = append(b.configs, v)
}

// currentRoutes returns the routes that the next version has. The caller holds mu.
func (b *testbed) currentRoutes() []platformtest.Route {
	list := []platformtest.Route{
		{
			Address: serviceAddress,
			Service: b.routeService,
		},
	}
	if b.added.IsValid() {
		list = append(list, platformtest.Route{
			Address: b.added,
			Service: services[0],
		})
	}

	return list
}

// changeAddedRoute makes the next version drop the route that was added last, and add one with a
// new address. The caller holds mu.
func (b *testbed) changeAddedRoute() {
	b.addedCount++
	b.dropped = b.added
	b.added = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(b.addedCount)}), serviceAddress.Port())
}
