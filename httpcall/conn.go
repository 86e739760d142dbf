package httpcall

import (
	"errors"
	"net"
	"sync"
	"time"

	"lentillink.example/lentillink/framing"
)

// errStale means that an idle connection cannot be reused, because the host closed
// it or sent bytes after the last reply. It is returned before any byte is written.
var errStale = errors.New("idle connection is closed or has unread bytes")

// errClosedBeforeUse means that the host closed a new connection before its first
// use. A host that has reached its connection limit does this.
var errClosedBeforeUse = errors.New("new connection was closed by the host before its first use")

// conn is a connection that tracks the current exchange of request and reply.
type conn struct {
	net.Conn
	host      *Host
	reader    *framing.Reader
	closeOnce sync.Once

	firstWrite bool // the next write is the first of an exchange
	usedBefore bool // at least one exchange has completed
	sent       bool // a byte of the current exchange may have been sent
	received   bool // a byte was read in the current exchange

	transferEnd time.Time // bounds a reply that has begun; zero for the deadline of the exchange
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

// Read receives bytes of a reply.
func (c *conn) Read(p []byte) (int, error) {
	if !c.transferEnd.IsZero() {
		deadline := time.Now().Add(stallTimeout)
		if c.transferEnd.Before(deadline) {
			deadline = c.transferEnd
		}
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.received = c.received || n > 0
	return n, err
}

// endExchange resets the state of the exchange, so that the connection can be reused.
func (c *conn) endExchange() {
	c.firstWrite, c.usedBefore, c.sent, c.received, c.transferEnd = true, true, false, false, time.Time{}
}

// Close closes the connection. The first call removes it from its host.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.host.removeConn(c) })
	return err
}
