package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/relay"
	"ibisfold.example/core/segment"
)

// newEarlyCore returns an entry that has no catalog yet, and one that has its first catalog.
func newEarlyCore(n int) (early, settled *Core) {
	early = &Core{
		Zone:      "a",
		RelayPort: 7720,
		Random:    rand.New(rand.NewPCG(1, 1)),
	}

	return early, newTestCore(n)
}

// firstCatalog returns the catalog of an entry that has one.
func firstCatalog(settled *Core) CatalogChanged {
	return CatalogChanged{
		Snapshot:  settled.snapshot,
		Confirmed: true,
	}
}

// returnedPacket returns the message with which an agent returns a packet of flow 1.
func returnedPacket(settled *Core, agent int, f segment.Flags) *AgentMessage {
	m := testPacket(1, f)

	return &AgentMessage{
		From: settled.listedOrder[agent],
		Message: relay.Message{
			Kind:   relay.Returned,
			Reason: relay.ReasonNotHeld,
			Key:    m.Segment.Key,
			Packet: m.Packet,
		},
		Segment: m.Segment,
	}
}

// Guards against the end of an entry by any message that comes before its first catalog: an agent
// that stood still returns a packet to the process that replaced its sender (review/13).
func TestMessagesBeforeCatalogDoNotPanic(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 0))
		early, settled := newEarlyCore(5)
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(r.Int64N(int64(30 * time.Millisecond)))
			for _, x := range early.Update(now, anyMessage(settled, r)) {
				if _, ok := x.(Reset); ok {
					t.Fatalf("seed %d: a flow was reset without a catalog", seed)
				}
			}
		}
		early.Update(now, firstCatalog(settled))
		to, _ := synRecipients(early.Update(now+time.Hour, testPacket(9999, segment.SYN)))
		if len(to) != 1 {
			t.Errorf("seed %d: the entry places no flows after its first catalog", seed)
		}
	}
}

// Guards against the loss, or a reset, of a living flow whose packet an agent returns before the
// first catalog: its owner gets the packet as soon as the catalog is there.
func TestPacketReturnedBeforeCatalogReachesOwner(t *testing.T) {
	is := is.New(t)
	early, settled := newEarlyCore(6)
	agents := newTestAgents(settled.listedOrder, relay.NotOwned)
	agents.owner = settled.listedOrder[4]
	agents.replies[agents.owner] = relay.Owned

	agents.update(early, time.Second, returnedPacket(settled, 0, segment.ACK))
	agents.run(early, time.Second+TickTime, time.Second+10*TickTime, false)
	is.Equal(agents.delivered, 0)
	agents.update(early, time.Second+10*TickTime, firstCatalog(settled))
	agents.run(early, time.Second+11*TickTime, 4*time.Second, true)
	is.Equal(agents.delivered, 1)
	is.Equal(agents.resets, 0)
}

// Guards against the use of what an agent said of a flow before the first catalog: it may have
// opened the flow in the meantime, so it is asked again.
func TestDenialBeforeCatalogIsNotKept(t *testing.T) {
	is := is.New(t)
	early, settled := newEarlyCore(3)
	agents := newTestAgents(settled.listedOrder, relay.NotOwned)
	agents.owner = settled.listedOrder[0]
	agents.replies[agents.owner] = relay.Owned

	agents.update(early, time.Second, returnedPacket(settled, 0, segment.ACK))
	agents.update(early, time.Second+TickTime, firstCatalog(settled))
	agents.run(early, time.Second+2*TickTime, 4*time.Second, true)
	is.Equal(agents.delivered, 1)
	is.Equal(agents.resets, 0)
}

// Guards against a packet of an earlier flow that disturbs the flow which its caller opened with the
// same port before the catalog came: it would end the attempts to open that one.
func TestPacketReturnedBeforeCatalogSparesNewFlow(t *testing.T) {
	is := is.New(t)
	early, settled := newEarlyCore(6)
	early.Update(time.Second, testPacket(1, segment.SYN))
	early.Update(time.Second, returnedPacket(settled, 0, segment.ACK))
	to, _ := synRecipients(early.Update(time.Second+TickTime, firstCatalog(settled)))
	is.Equal(len(to), 1)
	is.Equal(len(early.opening), 1)
	is.Equal(len(early.searches), 0)
}

// Guards against an old copy of a SYN that opens a flow for which no caller waits any more. What the
// agent said of its target holds.
func TestSYNReturnedBeforeCatalogIsNotPlaced(t *testing.T) {
	is := is.New(t)
	early, settled := newEarlyCore(6)
	early.Update(time.Second, returnedPacket(settled, 0, segment.SYN))
	is.True(early.avoided(time.Second, early.agent(settled.listedOrder[0])))
	to, _ := synRecipients(early.Update(time.Second+TickTime, firstCatalog(settled)))
	is.Equal(len(to), 0)
}

// Guards against a reset on a confirmation of a list that was not there yet.
func TestConfirmationBeforeCatalogConfirmsNothing(t *testing.T) {
	is := is.New(t)
	early, settled := newEarlyCore(3)
	early.Update(time.Second, CatalogConfirmed{})
	first := firstCatalog(settled)
	first.Confirmed = false
	early.Update(time.Second+TickTime, first)
	is.True(!early.listCurrent(time.Second + TickTime))
	is.True(!early.listState.proof.covers(0))
}

// Guards against the loss of the flow table of an agent that stops before the first catalog: it is
// offered to the agent's next process.
func TestTableBeforeCatalogIsOffered(t *testing.T) {
	is := is.New(t)
	early, settled := newEarlyCore(3)
	agent := settled.listedOrder[0]
	early.Update(time.Second, tableMessage(agent, relay.Handover, tablePart(1, 0, 1, 5)))
	early.Update(time.Second+TickTime, firstCatalog(settled))
	offers := tablesSent(early.Update(time.Second+TickTime+offerInterval, Tick{}), relay.HandoverOffer)
	is.Equal(len(offers), 1)
}

// Guards against callers that wait for their own retransmission because the packets that were held
// for the first catalog are all too old: the store was silent for a second, and a thousand packets
// came before the present ones.
func TestEarlyPacketsReplaceOldOnes(t *testing.T) {
	is := is.New(t)
	early, settled := newEarlyCore(6)
	for i := range maxEarly {
		early.Update(0, testPacket(i, segment.SYN))
	}
	early.Update(time.Second, testPacket(maxEarly, segment.SYN))
	to, _ := synRecipients(early.Update(time.Second+TickTime, firstCatalog(settled)))
	is.Equal(len(to), 1)
}
