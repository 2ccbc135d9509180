package soak

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

// fault is one disturbance. It may last: it ends by itself.
type fault struct {
	name string
	run  func(w *world)
}

// longestFault bounds each fault.
const longestFault = 2 * time.Second

// faults are drawn from with equal chances.
var faults = []fault{
	{"entry stopped", func(w *world) { pick(w, w.entries).signal(syscall.SIGTERM) }},
	{"agent stopped", func(w *world) { pick(w, w.agents).signal(syscall.SIGTERM) }},
	{"entry killed", func(w *world) { kill(pick(w, w.entries)) }},
	{"agent killed", func(w *world) { kill(pick(w, w.agents)) }},
	{"entry paused", func(w *world) { pause(pick(w, w.entries), w.lasting()) }},
	{"agent paused", func(w *world) { pause(pick(w, w.agents), w.lasting()) }},
	{"settings announced", func(w *world) { pick(w, w.entries).signal(syscall.SIGHUP) }},
	{"link cut", func(w *world) { w.disturb(&linkFault{DropIn: true, DropOut: true}) }},
	{"link cut one way", func(w *world) { w.disturb(&linkFault{DropOut: true}) }},
	{"link lossy", func(w *world) { w.disturb(&linkFault{Loss: 0.1}) }},
	{"link slow", func(w *world) { w.disturb(&linkFault{Delay: 30 * time.Millisecond}) }},
	{"store silent", func(w *world) {
		w.store.SetSilent(true)
		w.endStoreFault(func() { w.store.SetSilent(false) })
	}},
	{"store busy", func(w *world) {
		w.store.SetStatus(http.StatusServiceUnavailable)
		w.endStoreFault(func() { w.store.SetStatus(0) })
	}},
	{"store compacted", func(w *world) { w.store.Compact() }},
	{"store link silent", func(w *world) {
		e := pick(w, w.entries)
		e.store.silent.Store(true)
		w.endStoreFault(func() { e.store.silent.Store(false) })
	}},
	{"store link reset", func(w *world) { pick(w, w.entries).store.reset() }},
	{"feed link silent", func(w *world) {
		v := pick(w, w.seeds())
		v.feed.silent.Store(true)
		time.AfterFunc(w.lasting(), func() {
			v.feed.silent.Store(false)
		})
	}},
	{"feed link reset", func(w *world) { pick(w, w.seeds()).feed.reset() }},
	{"route moved", (*world).moveRoute},
	{"target crashed", (*world).crashTarget},
	{"target drained", (*world).drainTarget},
}

func pick(w *world, list []*vm) *vm {
	return list[w.random.IntN(len(list))]
}

func (w *world) lasting() time.Duration {
	return time.Duration(w.random.Int64N(int64(longestFault)))
}

func kill(v *vm) {
	v.impair(restartTime)
	v.signal(syscall.SIGKILL)
}

func pause(v *vm, d time.Duration) {
	v.impair(d)
	v.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		v.signal(syscall.SIGCONT)
	})
}

func (w *world) disturb(f *linkFault) {
	v := pick(w, w.agents)
	d := w.lasting()
	v.impair(d)
	v.link.fault.Store(f)
	time.AfterFunc(d, func() {
		v.link.fault.Store(&linkFault{})
	})
}

func (w *world) endStoreFault(end func()) {
	d := w.lasting()
	w.mu.Lock()
	w.storeFault = time.Now().Add(d)
	w.mu.Unlock()
	time.AfterFunc(d, end)
}

func (w *world) moveRoute() {
	w.mu.Lock()
	w.routed = services[w.random.IntN(len(services))]
	w.mu.Unlock()
	w.configure()
}

// crashTarget drops all flows of a target; a new start registers after a while.
func (w *world) crashTarget() {
	v := pick(w, w.agents)
	d := w.lasting()
	v.impair(d)
	v.target.crash()
	time.AfterFunc(d, func() {
		v.target.restart()
		w.register(v)
	})
}

// drainTarget reports a target as leaving, then replaces it by a new start.
func (w *world) drainTarget() {
	v := pick(w, w.agents)
	v.target.mu.Lock()
	v.target.drained = time.Now()
	v.target.mu.Unlock()
	w.register(v)
	time.AfterFunc(drainTime+longestFault, func() {
		v.impair(longestFault)
		v.target.crash()
		v.target.restart()
		w.register(v)
	})
}

// disturbAll makes faults in series that overlap until the end.
func (w *world) disturbAll(ctx context.Context, end time.Time, log func(string)) int {
	count := 0
	for ctx.Err() == nil && time.Now().Before(end) {
		f := faults[w.random.IntN(len(faults))]
		log(f.name)
		f.run(w)
		count++
		time.Sleep(time.Duration(100+w.random.IntN(900)) * time.Millisecond)
	}

	return count
}
