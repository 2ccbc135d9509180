package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ibisfold.example/core/entry"
	"ibisfold.example/core/packet"
	"ibisfold.example/core/ticket"
)

// workload is a snapshot and packets for it, in an order that caches cannot
// predict.
type workload struct {
	snapshot *entry.Snapshot
	packets  []packet.Packet
}

const workloadPackets = 8192

func newWorkload(services, targets int, kind packet.Kind) workload {
	l := workload{
		snapshot: entry.Build(newState(services, targets, 9), nil).Renew(second),
		packets:  make([]packet.Packet, workloadPackets),
	}
	for i := range l.packets {
		flow := ticket.ID(fmt.Sprint(i))
		l.packets[i] = packet.Packet{
			Kind:    kind,
			Service: address(int(flow % uint64(services))),
			Flow:    flow,
		}
		if kind == packet.Request {
			l.packets[i].Token = packet.Token{
				Agent:       address(int(flow % uint64(targets))),
				Zone:        ticket.ID(fmt.Sprint("zone-", flow%9)),
				Target:      flow % uint64(targets),
				Incarnation: 1,
			}
		}
	}

	return l
}

func (l workload) run(rounds int) time.Duration {
	begin := time.Now()
	for range rounds {
		for i := range l.packets {
			entry.Decide(l.snapshot, 0, &l.packets[i])
		}
	}

	return time.Since(begin)
}

var benchKinds = []packet.Kind{packet.Open, packet.Request}

// BenchmarkDecide measures the decision for one packet without the MAC, for new
// flows (open) and established ones (request).
func BenchmarkDecide(b *testing.B) {
	for _, k := range benchKinds {
		for _, c := range benchSizes {
			l := newWorkload(c.services, c.targets, k)
			b.Run(fmt.Sprintf("%s/addresses=%d/targets=%d", k, c.services, c.targets), func(b *testing.B) {
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					entry.Decide(l.snapshot, 0, &l.packets[i%workloadPackets])
					i++
				}
			})
		}
	}
}

var benchSizes = []struct{ services, targets int }{
	{1, 10}, {1, 100}, {1, 1000}, {1, 3700}, {100, 1000}, {100, 3700}, {960, 3700},
}

// BenchmarkDecideRatio reports the ratio of the cost with the largest state to
// that with the smallest. Both are measured in turns, so that other load on the
// machine affects both; the ratio is the median of the samples.
func BenchmarkDecideRatio(b *testing.B) {
	const samples = 41

	for _, k := range benchKinds {
		b.Run(k.String(), func(b *testing.B) {
			small := newWorkload(1, 10, k)
			large := newWorkload(960, 3700, k)
			ratios := []float64{}
			for b.Loop() {
				ratios = ratios[:0]
				for range samples {
					s := small.run(4)
					l := large.run(4)
					ratios = append(ratios, float64(l)/float64(s))
				}
			}
			slices.Sort(ratios)
			b.ReportMetric(ratios[samples/2], "large/small")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkToken measures the verification of a token's MAC.
func BenchmarkToken(b *testing.B) {
	keys := newKeys(b)
	k := packet.Token{
		Agent: address(1),
	}
	k.Sign(keys, 3)
	b.ReportAllocs()
	for b.Loop() {
		k.Verify(keys, 3)
	}
}
