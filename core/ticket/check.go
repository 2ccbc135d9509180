package ticket

import (
	"net/netip"
	"time"

	"ibisfold.example/core/document"
)

// Limits of a ticket's values.
const (
	// MaxCapacity is the maximum of Target.Slots and of Target.Connections.
	MaxCapacity = 100_000
	// MaxNumber is the maximum ticket number. A state never goes back to lower
	// numbers, so even a mistyped number must leave room for later ones.
	MaxNumber = 1 << 53
	// MaxServiceTime is the maximum of Service.ServiceTime.
	MaxServiceTime = 10 * time.Minute
)

// check reports every problem that can be found without other tickets.
func check(c *document.Checker, t *Ticket) {
	checkNumber(c, t)
	checkZones(c, t)
	checkServices(c, t)
	checkTargets(c, t)
	checkRemoved(c, t)
	checkUnique(c, t)
	if c.Decoded() {
		checkEffect(c, t)
		checkComplete(c, t)
	}
}

// checkEffect refuses a ticket without objects. Nodes hold only tickets that own
// an object, so they would not exchange this one, and nodes that have received
// it would never agree on the highest ticket number with those that have not.
func checkEffect(c *document.Checker, t *Ticket) {
	if !t.Complete && len(t.Zones)+len(t.Services)+len(t.Targets)+len(t.Removed) == 0 {
		c.Add("Ticket", document.CodeNoEffect, "ticket changes no object")
	}
}

func checkNumber(c *document.Checker, t *Ticket) {
	switch {
	case t.Number == 0:
		c.Add("Ticket", document.CodeOutOfRange, "ticket number is zero or missing")
	case t.Number > MaxNumber:
		c.Add("Ticket", document.CodeOutOfRange, "ticket number is above %d", uint64(MaxNumber))
	}
}

func checkZones(c *document.Checker, t *Ticket) {
	for i, z := range t.Zones {
		c.Name(document.Path("Zones", i, "Name"), z.Name)
	}
}

func checkServices(c *document.Checker, t *Ticket) {
	owners := map[netip.AddrPort]string{}
	for i, v := range t.Services {
		c.Name(document.Path("Services", i, "Name"), v.Name)
		c.Name(document.Path("Services", i, "Tenant"), v.Tenant)
		if v.ServiceTime < 0 || v.ServiceTime > MaxServiceTime {
			c.Add(document.Path("Services", i, "ServiceTime"), document.CodeOutOfRange, "%v is not between 0s and %v", v.ServiceTime, MaxServiceTime)
		}
		for k, a := range v.Addresses {
			path := document.Path(document.Path("Services", i, "Addresses"), k, "")
			c.Address(path, a)
			owner, ok := owners[a]
			if ok && a.IsValid() {
				c.Add(path, document.CodeAddressTaken, "address %v is also used by service %s in this ticket", a, owner)
			}
			owners[a] = v.Name
		}
	}
}

func checkTargets(c *document.Checker, t *Ticket) {
	owners := map[netip.AddrPort]string{}
	for i, v := range t.Targets {
		c.Name(document.Path("Targets", i, "Name"), v.Name)
		c.Name(document.Path("Targets", i, "Service"), v.Service)
		c.Name(document.Path("Targets", i, "Zone"), v.Zone)
		c.Range(document.Path("Targets", i, "Slots"), v.Slots, 1, MaxCapacity)
		c.Range(document.Path("Targets", i, "Connections"), v.Connections, 1, MaxCapacity)
		checkTargetState(c, document.Path("Targets", i, "State"), v.State)

		agent := document.Path("Targets", i, "Agent")
		c.Address(agent, v.Agent)
		owner, ok := owners[v.Agent]
		if ok && v.Agent.IsValid() {
			c.Add(agent, document.CodeAddressTaken, "agent address %v is also used by target %s", v.Agent, owner)
		}
		owners[v.Agent] = v.Name
	}
}

func checkTargetState(c *document.Checker, path string, s TargetState) {
	switch s {
	case "", InService, Draining:
	default:
		c.Add(path, document.CodeBadState, "state is neither %s nor %s", InService, Draining)
	}
}

// checkRemoved checks that each removal names exactly one object.
func checkRemoved(c *document.Checker, t *Ticket) {
	for i, r := range t.Removed {
		path := document.Path("Removed", i, "")
		named := 0
		for _, n := range []string{r.Zone, r.Service, r.Target} {
			if n != "" {
				named++
			}
		}
		if named != 1 {
			c.Add(path, document.CodeMissing, "names %d objects instead of one Zone, Service or Target", named)

			continue
		}
		kind, name := r.object()
		c.Name(path+"."+kind, name)
	}
}

// object returns the kind and name of the object that r removes. The kind is the
// name of the field of Removal that is set.
func (r Removal) object() (kind, name string) {
	switch {
	case r.Zone != "":
		return "Zone", r.Zone
	case r.Service != "":
		return "Service", r.Service
	default:
		return "Target", r.Target
	}
}

type objectKey struct {
	kind string
	name string
}

// checkUnique reports objects that the ticket lists twice, or both lists and
// removes. The effect of such a ticket would depend on the order of its parts.
func checkUnique(c *document.Checker, t *Ticket) {
	listed := map[objectKey]string{}
	add := func(kind, name, path string) {
		k := objectKey{
			kind: kind,
			name: name,
		}
		if first, ok := listed[k]; ok && name != "" {
			c.Add(path, document.CodeDuplicate, "%s %q is already in %s of this ticket", kind, name, first)

			return
		}
		listed[k] = path
	}
	for i, z := range t.Zones {
		add("Zone", z.Name, document.Path("Zones", i, "Name"))
	}
	for i, v := range t.Services {
		add("Service", v.Name, document.Path("Services", i, "Name"))
	}
	for i, v := range t.Targets {
		add("Target", v.Name, document.Path("Targets", i, "Name"))
	}
	for i, r := range t.Removed {
		kind, name := r.object()
		add(kind, name, document.Path("Removed", i, kind))
	}
}

// checkComplete checks the references between the objects of a complete ticket.
// Such a ticket must itself list every object that it refers to.
func checkComplete(c *document.Checker, t *Ticket) {
	if !t.Complete {
		return
	}
	if len(t.Zones) == 0 || len(t.Services) == 0 || len(t.Targets) == 0 {
		c.Add("Complete", document.CodeMissing, "complete ticket lists no zone, no service or no target")
	}

	zones := map[string]bool{}
	for _, z := range t.Zones {
		zones[z.Name] = z.InService
	}
	// serving counts, for each service, its targets in service.
	serving := map[string]int{}
	for _, v := range t.Services {
		serving[v.Name] = 0
	}
	for i, v := range t.Targets {
		inService, ok := zones[v.Zone]
		if !ok {
			c.Add(document.Path("Targets", i, "Zone"), document.CodeUnknownObject, "zone %q is not in this complete ticket", v.Zone)
		}
		if _, ok := serving[v.Service]; !ok {
			c.Add(document.Path("Targets", i, "Service"), document.CodeUnknownObject, "service %q is not in this complete ticket", v.Service)

			continue
		}
		if inService && v.State != Draining {
			serving[v.Service]++
		}
	}
	for i, v := range t.Services {
		if serving[v.Name] == 0 {
			c.Add(document.Path("Services", i, "Name"), document.CodeNoTarget, "service %q has no target in service", v.Name)
		}
	}
}
