package callers

import (
	"sync"
	"time"

	"ibisfold.example/core/ticket"
)

// Zones knows when zones were taken out of service, so that flows which were
// given up are told apart from broken ones. The zero value knows of none.
type Zones struct {
	mu sync.Mutex
	// out holds the zones that are out, back the end of the last outage.
	out  map[uint64]bool
	back map[uint64]time.Time
}

// Set notes that a ticket which takes a zone out or brings it back was published.
func (z *Zones) Set(name string, inService bool, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()

	if z.out == nil {
		z.out = map[uint64]bool{}
		z.back = map[uint64]time.Time{}
	}
	id := ticket.ID(name)
	if z.out[id] && inService {
		z.back[id] = now
	}
	z.out[id] = !inService
}

// wasOut reports whether the zone was out at any time since a moment.
func (z *Zones) wasOut(zone uint64, since time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()

	return z.out[zone] || z.back[zone].After(since)
}
