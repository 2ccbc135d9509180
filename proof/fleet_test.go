package proof

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/mesh/meshtest"
	"ibisfold.example/core/ticket"
)

const (
	regions = 3
	zones   = 9
	// nodesPerEntry is the ratio of the design size: 740 of 4,440 nodes are entries.
	nodesPerEntry = 6
)

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

// agentCount returns the number of agents among n nodes. Each agent gets a target,
// so that probes of agents' addresses spread over the fleet.
func agentCount(n int) int { return n - (n+nodesPerEntry-1)/nodesPerEntry }

// fleet is a simulated network of nodes with the tickets that were published to it.
type fleet struct {
	*meshtest.Network
	texts  [][]byte
	number int
	random *rand.Rand
}

// newFleet starts n nodes in 9 zones of 3 regions. The delays are 1 ms within
// a zone, 5 to 10 ms within a region and 40 to 60 ms between regions; one
// message in a hundred between zones takes up to 200 ms more.
func newFleet(seed uint64, n, targets int) *fleet {
	f := &fleet{
		Network: meshtest.New(seed),
		random:  rand.New(rand.NewPCG(seed, 1)),
	}
	ms := func(low, width int) time.Duration {
		return time.Duration(low)*time.Millisecond + time.Duration(f.random.IntN(width*1000+1))*time.Microsecond
	}
	f.Delay = func(a, b *meshtest.Node) time.Duration {
		extra := time.Duration(0)
		if f.random.IntN(100) == 0 {
			extra = ms(0, 200)
		}
		switch {
		case a.Self.Zone == b.Self.Zone:
			return ms(1, 0)
		case a.Region == b.Region:
			return extra + ms(5, 5)
		default:
			return extra + ms(40, 20)
		}
	}
	seeds := []netip.AddrPort{}
	for i := range n {
		role := mesh.RoleAgent
		if i%nodesPerEntry == 0 {
			role = mesh.RoleEntry
		}
		z := i / 2 % zones
		f.Add(role, zoneName(z), z%regions, seeds...)
		if len(seeds) < zones {
			seeds = append(seeds, f.Nodes[i].Self.Addr)
		}
	}
	f.start(targets)

	return f
}

// start gives all nodes the first ticket, which is complete, and lets them settle.
func (f *fleet) start(targets int) {
	f.Run(20 * time.Second)
	f.publish(f.completeTicket(targets))
	for _, v := range f.Nodes {
		f.Update(v, mesh.ConfigRead{
			Texts: f.texts,
		})
	}
	f.Run(40 * time.Second)
}

// publish stores a ticket in the configuration service and watches when it is in
// force at each node.
func (f *fleet) publish(text []byte) {
	t, err := ticket.Parse(text)
	if err != nil {
		panic(err)
	}
	f.texts = append(f.texts, text)
	f.WatchFor(t.Version)
	f.Config.Set(f.Network, f.texts...)
}

func (f *fleet) ticketHead(reason string) string {
	f.number++

	return fmt.Sprintf("Ticket: %d\nReason: %s\n", f.number, reason)
}

// completeTicket returns the text of a ticket with the whole state.
func (f *fleet) completeTicket(targets int) []byte {
	b := &strings.Builder{}
	b.WriteString(f.ticketHead("start") + "Complete: true\nZones:\n")
	for i := range zones {
		fmt.Fprintf(b, "  - Name: %s\n", zoneName(i))
	}
	services := max(1, targets*960/3700)
	b.WriteString("Services:\n")
	for i := range services {
		fmt.Fprintf(b, "  - Name: service-%d\n    Tenant: tenant-%d\n", i, i%40)
		fmt.Fprintf(b, "    Addresses: [10.200.%d.%d:7000]\n", i/250, i%250)
	}
	b.WriteString("Targets:\n")
	for i := range targets {
		f.target(b, i, services)
	}

	return []byte(b.String())
}

// target writes a target whose agent is one of the nodes.
func (f *fleet) target(b *strings.Builder, i, services int) {
	v := f.Nodes[(i*6/5+1)%len(f.Nodes)].Self
	if i >= len(f.Nodes)*5/6 {
		v.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 250, byte(i >> 8), byte(i)}), 7100)
	}
	fmt.Fprintf(b, "  - Name: target-%d-%04x\n    Service: service-%d\n    Zone: %s\n", i, f.random.IntN(1<<16), i%services, v.Zone)
	fmt.Fprintf(b, "    Agent: %s\n    Slots: %d\n    Connections: 2000\n", v.Addr, 2+i%6)
}

// ticketOfSize returns the text of a ticket that replaces targets and compresses to
// at most about size bytes.
func (f *fleet) ticketOfSize(size int) []byte {
	head := f.ticketHead("replace targets")
	build := func(n int) []byte {
		b := &strings.Builder{}
		b.WriteString(head + "Targets:\n")
		for i := range n {
			f.target(b, i, 960)
		}

		return []byte(b.String())
	}
	n := 1
	for step := 4096; step > 0; step /= 2 {
		if len(mesh.Compress(build(n+step))) <= size {
			n += step
		}
	}

	return build(n)
}

func (f *fleet) drainTicket() []byte {
	return []byte(f.ticketHead("drain") + "Targets:\n  - Name: target-x\n    Service: service-0\n    Zone: zone-1\n" +
		"    Agent: 10.251.0.1:7100\n    Slots: 2\n    Connections: 2000\n    State: Draining\n")
}

func (f *fleet) zoneTicket(i int, inService bool) []byte {
	return []byte(f.ticketHead("zone") + fmt.Sprintf("Zones:\n  - Name: %s\n    InService: %v\n", zoneName(i), inService))
}

// bytes returns the bytes that each node sent and received since its start.
func (f *fleet) bytes() []uint64 {
	all := []uint64{}
	for _, v := range f.Nodes {
		c := v.Core.Counters()
		all = append(all, c.BytesSent+c.BytesReceived)
	}

	return all
}

// rates returns the mean and the highest bytes per second of the nodes since the
// counters in before, which are d old, and the highest number of bytes that a node
// had in any single second since the last WatchFor.
func (f *fleet) rates(before []uint64, d time.Duration) (mean, highest float64, peak int) {
	for i, n := range f.bytes() {
		r := float64(n-before[i]) / d.Seconds()
		mean += r / float64(len(before))
		highest = max(highest, r)
		peak = max(peak, f.Nodes[i].PeakBytes)
	}

	return mean, highest, peak
}

// TestFleetConverges guards against measurements of a simulated fleet whose nodes
// do not exchange tickets.
func TestFleetConverges(t *testing.T) {
	f := newFleet(1, 18, 12)
	f.publish(f.zoneTicket(1, false))
	if !f.RunUntil(3*time.Second, func() bool { return f.Missing == 0 }) {
		t.Fatal("zone-out ticket is not in force at all nodes")
	}
}
