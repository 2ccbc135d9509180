package catalog

import (
	"maps"
	"time"
)

// RestoreGrace is how long a State keeps what it knows against a Restored listing. Operators
// and living targets write again what the copy lacks within about 2 s; the entries of targets
// that have left since the copy was made expire within three heartbeats, 3.6 s.
const RestoreGrace = 4 * time.Second

// unconfirmed holds what Restored listings say against the knowledge of a State. It applies
// after RestoreGrace unless a later change decides the matter first. The zero value is empty.
type unconfirmed struct {
	// targets holds entries by ID that differ from the known state of their target.
	targets map[string]unconfirmedTarget
	// zones holds when the zones that the listing does not take out are put back.
	zones map[string]time.Duration
}

// unconfirmedTarget is the entry of a target and the time at which it applies.
type unconfirmedTarget struct {
	target Target
	due    time.Duration
}

// Unconfirmed returns the number of targets and zones whose known state is kept against that
// of a Restored listing.
func (s *State) Unconfirmed() int {
	return len(s.unconfirmed.targets) + len(s.unconfirmed.zones)
}

// applyRestored merges a change of a Restored listing.
func (s *State) applyRestored(now time.Duration, c Change) bool {
	t, ok := c.(TargetChange)
	if !ok || !s.revertsTarget(t.Target) {
		return s.Apply(now, c)
	}
	if _, pending := s.unconfirmed.targets[t.Target.ID]; !pending {
		s.unconfirmed.targets[t.Target.ID] = unconfirmedTarget{
			target: t.Target,
			due:    now + RestoreGrace,
		}
	}

	return s.extendWarmUp(now, t.Target)
}

// revertsTarget reports whether an entry may be older than what is known: it brings a target
// back that has left or is draining, or tells of another start or address.
func (s *State) revertsTarget(t Target) bool {
	known, ok := s.targets[t.ID]
	if !ok {
		return s.departed.Contains(t)
	}

	return known.Address != t.Address || known.Service != t.Service || known.Born != t.Born || known.Draining && !t.Draining
}

// extendWarmUp makes a known target count as cold for as long as an entry that is not applied
// yet says: the entry may be that of a later start.
func (s *State) extendWarmUp(now time.Duration, t Target) bool {
	known, ok := s.targets[t.ID]
	if !ok || known.ColdUntil >= now+t.ColdLeft {
		return false
	}
	known.ColdUntil = now + t.ColdLeft
	s.targets[t.ID] = known

	return true
}

// keepZone keeps a zone out of service that a Restored listing does not take out.
func (s *State) keepZone(now time.Duration, zone string) {
	if _, pending := s.unconfirmed.zones[zone]; !pending {
		s.unconfirmed.zones[zone] = now + RestoreGrace
	}
}

// confirm drops what a listing said about the subject of a change.
func (u *unconfirmed) confirm(c Change) {
	switch c := c.(type) {
	case TargetChange:
		delete(u.targets, c.Target.ID)
	case TargetGone:
		delete(u.targets, c.ID)
	case ZoneChange:
		delete(u.zones, c.Zone)
	}
}

// expireUnconfirmed applies what Restored listings said once its time has come, and reports
// whether anything changed.
func (s *State) expireUnconfirmed(now time.Duration) bool {
	changed := false
	for id, u := range maps.Clone(s.unconfirmed.targets) {
		if now >= u.due {
			delete(s.unconfirmed.targets, id)
			changed = s.setTarget(now, u.target) || changed
		}
	}
	for zone, due := range maps.Clone(s.unconfirmed.zones) {
		if now >= due {
			changed = s.Apply(now, ZoneChange{
				Zone: zone,
			}) || changed
		}
	}

	return changed
}
