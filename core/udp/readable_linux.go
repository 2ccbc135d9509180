package udp

import "syscall"

// readable reports whether a datagram or an error waits in the kernel. It uses a raw system
// call: the call never blocks, and notifying the scheduler would cost more than the call
// itself at each tick of an idle process.
func readable(fd uintptr) bool {
	_, _, err := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, 0, 0, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)

	return err != syscall.EAGAIN
}
