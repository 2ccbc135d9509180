package main

import (
	"github.com/VictoriaMetrics/metrics"

	"ibisfold.example/core/conntrack"
)

// tableCounters counts the flows in the flow tables that are handed over at a planned stop
// and restored at the next start.
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

// recordTableDecision counts and logs a decision on a flow table. It returns false, and does
// nothing, for any other decision.
func (p *opaqueAgent) recordTableDecision(n conntrack.Note) bool {
	switch n.Decision {
	case conntrack.HandedOver:
		p.tableFlows.handedOver.Add(n.Count)
		p.Log.Info(n.Decision.String(), "flows", n.Count)
	case conntrack.Restored, conntrack.RestoredIncomplete:
		p.tableFlows.restored.Add(n.Count)
		p.Log.Info(n.Decision.String(), "flows", n.Count, "age", n.TableAge)
	default:
		return false
	}

	return true
}
