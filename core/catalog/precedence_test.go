package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	vmAddress    = "10.0.0.1:8165"
	otherService = "liveness-probe"
)

// newDeclaredState returns a State whose configuration declares the service of target.
func newDeclaredState(changes ...Change) *State {
	s := &State{}
	s.Apply(0, configOf(1, "rufdienst"))
	s.Apply(0, listing(changes...))

	return s
}

// configOf returns a configuration that declares one service.
func configOf(version uint64, service string) ConfigChange {
	c := &Config{
		Version: version,
	}
	if err := c.AddService(Service{
		Name: service,
	}); err != nil {
		panic(err)
	}

	return ConfigChange{
		Config: c,
	}
}

// otherTarget returns the entry of a service that configOf does not declare.
func otherTarget(id, address string, born int64, draining bool) TargetChange {
	c := target(id, address, born)
	c.Target.Service = ServiceID(otherService)
	c.Target.Draining = draining

	return c
}

func usedIDs(s *State, service string) []string {
	list := []string{}
	for _, m := range s.Snapshot().Groups[ServiceID(service)] {
		list = append(list, m.ID)
	}

	return list
}

// Guards against a target that gets no flows because the clock of its VM was set back: the entry of
// the one that had its address before tells a later start. Entries of sources of earlier versions do
// not tell when they were written; then the start decides.
func TestLaterEntryWinsWhateverItsClockSays(t *testing.T) {
	for _, x := range []struct {
		former, later Position
		used          string
	}{
		{Position{Era: 1, Revision: 10}, Position{Era: 1, Revision: 20}, "later"},
		{Position{Era: 1, Revision: 20}, Position{Era: 2, Revision: 10}, "later"},
		{Position{Era: 1, Revision: 20}, Position{}, "former"},
	} {
		is := is.New(t)
		former := target("former", vmAddress, 5000)
		former.Target.Written = x.former
		later := target("later", vmAddress, 2600)
		later.Target.Written = x.later
		is.Equal(usedIDs(newDeclaredState(former, later), "rufdienst"), []string{x.used})
		is.Equal(usedIDs(newDeclaredState(later, former), "rufdienst"), []string{x.used})
	}
}

// Guards against a warm-up that begins again, and an update to all entries, because an entry was
// written again with the same content or listed in another era.
func TestEntryWrittenAgainChangesNothing(t *testing.T) {
	is := is.New(t)
	entry := target("a", vmAddress, 1)
	entry.Target.ColdLeft = time.Second
	s := newDeclaredState(entry)
	entry.Target.Written = Position{Era: 2, Revision: 7}
	is.True(!s.Apply(500*time.Millisecond, entry))
	m := s.Snapshot().Groups[ServiceID("rufdienst")][0]
	is.Equal(m.ColdUntil, time.Second)
	is.Equal(m.Written, entry.Target.Written)
}

// Guards against an entry of another writer that hides a living target: it has the target's
// address, a later start and a service that no configuration names (review/9).
func TestEntryOfUndeclaredServiceHidesNoTarget(t *testing.T) {
	for _, draining := range []bool{false, true} {
		is := is.New(t)
		s := newDeclaredState(target("ep-1", vmAddress, 1000))
		s.Apply(0, otherTarget("probe-1", vmAddress, 2000, draining))
		is.Equal(currentIDs(s), []string{"ep-1"})

		s.Apply(time.Second, TargetGone{
			ID: "probe-1",
		})
		is.Equal(currentIDs(s), []string{"ep-1"})
		is.Equal(len(s.Snapshot().Departed), 0)
	}
}

// Guards against the use of a target that is gone: its address was used again, by a target of
// another service that the configuration declares as well, while its entry has not expired yet.
// Issue 36, ROUTE.
func TestLaterTargetAtAddressIsInUse(t *testing.T) {
	is := is.New(t)
	s := newDeclaredState(target("ep-1", vmAddress, 1000), otherTarget("ep-2", vmAddress, 2000, false))
	c := configOf(2, otherService)
	is.NoErr(c.Config.AddService(Service{
		Name: "rufdienst",
	}))
	s.Apply(0, c)
	is.Equal(len(currentIDs(s)), 0)
	is.Equal(usedIDs(s, otherService), []string{"ep-2"})
}

// Guards against a target that stays hidden when a configuration names its service only after
// the target has registered.
func TestTargetOfServiceThatIsDeclaredLater(t *testing.T) {
	is := is.New(t)
	s := newDeclaredState(target("ep-1", vmAddress, 2000), otherTarget("ep-2", vmAddress, 1000, false))
	s.Apply(0, configOf(2, otherService))
	is.Equal(usedIDs(s, otherService), []string{"ep-2"})
}

// Guards against an open flow of a target that left the list and is not found any more because
// another writer's entry is on its VM: the VM has to stay known as that of the target that left,
// whichever of the two entries was removed last.
func TestEntryOfUndeclaredServiceHidesNoDepartedTarget(t *testing.T) {
	is := is.New(t)
	s := newDeclaredState(target("ep-1", vmAddress, 1000), target("ep-2", "10.0.0.2:8165", 1000))
	s.Apply(0, otherTarget("exporter-1", "10.0.0.1:9100", 2000, false))
	s.Apply(time.Second, TargetGone{
		ID: "ep-1",
	})
	is.Equal(departedIDs(s), []string{"ep-1"})
	s.Apply(2*time.Second, TargetGone{
		ID: "exporter-1",
	})
	is.Equal(departedIDs(s), []string{"ep-1"})
}

// Guards against the loss of a VM whose target serves open flows of a service that no
// configuration names any more.
func TestTargetOfFormerServiceStaysListed(t *testing.T) {
	is := is.New(t)
	s := newDeclaredState(target("ep-1", vmAddress, 1000))
	s.Apply(0, configOf(2, "other"))
	is.Equal(currentIDs(s), []string{"ep-1"})
	s.Apply(0, TargetGone{
		ID: "ep-1",
	})
	s.Expire(LapseGrace)
	is.Equal(departedIDs(s), []string{"ep-1"})
}

// Guards against an entry with an empty ID that hides all targets, those of declared services
// and those that only hold open flows (review/8).
func TestEmptyIDHidesNoTarget(t *testing.T) {
	for _, newState := range []func(...Change) *State{newState, newDeclaredState} {
		is := is.New(t)
		s := newState(target("ep-1", vmAddress, 1000), target("ep-2", "10.0.0.2:8165", 1000))
		s.Apply(0, otherTarget("", "10.0.0.1:9100", 2000, false))
		is.Equal(currentIDs(s), []string{"ep-1", "ep-2"})
		is.Equal(usedIDs(s, otherService), []string{""})
	}
}
