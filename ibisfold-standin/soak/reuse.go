package soak

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"ibisfold.example/core/segment"
)

const (
	// unroutedService is a service that no configuration sends flows to.
	unroutedService = "archivdienst"
	// reuseTime is the time from the end of a VM until its address is used again.
	reuseTime = 2 * time.Second
	// lapseTime is the time without a heartbeat after which the store removes an entry.
	lapseTime = 3600 * time.Millisecond
	// lendTime is how long a VM of unroutedService has the address of another one.
	lendTime = 3 * time.Second
	// maxReplacedTime bounds the duration of the fault "service replaced".
	maxReplacedTime = maxFaultTime + reuseTime + lendTime + reuseTime
)

// replaceService freezes and then ends the VMs of the route's service. Others, with targets of
// unroutedService, get their addresses for lendTime.
func (b *testbed) replaceService() {
	b.mu.Lock()
	service := b.routeService
	b.mu.Unlock()
	frozen := b.randomFaultTime()
	for _, v := range b.agents {
		if v.target.belongsTo(service) {
			b.lendAddress(v, service, frozen)
		}
	}
}

// lendAddress freezes a VM for the time frozen and ends it. Its address belongs to a VM of
// unroutedService for lendTime, then to one of the former service again.
func (b *testbed) lendAddress(v *vm, service string, frozen time.Duration) {
	v.markImpaired(maxReplacedTime)
	v.signal(syscall.SIGSTOP)
	v.target.crash()
	b.expireEntry(v)
	time.AfterFunc(frozen, func() {
		b.replaceVM(v, unroutedService)
	})
	time.AfterFunc(frozen+reuseTime+lendTime, func() {
		v.target.crash()
		b.expireEntry(v)
		b.replaceVM(v, service)
	})
}

// replaceTarget ends a random target, and starts one of unroutedService in its place while the
// VM's process goes on or is paused. Its settings change without a signal.
func (b *testbed) replaceTarget() {
	v := pick(b, b.agents)
	if v.target.lent() {
		return
	}
	service := v.settings.Service
	v.markImpaired(maxReplacedTime)
	if b.random.IntN(2) == 0 {
		pause(v, reuseTime+b.randomFaultTime())
	}
	v.target.crash()
	b.expireEntry(v)
	time.AfterFunc(reuseTime, func() {
		b.changeService(v, unroutedService)
	})
	time.AfterFunc(reuseTime+lendTime, func() {
		v.target.crash()
		b.expireEntry(v)
		b.changeService(v, service)
	})
}

// changeService starts a target of another service beside the process of a VM.
func (b *testbed) changeService(v *vm, service string) {
	v.settings.Service = service
	if err := v.writeSettings(b.dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	v.target.replace(service)
	b.register(v)
}

// replaceVM ends a VM and starts one of another service at its address reuseTime later.
func (b *testbed) replaceVM(v *vm, service string) {
	v.end()
	time.AfterFunc(reuseTime, func() {
		v.settings.Service = service
		v.target.replace(service)
		if err := v.resume(b.bin, b.dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		b.register(v)
	})
}

// expireEntry removes the entry of the VM's present target from the store after lapseTime.
func (b *testbed) expireEntry(v *vm) {
	v.target.mu.Lock()
	id := v.target.id
	v.target.mu.Unlock()
	time.AfterFunc(lapseTime, func() {
		b.store.RemoveTarget(id)
	})
}

// replace starts a target of another service in place of one that has ended.
func (t *target) replace(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service = service
	t.born = t.vm.clock()
	t.id = fmt.Sprintf("%s-%d", t.vm.name, t.born)
	t.flows = map[segment.Key]*targetFlow{}
	t.drainingSince = time.Time{}
	t.down = false
}

// belongsTo reports whether the target runs and belongs to a service.
func (t *target) belongsTo(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.service == service && !t.down
}

// lent reports whether the target's address is out of use or lent to unroutedService.
func (t *target) lent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.down || t.service == unroutedService
}
