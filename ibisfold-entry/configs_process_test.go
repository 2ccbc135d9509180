package main

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/platform/platformtest"
)

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
