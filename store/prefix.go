package store

import (
	"context"

	"lentillink.example/lentillink/clock"
)

// Item is the value of one key below a prefix, or the removal of the key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // revision of the key's last change
	Removed  bool
}

// Batch is the result of ListPrefix or WatchPrefix. Revision is the revision of
// the store after which a watch continues.
//
// A store that lost acknowledged changes, because it was restored from an older copy,
// starts a new era. Revisions are unique within an era and are given out again in the
// next one, so they are ordered by era first.
type Batch struct {
	Items    []Item
	Era      uint64 // 0 if the store states none
	Revision uint64
	Skipped  int   // items that could not be decoded and are left out
	EraErr   error // the era that the store stated is not usable
}

// PrefixWatcher reads all keys below a prefix and watches their changes. Its
// errors are of type *Error. KindConflict from WatchPrefix means that the store
// no longer has the changes since after, so that a new ListPrefix is needed.
type PrefixWatcher interface {
	// ListPrefix returns every item below prefix. With stale, the result may be
	// seconds old, which costs the store less.
	ListPrefix(ctx context.Context, prefix string, stale bool) (Batch, error)
	// WatchPrefix waits up to wait for changes after a revision. The batch is
	// empty if there was none.
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait clock.Millis) (Batch, error)
	// Era returns the highest era that any reply of the store has stated, including
	// replies to calls of other interfaces and refusals; 0 if none has.
	Era() uint64
	// Reconnect closes all connections, so that later calls open new ones. Calls
	// in flight fail.
	Reconnect()
}
