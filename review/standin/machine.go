package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 500 * time.Millisecond

// network holds the loopback addresses and the ports of a run. The ports are the same on all
// machines.
type network struct {
	// octet is the second byte of the addresses of machines, octet+1 that of clients.
	octet byte
	port  uint16
}

func (n *network) machine(zone, index int, offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.octet, byte(zone + 1), byte(index)}), n.port+offset)
}

func (n *network) client(zone, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.octet + 1, byte(zone + 1), byte(index)})
}

// Offsets of the ports from network.port.
const (
	offsetData = iota
	offsetOutbound
	offsetApp
	offsetControl
	offsetReady
	offsetStore
	offsetInternal
)

// machine is a machine with one process of the system.
type machine struct {
	world   *world
	name    string
	zone    int
	index   int
	side    bool
	service string

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	bootstrap bool
	// down stops restarts.
	down bool
}

func (m *machine) addr(offset uint16) netip.AddrPort {
	return m.world.network.machine(m.zone, m.index, offset)
}

// settings returns the settings file of the machine's process, with the fields of the users'
// deploy page.
func (m *machine) settings() string {
	w := m.world
	b := strings.Builder{}
	line := func(name string, value any) {
		fmt.Fprintf(&b, "%s=%v\n", name, value)
	}
	class, serves := "frontend", "frontend,control_plane"
	if m.side {
		class, serves = "side", "side"
	}
	line("NodeName", m.name)
	line("Role", class)
	line("MachineClass", class)
	line("Serves", serves)
	line("Ip", m.addr(0).Addr())
	line("Zone", zones[m.zone])
	line("Region", "north")
	for _, z := range zones {
		line("Zones."+z, "north")
	}
	line("ListenAddrs.DataAddr", m.addr(offsetData))
	line("ListenAddrs.Ready", m.addr(offsetReady))
	if m.side {
		line("ListenAddrs.outbound", m.addr(offsetOutbound))
		line("app", m.addr(offsetApp))
		line("Service", m.service)
	} else {
		line("ListenAddrs.Control", m.addr(offsetControl))
	}
	line("InternalPortRange", fmt.Sprintf("%d,%d", w.network.port+offsetInternal, w.network.port+offsetInternal+15))
	seeds := []string{}
	for _, s := range w.seeds {
		seeds = append(seeds, s.addr(offsetControl).String())
	}
	line("Seeds", strings.Join(seeds, ","))
	line("Bootstrap", m.bootstrap)
	line("FaultCounted", false)
	line("Limits.CpuShare", 0.4)
	line("Limits.CpuCores", 1)
	line("Limits.MemoryMb", 284)
	line("Limits.MaxFds", 4100)
	line("Limits.LinkMbps", 1000.0)
	line("Limits.DiskMb", 0)
	line("Discovery", "platform")
	line("EntryMode", "announce")
	line("HeartbeatMs", heartbeat.Milliseconds())
	line("Contracts", "base,drain,config,cost,recover,flows,places,platform")
	line("FaultTolerance.Machines", 2)
	line("FaultTolerance.Zones", 1)
	line("FaultTolerance.Regions", 0)
	for _, x := range []string{
		"SeedLagS=3", "AddrReuseS=2", "StableWindowMs=4000", "AckTimeoutMs=5000", "CatchUpS=4", "DrainMs=3000",
		"GraceS=6", "LossSlackMs=200", "ConfigApplyMs=3000", "DowngradeMs=250", "MaxStretchMs=12000",
		"ColdOvershoot=1.5", "ColdSlack=5", "EvacuateMs=5000", "RecoveryS=12", "MisrouteWindowMs=2000", "MaxFlowS=60",
	} {
		b.WriteString("Bounds." + x + "\n")
	}
	line("EcmpHash", "steady")
	line("ForwardingMode", "agent")
	line("platform.Address", w.storeAddress)
	line("platform.ForwardingMode", "read")
	line("platform.WritesPerS", 400)
	line("platform.ReadsPerS", 2000)
	line("platform.HistoryS", 20)
	line("platform.MaxValueBytes", 1048576)
	line("platform.MinTtlMs", 1000)

	return b.String()
}

// start starts the process and restarts it whenever it ends, until stop.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil
	}
	w := m.world
	path := filepath.Join(w.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(m.settings()), 0o644); err != nil {
		return err
	}
	m.bootstrap = false
	out, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	program := "target/ibisfold-entry"
	if m.side {
		program = "target/ibisfold-agent"
	}
	c := exec.Command(program, "-platform")
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		c.Env = append(c.Env, name+"="+os.Getenv(name))
	}
	c.Env = append(c.Env, "IBISFOLD_NODE_FILE="+path)
	c.Stdout = out
	c.Stderr = out
	if err := c.Start(); err != nil {
		return err
	}
	m.cmd = c
	m.ended = make(chan struct{})
	w.record("start    %s process %d", m.name, c.Process.Pid)
	go m.await(c, m.ended)

	return nil
}

func (m *machine) await(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	m.world.record("end      %s process %d: %v", m.name, c.Process.Pid, err)
	close(ended)
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.world.record("start of %s failed: %v", m.name, err)
	}
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.world.record("signal   %s %v", m.name, s)
	// An error means that the process has ended; it is started again.
	_ = m.cmd.Process.Signal(s)
}

// stop kills the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	m.down = true
	c, ended := m.cmd, m.ended
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Kill()
	<-ended
}

func (m *machine) ready(c *http.Client) bool {
	a, err := c.Get("http://" + m.addr(offsetReady).String() + "/ibisfold/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()

	return a.StatusCode == http.StatusOK
}
