package framing

import (
	"bytes"
	"errors"
	"net"
)

// statusEnd is the length of the start of a reply up to the end of its status.
const statusEnd = len("HTTP/1.1 200")

const statusBegin = len("HTTP/1.1 ")

var http11, http10 = []byte("HTTP/1.1"), []byte("HTTP/1.0")

// ErrStatus reports a reply without a valid status.
var ErrStatus = errors.New("reply has no valid status")

// checkStatus returns an error unless the start of a reply, of statusEnd bytes, has a version
// of HTTP/1, a blank and three digits from 100 on. fasthttp accepts other versions and
// statuses, and reports 000 as 200.
func checkStatus(start []byte) error {
	if !bytes.HasPrefix(start, http11) && !bytes.HasPrefix(start, http10) {
		return ErrStatus
	}
	if len(start) < statusEnd || start[statusBegin-1] != ' ' || start[statusBegin] < '1' {
		return ErrStatus
	}
	for _, c := range start[statusBegin:statusEnd] {
		if c < '0' || c > '9' {
			return ErrStatus
		}
	}
	return nil
}

// replyStart collects the start of a reply from the bytes that are read.
type replyStart struct {
	bytes [statusEnd]byte
	n     int
}

// add returns the error of checkStatus once the start is complete.
func (s *replyStart) add(p []byte) error {
	s.n += copy(s.bytes[s.n:], p)
	if s.n < statusEnd {
		return nil
	}
	return checkStatus(s.bytes[:])
}

// checkedConn is a connection without pipelining whose reads check the status of each reply.
type checkedConn struct {
	net.Conn
	start replyStart
}

// CheckedConn returns nc as a connection that fails at a reply without a valid status.
func CheckedConn(nc net.Conn) net.Conn { return &checkedConn{Conn: nc} }

// Write sends p, which belongs to the next request.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.start.n = 0
	return c.Conn.Write(p)
}

// Read receives bytes of a reply.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if statusErr := c.start.add(p[:n]); statusErr != nil {
		return 0, statusErr
	}
	return n, err
}
