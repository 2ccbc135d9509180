package main

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform restarts a process that has ended, unless a case
// sets another one.
const restartDelay = 500 * time.Millisecond

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process of the system on one machine. It is restarted whenever it has ended.
type process struct {
	log      *record
	name     string
	program  string
	settings string
	dir      string
	// delay is the time after which the process is restarted; restartDelay if zero.
	delay time.Duration

	mu      sync.Mutex
	cmd     *exec.Cmd
	killed  bool
	stopped bool
	// ownEnds counts the ends that no signal of ours caused; lastOutput is from the last of them.
	ownEnds int
	started time.Time
	last    *os.File
	starts  int
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	p.starts++
	out, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
	if err != nil {
		return err
	}
	words := strings.Fields(p.program)
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "IBISFOLD_NODE_FILE=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.killed = false
	p.last = out
	p.started = time.Now()
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.log.add("%s starts", p.name)
	go p.wait(p.cmd, out)

	return nil
}

func (p *process) wait(cmd *exec.Cmd, out *os.File) {
	err := cmd.Wait()
	out.Close()
	p.mu.Lock()
	if !p.killed && !p.stopped {
		p.ownEnds++
		p.log.add("%s ENDED BY ITSELF %.1f s after its start: %v: %s", p.name, time.Since(p.started).Seconds(), err, panicLine(out.Name()))
	}
	stopped := p.stopped
	p.mu.Unlock()
	if !stopped {
		time.AfterFunc(cmp.Or(p.delay, restartDelay), func() { p.start() })
	}
}

// panicLine returns the line of a log that tells why a process ended.
func panicLine(path string) string {
	b, _ := os.ReadFile(path)
	for _, l := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(l, "panic:") || strings.Contains(l, "process failed") {
			return l
		}
	}

	return "no reason in its log"
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.add("%s gets %v", p.name, s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.killed = true
	}
	p.cmd.Process.Signal(s)
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.cmd != nil {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	}
}
