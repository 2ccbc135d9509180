package main

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/platform/platformtest"
)

// Guards against entries of the system that end, stop following the list of targets, or turn
// from their source to the store, because another writer left odd entries among those of the
// targets: deeply nested, with numbers too large, or with a port out of range.
func TestOddEntriesAmongTargets(t *testing.T) {
	const departed = "ibisfold_targets_departed"
	is := is.New(t)
	store := &platformtest.Store{}
	server := httptest.NewServer(store)
	defer server.Close()
	store.SetConfig(1, nil, []string{"rufdienst"})
	setTargets(store, 3)
	source := runEntry(t, 11, server.URL, netip.MustParseAddrPort("127.33.26.11:8166"))
	is.True(await(3*time.Second, source.ready.Load))
	follower := runEntry(t, 12, server.URL, netip.MustParseAddrPort("127.33.26.11:8166"))
	is.True(await(3*time.Second, follower.ready.Load))
	time.Sleep(time.Second)
	storeCalls := follower.storeCalls.Get()

	entry := `{"Service":"rufdienst","Address":%s,"Zone":"a","Version":"v1","Slots":%s,"State":"ready","ColdLeftMs":%s,"SeqNo":1,"born":%s}`
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for i, values := range [][]any{
		{`"127.33.26.103:0"`, "2", "0", "0"},
		{`"127.33.26.103:65536"`, "2", "0", "0"},
		{`"0.0.0.0:8165"`, "2", "0", "0"},
		{`"127.33.26.103:8165"`, nested, "0", "0"},
		{nested, "2", "0", "0"},
		{`"127.33.26.103:8165"`, "1e400", "1e300", "0"},
		{`"127.33.26.100:8165"`, "2", "0", "9223372036854775807"},
	} {
		store.SetEntry(fmt.Sprint("odd-", i), fmt.Appendf(nil, entry, values...))
	}
	time.Sleep(2 * time.Second)
	store.RemoveTarget("target-1")
	is.True(await(5*time.Second, func() bool {
		return gauge(t, source, departed) == 1 && gauge(t, follower, departed) == 1
	}))
	// One that starts among the odd entries has the same targets.
	joined := runEntry(t, 13, server.URL, netip.MustParseAddrPort("127.33.26.11:8166"))
	is.True(await(3*time.Second, joined.ready.Load))
	for _, p := range []*opaqueEntry{source, follower, joined} {
		ids := make(chan string, 1)
		p.Post(func() {
			list := []string{}
			for _, m := range p.published.Groups[catalog.ServiceID("rufdienst")] {
				list = append(list, m.ID)
			}
			ids <- strings.Join(list, " ")
		})
		is.Equal(<-ids, "target-0 target-2")
	}
	is.Equal(follower.storeCalls.Get(), storeCalls)
}
