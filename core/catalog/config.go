package catalog

import (
	"net/netip"
	"reflect"
	"time"
)

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	// Written is the position of its write in the configuration service. It is zero if a
	// process of an earlier program version passed the configuration on.
	Written  Position `json:",omitzero"`
	Routes   map[netip.AddrPort]Route
	Services map[uint64]Service
	// IdleTime is how long a flow may be idle before its state may be dropped.
	IdleTime time.Duration
}

// HasContentOf reports whether two configurations differ at most in where they were written.
func (c *Config) HasContentOf(o *Config) bool {
	x := *c
	x.Written = o.Written

	return reflect.DeepEqual(&x, o)
}
