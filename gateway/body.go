package gateway

import (
	"errors"
	"io"

	"lentillink.example/lentillink/exchange"
)

// bodyStepBytes is by how much the memory of one body grows at a time.
const bodyStepBytes = 16 << 10

var errBodyMemory = errors.New("bodies being read take too much memory")

// bodyReader reads a caller's body and reserves memory for what has arrived. The length
// that a caller states is not reserved: it may never come, and others would be refused
// meanwhile.
type bodyReader struct {
	io.Reader
	memory   *exchange.Memory
	step     int64 // at most the size of the largest body
	count    int64
	reserved int64
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.count += int64(n)
	for b.count > b.reserved {
		if !b.memory.Reserve(b.step) {
			return n, errBodyMemory
		}
		b.reserved += b.step
	}
	return n, err
}

// release releases the memory of the body.
func (b *bodyReader) release() { b.memory.Release(b.reserved) }
