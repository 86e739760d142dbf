package httpcall

import (
	"errors"
	"net"
	"sync"
)

// errStale means that an idle connection cannot be reused, because the host closed
// it or sent bytes after the last reply. It is returned before any byte is written.
var errStale = errors.New("idle connection is closed or has unread bytes")

// errClosedBeforeUse means that the host closed a new connection before its first
// use. A host that has reached its connection limit does this.
var errClosedBeforeUse = errors.New("new connection was closed by the host before its first use")

// headerEnd separates the status line and headers of an HTTP reply from its body.
const headerEnd = "\r\n\r\n"

// conn is a connection that tracks the bytes written and read in the current
// exchange of request and reply. fasthttp exposes the connection of a reply only
// through its remote address, so RemoteAddr returns an address that holds the conn.
type conn struct {
	net.Conn
	host      *Host
	closeOnce sync.Once

	firstWrite    bool // the next write is the first of an exchange
	usedBefore    bool // at least one exchange has completed
	sent          bool // a byte of the current exchange may have been sent
	receivedBytes int  // bytes read in the current exchange
	matchedBytes  int  // length of the prefix of headerEnd that the last bytes match
	headerLen     int  // length of the reply up to its body, 0 until headerEnd is read
	start         replyStart
}

// RemoteAddr returns the remote address together with the connection itself.
func (c *conn) RemoteAddr() net.Addr { return connAddr{Addr: c.Conn.RemoteAddr(), conn: c} }

type connAddr struct {
	net.Addr
	conn *conn
}

// Write sends p. Before the first write of an exchange it checks the connection, so
// that on a connection that is already closed the call fails before anything is sent.
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

// Read receives bytes, checks the status of the reply and searches for the end of its headers.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if statusErr := c.start.add(p[:n]); statusErr != nil {
		c.receivedBytes += n
		return 0, statusErr
	}
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

// hasTrailingData reports whether bytes were read after a reply with a body of n bytes.
func (c *conn) hasTrailingData(n int) bool { return c.receivedBytes > c.headerLen+n }

// endExchange resets the state of the exchange, so that the connection can be reused.
func (c *conn) endExchange() {
	c.firstWrite, c.usedBefore, c.sent = true, true, false
	c.receivedBytes, c.matchedBytes, c.headerLen, c.start.n = 0, 0, 0, 0
}

// Close closes the connection. The first call removes it from its host.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.host.removeConn(c) })
	return err
}
