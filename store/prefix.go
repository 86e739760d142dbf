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

// Batch is the result of ListPage or WatchPrefix. Revision is the revision of
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

// PageRequest asks for a page of the keys below Prefix.
type PageRequest struct {
	Prefix  string
	After   string       // key after which the page begins; "" for the first page
	Stale   bool         // the result may be seconds old, which costs the store less
	Timeout clock.Millis // to the first byte of the reply
	Begun   func()       // called when that has arrived; may be nil
}

// Page is a page of a list. The pages of a list are not a snapshot.
type Page struct {
	Batch
	Next string // key after which the next page begins; "" if this is the last one
}

// PrefixWatcher reads all keys below a prefix and watches their changes. Its
// errors are of type *Error. KindConflict from WatchPrefix means that the store
// no longer has the changes since after, and KindTooLarge that there are too many for one
// reply, so that a new list is needed.
type PrefixWatcher interface {
	// ListPage returns a page of the items below a prefix, in the order of their keys.
	ListPage(ctx context.Context, req PageRequest) (Page, error)
	// WatchPrefix waits up to wait for changes after a revision, and up to slack longer for the
	// first byte of the reply. The batch is empty if there were none.
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait, slack clock.Millis) (Batch, error)
	// Era returns the highest era that any reply of the store has stated, including
	// replies to calls of other interfaces and refusals; 0 if none has.
	Era() uint64
	// Reconnect closes all connections, so that later calls open new ones. Calls
	// in flight fail.
	Reconnect()
}
