package catalog_test

import (
	"fmt"
	"strings"
	"testing"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// harness drives a model and records its commands.
type harness struct {
	t        *testing.T
	m        *catalog.Model
	now      clock.Millis
	commands []string
	page     *catalog.ListCmd // outstanding
}

func newHarness(t *testing.T) *harness {
	r := &harness{t: t, m: catalog.New(1), now: 1000}
	r.update(catalog.TickMsg{})
	return r
}

// update passes a message to the model. A list, and a failure while one is outstanding, answers it.
func (r *harness) update(msg catalog.Msg) {
	if page := r.page; page != nil {
		switch t := msg.(type) {
		case catalog.ListedMsg:
			t.Page, r.page = *page, nil
			msg = t
		case catalog.FailedMsg:
			t.Page, r.page = page, nil
			msg = t
		}
	}
	for _, c := range r.m.Update(r.now, msg) {
		switch c := c.(type) {
		case catalog.ListCmd:
			r.page = &c
			if c.AllowStale {
				r.commands = append(r.commands, "list")
			} else {
				r.commands = append(r.commands, "fresh list")
			}
		case catalog.WatchCmd:
			r.commands = append(r.commands, fmt.Sprintf("watch %d", c.After))
		case catalog.PutCmd:
			r.commands = append(r.commands, "put "+c.Item.Key)
		case catalog.DeleteCmd:
			r.commands = append(r.commands, "delete "+c.Key)
		case catalog.EraCmd:
			r.commands = append(r.commands, fmt.Sprintf("era %d %v", c.Era, c.Returned))
		case catalog.StoreStatusCmd:
			r.commands = append(r.commands, fmt.Sprintf("reachable %v", c.Reachable))
		}
	}
}

// relist answers watches until a list is outstanding.
func (r *harness) relist(revision uint64) {
	for end := r.now + 5*clock.Minute; r.page == nil; {
		if r.now > end {
			r.t.Fatal("got no list, want one")
		}
		r.advance(r.now + clock.Second)
		r.update(catalog.WatchedMsg{Batch: batch(revision)})
	}
}

// answer returns the list that answers the call among cmds.
func answer(cmds []catalog.Cmd, b store.Batch) catalog.ListedMsg {
	for _, c := range cmds {
		if list, ok := c.(catalog.ListCmd); ok {
			return catalog.ListedMsg{Page: list, Batch: b}
		}
	}
	return catalog.ListedMsg{}
}

// advance advances the time to an absolute time, with a tick at each wake time.
func (r *harness) advance(to clock.Millis) {
	for {
		at, ok := r.m.NextWake()
		if !ok || at > to {
			break
		}
		r.now = max(r.now, at)
		r.update(catalog.TickMsg{})
		if next, ok := r.m.NextWake(); ok && next <= r.now {
			r.t.Fatalf("next wake time %d is not after the tick at %d: busy loop", next, r.now)
		}
	}
	r.now = to
}

func (r *harness) want(want ...string) {
	r.t.Helper()
	if got := strings.Join(r.commands, ", "); got != strings.Join(want, ", ") {
		r.t.Errorf("at %d: got %s, want %s", r.now, got, strings.Join(want, ", "))
	}
	r.commands = nil
}

func batch(revision uint64, items ...store.Item) store.Batch {
	return store.Batch{Revision: revision, Items: items}
}

func item(key string, revision uint64) store.Item { return store.Item{Key: key, Revision: revision} }
func removed(key string, revision uint64) store.Item {
	return store.Item{Key: key, Revision: revision, Removed: true}
}

// TestWatch guards against events lost between two watches, and against a store
// call for each event of a burst.
func TestWatch(t *testing.T) {
	r := newHarness(t)
	r.want("list")
	r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4), item("b", 9))})
	r.want("reachable true", "put a", "put b", "watch 10")
	r.now += 3000
	r.update(catalog.WatchedMsg{Batch: batch(12, item("a", 12), removed("b", 11))})
	r.want("put a", "delete b")
	r.advance(r.now + 700)
	r.want()
	r.advance(r.now + 100)
	r.want("watch 12")
	r.update(catalog.WatchedMsg{Batch: batch(12, item("a", 12))})
	r.want()
}

// TestHistoryCompacted guards against a missed change when the store has compacted the
// history and no watch reports it: a fresh list must follow immediately.
func TestHistoryCompacted(t *testing.T) {
	r := newHarness(t)
	r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4))})
	r.now += 5000
	r.commands = nil
	r.update(catalog.FailedMsg{Kind: store.KindConflict})
	r.want("fresh list")
	r.update(catalog.ListedMsg{Batch: batch(40, item("a", 33))})
	r.want("put a", "watch 40")
}

