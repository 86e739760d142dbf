package socket

import (
	"net"
	"syscall"
)

// Unacknowledged returns the bytes that were written to a TCP connection and that the other
// side has not acknowledged. It returns false if that is not known.
func Unacknowledged(nc net.Conn) (int, bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var n int
	var ioctlErr error
	if err := raw.Control(func(fd uintptr) { n, ioctlErr = unacknowledged(int(fd)) }); err != nil || ioctlErr != nil {
		return 0, false
	}
	return n, true
}
