package entry

import (
	"io"
	"net"
	"time"

	"lentillink.example/lentillink/clock"
)

// Bounds of what is read and dropped from a caller whose body is too large.
const (
	lingerTimeout  = clock.Second
	maxLingerBytes = 16 << 20
)

// lingerListener accepts connections that can be closed without a reset.
type lingerListener struct{ net.Listener }

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: c}, nil
}

// lingerConn is closed gently after a refusal that came before the whole body:
// closing with unread bytes resets the connection, and the reset can destroy
// the answer before the caller reads it.
type lingerConn struct {
	net.Conn
	bodyUnread bool // set by the goroutine that also closes the connection
}

// Close closes the connection, after the rest of a refused body.
func (c *lingerConn) Close() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if c.bodyUnread && ok && halfCloser.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	return c.Conn.Close()
}
