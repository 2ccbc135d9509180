package catalog

import "time"

// Change is a change to the catalog that an upstream reports.
type Change interface {
	change()
}

// ConfigChange publishes a version of the configuration.
type ConfigChange struct {
	Config *Config
}

// TargetChange adds or updates the entry of a target.
type TargetChange struct {
	Target Target
}

// TargetGone means that the entry of a target was removed or no longer describes a valid
// target.
type TargetGone struct {
	ID string
	// AfterOutage has the same meaning as in Listing.
	AfterOutage bool
}

// TargetDeparted means that another process saw a target leave the list. Its agent may
// still hold flows, but the target gets no new ones.
type TargetDeparted struct {
	Target Target
	// Age is the time since the target left; it is not negative.
	Age time.Duration
}

// ZoneChange means that operators took a zone out of service or put it back.
type ZoneChange struct {
	Zone string
	Out  bool
}

// Listing holds the complete catalog: targets that it lacks are gone, and zones that it
// lacks are in service.
type Listing struct {
	Changes []Change
	// AfterOutage means that the configuration service was unavailable for a while, so
	// the entries of living targets may have expired.
	AfterOutage bool
	// Restored means that the configuration service came back from an older copy of its
	// data less than RestoreGrace ago, so what it lists may be out of date.
	Restored bool
}

func (ConfigChange) change()   {}
func (TargetChange) change()   {}
func (TargetGone) change()     {}
func (TargetDeparted) change() {}
func (ZoneChange) change()     {}
func (Listing) change()        {}
