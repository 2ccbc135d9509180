package soak

import (
	"slices"
	"syscall"
	"time"

	"ibisfold.example/core/ticket"
)

const (
	// freezeDelay is how long after the registration of the first new target the source freezes.
	freezeDelay = 20 * time.Millisecond
	// drainDelay is the time from the registration of the last new target until the old ones
	// drain, rotationDelay the time from then until other entries leave the rotation.
	drainDelay    = 50 * time.Millisecond
	rotationDelay = 300 * time.Millisecond
	// releaseFreeze is how long the source stands still.
	releaseFreeze = 2500 * time.Millisecond
)

// releaseBesideFrozenSource replaces all targets of the first service by those of the reserves,
// while the source of an entry stands still. Other entries of its zone leave the rotation as
// planned, so that flows at the new targets move to it. In the end the old targets start again and
// take the place of the new ones.
func (b *testbed) releaseBesideFrozenSource() {
	b.startOrder(func(o *order) {
		follower, source := b.followerOutsideZone()
		if follower == nil {
			return
		}
		for i, v := range b.reserves {
			v.target.restart()
			b.register(v)
			if i == 0 {
				time.Sleep(freezeDelay)
				source.signal(syscall.SIGSTOP)
			}
		}
		time.Sleep(drainDelay)
		old := b.targetsOf(services[0])
		b.drain(old)
		time.Sleep(rotationDelay)
		for _, v := range b.entries {
			if v.zone == follower.zone && v != follower {
				v.signal(syscall.SIGTERM)
			}
		}
		time.Sleep(releaseFreeze - drainDelay - rotationDelay)
		// Until here nothing that the source did can have broken a guarantee.
		source.markImpaired(0)
		source.signal(syscall.SIGCONT)
		time.Sleep(maxDrainTime)
		b.restartTargets(old)
		time.Sleep(drainDelay)
		b.drain(b.reserves)
		time.Sleep(maxDrainTime + drainDelay)
		for _, v := range b.reserves {
			v.markImpaired(0)
			v.target.crash()
			b.store.RemoveTarget(v.target.id)
		}
	})
}

// followerOutsideZone returns an entry that follows a source in another zone, and that source. Both
// are nil if there is none.
func (b *testbed) followerOutsideZone() (follower, source *vm) {
	seeds := b.seedEntries()
	for _, v := range b.entries {
		s := seeds[ticket.ID(v.name)%uint64(len(seeds))]
		if v.feed == nil && s.zone != v.zone {
			return v, s
		}
	}

	return nil, nil
}

// targetsOf returns the VMs whose targets belong to a service and are in use.
func (b *testbed) targetsOf(service string) []*vm {
	return slices.DeleteFunc(slices.Clone(b.agents), func(v *vm) bool {
		return !v.target.belongsTo(service) || v.target.lent() || !v.target.ready()
	})
}

// drain registers targets as draining.
func (b *testbed) drain(list []*vm) {
	for _, v := range list {
		v.target.mu.Lock()
		v.target.drainingSince = time.Now()
		v.target.mu.Unlock()
		b.register(v)
	}
}

// restartTargets lets targets that drained start again.
func (b *testbed) restartTargets(list []*vm) {
	for _, v := range list {
		v.markImpaired(0)
		v.target.crash()
		v.target.restart()
		b.register(v)
	}
}
