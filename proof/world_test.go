package proof_test

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"time"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/simclock"
)

// world runs decision cores on a virtual clock. All randomness comes from one seeded
// source, and events of the same time run in the order of their creation, so that a
// seed always gives the same trace.
type world struct {
	simclock.Clock

	rand *rand.Rand
	keys *keyring.Keyring
	// inputs counts the inputs of decision cores, such as messages and timer ticks, and the
	// fuzzer's actions.
	inputs uint64
	// trace is a hash of all observations: see record.
	trace hash.Hash64
	// verbose means that the observations are printed.
	verbose bool

	net    network
	config configService
	// disabled is the protection that this world breaks.
	disabled protection
	oracle   *oracle
	// targetName returns the name of the target with the given ID.
	targetName func(id uint64) string
	entries    []*entryNode
	agents     []*agentNode
	// byAddress maps an address to the process that listens there.
	byAddress map[netip.AddrPort]node
	callers   []*caller
	// starts counts the starts of processes, for nextIncarnation.
	starts uint64
}

// node is a process of the system.
type node interface {
	base() *process
	handle(m any)
}

// process is the part that all nodes share: where a process is and whether it runs.
type process struct {
	name   string
	addr   netip.AddrPort
	zone   string
	alive  bool
	paused bool
	// incarnation is the number of the current start; timers of earlier starts have no
	// effect.
	incarnation uint64
	// index is the index of the last read of the configuration service.
	index uint64
	// backlog holds what arrived during a pause, as a socket buffer does.
	backlog []any
	// since is when the process last started or resumed; tickets have to be in force
	// within a bound after it.
	since time.Duration
}

func (p *process) base() *process { return p }

func newWorld(seed uint64, b protection) *world {
	keys, err := keyring.New([]keyring.Key{
		{
			ID:     1,
			Secret: "00112233445566778899aabbccddeeff",
		},
	})
	if err != nil {
		panic(err)
	}
	w := &world{
		rand:      rand.New(rand.NewPCG(seed, 1)),
		keys:      keys,
		trace:     fnv.New64a(),
		disabled:  b,
		byAddress: map[netip.AddrPort]node{},
	}
	w.oracle = newOracle(w)
	w.net.reset()

	return w
}

// record adds an observation to the trace.
func (w *world) record(kind byte, values ...uint64) {
	var b [8]byte

	if w.verbose {
		fmt.Printf("%12v %c %x\n", w.Now, kind, values)
	}
	w.trace.Write([]byte{kind})
	binary.BigEndian.PutUint64(b[:], uint64(w.Now))
	w.trace.Write(b[:])
	for _, v := range values {
		binary.BigEndian.PutUint64(b[:], v)
		w.trace.Write(b[:])
	}
}

// every runs f at each interval until the process ends or is started again. It leaves
// intervals out while the process is paused.
func (w *world) every(p *process, interval time.Duration, f func()) {
	incarnation := p.incarnation
	w.After(interval, func() {
		if !p.alive || p.incarnation != incarnation {
			return
		}
		if !p.paused {
			f()
		}
		w.every(p, interval, f)
	})
}

// deliver passes a message to the node at an address immediately. A paused process
// gets it at the end of its pause.
func (w *world) deliver(to netip.AddrPort, m any) {
	n, ok := w.byAddress[to]
	if !ok || !n.base().alive {
		return
	}
	p := n.base()
	if p.paused {
		const socketBuffer = 256
		if len(p.backlog) < socketBuffer {
			p.backlog = append(p.backlog, m)
		}

		return
	}
	w.inputs++
	n.handle(m)
}

// pause stops a process for d. After that it handles its backlog before its timers
// run.
func (w *world) pause(p *process, n node, d time.Duration) {
	if !p.alive || p.paused {
		return
	}
	incarnation := p.incarnation
	p.paused = true
	w.After(d, func() {
		if !p.alive || p.incarnation != incarnation {
			return
		}
		p.paused = false
		p.since = w.Now
		backlog := p.backlog
		p.backlog = nil
		for _, m := range backlog {
			w.inputs++
			n.handle(m)
		}
	})
}

// nextIncarnation returns the incarnation of a new start.
func (w *world) nextIncarnation() uint64 {
	w.starts++

	return w.starts
}
