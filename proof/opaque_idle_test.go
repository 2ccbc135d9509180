package proof_test

import (
	"testing"
	"time"

	"ibisfold.example/core/conntrack"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
	"ibisfold.example/platform"
)

// opaqueIdle: some flows are idle for longer than opaqueImpairedTime, so that a fault of
// their VM during that time no longer excuses a reset.
const opaqueIdle opaqueKind = "idle"

// opaqueIdlePause is the time between two requests of an idle flow.
const opaqueIdlePause = opaqueImpairedTime + 2*time.Second

// TestOpaqueFuzzIdle guards against faults whose effects show only in flows that were idle
// while the fault lasted. More seeds: IBISFOLD_SEEDS=500.
func TestOpaqueFuzzIdle(t *testing.T) {
	for seed := range seedsOr(opaqueFuzzSeeds) {
		if violations := opaqueFuzz(t, 1000+seed, opaqueAllProtections, opaqueIdle); len(violations) > 0 {
			t.Errorf("seed %d, %s: %d violations, first: %s", 1000+seed, opaqueIdle, len(violations), violations[0])
		}
	}
}

// TestOpaqueOldSilence guards against an agent that takes its target for down, and resets
// all its flows, because an idle target left two packets unanswered long ago and a new
// request makes three. A target is down only if three packets have waited for 300 ms
// (DownTime of conntrack.Policy); here the third has waited for one tick. Found by
// TestOpaqueFuzzIdle, seeds 1030 and 1036.
func TestOpaqueOldSilence(t *testing.T) {
	w := opaqueSite(t, 51, 2)
	w.dedupe = true
	w.addPersistentCallers(12, time.Minute)
	w.Run(time.Second)
	c := w.callers[w.firstOpenFlow()]
	a := w.holder(c)
	a.target.workTime = 2 * conntrack.TickTime
	a.target.silent = true
	a.impair(w.Now)
	for range 2 {
		w.deliverCopy(a, c)
	}
	w.Run(conntrack.TickTime)
	a.target.silent = false
	w.Run(opaqueIdlePause)
	for _, x := range w.callers {
		if w.holder(x) == a {
			x.requestStart = w.Now
			w.request(x)

			break
		}
	}
	w.Run(time.Second)
	w.check()
}

// firstOpenFlow returns the first open flow in the order of keys.
func (w *opaqueWorld) firstOpenFlow() segment.Key {
	for _, k := range segment.SortedKeys(w.callers) {
		if w.holder(w.callers[k]) != nil {
			return k
		}
	}
	w.t.Fatal("no flow is open")

	return segment.Key{}
}

// deliverCopy delivers a late copy of the caller's last request to an agent, from the
// first entry.
func (w *opaqueWorld) deliverCopy(a *opaqueAgent, c *opaqueCaller) {
	m := relay.Message{
		Kind: relay.Deliver,
		Key:  c.key,
		Packet: platform.AppendPacket(nil, &segment.Segment{
			Key:   c.key,
			Flags: segment.ACK,
			Seq:   c.seq - opaqueRequestBytes,
			Ack:   c.ack,
		}, make([]byte, opaqueRequestBytes)),
	}
	w.deliverToAgent(a, w.entries[0].addr, m.Append(nil))
}
