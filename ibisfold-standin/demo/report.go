package demo

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"ibisfold.example/core/ticket"
	"ibisfold.example/ibisfold-standin/target"
)

// Bounds of the invariants; see section 2 of the design.
const (
	// maxZoneOutTime bounds the time for which a zone that is out of service gets packets,
	// maxTicketTime the time until a ticket is in force everywhere.
	maxZoneOutTime = 3 * time.Second
	maxTicketTime  = 5 * time.Second
)

// outage is the time for which a zone was out of service. Times count from the start of the
// run.
type outage struct {
	from time.Duration
	// lastPacketAt is when a target of the zone last got a packet, set at the end of the
	// outage.
	lastPacketAt time.Duration
	ended        bool
}

// result is what the run measured.
type result struct {
	// loadStart and loadEnd are the start and the end of the load.
	loadStart time.Duration
	loadEnd   time.Duration
	// ticket is the longest time until a ticket was in force everywhere.
	ticket time.Duration
	// zoneOutages holds the first outage of each zone.
	zoneOutages map[string]*outage
}

// zoneOutTime returns the longest time for which a zone still got packets after it was taken
// out of service.
func (r *run) zoneOutTime() time.Duration {
	longest := time.Duration(0)
	for z, o := range r.result.zoneOutages {
		lastPacketAt := o.lastPacketAt
		if !o.ended {
			lastPacketAt = r.lastPacket(z)
		}
		longest = max(longest, lastPacketAt-o.from)
	}

	return longest
}

// report prints the tables and the summary. Error: ErrInvariant.
func (r *run) report() error {
	r.printServices()
	r.printTargets()
	r.printBrokenFlows()
	r.printWrongService()
	imbalance := r.printImbalance()

	c := r.callers.Total()
	doubleRuns := len(r.ledger.DoubleRuns())
	falseNotRun, wrongService, overBound := 0, c.WrongService, 0
	for i := range r.site.start.Services {
		falseNotRun += r.callers.Stats(i).FalseNotRun(r.ledger)
	}
	for _, t := range r.targets {
		wrongService += t.Counters().WrongService
		overBound += t.Counters().OverBound
	}
	zoneOut := r.zoneOutTime()
	fmt.Printf("Flows=%d BrokenFlows=%d WrongService=%d DoubleRuns=%d FalseNotRun=%d Imbalance=%.2f ZoneOutSeconds=%.2f TicketSeconds=%.2f GivenUp=%d\n",
		c.Flows, c.Broken, wrongService, doubleRuns, falseNotRun, imbalance, zoneOut.Seconds(), r.result.ticket.Seconds(), c.GivenUp)

	violations := c.Broken + wrongService + doubleRuns + falseNotRun + c.WrongAnswers + overBound
	if violations > 0 || c.Flows == 0 || c.Answered == 0 || zoneOut > maxZoneOutTime || r.result.ticket > maxTicketTime {
		return ErrInvariant
	}

	return nil
}

// maxPrintedBrokenFlows bounds the number of broken flows that are printed for each service.
const maxPrintedBrokenFlows = 8

// printBrokenFlows prints the first broken flows of each service.
func (r *run) printBrokenFlows() {
	zones := map[uint64]string{}
	for _, z := range r.site.start.Zones {
		zones[ticket.ID(z.Name)] = z.Name
	}
	for i, s := range r.site.start.Services {
		broken := r.callers.Stats(i).BrokenFlows()
		for _, f := range broken[:min(len(broken), maxPrintedBrokenFlows)] {
			fmt.Printf("%6.2fs  flow %016x of %s broke: %s for request %d, owner %v in %s, opened at %.2fs, token of %.2fs\n",
				f.At.Sub(r.start).Seconds(), f.Flow, s.Name, f.Cause, f.Request, f.Agent, zones[f.Zone],
				f.Opened.Sub(r.start).Seconds(), f.TokenSince.Sub(r.start).Seconds())
		}
	}
}

// printWrongService prints the first requests that reached a target of another service.
func (r *run) printWrongService() {
	for _, v := range r.site.agents {
		for _, w := range r.targets[v.name].Misrouted() {
			fmt.Printf("%6.2fs  %s got request %d of flow %016x, pass %d, for %v, which it does not serve\n",
				w.At.Seconds(), v.name, w.Run.Request, w.Run.Flow, w.Attempt, w.Service)
		}
	}
}

// table returns a writer that aligns tab-separated columns on standard output.
func table() *tabwriter.Writer {
	const gap = 2

	return tabwriter.NewWriter(os.Stdout, 0, 0, gap, ' ', 0)
}

func (r *run) printServices() {
	w := table()
	fmt.Fprintln(w, "Tenant\tService\tFlows\tBroken\tGivenUp\tRequests\tAnswered\tNotRun\tUnknown\tNoAnswer\tNoFlow\tEnded\tRefusals\tRepeats\tMoved\tWrongAnswers\tp50 ms\tp99 ms")
	for i, l := range r.site.loads(r.options.Work, r.options.Share, r.options.Flows) {
		s := r.callers.Stats(i)
		c := s.Counts()
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n",
			l.Tenant, l.Service, c.Flows, c.Broken, c.GivenUp, c.Requests, c.Answered, c.NotRun, c.Unknown, c.NoAnswer,
			c.NoFlow, c.Ended, c.Refusals, c.Repeats, c.Moved, c.WrongAnswers,
			milliseconds(s.Latency(50)), milliseconds(s.Latency(99)))
	}
	_ = w.Flush()
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func (r *run) printTargets() {
	w := table()
	fmt.Fprintln(w, "Target\tZone\tPackets\tRuns\tShed\tOverBound\tSurprised\tFalls\tWrongService\tCancelled")
	for _, v := range r.site.agents {
		c := r.targets[v.name].Counters()
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			v.name, v.process.Zone, c.Packets, c.Runs, c.Shed, c.OverBound, c.Surprised, c.Falls, c.WrongService, c.Cancelled)
	}
	_ = w.Flush()
}

// printImbalance prints the imbalance of each service by window and returns the highest one.
func (r *run) printImbalance() float64 {
	highest := 0.0
	for _, s := range r.site.start.Services {
		usage := []target.Usage{}
		for name, t := range r.targets {
			if r.state.Targets[name].Value.Service == s.Name {
				usage = append(usage, t.Usage())
			}
		}
		windows := target.Imbalance(usage, r.result.loadStart, r.result.loadEnd)
		fmt.Printf("Imbalance of %s by window of %v: %.2f\n", s.Name, target.Window, windows)
		for _, x := range windows {
			highest = max(highest, x)
		}
	}

	return highest
}
