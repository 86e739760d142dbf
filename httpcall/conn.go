package httpcall

import (
	"errors"
	"net"
	"sync"
)

// errStale means that a kept connection cannot carry another request. It is
// returned before any byte is written.
var errStale = errors.New("kept connection is closed or holds further bytes")

// errClosedAtOnce means that the host closed a new connection before its first
// use, as a host above its connection limit does.
var errClosedAtOnce = errors.New("new connection was closed by the host")

// headEnd ends the head of an HTTP reply.
const headEnd = "\r\n\r\n"

// conn counts what one exchange wrote and read. fasthttp shows the connection
// of a reply only through its remote address, so conn is its own address.
type conn struct {
	net.Conn
	host      *Host
	closeOnce sync.Once

	kept     bool // no byte of the current exchange was written yet
	used     bool // an exchange ended on this connection
	sent     bool // a byte of the current exchange may have left
	received int  // bytes read in the current exchange
	matched  int  // bytes of headEnd that the last read bytes match
	head     int  // length of the reply's head, 0 until it is complete
}

// RemoteAddr returns the connection itself as an address.
func (c *conn) RemoteAddr() net.Addr { return connAddr{Addr: c.Conn.RemoteAddr(), conn: c} }

type connAddr struct {
	net.Addr
	conn *conn
}

// Write sends p. The first write of an exchange checks the connection, so that
// one that is closed already proves that nothing was sent.
func (c *conn) Write(p []byte) (int, error) {
	if c.kept {
		if err := c.checkQuiet(); err != nil {
			return 0, err
		}
		c.kept = false
	}
	c.sent = true
	return c.Conn.Write(p)
}

func (c *conn) checkQuiet() error {
	if quiet(c.Conn) {
		return nil
	}
	if !c.used {
		return dialError{errClosedAtOnce}
	}
	c.host.stale.Add(1)
	return errStale
}

// Read receives bytes and finds the end of the reply's head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for i := 0; i < n && c.head == 0; i++ {
		c.scan(p[i])
		if c.matched == len(headEnd) {
			c.head = c.received + i + 1
		}
	}
	c.received += n
	return n, err
}

func (c *conn) scan(b byte) {
	switch b {
	case headEnd[c.matched]:
		c.matched++
	case headEnd[0]:
		c.matched = 1
	default:
		c.matched = 0
	}
}

// surplus reports whether bytes arrived after a reply with a body of n bytes.
func (c *conn) surplus(n int) bool { return c.received > c.head+n }

// finish ends an exchange, so that the connection can carry the next one.
func (c *conn) finish() {
	c.kept, c.used, c.sent = true, true, false
	c.received, c.matched, c.head = 0, 0, 0
}

// Close closes the connection and counts it once.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.host.forget(c) })
	return err
}
