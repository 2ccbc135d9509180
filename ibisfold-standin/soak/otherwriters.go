package soak

import (
	"net/netip"
	"time"

	"ibisfold.example/core/catalog"
)

// otherServices are the services of entries that another writer than a target wrote. No
// configuration names them.
var otherServices = []string{"node-exporter", "liveness-probe", "archive"}

const (
	// portExporter is the port of a VM's exporter.
	portExporter = 9100
	// writeDelay is the time from the start of an agent until the exporter beside it has
	// written its entry.
	writeDelay = 30 * time.Millisecond
	// longRestartDelay is the time until the process of a VM starts again that is too long for the
	// agent's flow table to be kept.
	longRestartDelay = 1200 * time.Millisecond
	// maxStopTime bounds the wait for the next process of a VM.
	maxStopTime = 8 * time.Second
)

// restartBesideOtherWriters stops half of the agents as planned and starts them again, while
// other writers have entries with the address of each VM and of its target. These start again with
// the agent, and are gone in the end. No fault of a target or of the store is part of it.
func (b *testbed) restartBesideOtherWriters() {
	b.startOrder(func(o *order) {
		for _, v := range o.agents {
			b.writeOthers(v, o.form, time.Now())
		}
		b.writeOther("", withPort(linkAddress(o.agents[0].settings.Target), portExporter), o.form, time.Now())
		time.Sleep(o.wait)
		for _, v := range o.agents {
			count := v.process()
			v.stopForLong()
			started := v.awaitProcess(count + 1)
			time.Sleep(writeDelay)
			b.writeOthers(v, o.form, started)
		}
		time.Sleep(o.wait)
		b.store.RemoveTarget("")
		for _, v := range o.agents {
			for _, id := range otherIDs(v) {
				b.store.RemoveTarget(id)
			}
		}
	})
}

// awaitProcess waits until the process of a number has been started, at most maxStopTime, and
// returns the time.
func (v *vm) awaitProcess(number int) time.Time {
	end := time.Now().Add(maxStopTime)
	for v.process() < number && time.Now().Before(end) {
		time.Sleep(pollInterval / 50)
	}

	return time.Now()
}

// otherIDs returns the IDs of the entries that writeOthers writes for a VM.
func otherIDs(v *vm) []string {
	list := []string{}
	for _, s := range otherServices {
		list = append(list, s+"-"+v.name)
	}

	return list
}

// writeOthers writes the entries of other writers for a VM: one with the address of its target, the
// others with ports of their own. The form decides which service has which address, and whether
// they are draining.
func (b *testbed) writeOthers(v *vm, form int, born time.Time) {
	target := linkAddress(v.settings.Target)
	for i, id := range otherIDs(v) {
		address := target
		if i > 0 {
			address = withPort(target, portExporter+uint16(i))
		}
		b.writeOther(id, address, form+i, born)
	}
}

// withPort returns the address of another port of the same VM.
func withPort(a netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), port)
}

// writeOther writes the entry of another writer.
func (b *testbed) writeOther(id string, address netip.AddrPort, form int, born time.Time) {
	b.store.SetTarget(catalog.Target{
		ID:       id,
		Address:  address,
		Zone:     zones[0],
		Slots:    1,
		Draining: form%2 == 1,
		Born:     born.UnixMilli(),
	}, otherServices[form%len(otherServices)])
}
