package agent

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// maxEntries bounds the entries that an agent remembers.
const maxEntries = 8

// entryList holds the entries that delivered packets most recently, the latest
// one last.
type entryList struct {
	addrs []netip.AddrPort
}

func (l *entryList) add(a netip.AddrPort) {
	if n := len(l.addrs); n > 0 && l.addrs[n-1] == a {
		return
	}
	l.addrs = slices.DeleteFunc(l.addrs, func(o netip.AddrPort) bool {
		return o == a
	})
	if len(l.addrs) == maxEntries {
		l.addrs = slices.Delete(l.addrs, 0, 1)
	}
	l.addrs = append(l.addrs, a)
}

// pick returns one of the entries at random, or fallback if there is none.
func (l *entryList) pick(r *rand.Rand, fallback netip.AddrPort) netip.AddrPort {
	if len(l.addrs) == 0 {
		return fallback
	}

	return l.addrs[r.IntN(len(l.addrs))]
}
