package catalog

import (
	"maps"
	"net/netip"
	"reflect"
	"time"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	// Written is the position of its write in the configuration service. It is zero if a
	// process of an earlier program version passed the configuration on.
	Written Position `json:",omitzero"`
	// EraCertain means that a watch told of the write, so that it was made in Written.Era. A
	// listing of that era may also tell of an earlier write, as part of an older copy.
	EraCertain bool `json:",omitempty"`
	Routes     map[netip.AddrPort]Route
	Services   map[uint64]Service
	// IdleTime is how long a flow may be idle before its state may be dropped.
	IdleTime time.Duration
}

// HasContentOf reports whether two configurations differ at most in where they were written.
func (c *Config) HasContentOf(o *Config) bool {
	return c.Version == o.Version && c.IdleTime == o.IdleTime && maps.Equal(c.Services, o.Services) &&
		maps.EqualFunc(c.Routes, o.Routes, Route.equal)
}

func (r Route) equal(o Route) bool {
	return reflect.DeepEqual(r, o)
}
