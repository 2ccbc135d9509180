package mesh_test

import (
	"fmt"
	"net/netip"

	"ibisfold.example/core/mesh"
)

func ExampleCore() {
	c := mesh.New(mesh.Options{
		Self: mesh.Node{
			Addr:        netip.MustParseAddrPort("127.1.0.1:7100"),
			Zone:        "iphofen",
			Role:        mesh.RoleEntry,
			Incarnation: 1,
		},
	})
	c.Update(0, mesh.Tick{})
	c.Update(0, mesh.ConfigRead{
		Texts: [][]byte{[]byte("Ticket: 1\nReason: start\nZones:\n  - Name: iphofen\n")},
	})
	fmt.Println(c.State().Highest(), c.Counters().Merged, c.ConfirmedUntil())
	// Output:
	// 1 1 0s
}
