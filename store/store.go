package store

import (
	"context"
)

// Entry is one value with its revision. Revision 0 means that the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Store is the platform's configuration store.
//
// Errors are of type *Error. KindConflict proves that a write had no effect.
// KindUnavailable proves that the store did not accept the call. After
// KindUnknown a write may or may not have taken effect; reading the key shows which.
type Store interface {
	// Get reads a key. A key that does not exist yields an Entry with Revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes value if the key's revision equals expect; 0 means the key must not exist.
	Swap(ctx context.Context, key string, value []byte, expect uint64) (Entry, error)
	// Delete removes a key if its revision equals expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Watch waits until the key's revision exceeds after, then returns it.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
}

// LeaseID identifies a lease.
type LeaseID uint64
