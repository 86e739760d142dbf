package entry

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/memory"
)

// Limits of reading and discarding the rest of a request body that is too large.
const (
	lingerTimeout  = clock.Second
	maxLingerBytes = 16 << 20
)

// minRequestMemory and bodiesInMemory bound the memory of all requests that are being read or
// answered: at least minRequestMemory bytes, and enough for bodiesInMemory of the largest size.
const (
	minRequestMemory = 64 << 20
	bodiesInMemory   = 8
)

// lingerListener accepts connections that can be closed without a TCP reset. The requests on
// them share a bound of memory.
type lingerListener struct {
	net.Listener
	requests *memory.Bound
}

// Accept returns the next connection.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: memory.NewConn(c, l.requests)}, nil
}

// releaseIdle is the server's hook for changes of a connection's state. It releases the memory
// of a request that was answered.
func releaseIdle(nc net.Conn, state fasthttp.ConnState) {
	if c, ok := nc.(*lingerConn); ok && state == fasthttp.StateIdle {
		c.Received.Reset()
	}
}

// lingerConn reads the rest of a refused request body before it closes. Closing a
// socket with unread bytes resets the connection, and the reset can discard the
// answer before the caller has read it.
type lingerConn struct {
	*memory.Conn
	bodyUnread bool // set by the goroutine that also closes the connection
}

// Close closes the connection. If a request body was refused, it first closes the
// write side and discards the rest of the body, within the limits.
func (c *lingerConn) Close() error {
	if c.bodyUnread && c.CloseWrite() == nil {
		c.Received.Hold()
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	return c.Conn.Close()
}
