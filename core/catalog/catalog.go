// Package catalog holds what is known of routes, services, targets and zones.
// Changes come from the configuration service; the version in force in a
// process only rises.
package catalog

import (
	"net/netip"
	"time"

	"ibisfold.example/core/ticket"
)

// Route sends the flows to one service address to services by weight.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Splits has at least one element.
	Splits []Split
	// Timeout is how long callers wait for an answer; zero if it is not known.
	Timeout time.Duration
	// Priority orders the requests of routes under overload; zero is the most urgent.
	Priority int
}

// Split is a service's share of a route.
type Split struct {
	// Service identifies the service: ServiceID of its name.
	Service uint64
	// Weight is the share relative to the other splits; zero gets no new flow.
	Weight int
}

// Service is what new flows to its targets have to respect.
type Service struct {
	Name string
	// ColdRate is the new flows in a second that a cold target bears; zero is no bound.
	ColdRate float64
}

// ServiceID identifies a service by its name.
func ServiceID(name string) uint64 {
	return ticket.ID(name)
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   map[netip.AddrPort]Route
	Services map[uint64]Service
	// IdleTime is how long a flow may be idle before it may be forgotten.
	IdleTime time.Duration
}

// Target is an endpoint of a service as it registered itself.
type Target struct {
	ID      string
	Service uint64
	// Address is the target's own address; its agent is on the same VM.
	Address  netip.AddrPort
	Zone     string
	Slots    int
	Draining bool
	// ColdLeft is how much longer the target stays cold, as of its last report.
	ColdLeft time.Duration
	// ColdUntil is the end of the cold time on the clock of this process; zero
	// before State has seen the target.
	ColdUntil time.Duration
	// Born is the Unix time of the target's start, in milliseconds.
	Born int64
}
