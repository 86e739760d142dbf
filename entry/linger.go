package entry

import (
	"io"
	"net"
	"time"

	"lentillink.example/lentillink/clock"
)

// Limits of reading and discarding the rest of a request body that is too large.
const (
	lingerTimeout  = clock.Second
	maxLingerBytes = 16 << 20
)

// lingerListener accepts connections that can be closed without a TCP reset.
type lingerListener struct{ net.Listener }

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: c}, nil
}

// lingerConn reads the rest of a refused request body before it closes. Closing a
// socket with unread bytes resets the connection, and the reset can discard the
// answer before the caller has read it.
type lingerConn struct {
	net.Conn
	bodyUnread bool // set by the goroutine that also closes the connection
}

// Close closes the connection. If a request body was refused, it first closes the
// write side and discards the rest of the body, within the limits.
func (c *lingerConn) Close() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if c.bodyUnread && ok && halfCloser.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	return c.Conn.Close()
}