// TestEntriesExpiredDuringOutage guards against upstreams dropped because their entries
// expired during a store outage, although they are rewritten after it.
func TestEntriesExpiredDuringOutage(t *testing.T) {
	r := newHarness(t)
	r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4), item("b", 5), item("c", 6))})
	r.now = 10_000
	r.commands = nil
	r.update(catalog.FailedMsg{Kind: store.KindUnavailable})
	r.want("watch 10")
	r.update(catalog.FailedMsg{Kind: store.KindUnavailable})
	r.want("fresh list")
	r.update(catalog.FailedMsg{Kind: store.KindUnavailable})
	r.want("reachable false")
	r.advance(11_000)
	r.update(catalog.FailedMsg{Kind: store.KindUnavailable})
	r.advance(14_000)
	r.commands = nil
	r.update(catalog.ListedMsg{Batch: batch(50, item("c", 6))})
	r.want("reachable true", "watch 50")
	r.advance(15_000)
	r.update(catalog.WatchedMsg{Batch: batch(52, item("a", 52))})
	r.advance(16_400)
	r.want("put a", "watch 52")
	r.advance(16_600)
	r.want("delete b")
}

// TestRetries guards against retries without backoff while store calls fail; failed
// calls have a cost too.
func TestRetries(t *testing.T) {
	r := newHarness(t)
	calls := 0
	for r.now < 11_000 {
		r.commands = nil
		r.update(catalog.FailedMsg{Kind: store.KindUnavailable})
		for {
			at, ok := r.m.NextWake()
			if !ok {
				break
			}
			r.advance(at)
		}
		calls++
	}
	if got, maxCalls := calls, 25; got > maxCalls {
		t.Errorf("got %d calls in 10 s of outage, want at most %d", got, maxCalls)
	}
	if got, minCalls := calls, 9; got < minCalls {
		t.Errorf("got %d calls in 10 s of outage, want at least %d", got, minCalls)
	}
}

// TestRelist guards against a watch that stops delivering events for good: lists must be repeated.
func TestRelist(t *testing.T) {
	r := newHarness(t)
	r.update(catalog.ListedMsg{Batch: batch(10)})
	lists := 0
	for r.now < 300_000 {
		r.commands = nil
		r.now += 30_000
		r.update(catalog.WatchedMsg{Batch: batch(10)})
		r.advance(r.now + 900)
		for _, s := range r.commands {
			if s == "list" {
				lists++
				r.update(catalog.ListedMsg{Batch: batch(10)})
			}
		}
	}
	if lists < 2 {
		t.Errorf("got %d lists in 300 s, want 2 or more", lists)
	}
}

// TestRemovedKeyStaysRemoved guards against using again a key that was removed, such as
// the registration of an upstream that has left, because a read or a publisher is older
// than the removal.
func TestRemovedKeyStaysRemoved(t *testing.T) {
	old := batch(12, item("a", 4), item("b", 9))
	tests := []struct {
		name string
		msgs []catalog.Msg
		want string // commands about b
	}{
		{"stale list", []catalog.Msg{catalog.ListedMsg{Batch: old}}, ""},
		{"stale list, then the same again", []catalog.Msg{catalog.ListedMsg{Batch: old}, catalog.ListedMsg{Batch: old}}, ""},
		{"fresh list with the key written again", []catalog.Msg{catalog.FailedMsg{Kind: store.KindConflict}, catalog.ListedMsg{Batch: batch(40, item("a", 4), item("b", 33))}}, "put b"},
		{"stale list, then written again", []catalog.Msg{
			catalog.ListedMsg{Batch: old}, catalog.WatchedMsg{Batch: batch(40, item("b", 40))},
		}, "put b"},
		{"list with a page newer than its revision", []catalog.Msg{catalog.ListedMsg{Batch: batch(12, item("a", 4), item("b", 33))}}, "put b"},
		{"update from a publisher that is behind", []catalog.Msg{
			catalog.PublishersMsg{VMs: []string{"p"}},
			catalog.UpdateMsg{From: "p", Update: catalog.Update{From: 8, To: 12, Items: []store.Item{item("b", 9)}}},
		}, ""},
		{"update that spans the removal", []catalog.Msg{
			catalog.PublishersMsg{VMs: []string{"p"}},
			catalog.UpdateMsg{From: "p", Update: catalog.Update{From: 8, To: 31, Items: []store.Item{item("b", 9), removed("b", 20), item("b", 31)}}},
		}, "put b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newHarness(t)
			r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4), item("b", 9))})
			r.now += 3000
			r.update(catalog.WatchedMsg{Batch: batch(20, removed("b", 20))})
			r.want("list", "reachable true", "put a", "put b", "watch 10", "delete b")
			for _, msg := range tt.msgs {
				if _, ok := msg.(catalog.ListedMsg); ok {
					r.relist(20)
				}
				r.now += 200
				r.update(msg)
			}
			got := ""
			for _, c := range r.commands {
				if strings.HasSuffix(c, " b") {
					got += c
				}
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestHeldRemoval guards against a stale list that takes back a removal which is held
// after an outage, in case the entry is written again.
func TestHeldRemoval(t *testing.T) {
	r := newHarness(t)
	r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4), item("b", 9))})
	r.now += 5000
	r.update(catalog.FailedMsg{Kind: store.KindUnavailable})
	r.update(catalog.FailedMsg{Kind: store.KindUnavailable})
	r.now += 1000
	r.update(catalog.WatchedMsg{Batch: batch(20, removed("b", 20))}) // removals are held from here
	r.update(catalog.ListedMsg{Batch: batch(12, item("a", 4), item("b", 9))})
	r.commands = nil
	r.now += 3000
	r.update(catalog.TickMsg{})
	if got := strings.Join(r.commands, ", "); !strings.Contains(got, "delete b") {
		t.Errorf("got %s, want delete b", got)
	}
}

