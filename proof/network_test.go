package proof_test

import (
	"fmt"
	"net/netip"
	"time"

	"ibisfold.example/core/packet"
)

// network is the state of the fabric between processes, callers and the platform.
type network struct {
	delay  time.Duration
	jitter time.Duration
	// loss and duplicate are probabilities for each message.
	loss      float64
	duplicate float64
	// cutZones can't exchange messages with other zones. oneWayZones can receive
	// messages of other zones but not send any. cutPairs lists senders and receivers
	// whose messages are lost.
	cutZones    map[string]bool
	oneWayZones map[string]bool
	cutPairs    map[[2]netip.AddrPort]bool
	// tamper changes some messages of one kind between processes.
	tamper tamper
}

// tamper drops, duplicates or delays messages of one kind.
type tamper struct {
	kind packet.TunnelKind
	// meshTraffic selects all messages between control sides instead of a kind.
	meshTraffic bool
	// mode is "lost", "late" (by 1 s) or "twice".
	mode string
	// left is the number of messages that are still to be changed.
	left int
}

func (t *tamper) matches(m any) bool {
	if t.left == 0 {
		return false
	}
	switch m := m.(type) {
	case meshMessage:
		return t.meshTraffic
	case tunnelMessage:
		return !t.meshTraffic && m.header.Kind == t.kind
	default:
		return false
	}
}

func (n *network) reset() {
	*n = network{
		delay:       5 * time.Millisecond,
		cutZones:    map[string]bool{},
		oneWayZones: map[string]bool{},
		cutPairs:    map[[2]netip.AddrPort]bool{},
	}
}

// partitioned reports whether some processes can't reach each other.
func (n *network) partitioned() bool {
	return len(n.cutZones) > 0 || len(n.oneWayZones) > 0 || len(n.cutPairs) > 0
}

// ticketsBlocked reports whether a fault may keep tickets from some nodes.
func (w *world) ticketsBlocked() bool {
	c := &w.config

	return w.net.partitioned() || c.down || c.shownTickets > 0 || c.truncated
}

// blocked reports whether messages from one process to the other are lost. One-way
// loss drops what leaves a zone but not what enters it.
func (n *network) blocked(from, to *process) bool {
	if from.zone != to.zone && (n.cutZones[from.zone] || n.cutZones[to.zone] || n.oneWayZones[from.zone]) {
		return true
	}

	return n.cutPairs[[2]netip.AddrPort{from.addr, to.addr}]
}

// send carries a message from one process to another, as the network state allows.
func (w *world) send(from *process, to netip.AddrPort, m any) {
	n, ok := w.byAddress[to]
	if t, tunnel := m.(tunnelMessage); tunnel && w.verbose {
		fmt.Printf("%12v t %s to %v: %s %s flow %x request %d status %d\n",
			w.Now, from.name, to, t.header.Kind, t.packet.Kind, t.packet.Flow, t.packet.Request, t.packet.Status)
	}
	if !ok || w.net.blocked(from, n.base()) {
		return
	}
	d := time.Millisecond
	if from.zone != n.base().zone {
		d = w.net.delay
	}
	deliver := func() {
		w.deliver(to, m)
	}
	if !w.net.tamper.matches(m) {
		w.carry(d, deliver)

		return
	}
	w.net.tamper.left--
	switch w.net.tamper.mode {
	case "lost":
	case "late":
		w.After(d+time.Second, deliver)
	case "twice":
		w.After(d, deliver)
		w.After(d+300*time.Millisecond, deliver)
	}
}

// carry runs f, which delivers a message, after d and jitter: not at all if the
// message is lost, twice if it is duplicated.
func (w *world) carry(d time.Duration, f func()) {
	if w.net.loss > 0 && w.rand.Float64() < w.net.loss {
		return
	}
	w.After(d+w.jitter(), f)
	if w.net.duplicate > 0 && w.rand.Float64() < w.net.duplicate {
		w.After(d+w.jitter(), f)
	}
}

func (w *world) jitter() time.Duration {
	if w.net.jitter == 0 {
		return 0
	}

	return time.Duration(w.rand.Int64N(int64(w.net.jitter)))
}
