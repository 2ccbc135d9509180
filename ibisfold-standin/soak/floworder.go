package soak

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// maxStopDelay bounds the time between two stops of a series.
	maxStopDelay = 150 * time.Millisecond
	// stopSeries is the number of series of stops in an order.
	stopSeries = 3
	// firstPacketShare is the ratio of maxStopDelay to the largest time from a stop of agents to the first
	// packet of a new entry.
	firstPacketShare = 50
	// maxStall bounds the time for which an agent stands still.
	maxStall = stallShare * maxStopDelay
	// stallShare is the ratio of the time of a stall to the drawn delay.
	stallShare = 4
	// maxJoinTime bounds the wait until new entries are ready.
	maxJoinTime = 3 * time.Second
	// joinedTime is how long a new entry serves, leaveTime the time until it has ended.
	joinedTime = 2 * time.Second
	leaveTime  = 2 * time.Second
)

// randomHalf returns half of the VMs of each zone in random order.
func (b *testbed) randomHalf(list []*vm) []*vm {
	half := []*vm{}
	for _, zone := range zones {
		inZone := []*vm{}
		for _, v := range list {
			if v.zone == zone {
				inZone = append(inZone, v)
			}
		}
		for _, i := range b.random.Perm(len(inZone))[:len(inZone)/2] {
			half = append(half, inZone[i])
		}
	}
	b.random.Shuffle(len(half), func(i, j int) {
		half[i], half[j] = half[j], half[i]
	})

	return half
}

// rollAgents stops half of the agents as planned, several times in series. The series overlap
// with the restarts.
func (b *testbed) rollAgents() {
	b.startOrder(func(o *order) {
		for range stopSeries {
			o.stop(o.agents)
		}
	})
}

// rollEntries stops half of the entries as planned, several times in series, while agents stop.
func (b *testbed) rollEntries() {
	b.startOrder(func(o *order) {
		for range stopSeries {
			go o.stop(o.agents)
			o.stop(o.entries)
			time.Sleep(maxRestartDelay)
		}
	})
}

// stop stops VMs as planned, one after the other.
func (o *order) stop(list []*vm) {
	for i, v := range list {
		v.signal(syscall.SIGTERM)
		time.Sleep(o.delays[i])
	}
}

// joinEntries starts a new entry in each zone and stops half of the agents as planned. Right after
// that, the new entries get their first packets. They leave again.
func (b *testbed) joinEntries() {
	b.startOrder(func(o *order) {
		for _, v := range b.spares {
			v.held.Store(true)
			if err := v.resume(b.bin, b.dir); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
		b.awaitSpares()
		for _, v := range o.agents {
			v.signal(syscall.SIGTERM)
		}
		time.Sleep(o.delays[0] / firstPacketShare)
		b.router.admit(b.spares)
		time.Sleep(joinedTime)
		for _, v := range b.spares {
			v.leave()
		}
		time.Sleep(leaveTime)
	})
}

// stallAgents lets half of the agents stand still for up to maxStall, as processes do that get no
// processor time. This is no fault, so the guarantees are checked all the while.
func (b *testbed) stallAgents() {
	b.startOrder(func(o *order) {
		for range stopSeries {
			for i, v := range o.agents {
				v.signal(syscall.SIGSTOP)
				time.AfterFunc(o.delays[i]*stallShare, func() {
					v.signal(syscall.SIGCONT)
				})
			}
			time.Sleep(2 * maxStall)
		}
	})
}

// awaitSpares waits until all spare entries are ready.
func (b *testbed) awaitSpares() {
	c := &http.Client{
		Timeout: pollTimeout,
	}
	end := time.Now().Add(maxJoinTime)
	for _, v := range b.spares {
		for !v.ready(c) && time.Now().Before(end) {
			time.Sleep(pollInterval / 10)
		}
	}
}
