package udp_test

import (
	"fmt"
	"net/netip"
	"time"

	"ibisfold.example/core/udp"
)

func Example() {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	a, _ := udp.Listen(local)
	b, _ := udp.Listen(local)
	defer a.Close()
	defer b.Close()

	w := a.NewWriter()
	w.Add(append(w.Next(), "hello"...), b.Addr())
	w.Flush()
	r := b.NewReader()
	n, err := r.Read(time.Time{})
	data, from := r.Packet(0)
	fmt.Println(n, err, string(data), from == a.Addr())
	// Output: 1 <nil> hello true
}
