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
	// namedTargets bounds the targets that a line of the log names in each list.
	namedTargets = 8
	// confirmTime is how long a confirmation may wait for the owner of the state: after
	// that the process stood still, and the list may have changed.
	confirmTime = 500 * time.Millisecond
)

// catalogNews is what a line of the log tells of the reason for a change.
type catalogNews struct {
	// by is the kind of the answer: a listing, changes, or what a source told of targets
	// that left. It is "time" if a grace or an age has ended.
	by          string
	afterOutage bool
	// confirmation is what the answer says of the list of targets.
	confirmation feed.Confirmation
}

func newsOf(changes []catalog.Change, confirmation feed.Confirmation) catalogNews {
	n := catalogNews{
		by:           "changes",
		confirmation: confirmation,
	}
	for _, c := range changes {
		switch c := c.(type) {
		case catalog.Listing:
			n.by = "listing"
			n.afterOutage = c.AfterOutage
		case catalog.TargetGone:
			n.afterOutage = n.afterOutage || c.AfterOutage
		case catalog.TargetDeparted:
			if n.by != "listing" {
				n.by = "source"
			}
		}
	}

	return n
}

// change is called by the follower for each answer that brings changes.
func (p *opaqueEntry) change(changes []catalog.Change, c feed.Confirmation) {
	at := p.Clock()
	p.Post(func() {
		changed := false
		for _, c := range changes {
			changed = p.state.Apply(p.Clock(), c) || changed
		}
		if changed {
			waited := p.Clock() - at
			c.Current = c.Current && waited < confirmTime
			c.Age += waited
			p.publish(newsOf(changes, c))
		}
	})
}

// confirm is called by the follower for each answer of an upstream that is current.
func (p *opaqueEntry) confirm(age time.Duration) {
	at := p.Clock()
	p.Post(func() {
		now := p.Clock()
		if now-at >= confirmTime {
			return
		}
		p.confirmed.Store(max(p.confirmed.Load(), int64(at-age)))
		p.execute(p.core.Update(now, steer.CatalogConfirmed{
			Age: now - at + age,
		}))
	})
}

// publish hands the core a new view of routes and targets.
func (p *opaqueEntry) publish(news catalogNews) {
	n := p.state.Snapshot()
	if n == nil {
		return
	}
	p.ready.Store(true)
	p.logCatalog(n, news)
	p.view = n
	p.departed.Store(int64(len(n.Departed)))
	p.execute(p.core.Update(p.Clock(), steer.CatalogChanged{
		Snapshot:  n,
		Wall:      time.Now().UnixMilli(),
		Confirmed: news.confirmation.Current,
		Age:       news.confirmation.Age,
	}))
}

func (p *opaqueEntry) logCatalog(n *catalog.Snapshot, news catalogNews) {
	targets := 0
	for _, g := range n.Groups {
		targets += len(g)
	}
	p.Log.Info("catalog changed", "version", n.Config.Version, "routes", len(n.Config.Routes), "targets", targets)
	d := n.Since(p.view)
	if d.Empty() {
		return
	}
	p.Log.Info("targets changed", "added", nameTargets(d.Added), "removed", nameTargets(d.Removed),
		"departed", nameTargets(d.Departed), "count", targets, "departed_count", len(n.Departed),
		"by", news.by, "after_outage", news.afterOutage)
}

// nameTargets returns the ids and addresses of the first targets, and the number of the
// others.
func nameTargets(list []catalog.Member) string {
	names := []string{}
	for _, m := range list[:min(len(list), namedTargets)] {
		names = append(names, m.ID+" "+m.Address.String())
	}
	if len(list) > namedTargets {
		names = append(names, fmt.Sprintf("%d more", len(list)-namedTargets))
	}

	return strings.Join(names, ", ")
}

// registerCatalogGauges shows the departed targets and how old the last confirmation
// of the list is; before the first one it is the age of the process.
func (p *opaqueEntry) registerCatalogGauges() {
	p.Metrics.NewGauge("ibisfold_targets_departed", func() float64 {
		return float64(p.departed.Load())
	})
	p.Metrics.NewGauge("ibisfold_catalog_confirmed_age_seconds", func() float64 {
		return (p.Clock() - time.Duration(p.confirmed.Load())).Seconds()
	})
}
