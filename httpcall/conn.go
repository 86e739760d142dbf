package httpcall

import (
	"errors"
	"net"
	"sync"
)

// errStale means that a kept connection cannot carry another request. It is
// returned before any byte is written.
var errStale = errors.New("kept connection is closed or holds further bytes")

// errClosedBeforeUse means that the host closed a new connection before its first
// use, as a host above its connection limit does.
var errClosedBeforeUse = errors.New("new connection was closed by the host")

// headerEnd ends the head of an HTTP reply.
const headerEnd = "\r\n\r\n"

// conn counts what one exchange wrote and read. fasthttp shows the connection
// of a reply only through its remote address, so conn is its own address.
type conn struct {
	net.Conn
	host      *Host
	closeOnce sync.Once

	firstWrite    bool // no byte of the current exchange was written yet
	usedBefore    bool // an exchange ended on this connection
	sent          bool // a byte of the current exchange may have left
	receivedBytes int  // bytes read in the current exchange
	matchedBytes  int  // bytes of headEnd that the last read bytes match
	headerLen     int  // length of the reply's head, 0 until it is complete
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
	if c.firstWrite {
		if err := c.checkReusable(); err != nil {
			return 0, err
		}
		c.firstWrite = false
	}
	c.sent = true
	return c.Conn.Write(p)
}

func (c *conn) checkReusable() error {
	if reusable(c.Conn) {
		return nil
	}
	if !c.usedBefore {
		return dialError{errClosedBeforeUse}
	}
	c.host.staleConns.Add(1)
	return errStale
}

// Read receives bytes and finds the end of the reply's head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for i := 0; i < n && c.headerLen == 0; i++ {
		c.matchHeaderEnd(p[i])
		if c.matchedBytes == len(headerEnd) {
			c.headerLen = c.receivedBytes + i + 1
		}
	}
	c.receivedBytes += n
	return n, err
}

func (c *conn) matchHeaderEnd(b byte) {
	switch b {
	case headerEnd[c.matchedBytes]:
		c.matchedBytes++
	case headerEnd[0]:
		c.matchedBytes = 1
	default:
		c.matchedBytes = 0
	}
}

// hasTrailingData reports whether bytes arrived after a reply with a body of n bytes.
func (c *conn) hasTrailingData(n int) bool { return c.receivedBytes > c.headerLen+n }

// endExchange ends an exchange, so that the connection can carry the next one.
func (c *conn) endExchange() {
	c.firstWrite, c.usedBefore, c.sent = true, true, false
	c.receivedBytes, c.matchedBytes, c.headerLen = 0, 0, 0
}

// Close closes the connection and counts it once.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.host.removeConn(c) })
	return err
}
