package catalog

import (
	"maps"
	"math"
	"net/netip"
	"slices"

	"github.com/juju/errors"
)

// ErrInvalidConfig means that a configuration can't be used. It is used as a whole or not at
// all, so the one in force stays. Errors with one of the reasons below are also this error.
const ErrInvalidConfig = errors.ConstError("configuration can't be used")

// Reasons for which a configuration can't be used.
const (
	ErrInvalidRouteAddress = errors.ConstError("no IPv4 address and port that callers can call")
	ErrDuplicateRoute      = errors.ConstError("two routes at one address")
	ErrRouteWithoutService = errors.ConstError("route without a service")
	ErrUndeclaredService   = errors.ConstError("route to a service that is not declared")
	ErrInvalidWeight       = errors.ConstError("weight out of range")
	ErrDuplicateService    = errors.ConstError("service declared twice")
	ErrInvalidColdRate     = errors.ConstError("limit of new flows to cold targets out of range")
)

// MaxWeight is the highest weight of a split, so that sums of weights do not overflow.
const MaxWeight = 1 << 30

// AddRoute adds a route. Error: ErrDuplicateRoute.
func (c *Config) AddRoute(r Route) error {
	if other, ok := c.Routes[r.Address]; ok {
		return invalidConfig(ErrDuplicateRoute, "routes %.64q and %.64q at %v", other.Name, r.Name, r.Address)
	}
	if c.Routes == nil {
		c.Routes = map[netip.AddrPort]Route{}
	}
	c.Routes[r.Address] = r

	return nil
}

// AddService declares a service. Error: ErrDuplicateService.
func (c *Config) AddService(s Service) error {
	id := ServiceID(s.Name)
	if _, ok := c.Services[id]; ok {
		return invalidConfig(ErrDuplicateService, "service %.64q", s.Name)
	}
	if c.Services == nil {
		c.Services = map[uint64]Service{}
	}
	c.Services[id] = s

	return nil
}

// Validate reports whether a configuration can be used. Errors: ErrInvalidConfig with a reason.
func (c *Config) Validate() error {
	for _, id := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[id]
		if !(s.ColdRate >= 0 && s.ColdRate <= math.MaxFloat64) {
			return invalidConfig(ErrInvalidColdRate, "service %.64q: %v", s.Name, s.ColdRate)
		}
	}
	for _, a := range slices.SortedFunc(maps.Keys(c.Routes), netip.AddrPort.Compare) {
		if err := c.validateRoute(a); err != nil {
			return err
		}
	}

	return nil
}

// validateRoute checks the route of an address.
func (c *Config) validateRoute(a netip.AddrPort) error {
	r := c.Routes[a]
	switch {
	case r.Address != a || !isUnicastIPv4(a.Addr()) || a.Port() == 0:
		return invalidConfig(ErrInvalidRouteAddress, "route %.64q at %v", r.Name, r.Address)
	case len(r.Splits) == 0:
		return invalidConfig(ErrRouteWithoutService, "route %.64q", r.Name)
	}
	for _, s := range r.Splits {
		if _, ok := c.Services[s.Service]; !ok {
			return invalidConfig(ErrUndeclaredService, "route %.64q", r.Name)
		}
		if s.Weight < 0 || s.Weight > MaxWeight {
			return invalidConfig(ErrInvalidWeight, "route %.64q: %d", r.Name, s.Weight)
		}
	}

	return nil
}

func invalidConfig(reason error, format string, args ...any) error {
	return errors.WithType(errors.Annotatef(reason, format, args...), ErrInvalidConfig)
}

// isUnicastIPv4 reports whether an address can be that of one machine: packets carry IPv4
// addresses only.
func isUnicastIPv4(a netip.Addr) bool {
	return a.Is4() && !a.IsUnspecified() && !a.IsMulticast() && a != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}
