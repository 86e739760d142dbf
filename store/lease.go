package store

import (
	"context"

	"lentillink.example/lentillink/clock"
)

// Leases writes keys that the store removes when their lease ends. Its errors
// are of type *Error. KindConflict means that the lease has ended.
type Leases interface {
	// Grant creates a lease.
	Grant(ctx context.Context, ttl clock.Millis) (LeaseID, error)
	// KeepAlive extends a lease.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Put writes a key under a lease, regardless of its revision.
	Put(ctx context.Context, key string, value []byte, id LeaseID) error
	// PutIf writes a key under a lease if the key's revision equals expect; 0 means that the
	// key must not exist. KindConflict means that it does not, or that the lease has ended.
	PutIf(ctx context.Context, key string, value []byte, id LeaseID, expect uint64) error
}
