package load

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// program is a child process of the measurement.
type program struct {
	cmd  *exec.Cmd
	once sync.Once
}

func startProgram(name string, args ...string) (*program, error) {
	c := exec.Command(name, args...)
	c.Stderr = os.Stderr
	if err := c.Start(); err != nil {
		return nil, errors.Annotate(err, name)
	}

	return &program{
		cmd: c,
	}, nil
}

// stop sends SIGTERM to the program and waits for it to exit. After stopTimeout it sends SIGKILL.
func (p *program) stop() {
	p.once.Do(func() {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		t := time.AfterFunc(stopTimeout, func() {
			_ = p.cmd.Process.Kill()
		})
		defer t.Stop()
		_ = p.cmd.Wait()
	})
}

// cpuTime returns the user and system CPU time of a program that has ended.
func (p *program) cpuTime() time.Duration {
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}
