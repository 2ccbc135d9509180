package proof_test

import (
	"slices"
	"time"

	"ibisfold.example/core/segment"
)

const (
	// opaqueStrayTime is how long packets of an open flow may reach other targets
	// and none its own, and opaqueStrays how many of them count.
	opaqueStrayTime = 2 * time.Second
	opaqueStrays    = 3
)

// opaqueWay is what the oracle knows of the way of a flow's packets.
type opaqueWay struct {
	// strays counts the packets that reached other targets since one reached the
	// flow's own, the first of them at since.
	strays int
	since  time.Duration
	// told means that the misrouting was reported.
	told bool
	// sent is when the first packet was sent that the flow's target has not been
	// reached since; waits is false if there is none.
	sent  time.Duration
	waits bool
	// copies are the copies of that packet and of those after it that were not lost with
	// a killed entry, the oldest first.
	copies []opaqueSent
}

// opaqueSent is a caller's packet on its way.
type opaqueSent struct {
	at time.Duration
	// entry got the packet from the routers; nil if none was there.
	entry *opaqueEntry
}

func (w *opaqueWorld) way(k segment.Key) *opaqueWay {
	if w.ways == nil {
		w.ways = map[segment.Key]*opaqueWay{}
	}
	x, ok := w.ways[k]
	if !ok {
		x = &opaqueWay{}
		w.ways[k] = x
	}

	return x
}

// sound reports whether the target reacts and its VM has had no unplanned fault lately.
func (w *opaqueWorld) sound(a *opaqueAgent) bool {
	return a.target.reacts() && (a.cutEnd == 0 || w.Now > a.cutEnd+opaqueTouch)
}

// soundHolder returns the VM whose target holds the flow if the flow is open and
// nothing but planned work keeps it from its target.
func (w *opaqueWorld) soundHolder(k segment.Key) *opaqueAgent {
	c, ok := w.callers[k]
	if !ok {
		return nil
	}
	a := w.holder(c)
	if a == nil || !w.sound(a) {
		return nil
	}

	return a
}

// arrived notes that a packet of a flow came to a target, whether the target takes
// it or bounces it. SYNs ask for a flow and belong to no target.
func (w *opaqueWorld) arrived(a *opaqueAgent, s *segment.Segment) {
	if s.Opens() || a.target.gone || a.target.refusing {
		return
	}
	owner := w.soundHolder(s.Key)
	x := w.way(s.Key)
	switch owner {
	case nil:
		delete(w.ways, s.Key)
	case a:
		w.reached(x)
	default:
		w.strayed(x, s.Key)
	}
}

// reached notes that a packet came to the flow's own target.
func (w *opaqueWorld) reached(x *opaqueWay) {
	w.silence = max(w.silence, w.waited(x))
	*x = opaqueWay{}
}

// waited is the time since the oldest copy of a packet that its target has not got.
func (w *opaqueWorld) waited(x *opaqueWay) time.Duration {
	if len(x.copies) == 0 {
		return 0
	}

	return w.Now - x.copies[0].at
}

// routed notes which entry a caller's packet goes to.
func (w *opaqueWorld) routed(k segment.Key, e *opaqueEntry) {
	if x, ok := w.ways[k]; ok && x.waits {
		x.copies = append(x.copies, opaqueSent{
			at:    w.Now,
			entry: e,
		})
	}
}

// lostWith notes that an entry was killed, and with it the packets that it had. No planned
// stop keeps these from their targets after that.
func (w *opaqueWorld) lostWith(e *opaqueEntry) {
	for k, x := range w.ways {
		if w.soundHolder(k) != nil {
			w.silence = max(w.silence, w.waited(x))
		}
		x.copies = slices.DeleteFunc(x.copies, func(s opaqueSent) bool {
			return s.entry == e
		})
	}
}

// strayed notes that a packet came to another target.
func (w *opaqueWorld) strayed(x *opaqueWay, k segment.Key) {
	w.strays++
	if x.strays == 0 {
		x.since = w.Now
		since := x.since
		w.After(opaqueStrayTime, func() {
			// Strays of a packet that its target got too say nothing of an idle flow.
			if x.strays > 0 && x.since == since && x.waits && x.sent <= since {
				w.judgeWay(x, k)
			}
		})
	}
	x.strays++
	w.judgeWay(x, k)
}

// judgeWay checks that a flow with strays reached its own target in time. The span
// goes from the first stray to this one, as in the figure of docs/incidents/inc-21.md.
func (w *opaqueWorld) judgeWay(x *opaqueWay, k segment.Key) {
	if x.told || x.strays < opaqueStrays || w.Now-x.since < opaqueStrayTime || w.ways[k] != x {
		return
	}
	owner := w.soundHolder(k)
	if owner == nil {
		return
	}
	x.told = true
	waited := time.Duration(0)
	if x.waits {
		waited = w.Now - x.sent
	}
	w.breaks("flow %v was misrouted: for %v %d packets reached other targets and none its own at %v, where one is due for %v", k, w.Now-x.since, x.strays, owner.addr, waited)
}

// sentRequest notes that a caller sent a packet of an open flow.
func (w *opaqueWorld) sentRequest(k segment.Key) {
	x := w.way(k)
	if w.soundHolder(k) == nil || x.waits {
		return
	}
	x.sent = w.Now
	x.waits = true
}

// longestSilence is the longest time from a packet of a flow to the first that
// reached its target, while nothing but planned work came between them.
func (w *opaqueWorld) longestSilence() time.Duration {
	longest := w.silence
	for k, x := range w.ways {
		if w.soundHolder(k) != nil {
			longest = max(longest, w.waited(x))
		}
	}

	return longest
}

// opaquePatience is the time for a request of a caller that keeps its flow.
const opaquePatience = 8 * time.Second

// opaqueCopyTime is the time until a caller repeats a request.
const opaqueCopyTime = 200 * time.Millisecond

// addPatient adds callers that keep their flows: they have opaquePatience for a
// request, and double the time between its copies unless they are steady.
func (w *opaqueWorld) addPatient(n int, pause time.Duration) []*opaqueCaller {
	list := w.addCallers(n, pause)
	for _, c := range list {
		c.patient = true
	}

	return list
}

// budget is the caller's time for a request.
func (c *opaqueCaller) budget() time.Duration {
	if c.patient {
		return opaquePatience
	}

	return opaqueBudget
}

// copyTime is the time from the last copy of a request to the next.
func (c *opaqueCaller) copyTime() time.Duration {
	if c.patient && !c.steady {
		return opaqueCopyTime << (c.copies - 1)
	}

	return opaqueCopyTime
}
