package proof_test

import (
	"slices"
	"time"

	"ibisfold.example/core/mesh"
)

// configDelay is the delay of each answer of the configuration service.
const configDelay = 2 * time.Millisecond

// configService is a model of the platform's read-only configuration service and
// its list of VMs.
type configService struct {
	texts [][]byte
	down  bool
	// shownTickets limits the answers to that many of the oldest tickets while it is
	// above 0.
	shownTickets int
	// truncated means that only the first half of the newest value is returned.
	truncated bool
	// calls counts reads; a blocking read counts once.
	calls   uint64
	waiters []waiter
	// index counts changes, as the index of a blocking query does: a blocking read
	// with an older index is answered at once.
	index uint64
	// laggingVMs is the outdated list of VMs that the service returns; nil means that
	// the list is up to date.
	laggingVMs []mesh.Node
}

type waiter struct {
	process     *process
	incarnation uint64
	answer      func()
}

// read answers a process with all tickets that the service returns. The answer waits
// for a change for at most wait, unless the process has an older index.
func (w *world) read(p *process, wait time.Duration, post func(mesh.Message)) {
	c := &w.config
	c.calls++
	incarnation := p.incarnation
	reply := func() {
		w.After(configDelay, func() {
			if p.alive && p.incarnation == incarnation {
				post(w.configAnswer(p))
			}
		})
	}
	if wait == 0 || c.down || p.index != c.index {
		reply()

		return
	}
	done := false
	once := func() {
		if !done {
			done = true
			reply()
		}
	}
	c.waiters = append(c.waiters, waiter{
		process:     p,
		incarnation: incarnation,
		answer:      once,
	})
	w.After(wait, once)
}

func (w *world) configAnswer(p *process) mesh.Message {
	c := &w.config
	if c.down || w.net.cutZones[p.zone] || w.net.oneWayZones[p.zone] {
		return mesh.ConfigFailed{}
	}
	p.index = c.index
	texts := slices.Clone(c.texts)
	if c.shownTickets > 0 && c.shownTickets < len(texts) {
		texts = texts[:c.shownTickets]
	}
	if c.truncated && len(texts) > 0 {
		last := texts[len(texts)-1]
		texts[len(texts)-1] = last[:len(last)/2]
	}

	return mesh.ConfigRead{
		Texts: texts,
	}
}

// publish stores a ticket and answers all blocking reads.
func (w *world) publish(text []byte) {
	c := &w.config
	c.texts = append(c.texts, text)
	w.answerBlockingReads()
}

func (w *world) answerBlockingReads() {
	w.config.index++
	waiters := w.config.waiters
	w.config.waiters = nil
	for _, a := range waiters {
		a.answer()
	}
}

// vms returns the live processes, or the outdated list if there is one.
func (w *world) vms() []mesh.Node {
	if w.config.laggingVMs != nil {
		return w.config.laggingVMs
	}
	nodes := []mesh.Node{}
	for _, n := range w.entries {
		if n.alive {
			nodes = append(nodes, n.node())
		}
	}
	for _, n := range w.agents {
		if n.alive {
			nodes = append(nodes, n.node())
		}
	}

	return nodes
}
