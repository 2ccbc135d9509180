package catalog

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func target(id, address string, born int64) TargetChange {
	return TargetChange{
		Target: Target{
			ID:      id,
			Service: ServiceID("rufdienst"),
			Address: netip.MustParseAddrPort(address),
			Slots:   2,
			Born:    born,
		},
	}
}

func listing(changes ...Change) Listing {
	return Listing{
		Changes: changes,
	}
}

func currentIDs(s *State) []string {
	list := []string{}
	for _, m := range s.Snapshot().Groups[ServiceID("rufdienst")] {
		list = append(list, m.ID)
	}

	return list
}

func newState(changes ...Change) *State {
	s := &State{}
	s.Apply(0, ConfigChange{
		Config: &Config{
			Version: 7,
		},
	})
	s.Apply(0, listing(changes...))

	return s
}

// Guards against a stale read that reverts the configuration to an older version.
func TestVersionNeverReverts(t *testing.T) {
	is := is.New(t)
	s := newState()
	is.True(!s.Apply(0, ConfigChange{
		Config: &Config{
			Version: 6,
		},
	}))
	is.Equal(s.Config().Version, uint64(7))
}

// Guards against a target that stays in use although a listing no longer has it.
func TestListingRemovesTargets(t *testing.T) {
	is := is.New(t)
	s := newState(target("a", "10.0.0.1:80", 1), target("b", "10.0.0.2:80", 1))
	is.True(s.Apply(0, listing(target("b", "10.0.0.2:80", 1))))
	is.Equal(currentIDs(s), []string{"b"})
}

// Guards against living targets that are dropped because their entries expired during an
// outage, and against lost ones that stay for longer than the grace period.
func TestLapsedTargets(t *testing.T) {
	is := is.New(t)
	s := newState(target("a", "10.0.0.1:80", 1), target("b", "10.0.0.2:80", 1))
	s.Apply(time.Second, Listing{
		AfterOutage: true,
	})
	is.Equal(currentIDs(s), []string{"a", "b"})
	s.Apply(2*time.Second, target("a", "10.0.0.1:80", 1))
	is.True(s.Expire(time.Second + LapseGrace))
	is.Equal(currentIDs(s), []string{"a"})
}

// Guards against a service that is left without targets because the entry of its last one
// expired.
func TestLastTargetHasGracePeriod(t *testing.T) {
	is := is.New(t)
	s := newState(target("a", "10.0.0.1:80", 1))
	s.Apply(time.Second, TargetGone{
		ID: "a",
	})
	is.Equal(currentIDs(s), []string{"a"})
	is.True(s.Expire(time.Second + LapseGrace))
	is.Equal(currentIDs(s), []string{})
}

// Guards against packets that are sent to a former target whose address now belongs to
// another one, perhaps of another service.
func TestAddressReuse(t *testing.T) {
	is := is.New(t)
	s := newState(target("a", "10.0.0.1:80", 1))
	s.Apply(0, target("b", "10.0.0.1:80", 2))
	is.Equal(currentIDs(s), []string{"b"})
}

// Guards against a zone that stays out of service although operators put it back while the
// configuration service was unavailable.
func TestListingRestoresZones(t *testing.T) {
	is := is.New(t)
	s := newState(ZoneChange{
		Zone: "iphofen",
		Out:  true,
	})
	is.True(s.zonesOut["iphofen"])
	is.True(s.Apply(0, listing()))
	is.True(!s.zonesOut["iphofen"])
}
