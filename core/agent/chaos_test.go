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

// Guards against a second run, a false not run and a mixed answer under any
// combination of faults and planned changes.
func TestChaos(t *testing.T) {
	for seed := range uint64(*chaosSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 4)
			w.Run(2 * time.Second)
			w.lossy(0.3 * w.rand.Float64())
			w.load(24, 200, 1+int(seed%3))
			for _, f := range w.callers {
				f.idempotent = seed%4 == 3
				f.deadline = time.Duration(1+seed%5) * time.Second
			}
			c := &chaos{
				w:      w,
				number: 2,
				state:  make([]string, 4),
				out:    make([]bool, 3),
			}
			for range 60 {
				w.Run(time.Duration(w.rand.Int64N(int64(time.Second))))
				c.step()
			}
			w.Run(30 * time.Second)
			w.check(t)
			if w.total(packet.StatusOK) == 0 {
				t.Error("no request was answered")
			}
		})
	}
}

// chaos draws faults and planned changes.
type chaos struct {
	w      *world
	number int
	state  []string
	out    []bool
}

func (c *chaos) step() {
	w := c.w
	i := w.rand.IntN(len(w.agents))
	a := w.agents[i]
	switch w.rand.IntN(10) {
	case 0, 1:
		c.state[i] = []string{"Draining", "InService"}[w.rand.IntN(2)]
		c.targets([]int{i}, "s")
	case 2:
		c.targets([]int{i}, []string{"u", "s"}[w.rand.IntN(2)])
	case 3:
		z := w.rand.IntN(3)
		c.out[z] = !c.out[z] && w.rand.IntN(2) == 0
		c.ticket(fmt.Sprintf("Zones:\n  - {Name: z%d, InService: %v}\n", z, !c.out[z]))
	case 4:
		w.restartTarget(a)
	case 5:
		w.start(a)
	case 6:
		c.stopAndStart(a)
	case 7:
		c.during(func(on bool) {
			a.paused = on
		})
	case 8:
		c.during(func(on bool) {
			a.unconfirmed = on
		})
	case 9:
		c.cutLink(a)
	}
}

func (c *chaos) ticket(text string) {
	c.w.ticket(fmt.Sprintf("Ticket: %d\n%s", c.number, text))
	c.number++
}

func (c *chaos) targets(list []int, service string) {
	text := "Targets:\n"
	for _, i := range list {
		text += targetLine(i, service, c.state[i])
	}
	c.ticket(text)
}

func (c *chaos) during(set func(on bool)) {
	set(true)
	c.w.After(time.Duration(c.w.rand.Int64N(int64(8*time.Second))), func() {
		set(false)
	})
}

// stopAndStart replaces an agent's process after its graceful shutdown.
func (c *chaos) stopAndStart(a *testAgent) {
	if a.stopped {
		return
	}
	c.w.update(a, Stop{})
	c.w.After(10*time.Second, func() {
		if a.stopped {
			c.w.start(a)
		}
	})
}

// cutLink loses all packets from one agent to another, in one direction.
func (c *chaos) cutLink(a *testAgent) {
	far := c.w.agents[c.w.rand.IntN(len(c.w.agents))].addr
	c.during(func(on bool) {
		c.w.cut = nil
		if on {
			c.w.cut = func(from, to netip.AddrPort) bool {
				return from == a.addr && to == far
			}
		}
	})
}
