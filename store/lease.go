package store

import (
	"context"

	"lentillink.example/lentillink/clock"
)

// Leases writes keys that the store removes when their lease ends. Its errors
// are of type *Error. KindConflict means that the lease has ended.
type Leases interface {
	// Grant creates a lease. The store may apply another time to live than asked for.
	Grant(ctx context.Context, ttl clock.Millis) (Lease, error)
	// KeepAlive extends a lease and returns the time to live that applies from then on, 0 if
	// the store states none.
	KeepAlive(ctx context.Context, id LeaseID) (clock.Millis, error)
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Put writes a key under a lease, regardless of its revision.
	Put(ctx context.Context, key string, value []byte, id LeaseID) error
	// PutIf writes a key under a lease if the key's revision equals expect; 0 means that the
	// key must not exist. KindConflict means that it does not, or that the lease has ended.
	PutIf(ctx context.Context, key string, value []byte, id LeaseID, expect uint64) error
}

// Lease is a lease as the store has granted it.
type Lease struct {
	ID  LeaseID
	TTL clock.Millis // that applies; 0 if the store states none, or none that can be
}

// CountedTTL returns how long a holder may count on a lease that it asked for with one time to
// live and for which the store states another. It returns 0 if the store states none.
func CountedTTL(asked, stated clock.Millis) clock.Millis { return max(0, min(asked, stated)) }
