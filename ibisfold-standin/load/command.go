package load

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"
	"github.com/juju/errors"

	"ibisfold.example/ibisfold-standin/config"
)

// Sentinel errors of this package.
const (
	ErrNotReady = errors.ConstError("entry did not become ready")
	ErrTooSlow  = errors.ConstError("entry passes too few packets")
)

const (
	// readyTimeout bounds the time that the entry may take to become ready.
	readyTimeout = 15 * time.Second
	// stopTimeout bounds the graceful shutdown of a program before it is killed.
	stopTimeout = 3 * time.Second
	// minRatio is the smallest acceptable ratio of the entry's throughput to the relay's.
	minRatio = 0.8
)

// Command measures the throughput of an entry relative to a relay.
type Command struct {
	pps    bool
	bin    string
	time   time.Duration
	rounds int
	flows  int
	limit  int
	seed   uint64
}

// Name returns the subcommand's name.
func (*Command) Name() string { return "load" }

// Synopsis describes the subcommand in one line.
func (*Command) Synopsis() string {
	return "measure packets a second through an entry and a bare relay"
}

// Usage describes the subcommand.
func (*Command) Usage() string {
	return "load --pps --bin bin\n"
}

// SetFlags declares the flags.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.pps, "pps", true, "measure packets a second")
	f.StringVar(&c.bin, "bin", "bin", "directory of the programs")
	f.DurationVar(&c.time, "time", 600*time.Millisecond, "length of one round")
	f.IntVar(&c.rounds, "rounds", 16, "rounds through each of relay and entry")
	f.IntVar(&c.flows, "flows", 64, "number of flows")
	f.IntVar(&c.limit, "limit", 5_000_000, "packets of one sender in one round")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the flows")
}

// Execute measures and prints the ratio. It fails if the ratio is below minRatio.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.pps || c.rounds < 1 {
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx); err != nil {
		log.Error("load failed", "err", err)
		return subcommands.ExitFailure
	}

	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := newSink(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return err
	}
	defer s.conn.Close()
	a, err := freeAddrs()
	if err != nil {
		return err
	}
	a.agent = s.addr()
	if err := serveTicket(ctx, a); err != nil {
		return err
	}
	relayAddr, err := freeUDP()
	if err != nil {
		return err
	}

	dir, err := os.MkdirTemp("", "ibisfold-load-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	path, err := a.writeSettings(dir)
	if err != nil {
		return err
	}
	entry, err := startProgram(filepath.Join(c.bin, "ibisfold-entry"), "--settings", path)
	if err != nil {
		return err
	}
	defer entry.stop()
	relay, err := startProgram(filepath.Join(c.bin, "ibisfold-standin"),
		"relay", "--listen", relayAddr.String(), "--to", a.agent.String())
	if err != nil {
		return err
	}
	defer relay.stop()
	if err := waitReady(ctx, a.http); err != nil {
		return err
	}

	m, err := c.measure(ctx, s, a, relayAddr)
	if err != nil {
		return err
	}
	entry.stop()
	relay.stop()

	return m.report(relay, entry)
}

// measurement holds the results of all rounds.
type measurement struct {
	// relay and entry are the packets per second of each round, ratios those of entry to relay.
	relay  []float64
	entry  []float64
	ratios []float64
	// relayPackets and entryPackets are the numbers of packets forwarded in all rounds.
	relayPackets float64
	entryPackets float64
}

// measure alternates between relay and entry, so that other work on the machine affects both
// equally.
func (c *Command) measure(ctx context.Context, s *sink, a *addrs, relayAddr netip.AddrPort) (*measurement, error) {
	packets, err := a.packets(c.flows, c.seed)
	if err != nil {
		return nil, err
	}
	m := &measurement{}
	for i := range c.rounds {
		relayRate, err := measureRate(ctx, s, relayAddr, packets, c.time, c.limit)
		if err != nil {
			return nil, err
		}
		entryRate, err := measureRate(ctx, s, a.callers, packets, c.time, c.limit)
		if err != nil {
			return nil, err
		}
		m.relay = append(m.relay, relayRate)
		m.entry = append(m.entry, entryRate)
		m.ratios = append(m.ratios, entryRate/relayRate)
		m.relayPackets += relayRate * c.time.Seconds()
		m.entryPackets += entryRate * c.time.Seconds()
		fmt.Printf("round %2d: relay %.0f/s, entry %.0f/s, ratio %.2f\n", i+1, relayRate, entryRate, entryRate/relayRate)
	}

	return m, nil
}

// report prints the median of the rounds' ratios, and the packets per second of CPU time, which
// depend less on other work on the machine. Both programs must have ended. Error: ErrTooSlow.
func (m *measurement) report(relay, entry *program) error {
	relayPerCPUSecond, entryPerCPUSecond := m.relayPackets/relay.cpuTime().Seconds(), m.entryPackets/entry.cpuTime().Seconds()
	fmt.Printf("packets for each CPU second: relay %.0f, entry %.0f, ratio %.2f\n", relayPerCPUSecond, entryPerCPUSecond, entryPerCPUSecond/relayPerCPUSecond)
	ratio := median(m.ratios)
	fmt.Printf("RelayPPS=%.0f EntryPPS=%.0f Ratio=%.2f Goal=%.2f\n", median(m.relay), median(m.entry), ratio, minRatio)
	if ratio < minRatio {
		return ErrTooSlow
	}

	return nil
}

func median(x []float64) float64 {
	x = slices.Sorted(slices.Values(x))

	return x[len(x)/2]
}

// serveTicket runs a configuration service with the measurement's ticket until ctx is done.
func serveTicket(ctx context.Context, a *addrs) error {
	s := &config.Server{
		Store: &config.Store{},
		VMs:   &config.VMs{},
	}
	if err := s.Store.Publish(config.Prefix+"0001", []byte(a.ticket())); err != nil {
		return err
	}
	l, err := net.Listen("tcp", a.consul.String())
	if err != nil {
		return errors.Trace(err)
	}
	go func() {
		_ = s.Serve(ctx, l)
	}()

	return nil
}

// waitReady polls /healthz until the entry is ready. Error: ErrNotReady.
func waitReady(ctx context.Context, a netip.AddrPort) error {
	const interval = 100 * time.Millisecond

	client := &http.Client{
		Timeout: time.Second,
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		r, err := client.Get("http://" + a.String() + "/healthz")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(interval)
	}

	return ErrNotReady
}

// freeAddrs returns addresses on loopback with free ports. It leaves agent unset.
func freeAddrs() (*addrs, error) {
	a := &addrs{}
	for _, p := range []*netip.AddrPort{&a.listen, &a.http, &a.consul, &a.callers} {
		f, err := freeUDP()
		if err != nil {
			return nil, err
		}
		*p = f
	}

	return a, nil
}

// freeUDP returns a loopback address whose UDP port is free at the moment.
func freeUDP() (netip.AddrPort, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return netip.AddrPort{}, errors.Trace(err)
	}
	defer c.Close()

	return c.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}
