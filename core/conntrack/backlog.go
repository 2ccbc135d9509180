package conntrack

import (
	"cmp"
	"slices"
	"time"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

const (
	// maxBacklog bounds the SYNs that wait at an agent whose target has answered nothing
	// yet.
	maxBacklog = 1024
	// maxWaitTime is the longest wait at an agent. A flow that was placed before its
	// target began to leave has to reach it within 3 s of that; entries may learn of it
	// after 1.5 s.
	maxWaitTime = time.Second
	// leastBacklog is the number of SYNs for each slot that may wait however slow the
	// target is.
	leastBacklog = 2
)

// backlog holds the SYNs that wait until the target has room for their requests.
// After an outage all callers come back at once. In the order of arrival each of them
// would be served too late; the newest first, those that still can be are in time.
// Routes tell which requests are urgent.
type backlog struct {
	// opens is sorted: the most urgent last, of equal ones the latest.
	opens []waitingOpen
}

// waitingOpen is the SYN of a flow that waits.
type waitingOpen struct {
	message EntryMessage
	// began is when the caller sent the first SYN, expires when the wait ends: the caller
	// gives up, or maxWaitTime has passed.
	began   time.Duration
	expires time.Duration
}

// size returns the number of flows that wait.
func (b *backlog) size() int {
	return len(b.opens)
}

// put adds a SYN, or takes note of a copy of one that waits. It returns whether the
// flow is new here.
func (b *backlog) put(now time.Duration, m *EntryMessage) bool {
	if i := b.index(m.Message.Key); i >= 0 {
		b.opens[i].message.From = m.From

		return false
	}
	w := waitingOpen{
		message: *m,
		began:   now - time.Duration(m.Message.Age)*time.Millisecond,
	}
	w.message.Message.Packet = slices.Clone(m.Message.Packet)
	w.expires = min(w.began+patience(&m.Message), now+maxWaitTime)
	i, _ := slices.BinarySearchFunc(b.opens, w, waitingOpen.compare)
	b.opens = slices.Insert(b.opens, i, w)

	return true
}

// compare orders SYNs as backlog keeps them.
func (w waitingOpen) compare(o waitingOpen) int {
	return cmp.Or(
		cmp.Compare(o.message.Message.Priority, w.message.Message.Priority),
		cmp.Compare(w.began, o.began),
	)
}

// patience is how long after its first SYN a caller gives up.
func patience(m *relay.Message) time.Duration {
	if m.Timeout == 0 {
		return segment.OpenTime
	}

	return min(segment.OpenTime, time.Duration(m.Timeout)*time.Millisecond)
}

func (b *backlog) index(k segment.Key) int {
	return slices.IndexFunc(b.opens, func(w waitingOpen) bool {
		return w.message.Message.Key == k
	})
}

// remove forgets a flow whose caller chose another target.
func (b *backlog) remove(k segment.Key) {
	if i := b.index(k); i >= 0 {
		b.opens = slices.Delete(b.opens, i, i+1)
	}
}

// newest takes out the most urgent SYN, of equal ones the one that was sent last.
func (b *backlog) newest() (waitingOpen, bool) {
	if len(b.opens) == 0 {
		return waitingOpen{}, false
	}
	last := len(b.opens) - 1
	w := b.opens[last]
	b.opens = b.opens[:last]

	return w, true
}

// all takes out every SYN.
func (b *backlog) all() []waitingOpen {
	list := b.opens
	b.opens = nil

	return list
}

// last takes out the SYN that would be the last to go. The backlog is not empty.
func (b *backlog) last() waitingOpen {
	w := b.opens[0]
	b.opens = slices.Delete(b.opens, 0, 1)

	return w
}

// expired takes out the SYNs whose wait has ended.
func (b *backlog) expired(now time.Duration) []waitingOpen {
	list := []waitingOpen{}
	b.opens = slices.DeleteFunc(b.opens, func(w waitingOpen) bool {
		if now < w.expires {
			return false
		}
		list = append(list, w)

		return true
	})

	return list
}

// room reports whether the target can begin the first request of another flow soon.
// Flows that are open may keep it busy for ever, so new flows have a share of it.
func (c *Core) room() bool {
	limit := c.Policy.QueueSlots * float64(c.slots)
	share := max(1, c.Policy.NewShare*float64(c.slots))
	expected := len(c.work.expected)

	return limit == 0 || float64(c.work.progress+expected) < limit || float64(c.work.firsts+expected) < share
}

// reachable is the number of waiting flows that the target can get to before their
// callers give up, if no more come. Others are refused at once.
func (c *Core) reachable() int {
	if c.work.mean == 0 {
		return maxBacklog
	}
	rate := float64(c.slots) / c.work.mean.Seconds()

	return max(leastBacklog*c.slots, min(maxBacklog, int(rate*segment.OpenTime.Seconds())))
}

// admitWaiting passes SYNs to the target while it has room, the newest first. After a
// pause of the process it may run before the Tick that takes out those whose wait has
// ended.
func (c *Core) admitWaiting(now time.Duration) {
	for c.backlog.size() > 0 && c.room() {
		w, _ := c.backlog.newest()
		if now >= w.expires {
			c.refuse(now, &w.message, relay.ReasonFull)

			continue
		}
		if reason := c.refusal(now, &w.message); reason != relay.ReasonNone {
			c.refuse(now, &w.message, reason)

			continue
		}
		c.measure(WaitTime, now-w.began)
		c.admit(now, &w.message)
	}
}

// handBack refuses all SYNs that wait, so that they go to other targets.
func (c *Core) handBack(now time.Duration, reason relay.Reason) {
	for _, w := range c.backlog.all() {
		c.refuse(now, &w.message, reason)
	}
}

// expireWaiting refuses the SYNs whose wait has ended.
func (c *Core) expireWaiting(now time.Duration) {
	for _, w := range c.backlog.expired(now) {
		c.refuse(now, &w.message, relay.ReasonFull)
	}
}
