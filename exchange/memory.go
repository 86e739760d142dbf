package exchange

import (
	"errors"
	"net"

	"lentillink.example/lentillink/memory"
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

	// maxFramingBytes bounds what comes with a body: headers, chunk sizes, trailers and
	// interim replies.
	maxFramingBytes = 64 << 10
)

var (
	errTooLarge     = errors.New("reply is too large")
	errHeadTooLarge = errors.New("head of the reply is too large")
	errNoMemory     = errors.New("replies being read take too much memory")
	errSwitching    = errors.New("reply switches the protocol, which the request did not ask for")
)

// replyReader reads a connection. It fails once a reply is larger than its limit, or all
// replies together need more memory than there is.
type replyReader struct {
	nc       net.Conn
	memory   memory.Reservation // for the current reply
	maxBytes int                // of one reply with everything that comes with it
	count    int                // bytes of the current reply
	buffered int                // size of a larger buffer for its head
}

// Read reads from the connection.
func (r *replyReader) Read(p []byte) (int, error) {
	n, err := r.nc.Read(p)
	r.count += n
	if r.count > r.maxBytes {
		return n, errTooLarge
	}
	if !r.reserve() {
		return n, errNoMemory
	}
	return n, err
}

// reserve reserves the memory of the current reply.
func (r *replyReader) reserve() bool {
	return r.memory.GrowTo(memoryFactor*max(int64(r.count-freeReplyBytes), 0)+int64(r.buffered), memoryStep)
}

// endReply releases the memory of the current reply.
func (r *replyReader) endReply() {
	r.memory.Release()
	r.count, r.buffered = 0, 0
}
