package soak

import (
	"syscall"
	"time"

	"ibisfold.example/platform/platformtest"
)

// settleTime is the time from the last version of an order to the next order.
const settleTime = maxConfigTime + time.Second

// startConfigOrder starts an order around the configuration.
func (b *testbed) startConfigOrder(steps func(o *order)) {
	b.startOrder(func(o *order) {
		steps(o)
		time.Sleep(settleTime)
	})
}

// writeChange writes a version that drops the last added route and adds another one.
func (b *testbed) writeChange() {
	b.mu.Lock()
	b.changeAddedRoute()
	b.mu.Unlock()
	b.writeConfig()
}

// hugeNumber is a version number above all others of a run.
const hugeNumber = 9_000_000

// writeUnusable writes a version that can't be used, and later a usable one with a number
// between those of the last usable one and of the unusable one. What was in force stays in force.
func (b *testbed) writeUnusable() {
	b.startConfigOrder(func(o *order) {
		b.writeChange()
		time.Sleep(o.wait)
		b.mu.Lock()
		number := b.version + 4
		if o.huge {
			number = hugeNumber + b.version
		}
		b.mu.Unlock()
		value := platformtest.UnusableConfig(o.form, number)
		o.describe("%s", value)
		b.store.SetRawConfig(value)
		time.Sleep(o.wait)
		b.writeChange()
	})
}

// writeDecimal writes a version whose whole numbers have a fraction of zero.
func (b *testbed) writeDecimal() {
	b.startConfigOrder(func(*order) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.changeAddedRoute()
		b.version += 3
		b.store.SetRawConfig(platformtest.DecimalConfig(b.version, b.currentRoutes(), services))
		b.recordConfig()
	})
}

// writeLower writes a version with a lower number than the one in force. The operator's numbers
// rise, so no system needs to take it.
func (b *testbed) writeLower() {
	b.startConfigOrder(func(*order) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.changeAddedRoute()
		b.writeConfigNumber(b.version - 1)
	})
}

// disturbance disturbs entries right after the ack of a version.
type disturbance struct {
	name string
	run  func(b *testbed, o *order)
}

var disturbances = []disturbance{
	{name: "undisturbed", run: func(*testbed, *order) {}},
	{name: "entry starts", run: func(_ *testbed, o *order) { kill(o.entry) }},
	{name: "entry frozen", run: func(_ *testbed, o *order) { pause(o.entry, maxOrderWait) }},
	{name: "all entries frozen", run: func(b *testbed, _ *order) {
		for _, v := range b.entries {
			pause(v, maxFaultTime)
		}
	}},
	{name: "sources end", run: func(b *testbed, _ *order) {
		for _, v := range b.seedEntries() {
			v.signal(syscall.SIGTERM)
		}
	}},
	{name: "sources killed", run: func(b *testbed, _ *order) {
		for _, v := range b.seedEntries() {
			kill(v)
		}
	}},
	{name: "entries roll", run: func(b *testbed, _ *order) {
		for _, v := range b.entries {
			v.signal(syscall.SIGTERM)
			time.Sleep(maxRestartDelay / 2)
		}
	}},
}

// writeDisturbed writes a version while entries are disturbed.
func (b *testbed) writeDisturbed() {
	b.startConfigOrder(func(o *order) {
		o.describe("%s", o.disturb.name)
		b.writeChange()
		o.disturb.run(b, o)
	})
}

const (
	// maxLost bounds the number of versions that are lost, lossInterval is the time between them.
	maxLost      = 12
	lossInterval = 100 * time.Millisecond
	// lossDelay is the time from the last ack until the store is away, awayTime the time until it is back.
	lossDelay = 20 * time.Millisecond
	awayTime  = 500 * time.Millisecond
)

// loseConfig brings the store back from a copy that lacks some versions which were acknowledged.
// The operator then writes other routes, under a number that is higher by step than that of the
// last lost version.
func (b *testbed) loseConfig(step uint64) {
	b.startConfigOrder(func(o *order) {
		o.describe("%d versions lost, %s, written again after %v", o.lost, o.disturb.name, o.wait)
		backup := b.store.Backup()
		b.mu.Lock()
		kept := len(b.configs)
		b.mu.Unlock()
		for range o.lost {
			time.Sleep(lossInterval)
			b.writeChange()
		}
		go o.disturb.run(b, o)
		time.Sleep(lossDelay)
		b.restoreCopy(backup, kept)
		time.Sleep(o.wait)
		b.mu.Lock()
		b.changeAddedRoute()
		b.version += step
		b.writeConfigNumber(b.version)
		b.mu.Unlock()
		for _, v := range b.agents {
			b.register(v)
		}
	})
}
