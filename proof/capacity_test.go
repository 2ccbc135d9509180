package proof

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"ibisfold.example/core/mesh"
	"ibisfold.example/core/mesh/meshtest"
	"ibisfold.example/core/ticket"
)

// capacityVariable is the environment variable that turns the measurements on.
// Its value is a comma-separated list of fleet sizes, in nodes.
const capacityVariable = "IBISFOLD_CAPACITY"

// maxPartitionNodes is the largest fleet for which an hour of partition is simulated.
const maxPartitionNodes = 740

// capacitySizes returns the fleet sizes to measure, or skips the test.
func capacitySizes(t *testing.T) []int {
	t.Helper()
	v := os.Getenv(capacityVariable)
	if v == "" {
		t.Skip(capacityVariable + " is not set")
	}
	sizes := []int{}
	for s := range strings.SplitSeq(v, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, n)
	}

	return sizes
}

// table holds measurements that are printed and written to docs/capacity as CSV.
type table struct {
	name string
	rows [][]string
}

func (b *table) add(values ...any) {
	row := []string{}
	for _, v := range values {
		if f, ok := v.(float64); ok {
			v = fmt.Sprintf("%.2f", f)
		}
		row = append(row, fmt.Sprint(v))
	}
	b.rows = append(b.rows, row)
	fmt.Println(b.name, strings.Join(row, "\t"))
}

// write merges the rows into the CSV file. A measured row replaces the rows of the
// file with the same first two columns.
func (b *table) write(t *testing.T) {
	t.Helper()
	dir := filepath.Join("..", "docs", "capacity")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, b.name+".csv")
	measured := map[string]bool{}
	for _, r := range b.rows {
		measured[r[0]+","+r[1]] = true
	}
	for _, r := range readRows(path) {
		if !measured[r[0]+","+r[1]] {
			b.rows = append(b.rows, r)
		}
	}
	slices.SortStableFunc(b.rows[1:], func(x, y []string) int {
		return cmp.Or(cmp.Compare(number(x[0]), number(y[0])), cmp.Compare(number(x[1]), number(y[1])))
	})
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if err := csv.NewWriter(f).WriteAll(b.rows); err != nil {
		t.Fatal(err)
	}
}

// number returns the value of a numeric column, or zero for other text.
func number(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}

	return n
}

func readRows(path string) [][]string {
	f, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil
	}

	return rows
}

func seconds(d time.Duration) float64 { return d.Seconds() }

// boundVerdict returns the text for a figure that is within its bound, or not.
func boundVerdict(ok bool) string {
	if ok {
		return "ok"
	}

	return "MISSED"
}

// TestCapacitySpread measures how long a ticket takes to be in force at all nodes,
// and the bytes that its distribution costs.
func TestCapacitySpread(t *testing.T) {
	sizes := capacitySizes(t)
	for _, loss := range []float64{0, 0.1} {
		t.Run(fmt.Sprintf("Loss%.0f", 100*loss), func(t *testing.T) {
			b := &table{
				name: "spread",
			}
			b.add("Nodes", "LossPercent", "Ticket", "Compressed", "SecondsHalf", "SecondsP99", "SecondsAll", "Bound",
				"Verdict", "MeanBytesPerSecond", "HighestBytesPerSecond", "PeakBytesInASecond")
			for _, n := range sizes {
				f := newFleet(1, n, agentCount(n))
				f.Loss = loss
				f.Run(30 * time.Second)
				f.spread(b, "small", f.drainTicket(), 13)
				f.spread(b, "zone-out", f.zoneTicket(1, false), 3)
				for _, k := range []int{1, 4, 8, 10, 13, 26} {
					f.spread(b, fmt.Sprintf("%dKB", k), f.ticketOfSize(k*1000), 13)
				}
			}
			b.write(t)
		})
	}
}

// spread publishes a ticket and adds a row with the seconds until it is in force and the
// bytes that this costs. The bound of the time at all nodes is in seconds.
func (f *fleet) spread(b *table, name string, text []byte, bound float64) {
	const (
		limit = 120 * time.Second
		// refillTime lets the send budgets of the nodes fill up again.
		refillTime = 40 * time.Second
	)
	f.publish(text)
	before, start := f.bytes(), f.Now
	f.RunUntil(limit, func() bool { return f.Missing == 0 })
	took := f.Now - start
	if rest := 13*time.Second - took; rest > 0 {
		f.Run(rest)
	}
	mean, highest, peak := f.rates(before, f.Now-start)
	half, p99, all := f.times(start, limit)
	b.add(len(f.Nodes), int(100*f.Loss), name, len(mesh.Compress(text)), half, p99, all, bound, boundVerdict(f.Missing == 0 && all <= bound),
		mean, highest, peak)
	f.Run(refillTime)
}

