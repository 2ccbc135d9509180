package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"ibisfold.example/core/keyring"
	"ibisfold.example/core/peer"
)

func ExampleCall() {
	keys, _ := keyring.New([]keyring.Key{{
		ID:     1,
		Secret: "00112233445566778899aabbccddeeff",
	}})
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	s := peer.NewServer(l, keys)
	s.Register("Greet", func(_ context.Context, params json.RawMessage) (any, error) {
		return "hello " + string(params), nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()

	answer := ""
	err := peer.Call(ctx, l.Addr().(*net.TCPAddr).AddrPort(), keys, "Greet", 7, &answer)
	fmt.Println(answer, err)
	cancel()
	fmt.Println(<-done)
	// Output:
	// hello 7 <nil>
	// <nil>
}
