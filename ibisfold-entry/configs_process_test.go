package main

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/platform/platformtest"
)

// unusableConfig has a high number and a route to a service that it does not declare.
const unusableConfig = `{"Version":9000000,"Routes":[{"Name":"r","Host":"198.18.0.9","Prefix":"/443/","Service":"other"}],"Services":[]}`

// addRoute writes a version with one route to rufdienst.
func (x *restoreTest) addRoute(version uint64, address string) {
	x.store.SetConfig(version, []platformtest.Route{
		{
			Address: netip.MustParseAddrPort(address),
			Service: "rufdienst",
		},
	}, []string{"rufdienst"})
}

// hasRoute is the condition that a version with a route is in force.
func hasRoute(version uint64, address string) func(*catalog.Snapshot) bool {
	return func(s *catalog.Snapshot) bool {
		_, ok := s.Route(netip.MustParseAddrPort(address))

		return ok && s.Config.Version == version
	}
}

// Guards against entries that lose their routes to a version that can't be used, or that take no
// later one because its number was high.
func TestUnusableConfigChangesNothing(t *testing.T) {
	is := is.New(t)
	x := newRestoreTest(t, 61)
	x.addRoute(5, "198.18.0.1:443")
	x.awaitAll(t, "version 5", hasRoute(5, "198.18.0.1:443"))
	x.store.SetConfigValue([]byte(unusableConfig))
	x.store.SetZoneOut("a", true)
	x.awaitAll(t, "the zone taken out after the unusable version", zoneOut("a"))
	x.awaitAll(t, "the last usable version", hasRoute(5, "198.18.0.1:443"))

	// An entry that starts meanwhile learns it from the source.
	joined := runEntry(t, 63, x.url, x.seed)
	is.True(await(maxChangeTime, func() bool {
		s := publishedBy(joined)

		return s != nil && hasRoute(5, "198.18.0.1:443")(s)
	}))
	x.addRoute(6, "198.18.0.2:443")
	x.store.SetConfigValue([]byte(unusableConfig))
	x.addRoute(7, "198.18.0.3:443")
	x.awaitAll(t, "the next usable version", hasRoute(7, "198.18.0.3:443"))
	is.True(await(maxChangeTime, func() bool {
		return hasRoute(7, "198.18.0.3:443")(publishedBy(joined))
	}))
}

// Guards against entries that start without a configuration after the sources were replaced one
// after another while the store holds one that can't be used.
func TestSourcesReplacedDuringUnusableConfig(t *testing.T) {
	store := &platformtest.Store{}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	x := &restoreTest{
		store: store,
	}
	x.addRoute(5, "198.18.0.1:443")
	seeds := []netip.AddrPort{netip.MustParseAddrPort("127.33.26.91:8166"), netip.MustParseAddrPort("127.33.26.92:8166")}
	hasConfig := func(p *opaqueEntry) {
		t.Helper()
		is.New(t).True(await(maxChangeTime, func() bool {
			s := publishedBy(p)

			return s != nil && hasRoute(5, "198.18.0.1:443")(s)
		}))
	}
	// The entry of a subtest ends with it.
	t.Run("first", func(first *testing.T) {
		hasConfig(runEntry(first, 91, server.URL, seeds...))
		store.SetConfigValue([]byte(unusableConfig))
		hasConfig(runEntry(t, 92, server.URL, seeds...))
	})
	hasConfig(runEntry(t, 93, server.URL, seeds...))
}

// Guards against entries that never get a configuration because the first one in the store can't
// be used.
func TestUnusableFirstConfig(t *testing.T) {
	x := &restoreTest{
		store: &platformtest.Store{},
		seed:  netip.MustParseAddrPort("127.33.26.71:8166"),
	}
	server := httptest.NewServer(x.store)
	t.Cleanup(server.Close)
	x.store.SetConfigValue([]byte(unusableConfig))
	x.source = runEntry(t, 71, server.URL, x.seed)
	x.follower = runEntry(t, 72, server.URL, x.seed)
	time.Sleep(maxChangeTime)
	x.addRoute(5, "198.18.0.1:443")
	x.awaitAll(t, "the first usable version", hasRoute(5, "198.18.0.1:443"))
}

// Guards against a version that is refused, taken or not taken without a sign of it in the
// metrics, and against a sign that each listing repeats.
func TestConfigsAreCounted(t *testing.T) {
	is := is.New(t)
	store := &platformtest.Store{}
	server := httptest.NewServer(store)
	defer server.Close()
	store.SetConfig(5, nil, []string{"rufdienst"})
	p := runEntry(t, 51, server.URL, netip.MustParseAddrPort("127.33.26.51:8166"))
	awaitGauges := func(want map[string]float64) {
		t.Helper()
		for name, value := range want {
			is.True(await(maxChangeTime, func() bool {
				return gauge(t, p, name) == value
			}))
		}
	}
	awaitGauges(map[string]float64{
		"ibisfold_config_version":                5,
		"ibisfold_config_era":                    1,
		"ibisfold_config_revision":               1,
		`ibisfold_configs_total{result="taken"}`: 1,
	})
	store.SetConfigValue([]byte("{"))
	awaitGauges(map[string]float64{
		`ibisfold_configs_total{result="refused"}`: 1,
		"ibisfold_config_version":                  5,
	})
	// The process lists the store again and finds the same value.
	store.Compact()
	calls := store.Calls()
	is.True(await(maxChangeTime, func() bool {
		return store.Calls() > calls+3
	}))
	is.Equal(gauge(t, p, `ibisfold_configs_total{result="refused"}`), 1.0)

	backup := store.Backup()
	store.SetConfig(9, nil, []string{"rufdienst"})
	awaitGauges(map[string]float64{
		"ibisfold_config_version": 9,
	})
	store.Restore(backup)
	store.SetConfig(7, nil, []string{"rufdienst"})
	time.Sleep(time.Second)
	awaitGauges(map[string]float64{
		`ibisfold_configs_total{result="older"}`: 1,
		"ibisfold_config_version":                9,
		"ibisfold_config_era":                    1,
	})
}

// Guards against entries that keep the version in force, and a route that was dropped, because a
// later one has a lower number or the same, with and without a return of the store from a copy.
func TestLaterWriteOfLowerNumber(t *testing.T) {
	is := is.New(t)
	x := newRestoreTest(t, 81)
	x.addRoute(9, "198.18.0.1:443")
	x.awaitAll(t, "version 9", hasRoute(9, "198.18.0.1:443"))
	x.addRoute(7, "198.18.0.2:443")
	x.awaitAll(t, "the lower number", hasRoute(7, "198.18.0.2:443"))
	x.addRoute(7, "198.18.0.3:443")
	x.awaitAll(t, "the same number", hasRoute(7, "198.18.0.3:443"))

	backup := x.store.Backup()
	x.addRoute(20, "198.18.0.4:443")
	x.awaitAll(t, "version 20", hasRoute(20, "198.18.0.4:443"))
	x.store.Restore(backup)
	x.addRoute(20, "198.18.0.5:443")
	x.awaitAll(t, "the number of the lost version", hasRoute(20, "198.18.0.5:443"))
	x.addRoute(11, "198.18.0.6:443")
	x.awaitAll(t, "the lower number after the return", hasRoute(11, "198.18.0.6:443"))
	joined := runEntry(t, 83, x.url, x.seed)
	is.True(await(maxChangeTime, func() bool {
		s := publishedBy(joined)

		return s != nil && hasRoute(11, "198.18.0.6:443")(s)
	}))
}
