package demo

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// process is one process of the system.
type process struct {
	vm  *vm
	cmd *exec.Cmd
	// started is when the process was started.
	started time.Time
	// done is closed when the process has exited; err is set before.
	done chan struct{}
	err  error
}

// processes starts and stops the processes of the run. It signals only processes that it
// started itself.
type processes struct {
	bin  string
	logs string

	mu  sync.Mutex
	all []*process
}

// start starts the process of a VM. Its output is appended to a log file of its own.
func (p *processes) start(v *vm) (*process, error) {
	program := "ibisfold-agent"
	if v.isEntry() {
		program = "ibisfold-entry"
	}
	out, err := os.OpenFile(filepath.Join(p.logs, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer out.Close()

	r := &process{
		vm:      v,
		cmd:     exec.Command(filepath.Join(p.bin, program), "--settings", v.path),
		started: time.Now(),
		done:    make(chan struct{}),
	}
	r.cmd.Stdout = out
	r.cmd.Stderr = out
	if err := r.cmd.Start(); err != nil {
		return nil, errors.Annotate(err, v.name)
	}
	go func() {
		r.err = r.cmd.Wait()
		close(r.done)
	}()

	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, r)

	return r, nil
}

// alive reports whether the process has not exited.
func (r *process) alive() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// kill ends the process with SIGKILL and waits for its exit.
func (r *process) kill() {
	_ = r.cmd.Process.Kill()
	<-r.done
}

// terminate sends SIGTERM to the process and reports whether it exits within limit.
func (r *process) terminate(limit time.Duration) bool {
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	t := time.NewTimer(limit)
	defer t.Stop()

	select {
	case <-r.done:
		return true
	case <-t.C:
		return false
	}
}

// running returns the processes that have not exited.
func (p *processes) running() []*process {
	p.mu.Lock()
	defer p.mu.Unlock()

	live := []*process{}
	for _, r := range p.all {
		if r.alive() {
			live = append(live, r)
		}
	}

	return live
}

// stopAll ends all processes with SIGTERM, and after limit with SIGKILL. It returns the names
// of those that had to be killed.
func (p *processes) stopAll(limit time.Duration) []string {
	wg := sync.WaitGroup{}
	mu := sync.Mutex{}
	killed := []string{}
	for _, r := range p.running() {
		wg.Go(func() {
			if r.terminate(limit) {
				return
			}
			r.kill()
			mu.Lock()
			defer mu.Unlock()
			killed = append(killed, r.vm.name)
		})
	}
	wg.Wait()

	return killed
}

// failed returns the names of the processes that exited with an error. Processes that were
// killed by a signal don't count.
func (p *processes) failed() []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	names := []string{}
	for _, r := range p.all {
		if !r.alive() && r.cmd.ProcessState != nil && r.cmd.ProcessState.ExitCode() > 0 {
			names = append(names, r.vm.name)
		}
	}

	return names
}
