package mesh_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/mesh/meshtest"
)

// TestZoneOutUnderLoss guards against a zone-out ticket that some of 740 nodes
// have not merged 3 s after it reached a reader, with 30% loss.
func TestZoneOutUnderLoss(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 3, 740)
	w.Loss = 0.3
	w.Run(5 * time.Second)
	out := text(2, "iphofen", 0)
	w.WatchFor(version(out))
	w.Config.Set(w, text(1, "", 0), out)
	is.True(w.RunUntil(3*time.Second, func() bool { return w.Missing == 0 }))
}

// TestReorderAndDuplicates guards against states that depend on the order in
// which tickets arrive.
func TestReorderAndDuplicates(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 4, 12)
	w.Loss = 0.2
	w.Duplicate = 0.5
	defaultDelay := w.Delay
	w.Delay = func(a, b *meshtest.Node) time.Duration { return defaultDelay(a, b) * 20 }
	texts := [][]byte{}
	for i := 40; i > 1; i-- {
		texts = append(texts, text(i, "", i%7*20))
	}
	w.Config.Set(w, texts...)
	is.True(w.RunUntil(3*time.Minute, reached(w, 40)))
}

// TestPartition guards against nodes that stop serving during a partition, and
// against sides that don't find each other after it.
func TestPartition(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 5, 30)
	w.Blocked = func(a, b *meshtest.Node) bool { return (a.Region == 0) != (b.Region == 0) }
	w.Config.Down = true
	w.Run(time.Hour)
	is.Equal(confirmed(w), 30)

	w.Update(w.Nodes[0], mesh.ConfigRead{
		Texts: [][]byte{text(2, "iphofen", 0)},
	})
	w.Update(w.Nodes[1], mesh.ConfigRead{
		Texts: [][]byte{text(3, "", 0)},
	})
	w.Run(20 * time.Second)
	is.True(!w.Converged())
	w.Blocked = func(*meshtest.Node, *meshtest.Node) bool { return false }
	is.True(w.RunUntil(20*time.Second, reached(w, 3)))
}

// TestRollback guards against tickets that cease to be in force because the
// configuration service has lost them.
func TestRollback(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 6, 12)
	w.Config.Set(w, text(1, "", 0), text(2, "iphofen", 0))
	is.True(w.RunUntil(3*time.Second, reached(w, 2)))
	w.Config.Set(w, text(1, "", 0))
	w.Run(2 * time.Minute)
	is.True(w.Converged())
	is.Equal(w.Nodes[0].Core.State().Highest(), uint64(2))
}

// TestJoinWithoutConfig guards against a restarted node that needs the
// configuration service, or that counts as confirmed before it has the state.
func TestJoinWithoutConfig(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 7, 12)
	texts := [][]byte{}
	for i := 1; i <= 200; i++ {
		texts = append(texts, text(i, "", 0))
	}
	texts = append(texts, text(201, "", 300))
	w.Config.Set(w, texts...)
	is.True(w.RunUntil(5*time.Minute, reached(w, 201)))
	w.Config.Down = true
	w.Run(time.Minute)

	v := w.Nodes[11]
	w.Start(v, w.Nodes[0].Self.Addr)
	w.RunUntil(3*time.Minute, func() bool {
		is.True(v.Core.ConfirmedUntil() == 0 || w.Converged())

		return w.Converged()
	})
	is.True(w.Converged())
	w.Run(3 * time.Second)
	is.Equal(confirmed(w), 12)
}

// TestPause guards against a paused node that acts on its old view, and against
// one that never recovers.
func TestPause(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 8, 12)
	v := w.Nodes[5]
	v.Paused = true
	out := text(2, "iphofen", 0)
	w.Config.Set(w, text(1, "", 0), out)
	w.Run(5 * time.Minute)
	v.Paused = false

	for v.Core.ConfirmedUntil() <= w.Now {
		w.Run(10 * time.Millisecond)
		is.True(w.Now < time.Hour)
	}
	is.True(v.Core.State().Held(version(out)) != nil)
	is.Equal(v.Core.Counters().Pauses, uint64(1))
	w.Run(time.Second)
	is.Equal(confirmed(w), 12)
}

// TestPausedTogether guards against paused nodes that confirm each other's old
// views: 9 of 12 nodes resume at once and must merge the new ticket before they
// count as confirmed.
func TestPausedTogether(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 9, 12)
	for _, v := range w.Nodes[:9] {
		v.Paused = true
	}
	out := text(2, "iphofen", 0)
	w.Config.Set(w, text(1, "", 0), out)
	w.Run(time.Minute)
	for _, v := range w.Nodes[:9] {
		v.Paused = false
	}
	for range 400 {
		w.Run(10 * time.Millisecond)
		for _, v := range w.Nodes {
			is.True(v.Core.ConfirmedUntil() <= w.Now || v.Core.State().Held(version(out)) != nil)
		}
	}
	is.Equal(confirmed(w), 12)
}

// TestIsolatedNode guards against a node that stops serving because it reaches
// no peer.
func TestIsolatedNode(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 10, 12)
	v := w.Nodes[4]
	before := v.Core.Counters().CutOffs
	w.Blocked = func(a, b *meshtest.Node) bool { return a == v || b == v }
	w.Run(3 * time.Second)
	is.Equal(v.Core.ConfirmedUntil(), time.Duration(0))
	w.Run(4 * time.Second)
	is.True(v.Core.ConfirmedUntil() > w.Now)
	is.Equal(v.Core.Counters().CutOffs, before+1)
}

