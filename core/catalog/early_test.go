package catalog

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// Guards against the end of an entry by changes that come before the first listing or configuration,
// and against a snapshot without both.
func TestChangesBeforeListingDoNotPanic(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 0))
		s := State{}
		now := time.Duration(0)
		configured, listed := false, false
		for range 200 {
			now += time.Duration(r.Int64N(int64(time.Second)))
			c := randomChange(r)
			switch c := c.(type) {
			case ConfigChange:
				configured = true
			case Listing:
				listed = true
				for _, x := range c.Changes {
					_, ok := x.(ConfigChange)
					configured = configured || ok
				}
			}
			s.Expire(now)
			s.Apply(now, c)
			if n := s.Snapshot(); (n != nil) != (configured && listed) {
				t.Fatalf("seed %d: snapshot %v with configuration %v and listing %v", seed, n, configured, listed)
			}
		}
	}
}

// randomChange returns a random change, more often one of a target than a listing.
func randomChange(r *rand.Rand) Change {
	target := Target{
		ID:       fmt.Sprint(r.IntN(4)),
		Service:  uint64(r.IntN(2)),
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(r.IntN(3))}), 80),
		Zone:     "a",
		Draining: r.IntN(3) == 0,
		Born:     r.Int64N(3),
	}
	switch r.IntN(12) {
	case 0:
		return ConfigChange{
			Config: &Config{
				Version: r.Uint64N(4),
			},
		}
	case 1:
		l := Listing{
			AfterOutage: r.IntN(2) == 0,
			Restored:    r.IntN(2) == 0,
		}
		for range r.IntN(4) {
			if c := randomChange(r); !isListing(c) {
				l.Changes = append(l.Changes, c)
			}
		}

		return l
	case 2, 3, 4:
		return TargetGone{
			ID:          target.ID,
			AfterOutage: r.IntN(2) == 0,
		}
	case 5, 6:
		return TargetDeparted{
			Target: target,
			Age:    time.Duration(r.Int64N(int64(90 * time.Second))),
		}
	case 7, 8:
		return ZoneChange{
			Zone: "a",
			Out:  r.IntN(2) == 0,
		}
	default:
		return TargetChange{
			Target: target,
		}
	}
}

func isListing(c Change) bool {
	_, ok := c.(Listing)

	return ok
}
