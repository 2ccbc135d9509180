package feed

import (
	"time"

	"ibisfold.example/core/catalog"
)

// changes returns a complete batch as changes of a catalog.State.
func (b *Batch) changes(afterOutage bool) []catalog.Change {
	list := []catalog.Change{
		catalog.Listing{
			Changes:     b.Changes,
			AfterOutage: afterOutage,
		},
	}
	for _, d := range b.Departed {
		list = append(list, d)
	}

	return list
}

// mayHold returns the targets of a batch that may hold flows, as ones that left; those
// that it lists as having left just now.
func (b *Batch) mayHold() []catalog.TargetDeparted {
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

// apply hands on what an upstream told; current means that the upstream was.
func (f *Follower) apply(b Batch, current bool) {
	f.revision = max(f.revision, b.Revision)
	after := b.AfterOutage || f.afterOutage()
	if b.Complete {
		f.report(b.changes(after), b.confirmation(current))

		return
	}
	// Peers may be reading b from the log.
	changes := make([]catalog.Change, 0, len(b.Changes))
	for _, c := range b.Changes {
		if g, ok := c.(catalog.TargetGone); ok {
			g.AfterOutage = g.AfterOutage || after
			c = g
		}
		changes = append(changes, c)
	}
	for _, d := range b.Departed {
		changes = append(changes, d)
	}
	f.report(changes, b.confirmation(current))
}

// confirmation returns what a batch that has just come says of the list of targets.
func (b *Batch) confirmation(current bool) Confirmation {
	return Confirmation{
		Current: current,
		Age:     b.Age,
	}
}

// report hands on changes, and the confirmation of an upstream that is current. While
// the question for departed targets is open, a confirmation waits: a reset needs
// both.
func (f *Follower) report(changes []catalog.Change, c Confirmation) {
	f.reports.Lock()
	defer f.reports.Unlock()
	if c.Current && f.learning {
		f.held = time.Now().Add(-c.Age)
		c.Current = false
	}
	if len(changes) > 0 {
		f.Change(changes, c)
	}
	if c.Current {
		f.Confirmed(c.Age)
	}
}

// unconfirm drops a confirmation that waits, as the upstream has failed since.
func (f *Follower) unconfirm() {
	f.reports.Lock()
	defer f.reports.Unlock()
	f.held = time.Time{}
}
