package memory

import (
	"errors"
	"sync"
)

const (
	// freeBytes is what a connection may have received without a reservation. Its read
	// buffer takes as much anyway.
	freeBytes = 4 << 10

	// stepBytes is by how much the reservation of one connection grows at a time.
	stepBytes = 8 << 10

	// bytesPerByte is the memory that is reserved for each byte received: a buffer that grows
	// is copied to a larger one, and what is decoded takes memory beside it.
	bytesPerByte = 2
)

// ErrExceeded reports that nothing is left of a Bound.
var ErrExceeded = errors.New("data being received takes too much memory")

// Meter reserves memory for what one connection receives. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	reserved Reservation
	count    int64 // bytes received since the last Reset
	limit    int64 // of count; 0 for none
	held     bool
	closed   bool
}

// NewMeter returns a Meter that has received nothing.
func NewMeter(b *Bound) *Meter { return &Meter{reserved: NewReservation(b)} }

// Add counts n bytes that were received. It returns ErrExceeded if no memory is left for them.
func (m *Meter) Add(n int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held || m.closed {
		return nil
	}
	m.count += int64(n)
	if m.limit > 0 && m.count > m.limit {
		return ErrExceeded
	}
	if !m.reserved.GrowTo((m.count-freeBytes)*bytesPerByte, stepBytes) {
		return ErrExceeded
	}
	return nil
}

// SetLimit bounds the bytes that are received between two Resets, whatever is left of the
// Bound; 0 ends that.
func (m *Meter) SetLimit(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = n
}

// Hold keeps the reservation until Reset and counts nothing more.
func (m *Meter) Hold() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held = true
}

// Reset releases the reservation: what was received is no longer in use.
func (m *Meter) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count, m.held = 0, false
	m.reserved.Release()
}

// Close releases the reservation for good.
func (m *Meter) Close() {
	m.Reset()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
}
