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
	// admitted is closed by admit. It is nil if nobody waits.
	admitted chan struct{}
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
			r.rotation[e] = failures[e] < 2 && !e.held.Load()
			r.mu.Unlock()
		}
		time.Sleep(pollInterval)
	}
}

// inRotation reports whether an entry gets packets.
func (r *router) inRotation(v *vm) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.rotation[v]
}

// admit puts entries in rotation that were held out of it. Callers that wait between two requests
// send the next one at once.
func (r *router) admit(list []*vm) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range list {
		v.held.Store(false)
		r.rotation[v] = true
	}
	if r.admitted != nil {
		close(r.admitted)
		r.admitted = nil
	}
}

// nextAdmission returns a channel that the next call of admit closes.
func (r *router) nextAdmission() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.admitted == nil {
		r.admitted = make(chan struct{})
	}

	return r.admitted
}

// pick returns the entry of the zone for flow k; nil if none is in rotation.
func (r *router) pick(zone string, k segment.Key) *vm {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := (*vm)(nil)
	bestHash := uint64(0)
	for i, e := range r.entries {
		h := segment.Mix(k.Hash() + uint64(i))
		if e.zone == zone && r.rotation[e] && (best == nil || h > bestHash) {
			best = e
			bestHash = h
		}
	}

	return best
}

// send sends a packet to an entry. It drops the packet if there is none.
func (r *router) send(entry *vm, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == nil {
		c, err := net.ListenUDP("udp4", nil)
		if err != nil {
			return
		}
		r.conn = c
	}
	if entry != nil {
		// A packet that can't be sent is lost, as on a real network.
		_, _ = r.conn.WriteToUDPAddrPort(b, entry.settings.Packets)
	}
}
