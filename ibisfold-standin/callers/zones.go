package callers

import (
	"sync"
	"time"

	"ibisfold.example/core/ticket"
)

// Zones records when zones were out of service. A flow that ends because of such an outage counts
// as given up instead of broken. In the zero value no zone was ever out.
type Zones struct {
	mu sync.Mutex
	// outOfService holds the zones that are out of service, and outageEnd the end of each zone's
	// last outage.
	outOfService map[uint64]bool
	outageEnd    map[uint64]time.Time
}

// Set records that a ticket which takes a zone out of service or back was published at now.
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

// wasOutOfService reports whether the zone was out of service at any time after since.
func (z *Zones) wasOutOfService(zone uint64, since time.Time) bool {
	z.mu.Lock()
	defer z.mu.Unlock()

	return z.outOfService[zone] || z.outageEnd[zone].After(since)
}
