package soak

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ibisfold.example/core/segment"
)

// Interval and timeout of the readiness calls.
const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 200 * time.Millisecond
)

// router decides which entry gets a caller's packet. It uses rendezvous hashing over the
// ready entries of the caller's zone, so that only flows of an entry that joins or leaves
// change their entry.
type router struct {
	mu      sync.Mutex
	entries []*vm
	// rotation is true for the entries that get packets.
	rotation map[*vm]bool
	conn     *net.UDPConn
}

// poll updates the rotation until ctx is done. Two failed readiness calls in a row take an
// entry out of rotation, one successful call puts it back.
func (r *router) poll(ctx context.Context, entries []*vm) {
	r.mu.Lock()
	r.entries = entries
	r.mu.Unlock()
	c := &http.Client{
		Timeout: pollTimeout,
	}
	failures := map[*vm]int{}
	for ctx.Err() == nil {
		for _, e := range entries {
			failures[e]++
			if e.ready(c) {
				failures[e] = 0
			}
			r.mu.Lock()
			r.rotation[e] = failures[e] < 2
			r.mu.Unlock()
		}
		time.Sleep(pollInterval)
	}
}

// forward sends a packet of flow k to an entry of the zone. It drops the packet if none is
// in rotation.
func (r *router) forward(zone string, k segment.Key, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == nil {
		c, err := net.ListenUDP("udp4", nil)
		if err != nil {
			return
		}
		r.conn = c
	}
	best := (*vm)(nil)
	bestHash := uint64(0)
	for i, e := range r.entries {
		h := segment.Mix(k.Hash() + uint64(i))
		if e.zone == zone && r.rotation[e] && (best == nil || h > bestHash) {
			best = e
			bestHash = h
		}
	}
	if best != nil {
		// A packet that can't be sent is lost, as on a real network.
		_, _ = r.conn.WriteToUDPAddrPort(b, best.settings.Packets)
	}
}
