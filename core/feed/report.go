package feed

import (
	"slices"
	"time"

	"ibisfold.example/core/catalog"
)

// stateChanges returns a complete batch as changes for a catalog.State.
func (b *Batch) stateChanges(afterOutage, restored bool) []catalog.Change {
	list := []catalog.Change{
		catalog.Listing{
			Changes:     b.Changes,
			AfterOutage: afterOutage,
			Restored:    restored,
		},
	}
	for _, d := range b.Departed {
		list = append(list, d)
	}

	return list
}

// possibleHolders returns the targets of a batch that may hold flows, as departed ones. A
// target that the batch lists gets age zero, because it may have left since.
func (b *Batch) possibleHolders() []catalog.TargetDeparted {
	list := b.Departed[:len(b.Departed):len(b.Departed)]
	for _, c := range b.Changes {
		if c, ok := c.(catalog.TargetChange); ok {
			list = append(list, catalog.TargetDeparted{
				Target: c.Target,
			})
		}
	}

	return list
}

// apply reports an answer; current means that the upstream was current.
func (f *Follower) apply(b Batch, current bool) {
	if f.Log != nil {
		f.Log.LearnConfig(b.Changes)
	}
	after := b.AfterOutage || f.afterOutage()
	if b.Complete {
		f.report(b.stateChanges(after, f.recentlyRestored()), f.confirmation(&b, current))

		return
	}
	// Followers may be reading the same batch from the Log, so its changes are copied.
	stateChanges := make([]catalog.Change, 0, len(b.Changes))
	for _, c := range b.Changes {
		if g, ok := c.(catalog.TargetGone); ok {
			g.AfterOutage = g.AfterOutage || after
			c = g
		}
		stateChanges = append(stateChanges, c)
	}
	for _, d := range b.Departed {
		stateChanges = append(stateChanges, d)
	}
	f.report(stateChanges, f.confirmation(&b, current))
}

// confirmation returns the Confirmation of a batch that has just arrived. While the service may
// lack entries of living targets, after an outage or a return from an older copy, no answer shows
// that the list is complete.
func (f *Follower) confirmation(b *Batch, current bool) Confirmation {
	c := Confirmation{
		Current: current,
		Age:     b.Age,
		MaxAge:  b.MaxAge,
	}
	if b.AfterOutage || f.afterOutage() || f.recentlyRestored() {
		c.MaxAge = maxAge
	}

	return c
}

// report passes on changes and the confirmation of a current upstream. While the sources are
// being asked for departed targets the confirmation is held back: a flow is reset only on a
// list that is both confirmed and complete with departed targets.
func (f *Follower) report(changes []catalog.Change, c Confirmation) {
	f.reportMutex.Lock()
	defer f.reportMutex.Unlock()
	if c.Current && f.learning {
		f.pendingConfirmation = c
		f.pendingSince = time.Now()
		c.Current = false
	}
	if len(changes) > 0 {
		f.configReported = f.configReported || hasConfig(changes)
		f.Change(changes, c)
	}
	if c.Current {
		f.Confirmed(c)
	}
}

// hasConfig reports whether there is a configuration among changes, also within a listing.
func hasConfig(changes []catalog.Change) bool {
	return slices.ContainsFunc(changes, func(c catalog.Change) bool {
		switch c := c.(type) {
		case catalog.ConfigChange:
			return true
		case catalog.Listing:
			return hasConfig(c.Changes)
		}

		return false
	})
}

// dropPendingConfirmation discards a confirmation that is held back, because the upstream has
// failed since.
func (f *Follower) dropPendingConfirmation() {
	f.reportMutex.Lock()
	defer f.reportMutex.Unlock()
	f.pendingConfirmation = Confirmation{}
}
