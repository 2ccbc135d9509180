package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/opaque"
	"ibisfold.example/platform"
	"ibisfold.example/platform/platformtest"
)

// runEntry runs an entry on a loopback address until the test ends.
func runEntry(t *testing.T, n byte, store string, seed netip.AddrPort) *opaqueEntry {
	t.Helper()
	ip := netip.AddrFrom4([4]byte{127, 33, 26, n})
	policies, err := opaque.LoadPolicies("")
	if err != nil {
		t.Fatal(err)
	}
	p, err := newOpaqueEntry(&platform.Settings{
		Name:     fmt.Sprint("entry-", n),
		Zone:     "a",
		Packets:  netip.AddrPortFrom(ip, 8172),
		Ready:    netip.AddrPortFrom(ip, 8167),
		Relay:    netip.AddrPortFrom(ip, 7720),
		Metrics:  netip.AddrPortFrom(ip, 7721),
		Store:    netip.MustParseAddrPort(strings.TrimPrefix(store, "http://")),
		Control:  netip.AddrPortFrom(ip, 8166),
		Seeds:    []netip.AddrPort{seed},
		LinkRate: 125_000_000,
	}, policies)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- p.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})

	return p
}

// gauge returns the value of a metric of an entry.
func gauge(t *testing.T, p *opaqueEntry, name string) float64 {
	t.Helper()
	b := bytes.Buffer{}
	p.Metrics.WritePrometheus(&b)
	for line := range strings.Lines(b.String()) {
		if text, ok := strings.CutPrefix(line, name+" "); ok {
			f, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err != nil {
				t.Fatal(err)
			}

			return f
		}
	}
	t.Fatal(name + " is missing")

	return 0
}

// await waits until a condition holds, at most for limit.
func await(limit time.Duration, holds func() bool) bool {
	end := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}

	return true
}

// Guards against an entry that starts while the entry of a living target is missing and
// never hears of it, and against one whose list counts as confirmed while the store is
// silent, or does not in normal operation.
func TestCatalogOfEntries(t *testing.T) {
	const (
		confirmedAge = "ibisfold_catalog_confirmed_age_seconds"
		departed     = "ibisfold_targets_departed"
		// spreadTime is steer.Policy.SpreadTime.
		spreadTime = 2.0
	)
	is := is.New(t)
	store := &platformtest.Store{}
	server := httptest.NewServer(store)
	defer server.Close()
	store.SetConfig(1, nil, []string{"rufdienst"})
	for i := range byte(2) {
		store.SetTarget(catalog.Target{
			ID:      fmt.Sprint("target-", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 33, 26, 100 + i}), 8165),
			Zone:    "a",
			Slots:   2,
		}, "rufdienst")
	}
	seed := netip.MustParseAddrPort("127.33.26.1:8166")
	source := runEntry(t, 1, server.URL, seed)
	is.True(await(3*time.Second, source.ready.Load))
	is.Equal(gauge(t, source, departed), 0.0)
	store.RemoveTarget("target-0")
	is.True(await(3*time.Second, func() bool {
		return gauge(t, source, departed) == 1
	}))

	late := runEntry(t, 2, server.URL, seed)
	is.True(await(3*time.Second, func() bool {
		return gauge(t, late, departed) == 1
	}))
	most := 0.0
	await(3*time.Second, func() bool {
		most = max(most, gauge(t, source, confirmedAge), gauge(t, late, confirmedAge))

		return false
	})
	is.True(most < spreadTime)

	store.SetSilent(true)
	is.True(await(6*time.Second, func() bool {
		return min(gauge(t, source, confirmedAge), gauge(t, late, confirmedAge)) > spreadTime
	}))
	store.SetSilent(false)
	is.True(await(6*time.Second, func() bool {
		return max(gauge(t, source, confirmedAge), gauge(t, late, confirmedAge)) < spreadTime
	}))
}
