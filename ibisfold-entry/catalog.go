package main

import (
	"fmt"
	"strings"
	"time"

	"ibisfold.example/core/catalog"
	"ibisfold.example/core/feed"
	"ibisfold.example/core/steer"
)

const (
	// maxLoggedTargets bounds the targets that a log line names in each of its lists.
	maxLoggedTargets = 8
	// maxConfirmationDelay bounds how long a confirmation may wait for the goroutine that
	// owns the state. A longer wait means that the process was paused, and the list may
	// have changed in the meantime.
	maxConfirmationDelay = 500 * time.Millisecond
)

// catalogUpdate describes what led to a new snapshot of the catalog.
type catalogUpdate struct {
	// origin is "listing" or "changes" by the kind of the answer, "source" if a source
	// reported targets that left, and "time" if a grace period or the maximum age of a
	// departed target has ended. It is logged.
	origin string
	// afterOutage means that the answer came after an outage of the configuration service,
	// so the entries of living targets may have expired. It is logged.
	afterOutage bool
	// restored means that the listing is of a configuration service that came back from an
	// older copy of its data. It is logged.
	restored bool
	// confirmation states whether the answer confirms the list of targets.
	confirmation feed.Confirmation
}

// describeChanges returns the update for the changes of one answer. The origin of an answer
// that contains a listing is always "listing".
func describeChanges(changes []catalog.Change, confirmation feed.Confirmation) catalogUpdate {
	u := catalogUpdate{
		origin:       "changes",
		confirmation: confirmation,
	}
	for _, c := range changes {
		switch c := c.(type) {
		case catalog.Listing:
			u.origin = "listing"
			u.afterOutage = c.AfterOutage
			u.restored = c.Restored
		case catalog.TargetGone:
			u.afterOutage = u.afterOutage || c.AfterOutage
		case catalog.TargetDeparted:
			if u.origin != "listing" {
				u.origin = "source"
			}
		}
	}

	return u
}

// applyChanges implements feed.Follower.Change. It adds to the age of the confirmation how
// long the changes waited for the goroutine that owns the state. After maxConfirmationDelay
// the changes still apply, but no longer confirm the list of targets.
func (p *opaqueEntry) applyChanges(changes []catalog.Change, c feed.Confirmation) {
	received := p.Clock()
	p.Post(func() {
		changed := false
		for _, c := range changes {
			changed = p.state.Apply(p.Clock(), c) || changed
		}
		p.configs.observe(&p.state)
		if changed {
			delay := p.Clock() - received
			c.Current = c.Current && delay < maxConfirmationDelay
			c.Age += delay
			c.MaxAge += delay
			p.publish(describeChanges(changes, c))
		}
	})
}

// handleConfirmation implements feed.Follower.Confirmed. It ignores a confirmation that
// waited for maxConfirmationDelay or longer.
func (p *opaqueEntry) handleConfirmation(c feed.Confirmation) {
	received := p.Clock()
	p.Post(func() {
		now := p.Clock()
		if now-received >= maxConfirmationDelay {
			return
		}
		p.confirmedAt.Store(max(p.confirmedAt.Load(), int64(received-c.Age)))
		p.execute(p.core.Update(now, steer.CatalogConfirmed{
			Age:    now - received + c.Age,
			MaxAge: now - received + c.MaxAge,
		}))
	})
}

// publish logs the current snapshot of routes and targets and passes it to the core. It does
// nothing until the catalog is ready.
func (p *opaqueEntry) publish(u catalogUpdate) {
	n := p.state.Snapshot()
	if n == nil {
		return
	}
	p.ready.Store(true)
	p.logCatalog(n, u)
	p.published = n
	p.departedTargets.Store(int64(len(n.Departed)))
	p.execute(p.core.Update(p.Clock(), steer.CatalogChanged{
		Snapshot:  n,
		Wall:      time.Now().UnixMilli(),
		Confirmed: u.confirmation.Current,
		Age:       u.confirmation.Age,
		MaxAge:    u.confirmation.MaxAge,
	}))
}

func (p *opaqueEntry) logCatalog(n *catalog.Snapshot, u catalogUpdate) {
	targets := 0
	for _, g := range n.Groups {
		targets += len(g)
	}
	p.Log.Info("catalog changed", "version", n.Config.Version, "routes", len(n.Config.Routes), "targets", targets,
		"undeclared", n.Undeclared(), "hidden", n.Hidden, "restored", u.restored, "unconfirmed", p.state.Unconfirmed())
	d := n.Since(p.published)
	if d.Empty() {
		return
	}
	p.Log.Info("targets changed", "added", formatTargets(d.Added), "removed", formatTargets(d.Removed),
		"departed", formatTargets(d.Departed), "count", targets, "departed_count", len(n.Departed),
		"by", u.origin, "after_outage", u.afterOutage)
}

// formatTargets returns the IDs and addresses of the first maxLoggedTargets targets, followed
// by the number of the others if there are any.
func formatTargets(list []catalog.Member) string {
	names := []string{}
	for _, m := range list[:min(len(list), maxLoggedTargets)] {
		names = append(names, m.ID+" "+m.Address.String())
	}
	if len(list) > maxLoggedTargets {
		names = append(names, fmt.Sprintf("%d more", len(list)-maxLoggedTargets))
	}

	return strings.Join(names, ", ")
}

// registerCatalogGauges registers the gauges of the number of departed targets and of the
// age of the last confirmation. Before the first confirmation, that is the age of the process.
func (p *opaqueEntry) registerCatalogGauges() {
	p.Metrics.NewGauge("ibisfold_targets_departed", func() float64 {
		return float64(p.departedTargets.Load())
	})
	p.Metrics.NewGauge("ibisfold_catalog_confirmed_age_seconds", func() float64 {
		return (p.Clock() - time.Duration(p.confirmedAt.Load())).Seconds()
	})
}
