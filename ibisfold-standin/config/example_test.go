package config_test

import (
	"context"
	"fmt"
	"net/http/httptest"

	"ibisfold.example/core/consul"
	"ibisfold.example/ibisfold-standin/config"
)

func ExampleServer() {
	s := &config.Server{
		Store: &config.Store{},
		VMs:   &config.VMs{},
	}
	h := httptest.NewServer(s.Handler())
	defer h.Close()

	_ = s.Store.Publish(config.Prefix+"0001", []byte("Ticket: 1"))
	texts, err := consul.NewSource(h.URL).Tickets(context.Background(), 0)
	fmt.Println(string(texts[0]), err)
	// Output: Ticket: 1 <nil>
}
