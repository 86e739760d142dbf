package store

import (
	"context"

	"lentillink.example/lentillink/clock"
)

// Item is one value below a prefix, or the news that its key was removed.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of its last change
	Removed  bool
}

// Batch is the answer to a read or a watch of a prefix. Revision is the
// revision of the store from which a watch continues.
type Batch struct {
	Items    []Item
	Revision uint64
}

// PrefixWatcher reads all keys below a prefix and follows their changes. Its errors
// are of type *Error; KindConflict from Follow means that the history since
// after is no longer available, so that a new List is needed.
type PrefixWatcher interface {
	// ListPrefix returns every item below prefix. A stale list is cheaper and may be seconds old.
	ListPrefix(ctx context.Context, prefix string, stale bool) (Batch, error)
	// WatchPrefix waits up to wait for changes after a revision. The batch is empty if there was none.
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait clock.Millis) (Batch, error)
	// Reconnect ends all connections. Open calls fail.
	Reconnect()
}
