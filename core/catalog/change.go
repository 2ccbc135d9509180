package catalog

import "time"

// Change is one change that the configuration service reports.
type Change interface {
	change()
}

// ConfigChange brings a configuration.
type ConfigChange struct {
	Config *Config
}

// TargetChange brings a target's entry.
type TargetChange struct {
	Target Target
}

// TargetGone means that a target's entry was removed or names no target.
type TargetGone struct {
	ID string
	// AfterOutage is as in Listing.
	AfterOutage bool
}

// TargetDeparted means that a target left the list before it was heard of here:
// its agent may hold flows, but it gets no new ones.
type TargetDeparted struct {
	Target Target
	// Age is the time since it left; it is not negative.
	Age time.Duration
}

// ZoneChange means that operators take a zone out or back.
type ZoneChange struct {
	Zone string
	Out  bool
}

// Listing holds everything that is there: targets and zones that are not listed
// are gone.
type Listing struct {
	Changes []Change
	// AfterOutage means that the configuration service did not answer for a while,
	// so entries of living targets may have expired meanwhile.
	AfterOutage bool
}

func (ConfigChange) change()   {}
func (TargetChange) change()   {}
func (TargetGone) change()     {}
func (TargetDeparted) change() {}
func (ZoneChange) change()     {}
func (Listing) change()        {}
