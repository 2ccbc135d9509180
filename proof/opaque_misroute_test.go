package proof_test

import (
	"slices"
	"time"

	"ibisfold.example/core/segment"
)

const (
	// A flow is misrouted if at least opaqueMinStrays of its packets reach other targets,
	// and none its own, over opaqueStrayTime or longer.
	opaqueStrayTime = 2 * time.Second
	opaqueMinStrays = 3
)

// opaquePath is what the oracle knows about the delivery of a flow's packets.
type opaquePath struct {
	// strays counts the packets that have reached other targets since one last reached
	// the flow's own target. The first stray arrived at since.
	strays int
	since  time.Duration
	// reported means that the misrouting was reported as a violation.
	reported bool
	// sent is when the first request was sent since a packet last reached the flow's
	// target; due is false if there was none.
	sent time.Duration
	due  bool
	// copies are the copies of that request and of later ones, oldest first, without those
	// that were lost with a killed entry.
	copies []opaqueCopy
}

// opaqueCopy is a caller's packet that has not reached its target.
type opaqueCopy struct {
	at time.Duration
	// entry is the entry that the routers chose; nil if none was in rotation.
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

// healthy reports whether the target reacts and its VM has had no unplanned fault within
// opaqueImpairedTime.
func (w *opaqueWorld) healthy(a *opaqueAgent) bool {
	return a.target.reacts() && (a.impairedUntil == 0 || w.Now > a.impairedUntil+opaqueImpairedTime)
}

// healthyHolder returns the VM whose target holds the flow, or nil if the flow is not open
// or the VM is not healthy.
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

// recordArrival records that a packet of a flow came to a target, whether the target
// accepts or bounces it. It ignores SYNs, which belong to no target yet.
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

// recordDelivery records that a packet reached the flow's own target.
func (w *opaqueWorld) recordDelivery(x *opaquePath) {
	w.longestGap = max(w.longestGap, w.undeliveredFor(x))
	*x = opaquePath{}
}

// undeliveredFor returns the time since the oldest copy of a packet that has not reached
// its target.
func (w *opaqueWorld) undeliveredFor(x *opaquePath) time.Duration {
	if len(x.copies) == 0 {
		return 0
	}

	return w.Now - x.copies[0].at
}

// recordRouting records which entry a caller's packet goes to.
func (w *opaqueWorld) recordRouting(k segment.Key, e *opaqueEntry) {
	if x, ok := w.paths[k]; ok && x.due {
		x.copies = append(x.copies, opaqueCopy{
			at:    w.Now,
			entry: e,
		})
	}
}

// forgetCopiesAt records that an entry was killed and that the packets which it had are
// lost. From now on they do not count as undelivered, since no planned stop delays them.
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

// recordStray records that a packet came to another target than the flow's own.
func (w *opaqueWorld) recordStray(x *opaquePath, k segment.Key) {
	w.strays++
	if x.strays == 0 {
		x.since = w.Now
		since := x.since
		w.After(opaqueStrayTime, func() {
			// The strays of an idle flow may be copies of a packet that its target has got
			// too.
			if x.strays > 0 && x.since == since && x.due && x.sent <= since {
				w.checkPath(x, k)
			}
		})
	}
	x.strays++
	w.checkPath(x, k)
}

// checkPath checks that packets of a flow with strays reached its own target in time. The
// time is counted from the first stray until now, as in docs/incidents/inc-21.md.
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
	w.violate("flow %v was misrouted: for %v, %d packets reached other targets and none reached its own at %v, where one has been due for %v", k, w.Now-x.since, x.strays, owner.addr, waited)
}

// recordRequest records that a caller sent a request on its flow, from when on a packet
// is due at the flow's target.
func (w *opaqueWorld) recordRequest(k segment.Key) {
	x := w.path(k)
	if w.healthyHolder(k) == nil || x.due {
		return
	}
	x.sent = w.Now
	x.due = true
}

// longestDeliveryGap returns the longest time from a caller's packet to the first packet
// of the flow that reached its target, while nothing but planned changes delayed it.
func (w *opaqueWorld) longestDeliveryGap() time.Duration {
	longest := w.longestGap
	for k, x := range w.paths {
		if w.healthyHolder(k) != nil {
			longest = max(longest, w.undeliveredFor(x))
		}
	}

	return longest
}

// opaquePersistentTimeout is how long a persistent caller waits for the answer to a
// request.
const opaquePersistentTimeout = 8 * time.Second

// opaqueRetryTime is the time until a caller first repeats a request.
const opaqueRetryTime = 200 * time.Millisecond

// addPersistentCallers adds callers that keep their flows: they wait for an answer for
// opaquePersistentTimeout, and double the time between copies of a request unless
// steadyRetries is set.
func (w *opaqueWorld) addPersistentCallers(n int, pause time.Duration) []*opaqueCaller {
	list := w.addCallers(n, pause)
	for _, c := range list {
		c.persistent = true
	}

	return list
}

// timeout returns how long the caller waits for the answer to a request.
func (c *opaqueCaller) timeout() time.Duration {
	if c.persistent {
		return opaquePersistentTimeout
	}

	return opaqueRequestTimeout
}

// retryTime returns the time from the last copy of a request to the next.
func (c *opaqueCaller) retryTime() time.Duration {
	if c.persistent && !c.steadyRetries {
		return opaqueRetryTime << (c.copies - 1)
	}

	return opaqueRetryTime
}
