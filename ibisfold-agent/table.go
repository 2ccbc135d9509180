package main

import (
	"github.com/VictoriaMetrics/metrics"

	"ibisfold.example/core/conntrack"
)

// tableCounters count the flows in tables that outlive a planned stop.
type tableCounters struct {
	handedOver *metrics.Counter
	restored   *metrics.Counter
}

func newTableCounters(s *metrics.Set) tableCounters {
	return tableCounters{
		handedOver: s.NewCounter(`ibisfold_table_flows_total{event="handed_over"}`),
		restored:   s.NewCounter(`ibisfold_table_flows_total{event="restored"}`),
	}
}

// noteTable writes the line for a decision on a flow table. It returns false for any other.
func (p *opaqueAgent) noteTable(n conntrack.Note) bool {
	switch n.Decision {
	case conntrack.HandedOver:
		p.tables.handedOver.Add(n.Count)
		p.Log.Info(n.Decision.String(), "flows", n.Count)
	case conntrack.Restored, conntrack.RestoredIncomplete:
		p.tables.restored.Add(n.Count)
		p.Log.Info(n.Decision.String(), "flows", n.Count, "age", n.TableAge)
	default:
		return false
	}

	return true
}
