// Command standin-3 runs one case of the third review: it starts entries and agents as separate
// processes on loopback, beside stand-ins of the platform, the servers and the clients.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// ports are those that all machines of the deployment use, one after the other.
type ports struct {
	data, ready, control, outbound, app, relay, store uint16
}

// freePorts finds ports that nothing uses at any of the addresses.
func freePorts(hosts []string) (ports, error) {
	for base := uint16(21000) + uint16(os.Getpid()%200)*50; base < 60000; base += 50 {
		ok := true
		for p := base; ok && p < base+30; p++ {
			for _, h := range hosts {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", h, p))
				if err == nil {
					l.Close()
				}
				u, err2 := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", h, p))
				if err2 == nil {
					u.Close()
				}
				ok = ok && err == nil && err2 == nil
			}
		}
		if ok {
			return ports{
				data:     base,
				ready:    base + 1,
				control:  base + 2,
				outbound: base + 3,
				app:      base + 4,
				store:    base + 5,
				relay:    base + 10,
			}, nil
		}
	}

	return ports{}, fmt.Errorf("no free ports")
}

// bed is a small deployment.
type bed struct {
	log     *record
	dir     string
	bin     string
	ports   ports
	store   *store
	servers []*server
	entries []*process
	agents  []*process
	router  *router
	clients *clients
	route   netip.AddrPort
	stop    chan struct{}
}

const (
	storeHost  = "127.71.0.1"
	clientHost = "127.71.9.1"
	routeHost  = "127.71.8.1"
	zone       = "iphofen"
	service    = "huvo11a"
)

func entryHost(i int) string { return fmt.Sprintf("127.71.1.%d", 10+i) }
func agentHost(i int) string { return fmt.Sprintf("127.71.2.%d", 20+i) }

func addr(host string, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(host), port)
}

// settings writes the settings file of a machine.
func (b *bed) settings(name, host, class string, seeds []string, extra ...string) (string, error) {
	lines := append([]string{
		"NodeName=" + name,
		"Role=" + class,
		"MachineClass=" + class,
		"Ip=" + host,
		"Zone=" + zone,
		"Region=franken",
		"Zones." + zone + "=franken",
		"ListenAddrs.DataAddr=" + addr(host, b.ports.data).String(),
		"ListenAddrs.Ready=" + addr(host, b.ports.ready).String(),
		fmt.Sprintf("InternalPortRange=%d,%d", b.ports.relay, b.ports.relay+15),
		"Seeds=" + strings.Join(seeds, ","),
		"Bootstrap=false",
		"FaultCounted=false",
		"Limits.CpuShare=0.4",
		"Limits.CpuCores=1",
		"Limits.MemoryMb=284",
		"Limits.MaxFds=4100",
		"Limits.LinkMbps=1000.0",
		"Limits.DiskMb=0",
		"Discovery=platform",
		"EntryMode=announce",
		"HeartbeatMs=1200",
		"Contracts=base,drain,config,cost,recover,flows,places,platform",
		"FaultTolerance.Machines=2",
		"FaultTolerance.Zones=1",
		"Bounds.StableWindowMs=4000",
		"Bounds.DrainMs=3000",
		"Bounds.GraceS=6",
		"Bounds.ConfigApplyMs=3000",
		"Bounds.RecoveryS=12",
		"Bounds.MisrouteWindowMs=2000",
		"Bounds.MaxFlowS=60",
		"EcmpHash=steady",
		"ForwardingMode=agent",
		"platform.Address=" + addr(storeHost, b.ports.store).String(),
		"platform.ForwardingMode=read",
		"platform.ReadsPerS=2000",
		"platform.HistoryS=20",
		"platform.MaxValueBytes=1048576",
	}, extra...)
	path := filepath.Join(b.dir, name+".conf")

	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

func newBed(log *record, bin, dir string, entries, agents int) (*bed, error) {
	hosts := []string{storeHost, clientHost}
	for i := range entries {
		hosts = append(hosts, entryHost(i))
	}
	for i := range agents {
		hosts = append(hosts, agentHost(i))
	}
	p, err := freePorts(hosts)
	if err != nil {
		return nil, err
	}
	b := &bed{
		log:   log,
		dir:   dir,
		bin:   bin,
		ports: p,
		store: newStore(),
		route: addr(routeHost, 8443),
		stop:  make(chan struct{}),
	}
	if err := b.store.serve(addr(storeHost, p.store).String()); err != nil {
		return nil, err
	}
	b.store.put("op/config", map[string]any{
		"Version": 7,
		"Routes": []map[string]any{{
			"Name":            "r-x73d3zj",
			"Host":            routeHost,
			"Prefix":          "/8443/",
			"RouteType":       "non_idempotent",
			"TimeoutMs":       3000,
			"TargetLatencyMs": 300,
			"Priority":        1,
			"Service":         service,
			"MaxAttempts":     2,
		}},
		"Services": []map[string]any{{
			"Name":       service,
			"HealthPath": "/health",
			"MaxConns":   2000,
			"Protocol":   "h1",
			"Tls":        false,
			"ColdStartS": 2.0,
			"ColdPerS":   0.0,
		}},
		"Limits": map[string]any{
			"IdleTimeoutMs": 15000,
		},
	})
	seeds := []string{}
	for i := range min(entries, 3) {
		seeds = append(seeds, addr(entryHost(i), p.control).String())
	}
	if err := b.addAgents(agents, seeds); err != nil {
		return nil, err
	}
	if err := b.addEntries(entries, seeds); err != nil {
		return nil, err
	}
	b.clients, err = newClients(log, b.router, addr(clientHost, p.data))

	return b, err
}

func (b *bed) addAgents(n int, seeds []string) error {
	for i := range n {
		host := agentHost(i)
		s := &server{
			log:     b.log,
			store:   b.store,
			addr:    addr(host, b.ports.app),
			out:     addr(host, b.ports.outbound),
			zone:    zone,
			service: service,
		}
		b.servers = append(b.servers, s)
		name := fmt.Sprintf("side-%d", i)
		path, err := b.settings(name, host, "side", seeds, "ListenAddrs.outbound="+s.out.String(), "app="+s.addr.String(), "Service="+service)
		if err != nil {
			return err
		}
		b.agents = append(b.agents, &process{
			log:      b.log,
			name:     name,
			program:  filepath.Join(b.bin, "ibisfold-agent") + " -platform",
			settings: path,
			dir:      b.dir,
		})
	}

	return nil
}

func (b *bed) addEntries(n int, seeds []string) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(clientHost)})
	if err != nil {
		return err
	}
	b.router = &router{
		conn:  conn,
		ready: make([]atomic.Bool, n),
	}
	for i := range n {
		host := entryHost(i)
		name := fmt.Sprintf("front-%d", i)
		path, err := b.settings(name, host, "frontend", seeds, "Serves=frontend,control_plane", "ListenAddrs.Control="+addr(host, b.ports.control).String())
		if err != nil {
			return err
		}
		b.entries = append(b.entries, &process{
			log:      b.log,
			name:     name,
			program:  filepath.Join(b.bin, "ibisfold-entry") + " -platform",
			settings: path,
			dir:      b.dir,
		})
		b.router.entries = append(b.router.entries, addr(host, b.ports.data))
		b.router.urls = append(b.router.urls, "http://"+addr(host, b.ports.ready).String()+"/ibisfold/readiness")
	}

	return nil
}

