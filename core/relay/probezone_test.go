package relay

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"ibisfold.example/core/segment"
)

// Guards against a probe that reaches other agents, or whose answer goes to another entry, than its
// entry meant, and against a truncated list that is accepted.
func TestProbeZoneRoundTrip(t *testing.T) {
	k := segment.KeyOf(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	entry := netip.MustParseAddrPort("10.0.1.1:7720")
	for _, m := range []Message{
		{
			Kind:   ProbeZone,
			Key:    k,
			Packet: []byte("packet"),
		},
		{
			Kind:     ProbeZone,
			Key:      k,
			Forwards: []netip.AddrPort{netip.MustParseAddrPort("10.0.2.1:7720"), netip.MustParseAddrPort("10.0.2.2:65535")},
			Packet:   []byte("packet"),
		},
		{
			Kind:   ForwardedProbe,
			Key:    k,
			Origin: entry,
			Packet: []byte("packet"),
		},
	} {
		t.Run(fmt.Sprint(m.Kind, len(m.Forwards)), func(t *testing.T) {
			is := is.New(t)
			b := m.Append(nil)
			got := Message{
				Forwards: []netip.AddrPort{entry},
			}
			is.NoErr(got.Decode(b))
			is.Equal(got, m)
			addresses := len(b) - HeaderBytes - len(m.Packet)
			for i := range addresses {
				is.True(errors.Is(got.Decode(b[:HeaderBytes+i]), ErrAddresses))
			}
		})
	}
}

// Guards against a datagram that is fragmented because it names too many agents.
func TestMaxForwardsKeepsDatagramWhole(t *testing.T) {
	for _, size := range []int{0, 132, 1232, 2000} {
		is := is.New(t)
		m := Message{
			Kind:     ProbeZone,
			Forwards: make([]netip.AddrPort, MaxForwards(size)),
			Packet:   make([]byte, size),
		}
		for i := range m.Forwards {
			m.Forwards[i] = netip.MustParseAddrPort("10.0.2.1:7720")
		}
		is.True(len(m.Forwards) == 0 || len(m.Append(nil)) <= maxDatagramBytes)
	}
}
