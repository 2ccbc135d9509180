package callers

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
)

// Entries are the addresses over which the fabric in front of the entries
// sprays callers' packets. The zero value is empty.
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

// Add adds an address if it is not there yet.
func (e *Entries) Add(a netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if !slices.Contains(e.addrs, a) {
		e.addrs = append(slices.Clone(e.addrs), a)
	}
}

// Remove takes an address out.
func (e *Entries) Remove(a netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.addrs = slices.DeleteFunc(slices.Clone(e.addrs), func(b netip.AddrPort) bool {
		return a == b
	})
}

// pick returns a random address; it is invalid if there are none.
func (e *Entries) pick() netip.AddrPort {
	e.mu.RLock()
	defer e.mu.RUnlock()

	if len(e.addrs) == 0 {
		return netip.AddrPort{}
	}

	return e.addrs[rand.IntN(len(e.addrs))]
}