// TestCapacityIdle measures bytes, real CPU time and reads of the configuration
// service while no ticket is published.
func TestCapacityIdle(t *testing.T) {
	const idle = 60 * time.Second
	sizes := capacitySizes(t)
	b := &table{
		name: "idle",
	}
	b.add("Nodes", "LossPercent", "MeanBytesPerSecond", "HighestBytesPerSecond", "Verdict", "PeakBytesInASecond",
		"Readers", "ConfigReadsPerSecond", "UnconfirmedPercent", "CPUPercentOfCore", "CPUVerdict")
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.1, 0.3} {
			f := newFleet(2, n, agentCount(n))
			f.Loss = loss
			f.Run(60 * time.Second)
			f.WatchFor(f.Watch)
			before, reads := f.bytes(), f.Config.Reads
			f.MeasureUpdates, f.UpdateTime = true, 0
			unconfirmedSeconds := 0
			for range int(idle / time.Second) {
				f.Run(time.Second)
				unconfirmedSeconds += f.unconfirmed()
			}
			mean, highest, peak := f.rates(before, idle)
			cpu := 100 * f.UpdateTime.Seconds() / idle.Seconds() / float64(n)
			b.add(n, int(100*loss), mean, highest, boundVerdict(highest <= mesh.BudgetRate), peak, f.readers(),
				float64(f.Config.Reads-reads)/idle.Seconds(), 100*float64(unconfirmedSeconds)/float64(n)/idle.Seconds(),
				fmt.Sprintf("%.4f", cpu), boundVerdict(cpu <= 3.4))
		}
	}
	b.write(t)
}

// unconfirmed returns the number of running nodes without a valid lease on their view.
func (f *fleet) unconfirmed() int {
	n := 0
	for _, v := range f.Nodes {
		if !v.Down && v.Core.ConfirmedUntil() <= f.Now {
			n++
		}
	}

	return n
}

func (f *fleet) readers() int {
	n := 0
	for _, v := range f.Nodes {
		if v.Core.Reader() {
			n++
		}
	}

	return n
}

// TestCapacityRecovery measures how restarted nodes get the state back from other
// nodes while the configuration service is down. The state has 3,700 targets.
func TestCapacityRecovery(t *testing.T) {
	sizes := capacitySizes(t)
	b := &table{
		name: "recovery",
	}
	b.add("Nodes", "Case", "Restarted", "StateBytes", "SecondsHalf", "SecondsAll", "BytesPerRestartedNode", "MeanBytesPerOtherNode")
	for _, n := range sizes {
		f := newFleet(3, n, 3700)
		f.Run(40 * time.Second)
		f.Config.Down = true
		entries := []*meshtest.Node{}
		zone := []*meshtest.Node{}
		for _, v := range f.Nodes {
			if v.Self.Role == mesh.RoleEntry {
				entries = append(entries, v)
			}
			if v.Self.Zone == zoneName(4) {
				zone = append(zone, v)
			}
		}
		f.recover(b, "one entry", entries[len(entries)-1:])
		if len(entries) > 50 {
			f.recover(b, "40 entries", entries[5:45])
		}
		if n >= 40 {
			f.recover(b, "zone", zone)
		}
		if n <= maxPartitionNodes {
			f.partition(b)
		}
	}
	b.write(t)
}

// recover restarts nodes without state and waits until they have the state and
// their views are confirmed.
func (f *fleet) recover(b *table, name string, nodes []*meshtest.Node) {
	const limit = 10 * time.Minute
	seeds := []netip.AddrPort{}
	for _, v := range f.Nodes[:zones] {
		seeds = append(seeds, v.Self.Addr)
	}
	restarted := map[*meshtest.Node]bool{}
	before := f.bytes()
	start := f.Now
	for _, v := range nodes {
		restarted[v] = true
		f.Start(v, seeds...)
	}
	times := []time.Duration{}
	done := map[*meshtest.Node]bool{}
	f.RunUntil(limit, func() bool {
		for _, v := range nodes {
			if !done[v] && v.Core.ConfirmedUntil() > f.Now {
				done[v] = true
				times = append(times, f.Now-start)
			}
		}

		return len(done) == len(nodes) && f.Converged()
	})
	for len(times) < len(nodes) {
		times = append(times, limit)
	}

	own, others := 0.0, 0.0
	after := f.bytes()
	for i, v := range f.Nodes {
		if restarted[v] {
			own += float64(after[i]) / float64(len(nodes))
		} else {
			others += float64(after[i]-before[i]) / float64(len(f.Nodes)-len(nodes))
		}
	}
	b.add(len(f.Nodes), name, len(nodes), len(mesh.Compress(f.texts[0])), seconds(times[len(times)/2]),
		seconds(times[len(times)-1]), own, others)
	f.Run(time.Minute)
}

