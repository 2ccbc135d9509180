package load

import (
	"context"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/settings"
	"ibisfold.example/core/ticket"
	"ibisfold.example/ibisfold-standin/relay"
)

// TestRelayForwardsLoad guards against a relay that drops or changes packets of the load, which
// would make the measured ratio meaningless.
func TestRelayForwardsLoad(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	s, err := newSink(loopback)
	is.NoErr(err)
	defer s.conn.Close()
	r, err := relay.New(loopback, s.addr())
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()

	a := &addrs{agent: s.addr()}
	packets, err := a.packets(3, 1)
	is.NoErr(err)
	_, err = measureRate(ctx, s, r.Addr(), packets, time.Minute, batchSize)
	is.NoErr(err)
	for s.count.Load() < senders*batchSize {
		time.Sleep(time.Millisecond)
	}
	stop()
	is.NoErr(<-done)
}

// TestSite guards against generated settings or tickets that the entry under test rejects.
func TestSite(t *testing.T) {
	is := is.New(t)
	a, err := freeAddrs()
	is.NoErr(err)
	a.agent = netip.MustParseAddrPort("127.0.0.1:7100")
	path, err := a.writeSettings(t.TempDir())
	is.NoErr(err)
	b, err := os.ReadFile(path)
	is.NoErr(err)
	e := settings.Entry{}
	is.NoErr(settings.Parse(b, &e))
	is.Equal(e.Callers, a.callers)
	_, err = ticket.Parse([]byte(a.ticket()))
	is.NoErr(err)
}
