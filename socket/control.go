package socket

import (
	"net"
	"syscall"
)

// control calls f with the descriptor of a connection. It reports false if the connection has
// none or f fails.
func control(nc net.Conn, f func(fd int) error) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return err == nil && callErr == nil
}
