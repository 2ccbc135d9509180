package main

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/catalog"
	"ibisfold.example/platform/platformtest"
)

// maxChangeTime is the time within which every entry has to know of a change in the store
// while all of them reach it.
const maxChangeTime = 3 * time.Second

// restoreTest is a store with two targets in zones a and b, an entry that is a source, and
// one that follows it.
type restoreTest struct {
	store    *platformtest.Store
	url      string
	seed     netip.AddrPort
	source   *opaqueEntry
	follower *opaqueEntry
}

// newRestoreTest starts the entries on the addresses 127.33.26.n and 127.33.26.(n+1).
func newRestoreTest(t *testing.T, n byte) *restoreTest {
	t.Helper()
	x := &restoreTest{
		store: &platformtest.Store{},
		seed:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 33, 26, n}), 8166),
	}
	server := httptest.NewServer(x.store)
	t.Cleanup(server.Close)
	x.url = server.URL
	x.setConfig(1)
	x.addTarget(0, "a")
	x.addTarget(1, "b")
	x.source = runEntry(t, n, x.url, x.seed)
	x.follower = runEntry(t, n+1, x.url, x.seed)
	x.awaitAll(t, "targets", func(s *catalog.Snapshot) bool {
		return len(members(s)) == 2
	})

	return x
}

func (x *restoreTest) setConfig(version uint64) {
	x.store.SetConfig(version, nil, []string{"rufdienst"})
}

func (x *restoreTest) addTarget(i byte, zone string) {
	x.store.SetTarget(catalog.Target{
		ID:      fmt.Sprint("target-", i),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 33, 26, 100 + i}), 8165),
		Zone:    zone,
		Slots:   2,
	}, "rufdienst")
}

// awaitAll fails the test unless the snapshots of both entries meet the condition within
// maxChangeTime.
func (x *restoreTest) awaitAll(t *testing.T, what string, condition func(*catalog.Snapshot) bool) {
	t.Helper()
	for _, p := range []*opaqueEntry{x.source, x.follower} {
		ok := await(maxChangeTime, func() bool {
			s := publishedBy(p)

			return s != nil && condition(s)
		})
		if !ok {
			t.Errorf("%s: %s is not known", p.settings.Name, what)
		}
	}
}

// publishedBy returns the snapshot that an entry uses.
func publishedBy(p *opaqueEntry) *catalog.Snapshot {
	reply := make(chan *catalog.Snapshot, 1)
	p.Post(func() {
		reply <- p.published
	})

	return <-reply
}

func members(s *catalog.Snapshot) []catalog.Member {
	return s.Groups[catalog.ServiceID("rufdienst")]
}

func zoneOut(zone string) func(*catalog.Snapshot) bool {
	return func(s *catalog.Snapshot) bool {
		for _, m := range members(s) {
			if m.Zone == zone && !m.ZoneOut {
				return false
			}
		}

		return true
	}
}

func hasVersion(v uint64) func(*catalog.Snapshot) bool {
	return func(s *catalog.Snapshot) bool {
		return s.Config.Version == v
	}
}

// Guards against entries that follow a source and miss every change after the store came back
// from an older copy, because the revisions that it gives out again are below the ones that
// they know (review/1 and review/4).
func TestChangesAfterRestore(t *testing.T) {
	x := newRestoreTest(t, 11)
	backup := x.store.Backup()
	for v := range uint64(8) {
		x.setConfig(2 + v)
	}
	x.awaitAll(t, "version 9", hasVersion(9))
	x.store.Restore(backup)
	x.setConfig(9)

	x.addTarget(2, "a")
	x.awaitAll(t, "the target added after the return", func(s *catalog.Snapshot) bool {
		return len(members(s)) == 3
	})
	x.store.SetZoneOut("a", true)
	x.awaitAll(t, "the zone taken out after the return", zoneOut("a"))
	x.setConfig(12)
	x.awaitAll(t, "the version after the return", hasVersion(12))
}

// Guards against entries that miss for good what the store gave out anew while they were not
// watching, because its revision has reached the one that they know again (review/3).
func TestRestoreWithRevisionPassed(t *testing.T) {
	x := newRestoreTest(t, 21)
	backup := x.store.Backup()
	x.setConfig(2)
	x.setConfig(3)
	x.awaitAll(t, "version 3", hasVersion(3))
	x.store.Restore(backup)
	x.store.SetZoneOut("a", true)
	x.setConfig(3)

	x.awaitAll(t, "the zone taken out at the return", zoneOut("a"))
	x.setConfig(5)
	x.awaitAll(t, "the version after the return", hasVersion(5))
}

// Guards against an entry that stays in an earlier era of the store than others, or mixes up
// two of them, because the store came back twice within its watch, and the second time with
// the same revision as before.
func TestTwoRestores(t *testing.T) {
	x := newRestoreTest(t, 31)
	backup := x.store.Backup()
	x.setConfig(2)
	x.awaitAll(t, "version 2", hasVersion(2))
	x.store.Restore(backup)
	x.setConfig(2)
	x.store.Restore(backup)
	x.store.SetZoneOut("b", true)

	x.awaitAll(t, "the zone taken out at the second return", zoneOut("b"))
	joined := runEntry(t, 33, x.url, x.seed)
	is.New(t).True(await(maxChangeTime, func() bool {
		s := publishedBy(joined)

		return s != nil && zoneOut("b")(s)
	}))
	x.setConfig(4)
	x.awaitAll(t, "the version after the second return", hasVersion(4))
}
