package callers

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
)

// Entries holds the addresses of the entries, over which callers' packets are spread randomly, as
// by the network in front of real entries. The zero value is empty.
type Entries struct {
	mu    sync.RWMutex
	addrs []netip.AddrPort
}

// Set replaces all addresses.
func (e *Entries) Set(a []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.addrs = slices.Clone(a)
}

// Add adds an address unless it is present.
func (e *Entries) Add(a netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if !slices.Contains(e.addrs, a) {
		e.addrs = append(slices.Clone(e.addrs), a)
	}
}

// Remove removes an address.
func (e *Entries) Remove(a netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.addrs = slices.DeleteFunc(slices.Clone(e.addrs), func(b netip.AddrPort) bool {
		return a == b
	})
}

// pick returns a random address, or an invalid one if there are none.
func (e *Entries) pick() netip.AddrPort {
	e.mu.RLock()
	defer e.mu.RUnlock()

	if len(e.addrs) == 0 {
		return netip.AddrPort{}
	}

	return e.addrs[rand.IntN(len(e.addrs))]
}