// TestReaders guards against zones without readers and against zones where more
// nodes read: there are 3 readers per zone, also after the readers of a zone
// died.
func TestReaders(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 11, 120)
	w.Run(time.Minute)
	readers := func() []*meshtest.Node {
		r := []*meshtest.Node{}
		for _, v := range w.Nodes {
			if !v.Down && v.Core.Reader() {
				r = append(r, v)
			}
		}

		return r
	}
	is.Equal(len(readers()), 9)
	is.True(w.Config.Waiting() <= 12) // a former reader's query ends later
	for _, v := range readers() {
		v.Down = v.Region == 0
	}
	w.Run(2 * time.Minute)
	is.Equal(len(readers()), 9)
}

// TestInvalidTicket guards against a ticket that no node can accept and that is
// parsed, fetched or spread again and again.
func TestInvalidTicket(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 12, 6)
	w.Config.Set(w, text(1, "", 0), []byte("Ticket: 0\n"))
	w.Run(5 * time.Minute)
	for _, v := range w.Nodes {
		is.True(v.Core.Counters().InvalidTicket <= 1)
		is.Equal(v.Core.State().Highest(), uint64(1))
	}
}

// TestSuspicions guards against suspicions that don't spread, that an answer
// from a newer incarnation doesn't withdraw, or that never expire.
func TestSuspicions(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 13, 60)
	count := func(target, incarnation uint64) int {
		k := 0
		for _, v := range w.Nodes {
			if v.Core.Suspects()[target] == incarnation {
				k++
			}
		}

		return k
	}
	for i := range uint64(20) {
		w.Update(w.Nodes[i], mesh.LocalSuspect{
			Target:      100 + i,
			Incarnation: 7,
		})
	}
	w.Run(15 * time.Second)
	for i := range uint64(20) {
		is.Equal(count(100+i, 7), 60)
	}
	w.Update(w.Nodes[30], mesh.LocalAlive{
		Target:      100,
		Incarnation: 8,
	})
	w.Run(15 * time.Second)
	is.Equal(count(100, 7), 0)
	is.Equal(count(101, 7), 60)
	w.Run(11 * time.Minute)
	is.Equal(count(101, 7), 0)
}

// TestBudget guards against nodes that exceed the byte budget. A node sends at
// most the burst plus the rate over any time. What others send it unrequested
// brings it into debt by at most two seconds of the rate.
func TestBudget(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 14, 30)
	// The first seconds don't count: all nodes contact the seeds at the same time.
	w.Run(time.Minute)
	before := []mesh.Counters{}
	for _, v := range w.Nodes {
		before = append(before, v.Core.Counters())
	}
	start := w.Now
	for i := 2; i < 30; i++ {
		w.Update(w.Nodes[i], mesh.ConfigRead{
			Texts: [][]byte{text(i, "", 300)},
		})
	}
	for range 60 {
		w.Run(time.Second)
		limit := mesh.BudgetBurst + uint64((w.Now-start)/time.Second)*mesh.BudgetRate
		for i, v := range w.Nodes {
			c := v.Core.Counters()
			sent := c.BytesSent - before[i].BytesSent
			is.True(sent <= limit)
			is.True(sent+c.BytesReceived-before[i].BytesReceived <= limit+2*mesh.BudgetRate)
		}
	}
}

// TestDeterminism guards against decisions that depend on map order.
func TestDeterminism(t *testing.T) {
	is := is.New(t)
	run := func() []mesh.Counters {
		w := convergedCluster(t, 15, 20)
		w.Loss = 0.2
		w.Config.Set(w, text(1, "", 0), text(2, "", 300), text(3, "", 0))
		w.Run(30 * time.Second)
		all := []mesh.Counters{}
		for _, v := range w.Nodes {
			all = append(all, v.Core.Counters())
		}

		return all
	}
	is.Equal(run(), run())
}

// TestUnsolicitedAck guards against a core that accepts the answer to an
// exchange which it didn't open: a replayed answer must not confirm the view.
func TestUnsolicitedAck(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 16, 3)
	v := w.Nodes[0]
	before := v.Core.Counters().Exchanges
	w.Update(v, mesh.Received{
		From: netip.MustParseAddrPort("10.9.9.9:1"),
		Body: mesh.DigestAck{
			Nonce: 1,
			Status: mesh.Status{
				State:     v.Core.State().Digest(),
				Confirmed: true,
			},
		},
	})
	is.Equal(v.Core.Counters().Exchanges, before)
}

// TestZoneOutDuringTransfer guards against transfers that use up the budget
// which a zone-out ticket needs: it must reach 740 nodes within 3 s with 30%
// loss.
func TestZoneOutDuringTransfer(t *testing.T) {
	is := is.New(t)
	w := convergedCluster(t, 17, 740)
	w.Loss = 0.3
	w.Run(20 * time.Second)
	large := text(2, "", 4000)
	is.True(len(mesh.Compress(large)) > 20000)
	w.Config.Set(w, text(1, "", 0), large)
	w.Run(4 * time.Second)
	out := text(3, "iphofen", 0)
	w.WatchFor(version(out))
	is.True(w.Missing > 0)
	w.Config.Set(w, text(1, "", 0), large, out)
	is.True(w.RunUntil(3*time.Second, func() bool { return w.Missing == 0 }))
}