// TestResumed guards against a VM that goes on with what it knew before a pause until its
// next watch ends.
func TestResumed(t *testing.T) {
	r := newHarness(t)
	r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4))})
	r.update(catalog.WatchedMsg{Batch: batch(11, item("b", 11))}) // the next watch waits for a burst to end
	r.commands = nil
	r.update(catalog.ResumedMsg{})
	r.want("watch 11")
}

// TestSupersededChanges guards against a publisher that sends each of several
// configurations that follow each other, and against one that leaves out a report of an
// upstream because a later one follows.
func TestSupersededChanges(t *testing.T) {
	const key, revision = "config", 7
	m := catalog.New(1, catalog.WithSuperseded(func(k string) bool { return k == key }))
	published := func(cmds []catalog.Cmd) (out []string) {
		for _, c := range cmds {
			if p, ok := c.(catalog.PublishCmd); ok {
				for _, it := range p.Update.Items {
					out = append(out, fmt.Sprint(it.Key, it.Revision))
				}
			}
		}
		return out
	}
	put := func(cmds []catalog.Cmd) (out []string) {
		for _, c := range cmds {
			if p, ok := c.(catalog.PutCmd); ok {
				out = append(out, fmt.Sprint(p.Item.Key, p.Item.Revision))
			}
		}
		return out
	}
	m.Update(1000, answer(m.Update(1000, catalog.TickMsg{}), batch(1, item("up", 1))))
	m.Update(1100, catalog.WatchedMsg{Batch: batch(1)})
	m.Update(1100, catalog.PublishersMsg{MayPublish: true})
	m.Update(1100, catalog.SubscribeMsg{From: "vm2", Subscribe: catalog.Subscribe{After: 1}})
	cmds := m.Update(1200, catalog.WatchedMsg{Batch: batch(revision,
		item(key, 2), item("up", 3), item(key, 4), item("up", 5), removed("gone", 6), item(key, revision))})
	if got, want := fmt.Sprint(published(cmds)), "[up3 up5 gone6 config7]"; got != want {
		t.Errorf("published %s, want %s", got, want)
	}
	if got, want := fmt.Sprint(put(cmds)), "[up3 up5 config7]"; got != want {
		t.Errorf("put %s, want %s", got, want)
	}
	m.Update(1300, catalog.WatchedMsg{Batch: batch(revision+1, item(key, revision+1))})
	cmds = m.Update(1400, catalog.SubscribeMsg{From: "vm3", Subscribe: catalog.Subscribe{After: 1}})
	if got, want := fmt.Sprint(published(cmds)), "[up3 up5 gone6 config8]"; got != want {
		t.Errorf("published %s to a new subscriber, want %s", got, want)
	}
}

// TestCompressedUpdates guards against an update that a VM of an earlier release cannot
// read.
func TestCompressedUpdates(t *testing.T) {
	m := catalog.New(1)
	m.Update(1000, answer(m.Update(1000, catalog.TickMsg{}), batch(1, item("a", 1))))
	m.Update(1100, catalog.PublishersMsg{MayPublish: true})
	to := func(cmds []catalog.Cmd) (out []string) {
		for _, c := range cmds {
			if p, ok := c.(catalog.PublishCmd); ok {
				out = append(out, fmt.Sprint(p.To, p.Compressed))
			}
		}
		return out
	}
	got := to(m.Update(1100, catalog.SubscribeMsg{From: "vm2", Subscribe: catalog.Subscribe{After: 1}}))
	got = append(got, to(m.Update(1100, catalog.SubscribeMsg{From: "vm3", Subscribe: catalog.Subscribe{After: 1, Compressed: true}}))...)
	got = append(got, to(m.Update(1200, catalog.WatchedMsg{Batch: batch(2, item("a", 2))}))...)
	if want := "[[vm2] false [vm3] true [vm2] false [vm3] true]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %s", got, want)
	}
}
