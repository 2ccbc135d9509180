package agent

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"ibisfold.example/core/packet"
)

var chaosSeeds = flag.Int("chaos.seeds", 20, "number of seeds of TestChaos")

// Guards against requests that run twice, are wrongly reported as not run or
// get mixed answers, under any combination of faults and planned changes.
func TestChaos(t *testing.T) {
	for seed := range uint64(*chaosSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 4)
			sim.Run(2 * time.Second)
			sim.setLoss(0.3 * sim.rand.Float64())
			sim.startCallers(24, 200, 1+int(seed%3))
			for _, f := range sim.callers {
				f.idempotent = seed%4 == 3
				f.deadline = time.Duration(1+seed%5) * time.Second
			}
			c := &chaos{
				sim:          sim,
				nextTicket:   2,
				targetStates: make([]string, 4),
				zoneOut:      make([]bool, 3),
			}
			for range 60 {
				sim.Run(time.Duration(sim.rand.Int64N(int64(time.Second))))
				c.step()
			}
			sim.Run(30 * time.Second)
			sim.checkOutcomes(t)
			if sim.countOutcomes(packet.StatusOK) == 0 {
				t.Error("no request was answered")
			}
		})
	}
}

// chaos injects random faults and planned changes.
type chaos struct {
	sim          *simulation
	nextTicket   int
	targetStates []string
	zoneOut      []bool
}

func (c *chaos) step() {
	sim := c.sim
	i := sim.rand.IntN(len(sim.agents))
	a := sim.agents[i]
	switch sim.rand.IntN(10) {
	case 0, 1:
		c.targetStates[i] = []string{"Draining", "InService"}[sim.rand.IntN(2)]
		c.issueTargets([]int{i}, "s")
	case 2:
		c.issueTargets([]int{i}, []string{"u", "s"}[sim.rand.IntN(2)])
	case 3:
		z := sim.rand.IntN(3)
		c.zoneOut[z] = !c.zoneOut[z] && sim.rand.IntN(2) == 0
		c.issueTicket(fmt.Sprintf("Zones:\n  - {Name: z%d, InService: %v}\n", z, !c.zoneOut[z]))
	case 4:
		sim.restartTarget(a)
	case 5:
		sim.startAgent(a)
	case 6:
		c.stopAndStart(a)
	case 7:
		c.forRandomTime(func(on bool) {
			a.paused = on
		})
	case 8:
		c.forRandomTime(func(on bool) {
			a.unconfirmed = on
		})
	case 9:
		c.cutLink(a)
	}
}

func (c *chaos) issueTicket(text string) {
	c.sim.issueTicket(fmt.Sprintf("Ticket: %d\n%s", c.nextTicket, text))
	c.nextTicket++
}

func (c *chaos) issueTargets(list []int, service string) {
	text := "Targets:\n"
	for _, i := range list {
		text += targetLine(i, service, c.targetStates[i])
	}
	c.issueTicket(text)
}

func (c *chaos) forRandomTime(set func(on bool)) {
	set(true)
	c.sim.After(time.Duration(c.sim.rand.Int64N(int64(8*time.Second))), func() {
		set(false)
	})
}

// stopAndStart starts an agent's process again after its graceful shutdown.
func (c *chaos) stopAndStart(a *testAgent) {
	if a.stopped {
		return
	}
	c.sim.update(a, Stop{})
	c.sim.After(10*time.Second, func() {
		if a.stopped {
			c.sim.startAgent(a)
		}
	})
}

// cutLink drops all packets from one agent to another, in one direction.
func (c *chaos) cutLink(a *testAgent) {
	peerAddr := c.sim.agents[c.sim.rand.IntN(len(c.sim.agents))].addr
	c.forRandomTime(func(on bool) {
		c.sim.isCut = nil
		if on {
			c.sim.isCut = func(from, to netip.AddrPort) bool {
				return from == a.addr && to == peerAddr
			}
		}
	})
}
