package soak

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/platform"
	"ibisfold.example/platform/platformtest"
)

// Ports are the same on all VMs, as on the platform.
const (
	portOutbound = 8162
	portTarget   = 8165
	portControl  = 8166
	portReady    = 8167
	portStore    = 8169
	portPackets  = 8172
	portRelay    = 7720
)

// restartTime is how long after its end a process is started again.
const restartTime = 500 * time.Millisecond

// vm is a VM with one process of the system, and at an agent with a target.
type vm struct {
	name     string
	zone     string
	settings platform.Settings
	agent    bool
	// link carries what entries send to an agent, target is the target beside it.
	link   *datagramProxy
	target *target
	// store carries an entry's calls to the store.
	store *streamProxy
	// feed carries other entries' calls to an entry that they follow; nil at others.
	feed *streamProxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// impaired is the end of the last unplanned fault of the VM or its links.
	impaired time.Time
	stopped  bool
	first    bool
}

func address(zone, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(zone), byte(n)}), uint16(port))
}

// linkAddress is the address under which entries know the VM of address a.
func linkAddress(a netip.AddrPort) netip.AddrPort {
	ip := a.Addr().As4()
	ip[1] = 9

	return netip.AddrPortFrom(netip.AddrFrom4(ip), a.Port())
}

func newVM(role string, zone, n int) *vm {
	return &vm{
		name: fmt.Sprintf("%s-%d-%d", role, zone, n),
		zone: zones[zone],
		settings: platform.Settings{
			Name:       fmt.Sprintf("%s-%d-%d", role, zone, n),
			Zone:       zones[zone],
			Packets:    address(zone, n, portPackets),
			Outbound:   address(zone, n, portOutbound),
			Target:     address(zone, n, portTarget),
			Ready:      address(zone, n, portReady),
			Relay:      address(zone, n, portRelay),
			StopTime:   6 * time.Second,
			MaxFlowAge: time.Minute,
			LinkRate:   125_000_000,
		},
		agent: role == "agent",
		first: true,
	}
}

// start starts the process and again whenever it ends, until halt.
func (v *vm) start(bin, dir string) error {
	program := "ibisfold-entry"
	if v.agent {
		program = "ibisfold-agent"
	}
	path := filepath.Join(dir, v.name+".conf")
	v.settings.FirstStart = v.first
	v.first = false
	if err := platformtest.WriteSettings(path, &v.settings, v.agent); err != nil {
		return errors.Trace(err)
	}
	out, err := os.OpenFile(filepath.Join(dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	defer out.Close()

	c := exec.Command(filepath.Join(bin, program), "-platform")
	c.Env = platformtest.Environment(path)
	c.Stdout = out
	c.Stderr = out
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return nil
	}
	if err := c.Start(); err != nil {
		return errors.Annotate(err, v.name)
	}
	v.cmd = c
	go v.restart(c, bin, dir)

	return nil
}

func (v *vm) restart(c *exec.Cmd, bin, dir string) {
	// The exit status says nothing here: most ends are faults that the soak made.
	_ = c.Wait()
	time.Sleep(restartTime)
	if err := v.start(bin, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// signal sends a signal to the process that runs now.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// A process that has just ended is started again anyway.
	_ = v.cmd.Process.Signal(s)
}

// impair notes an unplanned fault that lasts for d.
func (v *vm) impair(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if end := time.Now().Add(d); end.After(v.impaired) {
		v.impaired = end
	}
}

// calm reports whether the VM has been without unplanned faults for long enough
// to be judged.
func (v *vm) calm() bool {
	v.mu.Lock()
	defer v.mu.Unlock()

	return time.Since(v.impaired) > touchTime
}

// halt ends the process for good.
func (v *vm) halt() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopped = true
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
	}
}

// ready makes the platform's readiness call.
func (v *vm) ready(c *http.Client) bool {
	a, err := c.Get(platformtest.ReadyURL(&v.settings))
	if err != nil {
		return false
	}
	a.Body.Close()

	return a.StatusCode == http.StatusOK
}
