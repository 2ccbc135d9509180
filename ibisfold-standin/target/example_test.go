package target_test

import (
	"fmt"
	"net/netip"

	"ibisfold.example/core/packet"
	"ibisfold.example/ibisfold-standin/target"
)

func ExampleModel() {
	m := target.NewModel(target.Options{
		Name:  "rufdienst-1",
		Slots: 2,
	})
	agent := netip.MustParseAddrPort("127.1.1.11:7100")
	m.Receive(0, agent, &packet.Packet{
		Kind:    packet.Request,
		Flow:    1,
		Request: 1,
	})
	end, _ := m.Next()
	for _, r := range m.Due(end) {
		fmt.Println(r.Packet.Kind, r.Packet.Flow, r.Packet.Request)
	}
	// Output: answer 1 1
}
