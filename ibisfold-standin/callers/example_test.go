package callers_test

import (
	"fmt"
	"net/netip"

	"ibisfold.example/ibisfold-standin/callers"
)

func ExampleArrivals() {
	a := callers.NewArrivals(callers.Load{
		Tenant:  "eisweinruf",
		Service: "rufdienst",
		Address: netip.MustParseAddrPort("127.3.0.1:80"),
		Flows:   1,
		Rate:    100,
	}, 1)
	x, y := a.Next(), a.Next()
	fmt.Println(x.Flow, x.At < y.At)
	// Output: 0 true
}
