package relay_test

import (
	"context"
	"fmt"
	"net/netip"

	"ibisfold.example/ibisfold-standin/relay"
)

func ExampleRelay() {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	r, err := relay.New(loopback, netip.MustParseAddrPort("127.0.0.1:7100"))
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	fmt.Println(r.Run(ctx))
	// Output: <nil>
}
