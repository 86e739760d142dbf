package standin

import (
	"net"
	"sync"
	"time"
)

// gate accepts connections up to a limit and makes each one cost set-up time.
type gate struct {
	net.Listener
	srv *server
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	srv   *server
	setUp sync.Once
	end   sync.Once
}

// Accept returns the next connection within the limit. Others are reset, as
// an upstream with a full connection table does.
func (g *gate) Accept() (net.Conn, error) {
	for {
		nc, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := g.srv.admit(nc); c != nil {
			return c, nil
		}
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
}

// Read waits for the set-up time before the first byte.
func (c *conn) Read(p []byte) (int, error) {
	c.setUp.Do(func() { c.srv.sleep(c.srv.connectTime(), nil) })
	return c.Conn.Read(p)
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.end.Do(func() { c.srv.release(c) })
	return err
}

func (s *server) admit(nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.closed || s.limit > 0 && len(s.conns) >= s.limit {
		s.refused++
		return nil
	}
	c := &conn{Conn: nc, srv: s}
	s.conns[c] = struct{}{}
	s.opened++
	s.peak = max(s.peak, len(s.conns))
	return c
}

func (s *server) release(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *server) connectTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connect
}
