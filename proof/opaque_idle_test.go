package proof_test

import (
	"testing"
	"time"

	"ibisfold.example/core/conntrack"
	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
	"ibisfold.example/platform"
)

// opaqueIdle: some flows are idle for longer than a fault of their VM is an excuse.
const opaqueIdle opaqueKind = "idle"

// opaqueIdlePause is the time between two requests of an idle flow.
const opaqueIdlePause = opaqueImpairedTime + 2*time.Second

// Guards against faults that show only in flows that were idle while they passed. More
// seeds: IBISFOLD_SEEDS=500.
func TestOpaqueFuzzIdle(t *testing.T) {
	for seed := range seedsOr(opaqueFuzzSeeds) {
		if broken := opaqueFuzz(t, 1000+seed, opaqueAllProtections, opaqueIdle); len(broken) > 0 {
			t.Errorf("seed %d, %s: %d broken, first: %s", 1000+seed, opaqueIdle, len(broken), broken[0])
		}
	}
}

// Guards against an agent that takes a target for down, and resets all its flows,
// because of two packets that were lost long ago on an idle target: the next request
// makes three. The evidence is that three packets waited for 300 ms (DownTime of
// conntrack.Policy); here the third waits for a tick. Found by TestOpaqueFuzzIdle,
// seeds 1030 and 1036.
func TestOpaqueOldSilence(t *testing.T) {
	w := opaqueSite(t, 51, 2)
	w.dedupe = true
	w.addPersistentCallers(12, time.Minute)
	w.Run(time.Second)
	c := w.callers[w.anyFlow()]
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

// anyFlow returns the first open flow.
func (w *opaqueWorld) anyFlow() segment.Key {
	for _, k := range segment.SortedKeys(w.callers) {
		if w.holder(w.callers[k]) != nil {
			return k
		}
	}
	w.t.Fatal("no flow is open")

	return segment.Key{}
}

// deliverCopy passes a late copy of the caller's last request to an agent, from the
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
