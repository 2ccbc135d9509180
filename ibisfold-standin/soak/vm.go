package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/platform"
	"ibisfold.example/platform/platformtest"
)

// Ports of a VM. They are the same on all VMs, as on the platform.
const (
	portOutbound = 8162
	portTarget   = 8165
	portControl  = 8166
	portReady    = 8167
	portStore    = 8169
	portPackets  = 8172
	portRelay    = 7720
)

const (
	// maxRestartDelay bounds the time between the exit of a process and its restart, and
	// shortRestartDelay that of every second one.
	maxRestartDelay   = 500 * time.Millisecond
	shortRestartDelay = 60 * time.Millisecond
	// minClockOffset is the smallest time that the clock of a VM is ahead or behind, if it is.
	// Each of clockOffsets sizes is twice the one before.
	minClockOffset = 100 * time.Millisecond
	clockOffsets   = 6
)

// vm is a VM with one process of the system. A VM with an agent also has a target.
type vm struct {
	name     string
	zone     string
	settings platform.Settings
	agent    bool
	// link is the proxy between entries and an agent, target is the target beside the
	// agent. Both are nil for an entry.
	link   *datagramProxy
	target *target
	// store is the proxy for an entry's calls to the store; nil for an agent.
	store *streamProxy
	// feed is the proxy for the calls of other entries to a seed entry; nil for all other
	// VMs.
	feed *streamProxy

	// held keeps an entry out of the router's rotation.
	held atomic.Bool

	mu  sync.Mutex
	cmd *exec.Cmd
	// starts is the number of processes so far.
	starts int
	// ends holds the statuses of the processes that ended by themselves.
	ends []string
	// delay is the time from the end of the process until the next start; zero means a random
	// one.
	delay time.Duration
	// random draws restart delays and clock offsets.
	random *rand.Rand
	// impairedUntil is the end of the last unplanned fault of the VM or its links.
	impairedUntil time.Time
	stopped       bool
	// ended means that the VM is gone, so that its process is not restarted.
	ended      bool
	firstStart bool
}

// address returns the loopback address of a port of VM n in a zone.
func address(zone, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(zone), byte(n)}), uint16(port))
}

// linkAddress returns the address of the proxy in front of address a. Other VMs know the
// VM by it.
func linkAddress(a netip.AddrPort) netip.AddrPort {
	ip := a.Addr().As4()
	ip[1] = 9

	return netip.AddrPortFrom(netip.AddrFrom4(ip), a.Port())
}

func newVM(role string, zone, n int, seed uint64) *vm {
	return &vm{
		random: rand.New(rand.NewPCG(seed, uint64(zone)<<32|uint64(n)<<8|uint64(role[0]))),
		name:   fmt.Sprintf("%s-%d-%d", role, zone, n),
		zone:   zones[zone],
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
		agent:      role == "agent",
		firstStart: true,
	}
}

// start starts the process and restarts it whenever it exits, until stop.
func (v *vm) start(bin, dir string) error {
	program := "ibisfold-entry"
	if v.agent {
		program = "ibisfold-agent"
	}
	v.settings.FirstStart = v.firstStart
	v.firstStart = false
	if err := v.writeSettings(dir); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	defer out.Close()

	c := exec.Command(filepath.Join(bin, program), "-platform")
	c.Env = platformtest.Environment(v.settingsPath(dir))
	c.Stdout = out
	c.Stderr = out
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped || v.ended {
		return nil
	}
	if err := c.Start(); err != nil {
		return errors.Annotate(err, v.name)
	}
	v.cmd = c
	v.starts++
	go v.restart(c, bin, dir)

	return nil
}

func (v *vm) settingsPath(dir string) string {
	return filepath.Join(dir, v.name+".conf")
}

// writeSettings writes the settings file, which the process may read at the same time.
func (v *vm) writeSettings(dir string) error {
	path := v.settingsPath(dir)
	if err := platformtest.WriteSettings(path+".new", &v.settings, v.agent); err != nil {
		return errors.Trace(err)
	}

	return errors.Trace(os.Rename(path+".new", path))
}

// restart waits for the process to exit and starts it again.
func (v *vm) restart(c *exec.Cmd, bin, dir string) {
	// An error is a status that endedByItself tells from the ends that the soak caused.
	_ = c.Wait()
	if endedByItself(c) {
		v.mu.Lock()
		v.ends = append(v.ends, c.ProcessState.String())
		v.mu.Unlock()
	}
	time.Sleep(v.takeDelay())
	if err := v.start(bin, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// signal sends a signal to the current process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// An error means that the process has just exited; restart starts it again.
	_ = v.cmd.Process.Signal(s)
}

// process returns the number of the current process, which is the newest one.
func (v *vm) process() int {
	v.mu.Lock()
	defer v.mu.Unlock()

	return v.starts
}

// ownEnds returns the statuses of the processes that ended by themselves.
func (v *vm) ownEnds() []string {
	v.mu.Lock()
	defer v.mu.Unlock()

	return slices.Clone(v.ends)
}

// end kills the process and prevents its restart until resume.
func (v *vm) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended = true
	// An error means that the process has just exited.
	_ = v.cmd.Process.Kill()
}

// leave stops the process as planned and prevents its restart until resume.
func (v *vm) leave() {
	v.mu.Lock()
	v.ended = true
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
}

// stopForLong stops the process as planned. It is started again longRestartDelay after its end.
func (v *vm) stopForLong() {
	v.mu.Lock()
	v.delay = longRestartDelay
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
}

// takeDelay returns the time until the process is started again.
func (v *vm) takeDelay() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d := v.delay; d > 0 {
		v.delay = 0

		return d
	}
	limit := maxRestartDelay
	if v.random.IntN(2) == 0 {
		limit = shortRestartDelay
	}

	return time.Duration(v.random.Int64N(int64(limit)))
}

// clock returns the time of day that a target reads at its start, in Unix milliseconds. Every
// second time the VM's clock is ahead or behind.
func (v *vm) clock() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	offset := minClockOffset << v.random.IntN(clockOffsets)
	switch v.random.IntN(4) {
	case 0:
		offset = -offset
	case 1:
	default:
		offset = 0
	}

	return time.Now().Add(offset).UnixMilli()
}

// resume starts the process of the VM that takes the place of one that has ended.
func (v *vm) resume(bin, dir string) error {
	v.mu.Lock()
	v.ended = false
	v.mu.Unlock()

	return v.start(bin, dir)
}

// markImpaired records an unplanned fault that lasts for d.
func (v *vm) markImpaired(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if end := time.Now().Add(d); end.After(v.impairedUntil) {
		v.impairedUntil = end
	}
}

// unimpaired reports whether the VM has had no unplanned fault for minUnimpairedTime, so
// that the guarantees must hold for it.
func (v *vm) unimpaired() bool {
	v.mu.Lock()
	defer v.mu.Unlock()

	return time.Since(v.impairedUntil) > minUnimpairedTime
}

// stop kills the process and prevents its restart.
func (v *vm) stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopped = true
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
	}
}

// ready makes the platform's readiness call and reports whether the entry is ready.
func (v *vm) ready(c *http.Client) bool {
	a, err := c.Get(platformtest.ReadyURL(&v.settings))
	if err != nil {
		return false
	}
	a.Body.Close()

	return a.StatusCode == http.StatusOK
}
