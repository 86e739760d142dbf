package exchange

import (
	"errors"
	"net"
	"sync/atomic"
)

const (
	// defaultReplyMemory bounds the memory of all replies that are being read.
	defaultReplyMemory = 32 << 20

	// freeReplyBytes is the size up to which a reply is not counted. The read buffer of a
	// connection takes as much anyway.
	freeReplyBytes = 16 << 10

	// memoryStep is by how much the memory of one reply grows at a time.
	memoryStep = 64 << 10

	// memoryFactor is the memory that a reply takes for each of its bytes: a buffer that
	// grows is copied to a larger one, and the old one is freed later.
	memoryFactor = 4

	// maxHeadBytes bounds what comes with a body: headers, chunk sizes, trailers and
	// interim replies.
	maxHeadBytes = 64 << 10
)

var (
	errTooLarge  = errors.New("reply is too large")
	errNoMemory  = errors.New("replies being read take too much memory")
	errSwitching = errors.New("reply switches the protocol, which the request did not ask for")
)

// Memory bounds the memory of one kind of data, in bytes. The zero value has none left. It
// is safe for concurrent use.
type Memory struct{ left atomic.Int64 }

// Reserve takes n bytes and reports whether they were left.
func (m *Memory) Reserve(n int64) bool {
	if m.left.Add(-n) >= 0 {
		return true
	}
	m.left.Add(n)
	return false
}

// Release adds n bytes.
func (m *Memory) Release(n int64) { m.left.Add(n) }

// Reservation is the part of a Memory that one user holds. It is not safe for concurrent
// use.
type Reservation struct {
	memory *Memory
	held   int64
}

// NewReservation returns a Reservation that holds nothing.
func NewReservation(m *Memory) Reservation { return Reservation{memory: m} }

// GrowTo reserves steps of some bytes until at least n are held. It reports whether they
// were left.
func (r *Reservation) GrowTo(n, step int64) bool {
	for r.held < n {
		if !r.memory.Reserve(step) {
			return false
		}
		r.held += step
	}
	return true
}

// Release releases all that is held.
func (r *Reservation) Release() {
	r.memory.Release(r.held)
	r.held = 0
}

// replyReader reads a connection. It fails once a reply is larger than its limit, or all
// replies together need more memory than there is.
type replyReader struct {
	nc       net.Conn
	memory   Reservation // for the current reply
	maxBytes int         // of one reply with everything that comes with it
	count    int         // bytes of the current reply
}

// Read reads from the connection.
func (r *replyReader) Read(p []byte) (int, error) {
	n, err := r.nc.Read(p)
	r.count += n
	if r.count > r.maxBytes {
		return n, errTooLarge
	}
	if !r.memory.GrowTo(memoryFactor*int64(r.count-freeReplyBytes), memoryStep) {
		return n, errNoMemory
	}
	return n, err
}

// endReply releases the memory of the current reply.
func (r *replyReader) endReply() {
	r.memory.Release()
	r.count = 0
}
