package consul_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"ibisfold.example/core/consul"
)

func ExampleWatcher_Tickets() {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Consul-Index", "7")
		if r.URL.Query().Has("keys") {
			fmt.Fprint(w, `["ibisfold/tickets/0001"]`)
			return
		}
		fmt.Fprint(w, "Ticket: 1")
	}))
	defer s.Close()

	w := &consul.Watcher{
		Client: &consul.Client{
			URL: s.URL,
		},
	}
	texts, err := w.Tickets(context.Background(), 0)
	fmt.Println(string(texts[0]), err)
	// Output: Ticket: 1 <nil>
}
