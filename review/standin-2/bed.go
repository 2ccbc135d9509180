package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ibisfold.example/platform/platformtest"
)

// Ports of a machine. They are the same on all machines of a run.
const (
	portOutbound = 8162
	portApp      = 8165
	portControl  = 8166
	portReady    = 8167
	portStore    = 8169
	portData     = 8172
	portRelay    = 7720
	lastInner    = 7735
)

// Bounds that the settings tell, as on the users' pages.
const (
	stableWindow = 4 * time.Second
	heartbeat    = 1200 * time.Millisecond
	graceTime    = 6 * time.Second
	coldOver     = 1.5
	coldSlack    = 5
)

// Third bytes of the addresses: one zone's frontend machines, its side machines, clients, the
// store, and the addresses of routes. The last ones stand in packets only. Clients have a few
// networks from netClient on.
const (
	netFront  = 1
	netSide   = 2
	netStore  = 4
	netRoutes = 5
	netClient = 13
)

// errBusy means that the addresses of a run are in use.
var errBusy = errors.New("addresses are in use")

// bed is a small deployment on loopback. Entries and agents are real processes, all else runs
// in this process.
type bed struct {
	network   byte
	dir       string
	trouble   bool
	rec       *recorder
	store     platformtest.Store
	entries   []*machine
	agents    []*machine
	endpoints []*endpoint
	clients   []*client
	router    router
	// broken counts the findings against the rule of the case.
	broken int
	// judged means that resets are judged.
	judged bool
	mu     sync.Mutex
	stops  []func()
}

// newBed chooses a free loopback network and starts the store.
func newBed(rec *recorder, trouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "ibisfold-review-")
	if err != nil {
		return nil, err
	}
	start := byte(20 + os.Getpid()%100)
	for i := range byte(100) {
		b := &bed{
			network: 20 + (start+i)%100,
			dir:     dir,
			trouble: trouble,
			rec:     rec,
			judged:  true,
		}
		l, err := net.Listen("tcp4", b.address(netStore, 1, portStore).String())
		if err != nil {
			continue
		}
		server := &http.Server{
			Handler: &b.store,
		}
		go func() {
			_ = server.Serve(l)
		}()
		b.stops = append(b.stops, func() {
			_ = server.Close()
		})

		return b, nil
	}

	return nil, errBusy
}

func (b *bed) address(network, n byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, b.network, network, n}), port)
}

// close ends all processes that the run started.
func (b *bed) close() {
	for _, m := range b.machines() {
		m.end()
	}
	for _, f := range b.stops {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs in", b.dir)
	}
}

// fail records a finding against the rule of the case.
func (b *bed) fail(format string, args ...any) {
	b.mu.Lock()
	b.broken++
	b.mu.Unlock()
	b.rec.add("BROKEN "+format, args...)
}

// machine is a frontend or side machine with one process of the system.
type machine struct {
	bed     *bed
	name    string
	ip      netip.Addr
	side    bool
	service string
	seeds   []netip.AddrPort

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	started bool
	// readyMisses counts successive readiness calls without status 200.
	readyMisses int
}

// addEntries adds frontend machines. The first three are the seeds of all.
func (b *bed) addEntries(n int) {
	seeds := []netip.AddrPort{}
	for i := range min(n, 3) {
		seeds = append(seeds, b.address(netFront, byte(i+1), portControl))
	}
	for i := range n {
		b.entries = append(b.entries, &machine{
			bed:   b,
			name:  fmt.Sprintf("frontend-iphofen-%d", i+1),
			ip:    b.address(netFront, byte(i+1), 0).Addr(),
			seeds: seeds,
		})
	}
}

// addSide adds a side machine and the endpoint on it.
func (b *bed) addSide(service string, slots int) *endpoint {
	n := byte(len(b.agents) + 1)
	m := &machine{
		bed:     b,
		name:    fmt.Sprintf("side-iphofen-%d", n),
		ip:      b.address(netSide, n, 0).Addr(),
		side:    true,
		service: service,
		seeds:   b.entries[0].seeds,
	}
	e := &endpoint{
		bed:     b,
		id:      fmt.Sprintf("ep-%02d", n),
		service: service,
		machine: m,
		slots:   slots,
	}
	b.agents = append(b.agents, m)
	b.endpoints = append(b.endpoints, e)

	return e
}

