package catalog_test

import (
	"testing"

	"lentillink.example/lentillink/catalog"
)

// TestRecentBytes guards against a publisher that runs out of memory because large values are
// written again and again, and against a subscriber that then misses a change.
func TestRecentBytes(t *testing.T) {
	const valueBytes, writes, maxBytes = 1 << 20, 20, 4 << 20
	r := newHarness(t)
	r.update(catalog.PublishersMsg{MayPublish: true})
	r.update(catalog.ListedMsg{Batch: batch(10)})
	for revision := uint64(11); revision <= 10+writes; revision++ {
		r.advance(r.now + 1000)
		it := item("key", revision)
		it.Value = make([]byte, valueBytes)
		r.update(catalog.WatchedMsg{Batch: batch(revision, it)})
	}
	for after := uint64(10); after <= 10+writes; after++ {
		var got *catalog.Update
		for _, cmd := range r.m.Update(r.now, catalog.SubscribeMsg{From: "vm-2", Subscribe: catalog.Subscribe{After: after}}) {
			if c, ok := cmd.(catalog.PublishCmd); ok {
				got = &c.Update
			}
		}
		if got == nil {
			t.Fatalf("after %d: got no update, want one", after)
		}
		size := 0
		for _, it := range got.Items {
			size += len(it.Value)
		}
		if size > maxBytes || got.To != 10+writes {
			t.Errorf("after %d: got %d bytes up to %d, want at most %d up to %d", after, size, got.To, maxBytes, 10+writes)
		}
		// An update that begins later makes the subscriber list again.
		if changes := 10 + writes - max(after, got.From); uint64(len(got.Items)) < changes {
			t.Errorf("after %d: got %d changes from %d, want %d", after, len(got.Items), got.From, changes)
		}
	}
}
