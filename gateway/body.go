package gateway

import (
	"errors"
	"io"

	"lentillink.example/lentillink/memory"
)

// bodyStepBytes is by how much the memory of one body grows at a time.
const bodyStepBytes = 16 << 10

var errBodyMemory = errors.New("bodies being read take too much memory")

// bodyReader reads a caller's body and reserves memory for the part that arrives. The
// length that a caller states is not reserved whole: the body may never come, and others
// would be refused meanwhile.
type bodyReader struct {
	io.Reader
	memory memory.Reservation
	count  int64
}

// begin reserves memory for the first part of a body, so that a small body is not refused
// halfway. length is that of the whole body, -1 if it is not known.
func (b *bodyReader) begin(length, limit int64) bool {
	if length < 0 {
		length = limit
	}
	first := min(length, limit, bodyStepBytes)
	return b.memory.GrowTo(first, first)
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.count += int64(n)
	if !b.memory.GrowTo(b.count, bodyStepBytes) {
		return n, errBodyMemory
	}
	return n, err
}
