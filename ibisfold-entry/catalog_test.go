package main

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/feed"
)

// Guards against log lines whose length grows with the number of targets.
func TestFormatTargets(t *testing.T) {
	is := is.New(t)
	list := []catalog.Member{}
	for i := range 2 * maxLoggedTargets {
		list = append(list, catalog.Member{
			Target: catalog.Target{
				ID:      fmt.Sprint("i-", i),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			},
		})
	}
	is.Equal(formatTargets(nil), "")
	is.Equal(formatTargets(list[:2]), "i-0 10.0.0.0:80, i-1 10.0.0.1:80")
	text := formatTargets(list)
	is.Equal(strings.Count(text, "10.0.0."), maxLoggedTargets)
	is.True(strings.HasSuffix(text, ", 8 more"))
}

// Guards against log lines that do not state why targets changed: the origin of the
// answer, or that it came after an outage.
func TestDescribeChanges(t *testing.T) {
	is := is.New(t)
	confirmed := feed.Confirmation{
		Current: true,
		Age:     time.Second,
	}
	tests := []struct {
		changes []catalog.Change
		want    catalogUpdate
	}{
		{
			changes: []catalog.Change{
				catalog.Listing{
					AfterOutage: true,
				},
				catalog.TargetDeparted{},
			},
			want: catalogUpdate{
				origin:       "listing",
				afterOutage:  true,
				confirmation: confirmed,
			},
		},
		{
			changes: []catalog.Change{
				catalog.TargetGone{
					AfterOutage: true,
				},
				catalog.TargetGone{},
			},
			want: catalogUpdate{
				origin:       "changes",
				afterOutage:  true,
				confirmation: confirmed,
			},
		},
		{
			changes: []catalog.Change{catalog.TargetDeparted{}},
			want: catalogUpdate{
				origin:       "source",
				confirmation: confirmed,
			},
		},
	}
	for _, c := range tests {
		is.Equal(describeChanges(c.changes, confirmed), c.want)
	}
}
