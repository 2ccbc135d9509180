package udp

import "syscall"

// readable reports whether a datagram or an error waits in the kernel. The call never
// blocks, so the scheduler need not know of it: at each tick of an idle process that
// would cost more than the call.
func readable(fd uintptr) bool {
	_, _, err := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, 0, 0, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)

	return err != syscall.EAGAIN
}
