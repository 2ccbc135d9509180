// Package catalog holds the routes, services, targets and zones that a process knows and
// decides which targets may get new flows or may still hold old ones. Changes come from the
// configuration service; a process never goes back to a configuration that another one
// superseded.
package catalog

import (
	"net/netip"
	"slices"
	"time"

	"ibisfold.example/core/ticket"
)

// Route sends the flows to one service address to services by weight.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Splits has at least one element.
	Splits []Split
	// Timeout is how long callers wait for an answer; zero means unknown.
	Timeout time.Duration
	// Priority orders the requests of routes under overload; zero is the most urgent.
	Priority int
}

// Accepts reports whether the route sends new flows to a service.
func (r *Route) Accepts(service uint64) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool {
		return s.Service == service && s.Weight > 0
	})
}

// Split is a service's share of a route.
type Split struct {
	// Service identifies the service: ServiceID of its name.
	Service uint64
	// Weight is the share relative to the other splits; a split of weight zero gets no
	// new flows.
	Weight int
}

// Service holds the properties of a service that limit new flows to its targets.
type Service struct {
	Name string
	// ColdRate is the maximum of new flows per second to a cold target; zero means no limit.
	ColdRate float64
}

// ServiceID returns the identifier of the service with a name.
func ServiceID(name string) uint64 {
	return ticket.ID(name)
}

// Target is an endpoint of a service, as registered in its entry at the configuration
// service.
type Target struct {
	ID      string
	Service uint64
	// Address is the target's own address; its agent is on the same VM.
	Address  netip.AddrPort
	Zone     string
	Slots    int
	Draining bool
	// ColdLeft is the remaining warm-up time of the target, as of its last report.
	ColdLeft time.Duration
	// ColdUntil is the end of the warm-up on the clock of this process; zero until the
	// target is added to a State.
	ColdUntil time.Duration
	// Born is the start time of the target, in Unix milliseconds on the clock of its VM. It tells
	// starts apart; which of two is the later one it tells only as far as clocks agree.
	Born int64
	// Written is when the entry was last changed; zero if that is not known. A target writes its
	// entry after all others that had its address before have written theirs for the last time.
	Written Position `json:",omitzero"`
}
