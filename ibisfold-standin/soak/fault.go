package soak

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"ibisfold.example/platform/platformtest"
)

// fault is a disturbance that the soak injects. A fault with a duration ends by itself.
type fault struct {
	name string
	run  func(b *testbed)
	// order means that the fault has several steps. It locks the testbed's order, and run unlocks
	// it after the last step.
	order bool
}

// maxFaultTime is the upper bound of the duration of a fault.
const maxFaultTime = 2 * time.Second

// faults are the faults that injectFaults chooses from, with equal probability.
var faults = []fault{
	{name: "entry stopped", run: func(b *testbed) { pick(b, b.entries).signal(syscall.SIGTERM) }},
	{name: "agent stopped", run: func(b *testbed) { pick(b, b.agents).signal(syscall.SIGTERM) }},
	{name: "entry killed", run: func(b *testbed) { kill(pick(b, b.entries)) }},
	{name: "agent killed", run: func(b *testbed) { kill(pick(b, b.agents)) }},
	{name: "entry paused", run: func(b *testbed) { pause(pick(b, b.entries), b.randomFaultTime()) }},
	{name: "agent paused", run: func(b *testbed) { pause(pick(b, b.agents), b.randomFaultTime()) }},
	{name: "settings announced", run: func(b *testbed) { pick(b, b.entries).signal(syscall.SIGHUP) }},
	{name: "link cut", run: func(b *testbed) { b.impairLink(&linkFault{DropIn: true, DropOut: true}) }},
	{name: "link cut one way", run: func(b *testbed) { b.impairLink(&linkFault{DropOut: true}) }},
	{name: "link lossy", run: func(b *testbed) { b.impairLink(&linkFault{Loss: 0.1}) }},
	{name: "link slow", run: func(b *testbed) { b.impairLink(&linkFault{Delay: 30 * time.Millisecond}) }},
	{name: "store silent", run: func(b *testbed) {
		b.store.SetSilent(true)
		b.scheduleStoreFaultEnd(func() { b.store.SetSilent(false) })
	}},
	{name: "store busy", run: func(b *testbed) {
		b.store.SetStatus(http.StatusServiceUnavailable)
		b.scheduleStoreFaultEnd(func() { b.store.SetStatus(0) })
	}},
	{name: "store compacted", run: func(b *testbed) { b.store.Compact() }},
	{name: "store restored", run: (*testbed).restoreStore},
	{name: "store link silent", run: func(b *testbed) {
		e := pick(b, b.entries)
		e.store.silent.Store(true)
		b.scheduleStoreFaultEnd(func() { e.store.silent.Store(false) })
	}},
	{name: "store link reset", run: func(b *testbed) { pick(b, b.entries).store.reset() }},
	{name: "feed link silent", run: func(b *testbed) {
		v := pick(b, b.seedEntries())
		v.feed.silent.Store(true)
		time.AfterFunc(b.randomFaultTime(), func() {
			v.feed.silent.Store(false)
		})
	}},
	{name: "feed link reset", run: func(b *testbed) { pick(b, b.seedEntries()).feed.reset() }},
	{name: "route moved", run: (*testbed).moveRoute},
	{name: "target crashed", run: (*testbed).crashTarget},
	{name: "target drained", run: (*testbed).drainTarget},
	{name: "service replaced", run: (*testbed).replaceService},
	{name: "target replaced", run: (*testbed).replaceTarget},
}

// pick returns a random element of list.
func pick(b *testbed, list []*vm) *vm {
	return list[b.random.IntN(len(list))]
}

// randomFaultTime returns a random duration for a fault.
func (b *testbed) randomFaultTime() time.Duration {
	return time.Duration(b.random.Int64N(int64(maxFaultTime)))
}

// kill ends the process of a VM with SIGKILL.
func kill(v *vm) {
	v.markImpaired(maxRestartDelay)
	v.signal(syscall.SIGKILL)
}

// pause stops the process of a VM for d with SIGSTOP.
func pause(v *vm, d time.Duration) {
	v.markImpaired(d)
	v.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		v.signal(syscall.SIGCONT)
	})
}

