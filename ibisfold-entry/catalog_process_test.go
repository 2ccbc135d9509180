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

// runEntry runs an entry on the loopback address 127.33.26.n until the test ends. Store is
// the URL of the store, seeds the addresses of the entries that are sources.
func runEntry(t *testing.T, n byte, store string, seeds ...netip.AddrPort) *opaqueEntry {
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
		Seeds:    seeds,
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

// gauge returns the value of an entry's metric.
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

// await polls until condition returns true or timeout has passed, and reports whether it did.
func await(timeout time.Duration, condition func() bool) bool {
	end := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}

	return true
}

// setTargets writes the entries of n targets of rufdienst, target-0 and so on.
func setTargets(store *platformtest.Store, n byte) {
	for i := range n {
		store.SetTarget(catalog.Target{
			ID:      fmt.Sprint("target-", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 33, 26, 100 + i}), 8165),
			Zone:    "a",
			Slots:   2,
		}, "rufdienst")
	}
}

// Guards against an entry that starts while the store lacks a living target and never
// learns of that target from a source. Also guards against a list of targets that counts as
// confirmed while the store does not answer, or as unconfirmed in normal operation.
func TestCatalogOfEntries(t *testing.T) {
	const (
		confirmedAge = "ibisfold_catalog_confirmed_age_seconds"
		departed     = "ibisfold_targets_departed"
		// spreadTime is the default of steer.Policy.SpreadTime, in seconds.
		spreadTime = 2.0
	)
	is := is.New(t)
	store := &platformtest.Store{}
	server := httptest.NewServer(store)
	defer server.Close()
	store.SetConfig(1, nil, []string{"rufdienst"})
	setTargets(store, 2)
	seed := netip.MustParseAddrPort("127.33.26.1:8166")
	source := runEntry(t, 1, server.URL, seed)
	is.True(await(3*time.Second, source.ready.Load))
	is.Equal(gauge(t, source, departed), 0.0)
	store.RemoveTarget("target-0")
	is.True(await(3*time.Second, func() bool {
		return gauge(t, source, departed) == 1
	}))

	joined := runEntry(t, 2, server.URL, seed)
	is.True(await(3*time.Second, func() bool {
		return gauge(t, joined, departed) == 1
	}))
	maxAge := 0.0
	await(3*time.Second, func() bool {
		maxAge = max(maxAge, gauge(t, source, confirmedAge), gauge(t, joined, confirmedAge))

		return false
	})
	is.True(maxAge < spreadTime)

	store.SetSilent(true)
	is.True(await(6*time.Second, func() bool {
		return min(gauge(t, source, confirmedAge), gauge(t, joined, confirmedAge)) > spreadTime
	}))
	store.SetSilent(false)
	is.True(await(6*time.Second, func() bool {
		return max(gauge(t, source, confirmedAge), gauge(t, joined, confirmedAge)) < spreadTime
	}))
}
