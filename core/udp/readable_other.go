//go:build !linux

package udp

import (
	"errors"
	"syscall"
)

// readable reports whether a datagram or an error waits in the kernel.
func readable(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)

	return !errors.Is(err, syscall.EAGAIN)
}
