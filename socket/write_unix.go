//go:build unix

package socket

import (
	"errors"
	"net"
	"syscall"
)

// TryWrite writes as much of p as the socket's buffer takes at once and returns its length. It
// never waits for the other side.
func TryWrite(nc net.Conn, p []byte) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		n, writeErr = syscall.Write(int(fd), p)
		return true
	})
	n = max(n, 0)
	switch {
	case err != nil:
		return n, err
	case errors.Is(writeErr, syscall.EAGAIN), errors.Is(writeErr, syscall.EINTR):
		return n, nil
	}
	return n, writeErr
}
