package standin

import (
	"net"
	"sync"
	"time"
)

// limitListener accepts connections up to a limit and delays the first read of
// each one by the set-up time.
type limitListener struct {
	net.Listener
	srv *server
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	srv       *server
	setupOnce sync.Once
	closeOnce sync.Once
}

// Accept returns the next connection within the limit. It resets the others, as
// an upstream with a full connection table does.
func (g *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := g.srv.acceptConn(nc); c != nil {
			return c, nil
		}
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
}

// Read sleeps for the set-up time before the first read.
func (c *conn) Read(p []byte) (int, error) {
	c.setupOnce.Do(func() { c.srv.sleep(c.srv.currentSetupTime(), nil) })
	return c.Conn.Read(p)
}

// Close closes the connection and removes it from the open connections of the server.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.srv.removeConn(c) })
	return err
}

func (s *server) acceptConn(nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.closed || s.connLimit > 0 && len(s.conns) >= s.connLimit {
		s.refused++
		return nil
	}
	c := &conn{Conn: nc, srv: s}
	s.conns[c] = struct{}{}
	s.opened++
	s.peak = max(s.peak, len(s.conns))
	return c
}

func (s *server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *server) currentSetupTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setupTime
}
