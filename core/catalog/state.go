package catalog

import (
	"maps"
	"slices"
	"time"
)

// LapseGrace is the grace period of a lapsed target: how long it stays in use although its
// entry is missing, after an outage of the configuration service or as the last usable
// target of its service. Living targets restore their entries within about 2 s.
const LapseGrace = 2500 * time.Millisecond

// State is the catalog of a process, built up from changes. The zero value is empty and
// ready to use.
type State struct {
	// MaxAge is how long a target may hold flows after it left the list; zero means
	// DefaultMaxAge. It has to be set before the first change.
	MaxAge time.Duration

	config *Config
	// older is the configuration that was told last and not taken.
	older    *Config
	targets  map[string]Target
	zonesOut map[string]bool
	// lapsed holds the end of the grace period of each target that is still in use although
	// its entry is missing, by ID.
	lapsed map[string]time.Duration
	// departed holds the targets that left; none of them is in targets with the same
	// address.
	departed Departures
	// unconfirmed is what Restored listings say against the fields above.
	unconfirmed unconfirmed
	// listed means that a Listing has been applied.
	listed bool
}

// Config returns the configuration in force, or nil before the first one.
func (s *State) Config() *Config {
	return s.config
}

// OlderConfig returns the configuration that was told last and not taken because it is older
// than the one in force, or nil if there is none.
func (s *State) OlderConfig() *Config {
	return s.older
}

// Apply merges a change and reports whether anything changed.
func (s *State) Apply(now time.Duration, c Change) bool {
	if s.targets == nil {
		s.targets = map[string]Target{}
		s.zonesOut = map[string]bool{}
		s.lapsed = map[string]time.Duration{}
		s.departed.MaxAge = s.MaxAge
		s.unconfirmed = unconfirmed{
			targets: map[string]unconfirmedTarget{},
			zones:   map[string]time.Duration{},
		}
	}
	s.unconfirmed.confirm(c)
	switch c := c.(type) {
	case ConfigChange:
		return s.setConfig(c.Config)
	case TargetChange:
		return s.setTarget(now, c.Target)
	case TargetGone:
		return s.handleMissing(now, c.ID, c.AfterOutage)
	case TargetDeparted:
		return s.addDeparted(now, c)
	case ZoneChange:
		return s.setZone(c)
	case Listing:
		return s.applyListing(now, c)
	}

	return false
}

// setConfig takes a configuration that supersedes the one in force, and reports whether more than
// its position differs.
func (s *State) setConfig(c *Config) bool {
	known := s.config
	isSame := known != nil && c.HasContentOf(known)
	if known == nil || c.Supersedes(known) {
		s.config = c

		return !isSame
	}
	if !isSame {
		s.older = c
	}

	return false
}

func (s *State) setTarget(now time.Duration, t Target) bool {
	delete(s.lapsed, t.ID)
	old, ok := s.targets[t.ID]
	t.ColdUntil = old.ColdUntil
	if ok && old.hasContentOf(t) {
		s.targets[t.ID] = t

		return false
	}
	if ok && old.Address != t.Address {
		s.removeTarget(now, t.ID)
	}
	t.ColdUntil = now + t.ColdLeft
	s.targets[t.ID] = t
	s.departed.Return(t)

	return true
}

// hasContentOf reports whether two states of a target differ at most in when the entry was written.
func (t Target) hasContentOf(o Target) bool {
	o.Written = t.Written

	return t == o
}

func (s *State) removeTarget(now time.Duration, id string) bool {
	delete(s.lapsed, id)
	t, ok := s.targets[id]
	if !ok {
		return false
	}
	delete(s.targets, id)
	s.departed.Add(now, TargetDeparted{
		Target: t,
	})

	return true
}

// addDeparted records a target that another process saw leave, unless it is listed here.
func (s *State) addDeparted(now time.Duration, d TargetDeparted) bool {
	t, ok := s.targets[d.Target.ID]
	if ok && t.Address == d.Target.Address {
		return false
	}

	return s.departed.Add(now, d)
}

func (s *State) setZone(c ZoneChange) bool {
	if s.zonesOut[c.Zone] == c.Out {
		return false
	}
	if c.Out {
		s.zonesOut[c.Zone] = true
	} else {
		delete(s.zonesOut, c.Zone)
	}

	return true
}

func (s *State) applyListing(now time.Duration, l Listing) bool {
	changed := !s.listed
	s.listed = true
	apply := s.Apply
	if l.Restored {
		apply = s.applyRestored
	}
	zones := map[string]bool{}
	targets := map[string]bool{}
	for _, c := range l.Changes {
		switch c := c.(type) {
		case ZoneChange:
			zones[c.Zone] = c.Out
		case TargetChange:
			targets[c.Target.ID] = true
		}
		changed = apply(now, c) || changed
	}
	maps.DeleteFunc(s.unconfirmed.targets, func(id string, _ unconfirmedTarget) bool {
		return !targets[id]
	})
	for z := range maps.Clone(s.zonesOut) {
		switch {
		case zones[z]:
		case l.Restored:
			s.keepZone(now, z)
		default:
			changed = s.Apply(now, ZoneChange{
				Zone: z,
			}) || changed
		}
	}
	// The order decides which target stays in use if all of a service are missing.
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		if !targets[id] {
			changed = s.handleMissing(now, id, l.AfterOutage) || changed
		}
	}

	return changed
}

// handleMissing removes a target whose entry is missing. After an outage, or if its service
// has no other usable target, a target that was not draining stays in use for LapseGrace:
// its entry has probably just expired.
func (s *State) handleMissing(now time.Duration, id string, afterOutage bool) bool {
	t, ok := s.targets[id]
	if !ok {
		return false
	}
	if t.Draining || !afterOutage && s.hasOtherUsable(t) {
		return s.removeTarget(now, id)
	}
	if _, ok := s.lapsed[id]; !ok {
		s.lapsed[id] = now + LapseGrace
	}

	return false
}

// hasOtherUsable reports whether the service of t has another target that is neither
// lapsed nor draining.
func (s *State) hasOtherUsable(t Target) bool {
	for id, o := range s.targets {
		if _, lapsed := s.lapsed[id]; !lapsed && id != t.ID && o.Service == t.Service && !o.Draining {
			return true
		}
	}

	return false
}

// Expire removes the lapsed targets whose grace period has ended, drops the departed ones
// that have reached MaxAge, applies what was held back against Restored listings, and reports
// whether anything changed.
func (s *State) Expire(now time.Duration) bool {
	changed := s.departed.Expire(now)
	changed = s.expireUnconfirmed(now) || changed
	for id, at := range maps.Clone(s.lapsed) {
		if now >= at {
			changed = s.removeTarget(now, id) || changed
		}
	}

	return changed
}

// Ready reports whether a configuration and a listing have been applied.
func (s *State) Ready() bool {
	return s.config != nil && s.listed
}
