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

// Guards against log lines that grow with the number of targets.
func TestNameTargets(t *testing.T) {
	is := is.New(t)
	list := []catalog.Member{}
	for i := range 2 * namedTargets {
		list = append(list, catalog.Member{
			Target: catalog.Target{
				ID:      fmt.Sprint("i-", i),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			},
		})
	}
	is.Equal(nameTargets(nil), "")
	is.Equal(nameTargets(list[:2]), "i-0 10.0.0.0:80, i-1 10.0.0.1:80")
	text := nameTargets(list)
	is.Equal(strings.Count(text, "10.0.0."), namedTargets)
	is.True(strings.HasSuffix(text, ", 8 more"))
}

// Guards against an operator who can't see why a target left.
func TestNewsOf(t *testing.T) {
	is := is.New(t)
	confirmed := feed.Confirmation{
		Current: true,
		Age:     time.Second,
	}
	tests := []struct {
		changes []catalog.Change
		want    catalogNews
	}{
		{
			changes: []catalog.Change{
				catalog.Listing{
					AfterOutage: true,
				},
				catalog.TargetDeparted{},
			},
			want: catalogNews{
				by:           "listing",
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
			want: catalogNews{
				by:           "changes",
				afterOutage:  true,
				confirmation: confirmed,
			},
		},
		{
			changes: []catalog.Change{catalog.TargetDeparted{}},
			want: catalogNews{
				by:           "source",
				confirmation: confirmed,
			},
		},
	}
	for _, c := range tests {
		is.Equal(newsOf(c.changes, confirmed), c.want)
	}
}
