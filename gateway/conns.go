package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lentillink.example/lentillink/memory"
)

// firstRequestTime is how long a new connection is not idle without a request: its caller
// is about to send one.
const firstRequestTime = 200 * time.Millisecond

// callerConns holds the open connections of callers. http.Server.Shutdown cannot serve
// for a planned stop: it closes a connection whose request was read after the stop began
// without an answer.
type callerConns struct {
	heads *memory.Bound // for the heads of requests, from their first byte to the answer
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

func newCallerConns(heads *memory.Bound) *callerConns {
	return &callerConns{heads: heads, conns: make(map[*trackedConn]struct{})}
}

// trackedConn is a caller's connection that knows whether a request has begun on it.
type trackedConn struct {
	*net.TCPConn
	owner    *callerConns
	openedAt time.Time
	started  atomic.Bool // a byte of a request without a complete answer was read
	head     *memory.Meter
}

// headRefusal is the answer to a request whose head finds no memory. The request has not run,
// as its head is not complete.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// headRefusalTimeout bounds the write of headRefusal.
const headRefusalTimeout = 100 * time.Millisecond

// Read reads from the connection. It fails if the heads of all callers take too much memory.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.started.Store(true)
	}
	if exceeded := c.head.Add(n); exceeded != nil {
		_ = c.SetWriteDeadline(time.Now().Add(headRefusalTimeout))
		_, _ = io.WriteString(c.TCPConn, headRefusal)
		return 0, memory.ReadError(c.TCPConn, exceeded)
	}
	return n, err
}

// Close closes the connection and removes it from its owner.
func (c *trackedConn) Close() error {
	c.head.Close()
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.TCPConn.Close()
}

// trackedListener adds the connections that it accepts to owner.
type trackedListener struct {
	net.Listener
	owner *callerConns
}

// Accept accepts a connection.
func (l trackedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	c := &trackedConn{TCPConn: tcp, owner: l.owner, openedAt: time.Now(), head: memory.NewMeter(l.owner.heads)}
	l.owner.mu.Lock()
	l.owner.conns[c] = struct{}{}
	l.owner.mu.Unlock()
	return c, nil
}

// observe is the server's hook for changes of a connection's state.
func (s *callerConns) observe(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*trackedConn); ok && state == http.StateIdle {
		c.started.Store(false)
		c.head.Reset()
	}
}

// closeIdle closes the connections on which no request has begun and returns the number
// of the others.
func (s *callerConns) closeIdle() int {
	var idle []*trackedConn
	s.mu.Lock()
	for c := range s.conns {
		if !c.started.Load() && time.Since(c.openedAt) >= firstRequestTime {
			idle = append(idle, c)
		}
	}
	busy := len(s.conns) - len(idle)
	s.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
	return busy
}
