package soak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
)

// failedDatagram is the log line on a datagram whose handling failed.
const failedDatagram = "datagram dropped: its handling failed"

// endedByItself reports whether a process that has ended did so without a signal of the soak: it
// failed, or a panic ended it.
func endedByItself(c *exec.Cmd) bool {
	status, ok := c.ProcessState.Sys().(syscall.WaitStatus)

	return ok && (status.Exited() && status.ExitStatus() != 0 || status.Signaled() && status.Signal() != syscall.SIGKILL)
}

// checkEnds adds a violation for each process that ended by itself, and for each VM with a datagram
// that a process could not handle.
func (b *testbed) checkEnds(dir string) error {
	for _, v := range slices.Concat(b.entries, b.spares, b.agents, b.reserves) {
		for _, status := range v.ownEnds() {
			b.addViolation("FAULT: %s ended by itself: %s", v.name, status)
		}
		text, err := os.ReadFile(filepath.Join(dir, v.name+".log"))
		if err != nil && !os.IsNotExist(err) {
			return err
		}
		if n := bytes.Count(text, []byte(failedDatagram)); n > 0 {
			b.addViolation("FAULT: %s could not handle %d datagrams", v.name, n)
		}
	}

	return nil
}