// writeSettings writes the settings file as the platform does, in one step.
func (m *machine) writeSettings(first bool) error {
	lines := []string{}
	add := func(name string, value any) {
		lines = append(lines, fmt.Sprintf("%s=%v", name, value))
	}
	at := func(port uint16) string {
		return netip.AddrPortFrom(m.ip, port).String()
	}
	seeds := []string{}
	for _, a := range m.seeds {
		seeds = append(seeds, a.String())
	}
	class, serves, role := "frontend", "frontend,control_plane", "entry"
	if m.side {
		class, serves, role = "side", "side", "agent"
	}
	add("NodeName", m.name)
	add("Role", role)
	add("MachineClass", class)
	add("Serves", serves)
	add("Ip", m.ip)
	add("Zone", zone)
	add("Region", "franken")
	add("Zones."+zone, "franken")
	add("ListenAddrs.DataAddr", at(portData))
	add("ListenAddrs.Ready", at(portReady))
	if m.side {
		add("ListenAddrs.outbound", at(portOutbound))
		add("Service", m.service)
		add("app", at(portApp))
	} else {
		add("ListenAddrs.Control", at(portControl))
	}
	add("InternalPortRange", fmt.Sprintf("%d,%d", portRelay, lastInner))
	add("Seeds", strings.Join(seeds, ","))
	add("Bootstrap", first)
	add("FaultCounted", false)
	add("Limits.LinkMbps", "1000.0")
	add("Discovery", "platform")
	add("EntryMode", "announce")
	add("HeartbeatMs", heartbeat.Milliseconds())
	add("Contracts", "base,drain,config,cost,recover,flows,places,platform")
	add("Bounds.StableWindowMs", stableWindow.Milliseconds())
	add("Bounds.DrainMs", 3000)
	add("Bounds.GraceS", int(graceTime.Seconds()))
	add("Bounds.ConfigApplyMs", 3000)
	add("Bounds.ColdOvershoot", coldOver)
	add("Bounds.ColdSlack", coldSlack)
	add("Bounds.MaxFlowS", 60)
	hash := "steady"
	if m.bed.router.mod {
		hash = "mod"
	}
	add("EcmpHash", hash)
	add("ForwardingMode", "agent")
	add("platform.Address", m.bed.address(netStore, 1, portStore))
	add("platform.ForwardingMode", "read")
	add("platform.ReadsPerS", 2000)
	add("platform.HistoryS", 20)
	path := m.settingsPath()
	if err := os.WriteFile(path+".new", []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return err
	}

	return os.Rename(path+".new", path)
}

func (m *machine) settingsPath() string {
	return filepath.Join(m.bed.dir, m.name+".conf")
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.writeSettings(!m.started); err != nil {
		return err
	}
	m.started = true
	out, err := os.OpenFile(filepath.Join(m.bed.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	program := "target/ibisfold-entry"
	if m.side {
		program = "target/ibisfold-agent"
	}
	c := exec.Command(program, "-platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "IBISFOLD_NODE_FILE=" + m.settingsPath()}
	// The process ends with this one, however that ends.
	c.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	c.Stdout = out
	c.Stderr = out
	if err := c.Start(); err != nil {
		return err
	}
	m.cmd = c
	m.exited = make(chan struct{})
	go func(exited chan struct{}) {
		err := c.Wait()
		m.bed.rec.add("process %s of %s exited: %v", program, m.name, err)
		close(exited)
	}(m.exited)
	m.bed.rec.add("process %s of %s started", program, m.name)

	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bed.rec.add("signal %v to %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// wait waits until the process has exited.
func (m *machine) wait(limit time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// end kills the process if it runs.
func (m *machine) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGCONT)
	_ = m.cmd.Process.Kill()
	<-m.exited
}

// ready makes the platform's readiness call.
func (m *machine) ready(c *http.Client) bool {
	r, err := c.Get("http://" + netip.AddrPortFrom(m.ip, portReady).String() + "/ibisfold/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()

	return r.StatusCode == http.StatusOK
}

// startAll starts endpoints and processes and waits until all processes are ready.
func (b *bed) startAll(ctx context.Context) error {
	for _, e := range b.endpoints {
		if err := e.start(0); err != nil {
			return err
		}
	}
	for _, m := range b.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	go b.router.poll(ctx, b.entries)
	limit := time.Now().Add(10 * time.Second)
	for !b.router.full(len(b.entries)) {
		if time.Now().After(limit) {
			return errors.New("entries are not ready")
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)

	return nil
}

// configService is a service in the configuration.
type configService struct {
	Name       string
	HealthPath string
	MaxConns   int
	ColdStartS float64
	ColdPerS   float64
}

// writeConfig writes a configuration with one route for each service.
func (b *bed) writeConfig(version int, services []configService) {
	type route struct {
		Name, Host, Prefix, Service, RouteType  string
		TimeoutMs, TargetLatencyMs, MaxAttempts int
		Priority                                int
	}
	routes := []route{}
	for i, s := range services {
		routes = append(routes, route{
			Name:            "r" + fmt.Sprint(i),
			Host:            b.routeAddress(i).Addr().String(),
			Prefix:          fmt.Sprintf("/%d/", b.routeAddress(i).Port()),
			Service:         s.Name,
			RouteType:       "non_idempotent",
			TimeoutMs:       1500,
			TargetLatencyMs: 300,
			MaxAttempts:     1,
		})
	}
	v, err := json.Marshal(map[string]any{
		"Version":  version,
		"Routes":   routes,
		"Services": services,
		"Limits": map[string]any{
			"IdleTimeoutMs": 12000,
		},
	})
	if err != nil {
		panic(err)
	}
	b.store.SetConfigValue(v)
	b.rec.add("store: op/config version %d acknowledged", version)
}

// routeAddress is the platform's address of a route.
func (b *bed) routeAddress(i int) netip.AddrPort {
	return b.address(netRoutes, byte(i+1), 443)
}

// zone is the only zone of the deployment.
const zone = "iphofen"

// machines returns all machines, the frontend ones first.
func (b *bed) machines() []*machine {
	return append(append([]*machine{}, b.entries...), b.agents...)
}
