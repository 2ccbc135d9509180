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
	outOfService map[uint64]bool
	outageEnd    map[uint64]time.Time
}

// Set notes that a ticket which takes a zone out or brings it back was published.
func (z *Zones) Set(name string, inService bool, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()

	if z.outOfService == nil {
		z.outOfService = map[uint64]bool{}
		z.outageEnd = map[uint64]time.Time{}
	}
	id := ticket.ID(name)
	if z.outOfService[id] && inService {
		z.outageEnd[id] = now
	}
	z.outOfService[id] = !inService
}

// wasOut reports whether the zone was out at any time since a moment.
func (z *Zones) wasOutOfService(zone uint64, since time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()

	return z.outOfService[zone] || z.outageEnd[zone].After(since)
}
