package memory

import (
	"errors"
	"net"
)

// Conn is a connection with a Meter for what it receives.
type Conn struct {
	net.Conn
	Received *Meter
}

// NewConn returns a Conn that reads from nc.
func NewConn(nc net.Conn, b *Bound) *Conn { return &Conn{Conn: nc, Received: NewMeter(b)} }

// Read reads from the connection. It fails with a *net.OpError if no memory is left.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if exceeded := c.Received.Add(n); exceeded != nil {
		return 0, ReadError(c.Conn, exceeded)
	}
	return n, err
}

// ReadError returns the error of a read that failed because of err.
func ReadError(nc net.Conn, err error) error {
	return &net.OpError{Op: "read", Net: nc.LocalAddr().Network(), Source: nc.LocalAddr(), Addr: nc.RemoteAddr(), Err: err}
}

// CloseWrite closes the writing side. It returns errors.ErrUnsupported if the connection
// cannot do that.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the connection and releases the memory.
func (c *Conn) Close() error {
	c.Received.Close()
	return c.Conn.Close()
}

// Listener accepts connections that are of type *Conn.
type Listener struct {
	net.Listener
	Bound *Bound
	Limit int64 // of each connection until it is changed; 0 for none
}

// Accept accepts a connection.
func (l Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := NewConn(nc, l.Bound)
	c.Received.SetLimit(l.Limit)
	return c, nil
}