// impairLink applies f to the link of a random agent for a random duration.
func (b *testbed) impairLink(f *linkFault) {
	v := pick(b, b.agents)
	d := b.randomFaultTime()
	v.markImpaired(d)
	v.link.fault.Store(f)
	time.AfterFunc(d, func() {
		v.link.fault.Store(&linkFault{})
	})
}

// scheduleStoreFaultEnd calls end after a random duration. Until then the store counts as
// impaired.
func (b *testbed) scheduleStoreFaultEnd(end func()) {
	d := b.randomFaultTime()
	b.mu.Lock()
	b.storeFaultEnd = time.Now().Add(d)
	b.mu.Unlock()
	time.AfterFunc(d, end)
}

// restoreStore brings the store back from a copy up to maxFaultTime old. The operator writes the
// configuration again at once, each target its entry up to maxFaultTime later.
func (b *testbed) restoreStore() {
	backup := b.store.Backup()
	agents := slices.Clone(b.agents)
	delays := []time.Duration{}
	for range agents {
		delays = append(delays, b.randomFaultTime())
	}
	b.scheduleStoreFaultEnd(func() {
		b.store.Restore(backup)
		b.writeConfig()
		b.mu.Lock()
		b.storeFaultEnd = time.Now().Add(maxFaultTime)
		b.mu.Unlock()
		for i, v := range agents {
			time.AfterFunc(delays[i], func() {
				b.register(v)
			})
		}
	})
}

// restoreCopy lets the store go away and come back from a copy that holds the first kept versions
// of the configuration.
func (b *testbed) restoreCopy(backup platformtest.Copy, kept int) {
	b.store.SetSilent(true)
	b.mu.Lock()
	b.storeFaultEnd = time.Now().Add(awayTime)
	b.mu.Unlock()
	time.Sleep(awayTime)
	b.mu.Lock()
	b.store.Restore(backup)
	for i := kept; i < len(b.configs); i++ {
		b.configs[i].lost = true
	}
	b.effects = map[*vm]effect{}
	b.storeFaultEnd = time.Now()
	b.mu.Unlock()
	b.store.SetSilent(false)
}

// moveRoute points the route to a random service.
func (b *testbed) moveRoute() {
	b.mu.Lock()
	b.routeService = services[b.random.IntN(len(services))]
	b.mu.Unlock()
	b.writeConfig()
}

// crashTarget makes a random target drop all flows. It restarts and registers again after
// a random duration.
func (b *testbed) crashTarget() {
	v := pick(b, b.agents)
	if v.target.lent() {
		return
	}
	d := b.randomFaultTime()
	v.markImpaired(d)
	v.target.crash()
	time.AfterFunc(d, func() {
		v.target.restart()
		b.register(v)
	})
}

// drainTarget registers a random target as draining. Once entries must have stopped
// sending it new flows, it restarts and registers again.
func (b *testbed) drainTarget() {
	v := pick(b, b.agents)
	if v.target.lent() {
		return
	}
	list := []*vm{v}
	b.drain(list)
	time.AfterFunc(maxDrainTime+maxFaultTime, func() {
		v.markImpaired(maxFaultTime)
		b.restartTargets(list)
	})
}

// injectFaults starts a random fault every 0.1 s to 1 s until end. Faults may overlap, orders
// don't. If only is not empty, it is the name of the only fault. It returns the number of faults.
func (b *testbed) injectFaults(ctx context.Context, end time.Time, only string, log func(string)) int {
	count := 0
	chosen := slices.DeleteFunc(slices.Concat(faults, orders), func(f fault) bool {
		return only != "" && f.name != only
	})
	for ctx.Err() == nil && time.Now().Before(end) && len(chosen) > 0 {
		f := chosen[b.random.IntN(len(chosen))]
		if !f.order || b.order.TryLock() {
			log(f.name)
			f.run(b)
			count++
		}
		time.Sleep(time.Duration(100+b.random.IntN(900)) * time.Millisecond)
	}

	return count
}
