package memory

import "sync/atomic"

// Bound bounds the memory of one kind of data, in bytes. The zero value has none left. It is
// safe for concurrent use.
type Bound struct{ left atomic.Int64 }

// Set sets the bytes that are left. It is called before the first use.
func (b *Bound) Set(n int64) { b.left.Store(n) }

// Reserve takes n bytes and reports whether they were left.
func (b *Bound) Reserve(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// Release adds n bytes.
func (b *Bound) Release(n int64) { b.left.Add(n) }

// Reservation is the part of a Bound that one user holds. It is not safe for concurrent use.
type Reservation struct {
	bound *Bound
	held  int64
}

// NewReservation returns a Reservation that holds nothing. Without a Bound it has no limit.
func NewReservation(b *Bound) Reservation { return Reservation{bound: b} }

// GrowTo reserves steps of some bytes until at least n are held. It reports whether they were
// left.
func (r *Reservation) GrowTo(n, step int64) bool {
	for r.bound != nil && r.held < n {
		if !r.bound.Reserve(step) {
			return false
		}
		r.held += step
	}
	return true
}

// Release releases all that is held.
func (r *Reservation) Release() {
	if r.bound != nil {
		r.bound.Release(r.held)
	}
	r.held = 0
}
