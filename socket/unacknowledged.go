package socket

import "net"

// Unacknowledged returns the bytes that were written to a TCP connection and that the other
// side has not acknowledged. It returns false if that is not known.
func Unacknowledged(nc net.Conn) (n int, ok bool) {
	ok = control(nc, func(fd int) (err error) {
		n, err = unacknowledged(fd)
		return err
	})
	return n, ok
}
