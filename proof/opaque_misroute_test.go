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
	opaqueMinStrays = 3
)

// opaqueWay is what the oracle knows of the way of a flow's packets.
type opaquePath struct {
	// strays counts the packets that reached other targets since one reached the
	// flow's own, the first of them at since.
	strays int
	since  time.Duration
	// told means that the misrouting was reported.
	reported bool
	// sent is when the first packet was sent that the flow's target has not been
	// reached since; waits is false if there is none.
	sent time.Duration
	due  bool
	// copies are the copies of that packet and of those after it that were not lost with
	// a killed entry, the oldest first.
	copies []opaqueCopy
}

// opaqueSent is a caller's packet on its way.
type opaqueCopy struct {
	at time.Duration
	// entry got the packet from the routers; nil if none was there.
	entry *opaqueEntry
}

func (w *opaqueWorld) path(k segment.Key) *opaquePath {
	if w.paths == nil {
		w.paths = map[segment.Key]*opaquePath{}
	}
	x, ok := w.paths[k]
	if !ok {
		x = &opaquePath{}
		w.paths[k] = x
	}

	return x
}

// sound reports whether the target reacts and its VM has had no unplanned fault lately.
func (w *opaqueWorld) healthy(a *opaqueAgent) bool {
	return a.target.reacts() && (a.impairedUntil == 0 || w.Now > a.impairedUntil+opaqueImpairedTime)
}

// soundHolder returns the VM whose target holds the flow if the flow is open and
// nothing but planned work keeps it from its target.
func (w *opaqueWorld) healthyHolder(k segment.Key) *opaqueAgent {
	c, ok := w.callers[k]
	if !ok {
		return nil
	}
	a := w.holder(c)
	if a == nil || !w.healthy(a) {
		return nil
	}

	return a
}

// arrived notes that a packet of a flow came to a target, whether the target takes
// it or bounces it. SYNs ask for a flow and belong to no target.
func (w *opaqueWorld) recordArrival(a *opaqueAgent, s *segment.Segment) {
	if s.Opens() || a.target.gone || a.target.refusing {
		return
	}
	owner := w.healthyHolder(s.Key)
	x := w.path(s.Key)
	switch owner {
	case nil:
		delete(w.paths, s.Key)
	case a:
		w.recordDelivery(x)
	default:
		w.recordStray(x, s.Key)
	}
}

// reached notes that a packet came to the flow's own target.
func (w *opaqueWorld) recordDelivery(x *opaquePath) {
	w.longestGap = max(w.longestGap, w.undeliveredFor(x))
	*x = opaquePath{}
}

// waited is the time since the oldest copy of a packet that its target has not got.
func (w *opaqueWorld) undeliveredFor(x *opaquePath) time.Duration {
	if len(x.copies) == 0 {
		return 0
	}

	return w.Now - x.copies[0].at
}

// routed notes which entry a caller's packet goes to.
func (w *opaqueWorld) recordRouting(k segment.Key, e *opaqueEntry) {
	if x, ok := w.paths[k]; ok && x.due {
		x.copies = append(x.copies, opaqueCopy{
			at:    w.Now,
			entry: e,
		})
	}
}

// lostWith notes that an entry was killed, and with it the packets that it had. No planned
// stop keeps these from their targets after that.
func (w *opaqueWorld) forgetCopiesAt(e *opaqueEntry) {
	for k, x := range w.paths {
		if w.healthyHolder(k) != nil {
			w.longestGap = max(w.longestGap, w.undeliveredFor(x))
		}
		x.copies = slices.DeleteFunc(x.copies, func(s opaqueCopy) bool {
			return s.entry == e
		})
	}
}

// strayed notes that a packet came to another target.
func (w *opaqueWorld) recordStray(x *opaquePath, k segment.Key) {
	w.strays++
	if x.strays == 0 {
		x.since = w.Now
		since := x.since
		w.After(opaqueStrayTime, func() {
			// Strays of a packet that its target got too say nothing of an idle flow.
			if x.strays > 0 && x.since == since && x.due && x.sent <= since {
				w.checkPath(x, k)
			}
		})
	}
	x.strays++
	w.checkPath(x, k)
}

// judgeWay checks that a flow with strays reached its own target in time. The span
// goes from the first stray to this one, as in the figure of docs/incidents/inc-21.md.
func (w *opaqueWorld) checkPath(x *opaquePath, k segment.Key) {
	if x.reported || x.strays < opaqueMinStrays || w.Now-x.since < opaqueStrayTime || w.paths[k] != x {
		return
	}
	owner := w.healthyHolder(k)
	if owner == nil {
		return
	}
	x.reported = true
	waited := time.Duration(0)
	if x.due {
		waited = w.Now - x.sent
	}
	w.violate("flow %v was misrouted: for %v %d packets reached other targets and none its own at %v, where one is due for %v", k, w.Now-x.since, x.strays, owner.addr, waited)
}

// sentRequest notes that a caller sent a packet of an open flow.
func (w *opaqueWorld) recordRequest(k segment.Key) {
	x := w.path(k)
	if w.healthyHolder(k) == nil || x.due {
		return
	}
	x.sent = w.Now
	x.due = true
}

// longestSilence is the longest time from a packet of a flow to the first that
// reached its target, while nothing but planned work came between them.
func (w *opaqueWorld) longestDeliveryGap() time.Duration {
	longest := w.longestGap
	for k, x := range w.paths {
		if w.healthyHolder(k) != nil {
			longest = max(longest, w.undeliveredFor(x))
		}
	}

	return longest
}

// opaquePatience is the time for a request of a caller that keeps its flow.
const opaquePersistentTimeout = 8 * time.Second

// opaqueCopyTime is the time until a caller repeats a request.
const opaqueRetryTime = 200 * time.Millisecond

// addPatient adds callers that keep their flows: they have opaquePatience for a
// request, and double the time between its copies unless they are steady.
func (w *opaqueWorld) addPersistentCallers(n int, pause time.Duration) []*opaqueCaller {
	list := w.addCallers(n, pause)
	for _, c := range list {
		c.persistent = true
	}

	return list
}

// budget is the caller's time for a request.
func (c *opaqueCaller) timeout() time.Duration {
	if c.persistent {
		return opaquePersistentTimeout
	}

	return opaqueRequestTimeout
}

// copyTime is the time from the last copy of a request to the next.
func (c *opaqueCaller) retryTime() time.Duration {
	if c.persistent && !c.steadyRetries {
		return opaqueRetryTime << (c.copies - 1)
	}

	return opaqueRetryTime
}
