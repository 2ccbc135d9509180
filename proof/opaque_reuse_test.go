package proof_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisfold.example/core/segment"
)

const (
	// opaqueUnroutedService is a service that no configuration sends flows to.
	opaqueUnroutedService = "archivdienst"
	// opaqueReuseTime is the time from the end of a VM until its address is used again.
	opaqueReuseTime = 2 * time.Second
	// opaqueRegisterTime is the time from the start of a target until entries list it, at
	// most.
	opaqueRegisterTime = 1500 * time.Millisecond
)

// opaqueReused: addresses of VMs that are gone are used again by another service.
const opaqueReused opaqueKind = "reused"

// opaqueReuseFaults are the additional faults of worlds of the kind opaqueReused.
var opaqueReuseFaults = []opaqueFault{
	{"address used again", func(w *opaqueWorld) { w.lendAddress(w.anyAgent(), w.someTime()) }},
	{"addresses of a service used again", func(w *opaqueWorld) {
		frozen := w.someTime()
		for _, a := range w.agents {
			if a.target.service == w.routeService {
				w.lendAddress(a, frozen)
			}
		}
	}},
}

// targetID returns the ID of the target beside an agent. Each target of a VM has another.
func (a *opaqueAgent) targetID() string {
	if a.target.starts == 0 {
		return a.addr.String()
	}

	return fmt.Sprintf("%v-%d", a.addr, a.target.starts)
}

// lendAddress replaces a VM by one of opaqueUnroutedService at the same address, and that one
// by a VM of the former service.
func (w *opaqueWorld) lendAddress(a *opaqueAgent, frozen time.Duration) {
	service := a.target.service
	if a.down || service == opaqueUnroutedService {
		return
	}
	w.replaceVM(a, frozen, opaqueUnroutedService, func() {
		w.After(2*opaqueRegisterTime, func() {
			w.replaceVM(a, 0, service, func() {})
		})
	})
}

// replaceVM stops a VM without notice, ends it after the time frozen, and starts another one
// of a service at its address opaqueReuseTime later. It calls listed once the target of that
// one is listed.
func (w *opaqueWorld) replaceVM(a *opaqueAgent, frozen time.Duration, service string, listed func()) {
	a.down = true
	a.target.silent = true
	end := w.Now + frozen + opaqueReuseTime
	a.impair(end)
	w.After(frozen, func() {
		a.target.gone = true
	})
	w.After(frozen+opaqueReuseTime, func() {
		starts := a.target.starts + 1
		a.target = opaqueTarget{
			service:  service,
			starts:   starts,
			slots:    a.target.slots,
			workTime: a.target.workTime,
			born:     w.wall(),
			flows:    map[segment.Key]uint32{},
		}
		w.startAgent(a, w.random.IntN(2) == 0)
		w.After(time.Duration(w.random.Int64N(int64(opaqueRegisterTime))), func() {
			w.publish()
			listed()
		})
	})
}

// checkService checks that a target which gets a SYN belongs to a service that the route led
// to at some time.
func (w *opaqueWorld) checkService(a *opaqueAgent, s *segment.Segment) {
	if !w.routed[a.target.service] {
		w.violate("flow %v reached the target at %v of %s, to which no route leads", s.Key, a.addr, a.target.service)
	}
}

// TestOpaqueWaitingSYNsMeetAnotherService guards against flows that open at another service:
// all VMs of a service stop without notice and other VMs serve another service at their
// addresses while SYNs still wait at entries (docs/incidents/inc-36.md).
func TestOpaqueWaitingSYNsMeetAnotherService(t *testing.T) {
	is := is.New(t)
	w := opaqueSite(t, 36, 1)
	callers := w.addCallers(60, 20*time.Millisecond)
	for _, c := range callers {
		c.flowPerRequest = true
	}
	w.Run(time.Second)
	for _, a := range w.agents {
		w.lendAddress(a, time.Second)
	}
	w.Run(time.Second + opaqueReuseTime + 8*opaqueRegisterTime)
	w.check()
	opaqueTotals(callers)
	w.Run(time.Second)
	_, answers, _, _ := opaqueTotals(callers)
	is.True(answers > 0)
}

// TestOpaqueFuzzReused guards against flows that open at another service, and callers that are
// left without service, when faults in any order meet addresses that are used again by another
// service. More seeds: IBISFOLD_SEEDS=500.
func TestOpaqueFuzzReused(t *testing.T) {
	for seed := range seedsOr(opaqueFuzzSeeds) {
		if violations := opaqueFuzz(t, 1000+seed, opaqueAllProtections, opaqueReused); len(violations) > 0 {
			t.Errorf("seed %d, %s: %d violations, first: %s", 1000+seed, opaqueReused, len(violations), violations[0])
		}
	}
}
