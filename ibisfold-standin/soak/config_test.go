package soak

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a check that accepts openings which only a replaced version allows, or that
// reports those which a version of the last moments allows.
func TestVersionsInForce(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(seconds int) time.Time {
		return start.Add(time.Duration(seconds) * time.Second)
	}
	added := unknownAddress
	l := configLog{
		{
			acked: at(0),
			routes: map[netip.AddrPort]string{
				serviceAddress: "old",
			},
		},
		{
			acked: at(10),
			routes: map[netip.AddrPort]string{
				serviceAddress: "new",
				added:          "new",
			},
		},
	}
	is.True(l.allows(at(7), at(9), serviceAddress, "old"))
	is.True(!l.allows(at(7), at(9), serviceAddress, "new"))
	is.True(l.allows(at(9), at(12), serviceAddress, "old"))
	is.True(l.allows(at(9), at(12), serviceAddress, "new"))
	is.True(!l.allows(at(11), at(14), serviceAddress, "old"))
	is.True(!l.allows(at(11), at(14), added, ""))

	// A version that the store has lost does not replace the one before it.
	l[1].lost = true
	is.True(l.allows(at(11), at(14), serviceAddress, "old"))
	is.True(l.allows(at(11), at(14), serviceAddress, "new"))
	l = append(l, configVersion{
		acked: at(20),
		routes: map[netip.AddrPort]string{
			serviceAddress: "new",
		},
	})
	is.True(!l.allows(at(21), at(24), serviceAddress, "old"))
	is.True(!l.allows(at(21), at(24), added, "new"))
}

// Guards against a check that misses an entry's process which returns to an older version, or that
// blames one which has restarted.
func TestStepBack(t *testing.T) {
	is := is.New(t)
	v := &vm{
		name: "entry-0-1",
	}
	b := &testbed{
		effects: map[*vm]effect{},
		configs: configLog{
			{
				routes: map[netip.AddrPort]string{
					serviceAddress: "old",
				},
			},
			{
				routes: map[netip.AddrPort]string{
					serviceAddress: "new",
				},
			},
		},
	}
	check := func(process int, after time.Duration, service string) {
		b.checkRegress(serviceAddress, &opening{
			entry:   v,
			process: process,
			sent:    time.Now().Add(after),
		}, service)
	}
	check(1, 0, "old")
	check(1, 0, "new")
	check(1, maxRegressTime/2, "old")
	check(2, 2*maxRegressTime, "old")
	is.Equal(len(b.violations), 0)
	check(2, 0, "new")
	check(2, 2*maxRegressTime, "old")
	check(2, 2*maxRegressTime, "")
	is.Equal(len(b.violations), 2)
}