// partition cuts a region off for an hour, gives both sides tickets meanwhile, and
// measures how long the states take to converge afterwards.
func (f *fleet) partition(b *table) {
	f.Blocked = func(x, y *meshtest.Node) bool { return (x.Region == 0) != (y.Region == 0) }
	f.Run(time.Hour)
	for i, text := range [][]byte{f.zoneTicket(3, false), f.drainTicket(), f.ticketOfSize(1000), f.zoneTicket(4, false)} {
		v := f.Nodes[0]
		for k := range f.Nodes {
			if (f.Nodes[k].Region == 0) == (i%2 == 0) {
				v = f.Nodes[k]
			}
		}
		f.texts = append(f.texts, text)
		f.Update(v, mesh.ConfigRead{
			Texts: [][]byte{text},
		})
	}
	f.Run(time.Minute)
	f.Blocked = func(*meshtest.Node, *meshtest.Node) bool { return false }
	before, start := f.bytes(), f.Now
	half := time.Duration(0)
	f.RunUntil(5*time.Minute, func() bool {
		n := 0
		for _, v := range f.Nodes {
			if v.Core.State().Digest() == f.Nodes[0].Core.State().Digest() {
				n++
			}
		}
		if half == 0 && 2*n > len(f.Nodes) {
			half = f.Now - start
		}

		return f.Converged()
	})
	mean, _, _ := f.rates(before, time.Second)
	b.add(len(f.Nodes), "region parted for 1 h", 0, 0, seconds(half), seconds(f.Now-start), 0, mean)
}

// TestCapacityMemory measures the heap of a core that shares no memory with other
// cores, and the real time to parse, check and merge the complete ticket.
func TestCapacityMemory(t *testing.T) {
	capacitySizes(t)
	const cores = 16
	b := &table{
		name: "memory",
	}
	b.add("Targets", "TextBytes", "CompressedBytes", "HeapBytesPerCore", "Verdict", "MergeCPUSeconds")
	for _, targets := range []int{30, 370, 3700} {
		f := newFleet(4, 18, targets)
		text := f.texts[0]
		self := f.Nodes[0].Self
		f = nil
		all := []*mesh.Core{}
		used := heap()
		begin := time.Now()
		for range cores {
			c := mesh.New(mesh.Options{
				Self: self,
			})
			c.Update(0, mesh.ConfigRead{
				Texts: [][]byte{slices.Clone(text)},
			})
			all = append(all, c)
		}
		took := time.Since(begin).Seconds() / cores
		perCore := (heap() - used) / cores
		b.add(targets, len(text), len(mesh.Compress(text)), int(perCore), boundVerdict(perCore <= 32e6), took)
		runtime.KeepAlive(all)
	}
	b.write(t)
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)

	return float64(m.HeapAlloc)
}

// TestCapacityZoneOut measures how fast a zone-out ticket spreads that only one
// node got from the configuration service, five times for each rate of loss.
func TestCapacityZoneOut(t *testing.T) {
	const (
		limit      = 30 * time.Second
		bound      = 3.0
		refillTime = 20 * time.Second
		tries      = 5
	)
	sizes := capacitySizes(t)
	b := &table{
		name: "zoneout",
	}
	b.add("Nodes", "LossPercent", "Try", "SecondsHalf", "SecondsP99", "SecondsAll", "Bound", "Verdict")
	for _, n := range sizes {
		f := newFleet(5, n, min(agentCount(n), 616))
		for _, loss := range []float64{0, 0.1, 0.3} {
			f.Loss = loss
			for i := range tries {
				text := f.zoneTicket(i, false)
				p, err := ticket.Parse(text)
				if err != nil {
					t.Fatal(err)
				}
				f.WatchFor(p.Version)
				start := f.Now
				f.Update(f.Nodes[f.random.IntN(n)], mesh.ConfigRead{
					Texts: [][]byte{text},
				})
				f.RunUntil(limit, func() bool { return f.Missing == 0 })
				half, p99, all := f.times(start, limit)
				b.add(n, int(100*loss), i, half, p99, all, bound, boundVerdict(f.Missing == 0 && all <= bound))
				f.Run(refillTime)
			}
		}
	}
	b.write(t)
}

// times returns the seconds from start until the watched ticket was in force at
// half, at 99% and at all of the nodes. Nodes without it count as limit.
func (f *fleet) times(start, limit time.Duration) (half, p99, all float64) {
	times := []time.Duration{}
	for _, v := range f.Nodes {
		d := v.InForce - start
		if v.InForce == 0 {
			d = limit
		}
		times = append(times, d)
	}
	slices.Sort(times)

	return seconds(times[len(times)/2]), seconds(times[len(times)*99/100]), seconds(times[len(times)-1])
}
