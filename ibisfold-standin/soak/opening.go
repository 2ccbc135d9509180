package soak

import (
	"net/netip"
	"sync"
	"time"

	"ibisfold.example/core/segment"
)

// opening is a SYN, or a copy of it, that was sent to an entry.
type opening struct {
	// entry is nil if none was in rotation.
	entry *vm
	// process is the number of the entry's process.
	process int
	sent    time.Time
}

// openings holds the SYNs of each flow in the order in which they were sent. The zero value is
// ready to use.
type openings struct {
	mu   sync.Mutex
	sent map[segment.Key][]opening
}

func (o *openings) add(k segment.Key, entry *vm) {
	x := opening{
		entry: entry,
		sent:  time.Now(),
	}
	if entry != nil {
		x.process = entry.process()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sent == nil {
		o.sent = map[segment.Key][]opening{}
	}
	o.sent[k] = append(o.sent[k], x)
}

// find returns the given copy of a flow's SYN. Copy 0 is the first SYN.
func (o *openings) find(k segment.Key, copy uint32) (opening, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.sent[k]
	if int(copy) >= len(list) || list[copy].entry == nil {
		return opening{}, false
	}

	return list[copy], true
}

// checkConfig checks that an opening which a target of a service took is allowed by a version
// that may be in force. An opening that was refused has no service.
func (b *testbed) checkConfig(k segment.Key, o *opening, service string) {
	if !o.entry.unimpaired() || !b.storeUnimpaired() {
		return
	}
	b.mu.Lock()
	to := time.Now()
	allowed := b.configs.allows(to.Add(-maxConfigTime), to, k.Service(), service)
	b.mu.Unlock()
	if !allowed {
		b.addViolation("CONFIG: flow %v through %s %s, as no version of the last %v allows", k, o.entry.name,
			outcome(service), maxConfigTime)
	}
	b.checkRegress(k.Service(), o, service)
}

// outcome describes what became of an opening.
func outcome(service string) string {
	if service == "" {
		return "was refused"
	}

	return "reached " + service
}

// effect is the newest version whose effect was seen through a process of an entry.
type effect struct {
	process int
	// version is its index in the log of versions.
	version int
	seen    time.Time
}

// maxRegressTime is how long after the effect of a version openings may still be handled as an
// older one allows.
const maxRegressTime = 250 * time.Millisecond

// checkRegress checks that an entry's process does not return to an older version.
func (b *testbed) checkRegress(a netip.AddrPort, o *opening, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.effects[o.entry]
	if e.process != o.process {
		e = effect{
			process: o.process,
		}
	}
	first := b.firstAllowing(e.version, a, service)
	late := o.sent.After(e.seen.Add(maxRegressTime))
	switch {
	case first < 0 && late:
		b.recordViolation("CONFIG: %s steps back: a flow to %v %s, %v after a newer version's effect", o.entry.name, a,
			outcome(service), o.sent.Sub(e.seen))
	case first > e.version && service != "" && !b.configs[first].lost && (late || b.firstAllowing(0, a, service) == first):
		b.effects[o.entry] = effect{
			process: o.process,
			version: first,
			seen:    time.Now(),
		}
	}
}

// firstAllowing returns the index of the first version, starting at one, that allows a flow to
// an address to go to a service; -1 if none does. The caller holds mu.
func (b *testbed) firstAllowing(start int, a netip.AddrPort, service string) int {
	for i := start; i < len(b.configs); i++ {
		if b.configs[i].allows(a, service) {
			return i
		}
	}

	return -1
}
