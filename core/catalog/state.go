package catalog

import (
	"maps"
	"time"
)

// LapseGrace is how long a target stays in use whose entry is missing in the
// first listing after an outage of the configuration service. Entries of living
// targets are back within about 2 s.
const LapseGrace = 2500 * time.Millisecond

// State collects changes. The zero value is empty and works.
type State struct {
	// MaxAge is how long a target that left the list may hold flows; zero is
	// DefaultMaxAge. Set it before the first change.
	MaxAge time.Duration

	config   *Config
	targets  map[string]Target
	zonesOut map[string]bool
	// lapsed maps the targets that were missing after an outage to the time at
	// which they are gone unless they return.
	lapsed map[string]time.Duration
	// departed holds the targets that left; none of them is in targets at its address.
	departed Departures
	listed   bool
}

// Config returns the configuration in force; nil before the first.
func (s *State) Config() *Config {
	return s.config
}

// Apply merges a change and reports whether anything changed.
func (s *State) Apply(now time.Duration, c Change) bool {
	if s.targets == nil {
		s.targets = map[string]Target{}
		s.zonesOut = map[string]bool{}
		s.lapsed = map[string]time.Duration{}
		s.departed.MaxAge = s.MaxAge
	}
	switch c := c.(type) {
	case ConfigChange:
		return s.setConfig(c.Config)
	case TargetChange:
		return s.setTarget(now, c.Target)
	case TargetGone:
		return s.lose(now, c.ID, c.AfterOutage)
	case TargetDeparted:
		return s.depart(now, c)
	case ZoneChange:
		return s.setZone(c)
	case Listing:
		return s.list(now, c)
	}

	return false
}

// setConfig ignores versions that are not newer: a slow read may bring an old one.
func (s *State) setConfig(c *Config) bool {
	if s.config != nil && c.Version <= s.config.Version {
		return false
	}
	s.config = c

	return true
}

func (s *State) setTarget(now time.Duration, t Target) bool {
	delete(s.lapsed, t.ID)
	old, ok := s.targets[t.ID]
	t.ColdUntil = old.ColdUntil
	if ok && old == t {
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

// depart notes a target that another process has seen leave, unless it is listed.
func (s *State) depart(now time.Duration, d TargetDeparted) bool {
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

func (s *State) list(now time.Duration, l Listing) bool {
	changed := !s.listed
	s.listed = true
	zones := map[string]bool{}
	targets := map[string]bool{}
	for _, c := range l.Changes {
		switch c := c.(type) {
		case ZoneChange:
			zones[c.Zone] = c.Out
		case TargetChange:
			targets[c.Target.ID] = true
		}
		changed = s.Apply(now, c) || changed
	}
	for z := range maps.Clone(s.zonesOut) {
		if !zones[z] {
			delete(s.zonesOut, z)
			changed = true
		}
	}
	for id := range maps.Clone(s.targets) {
		if !targets[id] {
			changed = s.lose(now, id, l.AfterOutage) || changed
		}
	}

	return changed
}

// lose removes a target whose entry is missing. After an outage, and where the
// service would have no other target, a target that was not leaving keeps its
// place for LapseGrace: its entry has probably only expired.
func (s *State) lose(now time.Duration, id string, afterOutage bool) bool {
	t, ok := s.targets[id]
	if !ok {
		return false
	}
	if t.Draining || !afterOutage && s.hasOther(t) {
		return s.removeTarget(now, id)
	}
	if _, ok := s.lapsed[id]; !ok {
		s.lapsed[id] = now + LapseGrace
	}

	return false
}

// hasOther reports whether the service of t has another target to use.
func (s *State) hasOther(t Target) bool {
	for id, o := range s.targets {
		if _, lapsed := s.lapsed[id]; !lapsed && id != t.ID && o.Service == t.Service && !o.Draining {
			return true
		}
	}

	return false
}

// Expire removes the lapsed targets whose grace has ended, drops the departed ones
// that hold no flow any more, and reports whether there were any.
func (s *State) Expire(now time.Duration) bool {
	changed := s.departed.Expire(now)
	for id, at := range maps.Clone(s.lapsed) {
		if now >= at {
			changed = s.removeTarget(now, id) || changed
		}
	}

	return changed
}

// Ready reports whether there is a configuration and a list of targets.
func (s *State) Ready() bool {
	return s.config != nil && s.listed
}