// startSide starts a server and the agent on its machine.
func (b *bed) startSide(i int) error {
	if err := b.servers[i].start(); err != nil {
		return err
	}

	return b.agents[i].start()
}

// start starts the first side machines and all entries, and waits until all entries are ready.
func (b *bed) start(sides int) error {
	for i := range sides {
		if err := b.startSide(i); err != nil {
			return err
		}
	}
	for _, p := range b.entries {
		if err := p.start(); err != nil {
			return err
		}
	}
	b.router.watch(b.stop)

	return b.awaitReady(10 * time.Second)
}

func (b *bed) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range b.router.ready {
			if b.router.ready[i].Load() {
				ready++
			}
		}
		if ready == len(b.router.ready) {
			return nil
		}
	}

	return fmt.Errorf("entries are not ready after %v", limit)
}

func (b *bed) close() {
	close(b.stop)
	for _, p := range append(append([]*process{}, b.agents...), b.entries...) {
		p.stop()
	}
}

func main() {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target", "folder of the programs")
	path := flag.String("record", "record.txt", "file of what was sent, answered and run")
	keep := flag.String("logs", "", "folder for the logs; a temporary one by default")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	os.Exit(run(*name, *bin, *path, *keep, *trouble))
}

func run(name, bin, path, keep string, trouble bool) int {
	f, err := os.Create(path)
	if err != nil {
		fmt.Println(err)

		return exitNotRun
	}
	defer f.Close()
	log := &record{
		file:  f,
		began: time.Now(),
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review3"); err != nil {
			fmt.Println(err)

			return exitNotRun
		}
		defer os.RemoveAll(dir)
	}
	cases := map[string]func(*record, string, string, bool) (bool, error){
		"early-message": earlyMessage,
		"clock-back":    clockBack,
		"quick-restart": quickRestart,
	}
	c, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)

		return exitNotRun
	}
	broken, err := c(log, bin, dir, trouble)
	switch {
	case err != nil:
		fmt.Println("not run:", err)

		return exitNotRun
	case broken:
		fmt.Println("broken")

		return exitBroken
	}
	fmt.Println("held")

	return exitHeld
}
