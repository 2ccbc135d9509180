package conntrack

import (
	"cmp"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// maxBacklog bounds the SYNs that are queued at an agent whose target has not answered
	// any request yet.
	maxBacklog = 1024
	// maxWaitTime bounds how long a SYN is queued at an agent. A flow that was placed
	// before its target began to leave has to reach the target within 3 s of that moment,
	// and entries may learn only after 1.5 s that the target is leaving.
	maxWaitTime = time.Second
	// minBacklogPerSlot is the number of SYNs per slot that may be queued however slow the
	// target is.
	minBacklogPerSlot = 2
)

// backlog queues SYNs until the target has capacity for their requests. It is served by
// route priority, then newest first: when all callers return at once after an outage,
// serving them in order of arrival would answer every one of them too late, whereas the
// newest can still be answered in time.
type backlog struct {
	// opens is sorted by ascending urgency; of equally urgent SYNs the newest comes last.
	opens []waitingOpen
}

// waitingOpen is the queued SYN of a flow.
type waitingOpen struct {
	message EntryMessage
	// firstSYN is when the caller sent the first SYN of the flow. deadline is when the
	// wait ends: the caller gives up, or maxWaitTime has passed.
	firstSYN time.Duration
	deadline time.Duration
}

// size returns the number of queued flows.
func (b *backlog) size() int {
	return len(b.opens)
}

// put queues a SYN. A retransmitted SYN of a queued flow only updates the entry to answer.
// It returns whether the flow is new here.
func (b *backlog) put(now time.Duration, m *EntryMessage) bool {
	if i := b.index(m.Message.Key); i >= 0 {
		b.opens[i].message.From = m.From

		return false
	}
	w := waitingOpen{
		message:  *m,
		firstSYN: now - time.Duration(m.Message.Age)*time.Millisecond,
	}
	w.message.Message.Packet = slices.Clone(m.Message.Packet)
	w.deadline = min(w.firstSYN+callerTimeout(&m.Message), now+maxWaitTime)
	i, _ := slices.BinarySearchFunc(b.opens, w, waitingOpen.compare)
	b.opens = slices.Insert(b.opens, i, w)

	return true
}

// compare orders SYNs as in backlog.opens.
func (w waitingOpen) compare(o waitingOpen) int {
	return cmp.Or(
		cmp.Compare(o.message.Message.Priority, w.message.Message.Priority),
		cmp.Compare(w.firstSYN, o.firstSYN),
	)
}

// callerTimeout returns how long after its first SYN the caller gives up.
func callerTimeout(m *relay.Message) time.Duration {
	if m.Timeout == 0 {
		return segment.ConnectTimeout
	}

	return min(segment.ConnectTimeout, time.Duration(m.Timeout)*time.Millisecond)
}

func (b *backlog) index(k segment.Key) int {
	return slices.IndexFunc(b.opens, func(w waitingOpen) bool {
		return w.message.Message.Key == k
	})
}

// remove drops the queued SYN of a flow, if there is one, for example because another
// target has opened the flow.
func (b *backlog) remove(k segment.Key) {
	if i := b.index(k); i >= 0 {
		b.opens = slices.Delete(b.opens, i, i+1)
	}
}

// popMostUrgent removes and returns the most urgent SYN; of equally urgent ones, the one
// sent last.
func (b *backlog) popMostUrgent() (waitingOpen, bool) {
	if len(b.opens) == 0 {
		return waitingOpen{}, false
	}
	last := len(b.opens) - 1
	w := b.opens[last]
	b.opens = b.opens[:last]

	return w, true
}

// drain removes and returns every queued SYN.
func (b *backlog) drain() []waitingOpen {
	list := b.opens
	b.opens = nil

	return list
}

// popLeastUrgent removes and returns the SYN that would be served last. The backlog must
// not be empty.
func (b *backlog) popLeastUrgent() waitingOpen {
	w := b.opens[0]
	b.opens = slices.Delete(b.opens, 0, 1)

	return w
}

// removeExpired removes and returns the SYNs whose deadline has passed.
func (b *backlog) removeExpired(now time.Duration) []waitingOpen {
	list := []waitingOpen{}
	b.opens = slices.DeleteFunc(b.opens, func(w waitingOpen) bool {
		if now < w.deadline {
			return false
		}
		list = append(list, w)

		return true
	})

	return list
}

// hasRoom reports whether the target can soon start the first request of another flow.
// Open flows may keep the target busy indefinitely, so new flows have a reserved share
// (Policy.NewShare).
func (c *Core) hasRoom() bool {
	limit := c.Policy.QueueSlots * float64(c.slots)
	reserved := max(1, c.Policy.NewShare*float64(c.slots))
	expected := len(c.inflight.expected)

	return limit == 0 || float64(c.inflight.inProgress+expected) < limit || float64(c.inflight.firstInProgress+expected) < reserved
}

// backlogLimit returns the number of queued flows that the target can serve before their
// callers give up, if no more arrive. SYNs beyond it are refused at once.
func (c *Core) backlogLimit() int {
	if c.inflight.meanAnswerTime == 0 {
		return maxBacklog
	}
	rate := float64(c.slots) / c.inflight.meanAnswerTime.Seconds()

	return max(minBacklogPerSlot*c.slots, min(maxBacklog, int(rate*segment.ConnectTimeout.Seconds())))
}

// admitWaiting passes queued SYNs to the target while it has room, the most urgent first.
// After a pause of the process it may run before the Tick that removes expired SYNs, so it
// checks the deadline itself.
func (c *Core) admitWaiting(now time.Duration) {
	for c.backlog.size() > 0 && c.serviceConfirmed(now) && c.hasRoom() {
		w, _ := c.backlog.popMostUrgent()
		if now >= w.deadline {
			c.refuse(now, &w.message, relay.ReasonFull)

			continue
		}
		if reason := c.refusalReason(now, &w.message); reason != relay.ReasonNone {
			c.refuse(now, &w.message, reason)

			continue
		}
		c.measure(WaitTime, now-w.firstSYN)
		c.admit(now, &w.message)
	}
}

// refuseAllWaiting refuses all queued SYNs, so that entries place them at other targets.
func (c *Core) refuseAllWaiting(now time.Duration, reason relay.Reason) {
	for _, w := range c.backlog.drain() {
		c.refuse(now, &w.message, reason)
	}
}

// refuseExpired refuses the queued SYNs whose deadline has passed.
func (c *Core) refuseExpired(now time.Duration) {
	for _, w := range c.backlog.removeExpired(now) {
		c.refuse(now, &w.message, relay.ReasonFull)
	}
}
