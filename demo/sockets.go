package demo

import (
	"errors"
	"net"
	"sync"

	"lentillink.example/lentillink/clock"
)

var errSocketsClosed = errors.New("all sockets of this VM are closed")

// sockets tracks the listeners and connections of one VM, so that Kill can
// close all of them at once, as the system does when a process ends.
type sockets struct {
	mu     sync.Mutex
	closed bool
	open   map[interface{ Close() error }]struct{}
}

func newSockets() *sockets { return &sockets{open: make(map[interface{ Close() error }]struct{})} }

// add tracks c. After closeAll it closes c and reports false.
func (s *sockets) add(c interface{ Close() error }) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return false
	}
	s.open[c] = struct{}{}
	return true
}

func (s *sockets) remove(c interface{ Close() error }) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// closeAll closes all tracked sockets. Sockets that are added later are closed at
// once.
func (s *sockets) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.open {
		_ = c.Close()
	}
	clear(s.open)
}

func (s *sockets) dial(address string, timeout clock.Millis) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, timeout.Duration())
	if err != nil {
		return nil, err
	}
	return s.track(c)
}

func (s *sockets) listen() (net.Listener, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.add(lis)
	return trackedListener{lis, s}, nil
}

func (s *sockets) track(c net.Conn) (net.Conn, error) {
	t := &trackedConn{Conn: c, sockets: s}
	if !s.add(c) {
		return nil, errSocketsClosed
	}
	return t, nil
}

type trackedListener struct {
	net.Listener
	sockets *sockets
}

// Accept returns the next connection.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.sockets.track(c)
}

type trackedConn struct {
	net.Conn
	sockets *sockets
}

// Close closes the connection and stops tracking it.
func (c *trackedConn) Close() error {
	c.sockets.remove(c.Conn)
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, if the connection supports it.
func (c *trackedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}
