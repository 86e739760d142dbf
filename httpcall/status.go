package httpcall

import (
	"errors"
	"net"
)

// StatusEnd is the length of the start of a reply up to the end of its status.
const StatusEnd = len("HTTP/1.1 200")

const statusBegin = len("HTTP/1.1 ")

var errStatus = errors.New("reply has no valid status")

// CheckStatus returns an error unless the start of a reply, of StatusEnd bytes, ends in a
// blank and three digits from 100 on. fasthttp accepts other statuses, and reports 000 as 200.
func CheckStatus(start []byte) error {
	if len(start) < StatusEnd || start[statusBegin-1] != ' ' || start[statusBegin] < '1' {
		return errStatus
	}
	for _, c := range start[statusBegin:StatusEnd] {
		if c < '0' || c > '9' {
			return errStatus
		}
	}
	return nil
}

// replyStart collects the start of a reply from the bytes that are read.
type replyStart struct {
	bytes [StatusEnd]byte
	n     int
}

// add returns the error of CheckStatus once the start is complete.
func (s *replyStart) add(p []byte) error {
	s.n += copy(s.bytes[s.n:], p)
	if s.n < StatusEnd {
		return nil
	}
	return CheckStatus(s.bytes[:])
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
