package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// restored returns the listing of a service that came back from an older copy.
func restored(changes ...Change) Listing {
	return Listing{
		Changes:     changes,
		AfterOutage: true,
		Restored:    true,
	}
}

func zoneIsOut(s *State) bool {
	return s.zonesOut["a"]
}

var zoneOutChange = ZoneChange{
	Zone: "a",
	Out:  true,
}

// Guards against flows to a zone that operators took out, because the copy that the service
// came back from is from before that, and against a zone that stays out for good although
// operators put it back.
func TestZoneStaysOutAfterRestore(t *testing.T) {
	is := is.New(t)
	s := newState(target("i-1", "10.0.0.1:80", 1), zoneOutChange)
	s.Apply(0, restored(target("i-1", "10.0.0.1:80", 1)))
	is.True(zoneIsOut(s))
	// A second listing within the grace period does not extend it.
	s.Apply(time.Second, restored(target("i-1", "10.0.0.1:80", 1)))
	s.Expire(RestoreGrace - time.Millisecond)
	is.True(zoneIsOut(s))
	is.True(s.Expire(RestoreGrace))
	is.True(!zoneIsOut(s))

	s.Apply(RestoreGrace, zoneOutChange)
	s.Apply(RestoreGrace, restored(target("i-1", "10.0.0.1:80", 1)))
	s.Apply(RestoreGrace, ZoneChange{
		Zone: "a",
	})
	is.True(!zoneIsOut(s))
}

// Guards against a zone that is put back at the end of the grace period although operators
// took it out again after the return.
func TestZoneTakenOutAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	s := newState(zoneOutChange)
	s.Apply(0, restored())
	s.Apply(time.Second, zoneOutChange)
	s.Expire(2 * RestoreGrace)
	is.True(zoneIsOut(s))
}

// Guards against new flows to a target that has left or is leaving, whose address may belong to
// another service by now, because the copy is from before that.
func TestDepartedTargetStaysAwayAfterRestore(t *testing.T) {
	is := is.New(t)
	s := newState(target("i-1", "10.0.0.1:80", 1), target("i-2", "10.0.0.2:80", 1))
	s.Apply(0, TargetGone{
		ID: "i-1",
	})
	draining := target("i-2", "10.0.0.2:80", 1)
	draining.Target.Draining = true
	s.Apply(0, draining)
	copied := restored(target("i-1", "10.0.0.1:80", 1), target("i-2", "10.0.0.2:80", 1))
	s.Apply(0, copied)
	is.Equal(currentIDs(s), []string{"i-2"})
	is.True(s.Snapshot().Groups[ServiceID("rufdienst")][0].Draining)
	is.Equal(len(s.Snapshot().Departed), 1)
	is.Equal(s.Unconfirmed(), 2)

	// The entry of the departed target expires, that of the other one is confirmed in time.
	s.Apply(time.Second, TargetGone{
		ID: "i-1",
	})
	s.Expire(RestoreGrace)
	is.Equal(currentIDs(s), []string{"i-2"})
	is.True(!s.Snapshot().Groups[ServiceID("rufdienst")][0].Draining)
	is.Equal(s.Unconfirmed(), 0)
}

// Guards against a living target that stays unused after the return: it writes its entry again,
// or the entry is still there at the end of the grace period.
func TestReturnOfTargetAfterRestore(t *testing.T) {
	is := is.New(t)
	entry := target("i-1", "10.0.0.1:80", 1)
	s := newState(entry, target("i-2", "10.0.0.2:80", 1))
	s.Apply(0, TargetGone{
		ID: "i-1",
	})
	s.Apply(0, restored(entry, target("i-2", "10.0.0.2:80", 1)))
	s.Apply(time.Second, entry)
	is.Equal(currentIDs(s), []string{"i-1", "i-2"})

	s.Apply(time.Second, TargetGone{
		ID: "i-1",
	})
	s.Apply(time.Second, restored(entry, target("i-2", "10.0.0.2:80", 1)))
	is.Equal(currentIDs(s), []string{"i-2"})
	s.Expire(time.Second + RestoreGrace)
	is.Equal(currentIDs(s), []string{"i-1", "i-2"})
}

// Guards against a target that moved or started again and that the copy reverts to its address
// or start of before, and against more new flows than it bears if it is the copy that knows of
// the later start.
func TestRestartedTargetAfterRestore(t *testing.T) {
	is := is.New(t)
	s := newState(target("i-1", "10.0.0.1:80", 2))
	old := target("i-1", "10.0.0.9:80", 1)
	old.Target.ColdLeft = 3 * time.Second
	s.Apply(0, restored(old))
	m := s.Snapshot().Groups[ServiceID("rufdienst")][0]
	is.Equal(m.Address.String(), "10.0.0.1:80")
	is.Equal(m.Born, int64(2))
	is.Equal(m.ColdUntil, 3*time.Second)
}

// Guards against a target that is dropped because it registered after the copy was made, and
// that writes its entry again within the grace period.
func TestMissingTargetAfterRestore(t *testing.T) {
	is := is.New(t)
	s := newState(target("i-1", "10.0.0.1:80", 1), target("i-2", "10.0.0.2:80", 1))
	s.Apply(0, restored(target("i-1", "10.0.0.1:80", 1)))
	s.Expire(LapseGrace - time.Millisecond)
	is.Equal(currentIDs(s), []string{"i-1", "i-2"})
	s.Expire(LapseGrace)
	is.Equal(currentIDs(s), []string{"i-1"})
}

// Guards against what was held back and applies although a later listing does not say so any
// more.
func TestLaterListingAfterRestore(t *testing.T) {
	is := is.New(t)
	s := newState(target("i-1", "10.0.0.1:80", 1), target("i-2", "10.0.0.2:80", 1), zoneOutChange)
	s.Apply(0, TargetGone{
		ID: "i-1",
	})
	s.Apply(0, restored(target("i-1", "10.0.0.1:80", 1), target("i-2", "10.0.0.2:80", 1)))
	s.Apply(time.Second, listing(target("i-2", "10.0.0.2:80", 1), zoneOutChange))
	is.Equal(s.Unconfirmed(), 0)
	s.Expire(2 * RestoreGrace)
	is.Equal(currentIDs(s), []string{"i-2"})
	is.True(zoneIsOut(s))
}
