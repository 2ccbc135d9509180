package proof_test

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"ibisfold.example/core/ticket"
)

const warmUpTime = 8 * time.Second

// plan is the state that operators want; their next ticket is written from it.
type plan struct {
	number   uint64
	zones    []ticket.Zone
	services []ticket.Service
	targets  []ticket.Target
}

func ticketLine(number uint64) []byte {
	return fmt.Appendf(nil, "Ticket: %d\n", number)
}

func writeZones(b *strings.Builder, zones []ticket.Zone) {
	b.WriteString("Zones:\n")
	for _, z := range zones {
		fmt.Fprintf(b, "  - {Name: %s, InService: %v}\n", z.Name, z.InService)
	}
}

func writeServices(b *strings.Builder, services []ticket.Service) {
	b.WriteString("Services:\n")
	for _, s := range services {
		fmt.Fprintf(b, "  - {Name: %s, Tenant: %s, Addresses: [%q]}\n", s.Name, s.Tenant, s.Addresses[0])
	}
}

func writeTargets(b *strings.Builder, targets []ticket.Target) {
	b.WriteString("Targets:\n")
	for _, t := range targets {
		state := t.State
		if state == "" {
			state = ticket.InService
		}
		fmt.Fprintf(b, "  - {Name: %s, Service: %s, Zone: %s, Agent: %q, Slots: %d, Connections: %d, State: %s}\n",
			t.Name, t.Service, t.Zone, t.Agent, t.Slots, t.Connections, state)
	}
}

// site is a world with two services in three zones, and the operators' plan for it.
type site struct {
	*world
	plan plan
	// targets maps the ID of a target to its name.
	targets map[uint64]string
	// offset shifts the index of the processes and zones that faults hit.
	offset int
	// gone holds the names of targets that were removed, or whose VM was replaced.
	gone map[string]bool
}

var zoneNames = []string{"iphofen", "escherndorf", "randersacker"}

// newSite starts a site with 3 entries, 4 targets of rufdienst and 3 of kartendienst.
func newSite(seed uint64, b protection) *site {
	s := &site{
		world:   newWorld(seed, b),
		targets: map[uint64]string{},
		gone:    map[string]bool{},
	}
	for i, z := range zoneNames {
		s.plan.zones = append(s.plan.zones, ticket.Zone{
			Name:      z,
			InService: true,
		})
		s.addEntry("entry-"+z, z, processAddress(1, i+1))
	}
	for i, name := range []string{"rufdienst", "kartendienst"} {
		s.plan.services = append(s.plan.services, ticket.Service{
			Name:      name,
			Tenant:    "eisweinruf",
			Addresses: []netip.AddrPort{serviceAddress(i)},
		})
	}
	for i := range 7 {
		service := 0
		if i >= 4 {
			service = 1
		}
		s.addTarget(s.plan.services[service].Name, zoneNames[i%len(zoneNames)])
	}

	s.world.targetName = func(id uint64) string {
		return s.targets[id]
	}
	s.submit("start", func(b *strings.Builder) {
		writeZones(b, s.plan.zones)
		writeServices(b, s.plan.services)
		writeTargets(b, s.plan.targets)
	})
	for _, n := range s.entries {
		n.start()
	}
	for _, n := range s.agents {
		n.start()
	}
	s.watch()

	return s
}

func processAddress(group, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(group), byte(i)}), 7100)
}

func serviceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 0, byte(i + 1)}), 80)
}

// addTarget adds a target to the plan and its VM to the world. It does not start the
// agent.
func (s *site) addTarget(service, zone string) *agentNode {
	return s.addTargetAt(service, zone, processAddress(2, len(s.agents)+1))
}

func (s *site) addTargetAt(service, zone string, agent netip.AddrPort) *agentNode {
	i := len(s.agents) + 1
	t := ticket.Target{
		Name:        fmt.Sprint("target-", i),
		Service:     service,
		Zone:        zone,
		Agent:       agent,
		Slots:       2,
		Connections: 2000,
	}
	s.plan.targets = append(s.plan.targets, t)
	s.targets[ticket.ID(t.Name)] = t.Name

	return s.addAgent(t.Name, zone, t.Agent, t.Slots)
}

// submit publishes the next ticket, whose body write appends.
func (s *site) submit(reason string, write func(b *strings.Builder)) {
	s.plan.number++
	b := &strings.Builder{}
	b.Write(ticketLine(s.plan.number))
	fmt.Fprintf(b, "Reason: %s\n", reason)
	write(b)
	t, err := ticket.Parse([]byte(b.String()))
	if err != nil {
		panic(fmt.Sprintf("%v\n%s", err, b.String()))
	}
	s.oracle.published(t)
	s.publish(t.Text)
}

// watch checks the nodes ten times a second.
func (s *site) watch() {
	s.After(100*time.Millisecond, func() {
		s.oracle.checkNodes()
		s.watch()
	})
}

// openFlows adds callers that send a request from time to time.
func (s *site) openFlows(count int) {
	for i := range count {
		k := i % len(s.plan.services)
		c := s.addCaller(s.plan.services[k].Name, s.plan.services[k].Addresses[0])
		s.keepRequesting(c)
	}
}

func (s *site) keepRequesting(c *caller) {
	d := 100*time.Millisecond + time.Duration(s.rand.Int64N(int64(600*time.Millisecond)))
	s.After(d, func() {
		c.request(s.rand.IntN(3) == 0)
		s.keepRequesting(c)
	})
}

// checkFlowsAnswer checks at the end of a run that each flow whose target was not lost
// still gets answers, and that all flows have been opened.
func (s *site) checkFlowsAnswer() {
	answers := map[*caller]int{}
	for _, c := range s.callers {
		answers[c] = c.answers
	}
	s.Run(15 * time.Second)
	for _, c := range s.callers {
		if c.state != callerOpen || c.answers > answers[c] {
			continue
		}
		name := s.targets[c.token.Target]
		if !s.oracle.lost[name] {
			s.oracle.fail("flow", "flow %x of %s at %s does not answer", c.flow, c.service, name)
		}
	}
	for _, c := range s.callers {
		if c.state == callerOpening {
			s.oracle.fail("flow", "flow %x of %s never opened", c.flow, c.service)
		}
	}
}

// heal ends all faults of the network and the platform.
func (s *site) heal() {
	s.net.reset()
	c := &s.config
	c.down = false
	c.shownTickets = 0
	c.truncated = false
	c.laggingVMs = nil
	s.oracle.lastFaultEnd = s.Now
	s.answerBlockingReads()
}

func (w *world) controls() []*control {
	c := []*control{}
	for _, n := range w.entries {
		c = append(c, &n.control)
	}
	for _, n := range w.agents {
		c = append(c, &n.control)
	}

	return c
}
