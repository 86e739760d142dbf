package catalog_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// changeBoundMs is the time that users allow for a configuration change or a drain to take effect.
const changeBoundMs = 3 * clock.Second

// cluster simulates a group of VMs with publishers and subscribers and one store, in virtual time.
type cluster struct {
	now    clock.Millis
	vms    []*testVM
	events []store.Item // event history of the store
	era    uint64       // of the store
	writes int          // values written so far
	calls  int          // store calls of all VMs since the last reset
	cuts   cutWatches
	cutAt  clock.Millis // when the last watch was cut
	others otherWriter
	queue  []delivery

	historyFrom uint64 // the changes up to this revision can't be watched
}

// testVM is one VM of a cluster.
type testVM struct {
	id         string
	m          *catalog.Model
	dead       bool
	storeFails bool // its store calls fail at once
	storeHangs bool // its store calls get no reply
	muted      bool // its messages to other VMs are lost
	known      map[string]uint64
	values     map[string]string
	lists      int // passes over the list of the store
	pass       uint64
	pages      int // asked for
	lost       int // reports that the store is lost
	watch      *catalog.WatchCmd
	watchAt    clock.Millis
	compacted  bool // the history that the watch needs was compacted, which the store reports when the watch ends
}

type delivery struct {
	at  clock.Millis
	to  *testVM
	msg catalog.Msg
}

func newCluster(n int, opts ...catalog.Option) *cluster {
	g := &cluster{now: 1000}
	for i := range n {
		g.vms = append(g.vms, &testVM{id: fmt.Sprint("vm", i), m: catalog.New(uint64(i), opts...), known: make(map[string]uint64), values: make(map[string]string)})
	}
	g.change("config")
	for _, v := range g.vms {
		g.update(v, catalog.TickMsg{})
	}
	g.advance(500)
	g.assignPublishers()
	g.advance(15_000)
	return g
}

// assignPublishers recomputes the publishers of every VM from the VMs that are alive.
func (g *cluster) assignPublishers() {
	var alive []catalog.Member
	for _, v := range g.vms {
		if !v.dead {
			alive = append(alive, catalog.Member{ID: v.id})
		}
	}
	for _, v := range g.vms {
		publishers, mayPublish := catalog.Publishers(v.id, alive)
		g.update(v, catalog.PublishersMsg{VMs: publishers, MayPublish: mayPublish})
	}
}

// root returns the publisher that watches the store for the others.
func (g *cluster) root() *testVM {
	members := make([]catalog.Member, len(g.vms))
	for i, v := range g.vms {
		members[i].ID = v.id
	}
	for _, v := range g.vms {
		if publishers, mayPublish := catalog.Publishers(v.id, members); mayPublish && len(publishers) == 0 {
			return v
		}
	}
	return nil
}

func (g *cluster) revision() uint64 { return uint64(len(g.events)) }

func (g *cluster) change(key string) {
	g.writes++
	g.put(key, fmt.Sprint(key, g.writes))
}

func (g *cluster) put(key, value string) {
	g.events = append(g.events, store.Item{Key: key, Value: []byte(value), Revision: g.revision() + 1})
}

func (g *cluster) remove(key string) {
	g.events = append(g.events, store.Item{Key: key, Revision: g.revision() + 1, Removed: true})
}

func (g *cluster) eventsAfter(after uint64) store.Batch {
	return store.Batch{Items: slices.Clone(g.events[after:]), Era: g.era, Revision: g.revision()}
}

// state returns all items in the store.
func (g *cluster) state() store.Batch {
	last := make(map[string]store.Item)
	for _, it := range g.events {
		last[it.Key] = it
	}
	b := store.Batch{Era: g.era, Revision: g.revision()}
	for _, it := range last {
		if !it.Removed {
			b.Items = append(b.Items, it)
		}
	}
	return b
}

func (g *cluster) send(after clock.Millis, to *testVM, msg catalog.Msg) {
	g.queue = append(g.queue, delivery{at: g.now + after, to: to, msg: msg})
}

func (g *cluster) update(v *testVM, msg catalog.Msg) {
	if v.dead {
		return
	}
	for _, c := range v.m.Update(g.now, msg) {
		g.execute(v, c)
	}
}

const (
	storeMs = 4    // latency of a store call
	peerMs  = 1    // one-way latency between VMs
	callMs  = 1000 // timeout of a store call

	watchSlackMs = 500 // time for the reply of a watch after its wait
)

func (g *cluster) execute(v *testVM, c catalog.Cmd) {
	switch c := c.(type) {
	case catalog.ListCmd:
		g.calls++
		v.pages++
		if c.Pass != v.pass {
			v.lists++
			v.pass = c.Pass
		}
		switch {
		case v.storeHangs:
			g.send(callMs, v, catalog.FailedMsg{Kind: store.KindUnavailable, Page: &c})
		case v.storeFails:
			g.send(storeMs, v, catalog.FailedMsg{Kind: store.KindUnavailable, Page: &c})
		default:
			g.sendPage(v, c)
		}
	case catalog.WatchCmd:
		g.calls++
		if v.watch != nil {
			panic("two watches at once")
		}
		if v.storeFails {
			g.send(storeMs, v, catalog.FailedMsg{Kind: store.KindUnavailable})
			return
		}
		v.watch, v.watchAt, v.compacted = &c, g.now, false
	case catalog.SubscribeCmd:
		g.sendPeer(v, c.To, catalog.SubscribeMsg{From: v.id, Subscribe: c.Subscribe})
	case catalog.PublishCmd:
		for _, to := range c.To {
			g.sendPeer(v, to, catalog.UpdateMsg{From: v.id, Update: c.Update})
		}
	case catalog.PutCmd:
		v.known[c.Item.Key] = c.Item.Revision
		v.values[c.Item.Key] = string(c.Item.Value)
	case catalog.DeleteCmd:
		delete(v.known, c.Key)
		delete(v.values, c.Key)
	case catalog.StoreStatusCmd:
		if !c.Reachable {
			v.lost++
		}
	}
}

func (g *cluster) sendPeer(from *testVM, to string, msg catalog.Msg) {
	if from.muted {
		return
	}
	for _, v := range g.vms {
		switch {
		case v.id != to:
		case v.dead:
			g.send(peerMs, from, catalog.PeerLostMsg{VM: to})
		default:
			g.send(peerMs, v, msg)
		}
	}
}

// advance advances the virtual time in steps of one millisecond.
func (g *cluster) advance(ms clock.Millis) {
	for end := g.now + ms; g.now < end; {
		g.now++
		for _, v := range g.vms {
			if g.cut(v) {
				continue
			}
			if w := v.watch; w != nil && v.compacted {
				if g.now >= v.watchAt+w.WaitMs {
					v.watch = nil
					g.update(v, catalog.FailedMsg{Kind: store.KindConflict})
				}
			} else if w != nil && !v.storeHangs && w.After > g.revision() {
				v.watch = nil // the store does not have this revision
				g.update(v, catalog.EraMsg{Era: g.era})
				g.update(v, catalog.FailedMsg{Kind: store.KindConflict})
			} else if w != nil && !v.storeHangs && w.After < g.historyFrom {
				v.watch = nil
				g.update(v, catalog.FailedMsg{Kind: store.KindConflict})
			} else if w != nil && !v.storeHangs && (g.revision() > w.After || g.now >= v.watchAt+w.WaitMs) {
				v.watch = nil
				g.update(v, catalog.WatchedMsg{Batch: g.eventsAfter(w.After)})
			} else if w != nil && g.now >= v.watchAt+w.WaitMs+callMs {
				v.watch = nil
				g.update(v, catalog.FailedMsg{Kind: store.KindUnavailable})
			}
			if at, ok := v.m.NextWake(); ok && at <= g.now {
				g.update(v, catalog.TickMsg{})
			}
		}
		due := g.queue
		g.queue = nil
		for _, d := range due {
			if d.at > g.now {
				g.queue = append(g.queue, d)
				continue
			}
			g.update(d.to, d.msg)
		}
	}
}

// compact discards the history needed by the open watches.
func (g *cluster) compact() {
	for _, v := range g.vms {
		v.compacted = true
	}
}

// otherWriter describes entries of another writer in the store, each a page of its own.
type otherWriter struct {
	prefix      string // of their keys
	entries     int
	firstByteMs clock.Millis // of their pages
	arrivalMs   clock.Millis // time that they take to arrive after that
}

// sendPage sends the page of the list that a VM has asked for.
func (g *cluster) sendPage(v *testVM, c catalog.ListCmd) {
	all := g.state()
	for i := range g.others.entries {
		all.Items = append(all.Items, store.Item{Key: fmt.Sprintf("%sodd%04d", g.others.prefix, i), Revision: 1})
	}
	slices.SortFunc(all.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	page := catalog.ListedMsg{Page: c, Batch: store.Batch{Era: all.Era, Revision: all.Revision}}
	isOdd := func(it store.Item) bool { return strings.HasPrefix(it.Key, g.others.prefix+"odd") }
	odd := false
	for _, it := range all.Items {
		if it.Key <= c.After || !strings.HasPrefix(it.Key, c.Prefix) {
			continue
		}
		if n := len(page.Batch.Items); n > 0 && (odd || isOdd(it)) {
			page.Next = page.Batch.Items[n-1].Key
			break
		}
		odd = isOdd(it)
		page.Batch.Items = append(page.Batch.Items, it)
	}
	switch {
	case !odd:
		g.send(storeMs, v, page)
	case g.others.firstByteMs > c.TimeoutMs:
		g.send(c.TimeoutMs, v, catalog.FailedMsg{Kind: store.KindUnavailable, Page: &c})
	default:
		g.send(g.others.firstByteMs, v, catalog.PageBegunMsg{Page: c})
		g.send(g.others.firstByteMs+g.others.arrivalMs, v, page)
	}
}

// kill stops a VM, which closes its connections.
func (g *cluster) kill(v *testVM) {
	v.dead = true
	for _, o := range g.vms {
		g.send(peerMs, o, catalog.PeerLostMsg{VM: v.id})
	}
}

// TestPublisherFaults guards against VMs that miss a change or receive it too
// late because their publisher or its store watch has failed.
func TestPublisherFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(g *cluster, root *testVM)
	}{
		{"none", func(*cluster, *testVM) {}},
		{"publisher killed", func(g *cluster, root *testVM) { g.kill(root) }},
		{"publisher and next one killed", func(g *cluster, root *testVM) {
			g.kill(root)
			for _, v := range g.vms {
				if !v.dead {
					g.kill(v)
					break
				}
			}
		}},
		{"publisher removed from the VM list", func(g *cluster, root *testVM) {
			root.dead = true
			g.assignPublishers()
		}},
		{"publisher unresponsive or disconnected from its peers", func(_ *cluster, root *testVM) { root.muted = true }},
		{"publisher gets no reply to its open watch", func(_ *cluster, root *testVM) { root.storeFails, root.watch = true, nil; root.storeHangs = true }},
		{"store calls of the publisher time out", func(_ *cluster, root *testVM) { root.storeHangs = true }},
		{"history compacted", func(g *cluster, _ *testVM) { g.compact() }},
		{"history compacted, no connection between VMs", func(g *cluster, _ *testVM) {
			for _, v := range g.vms {
				v.muted = true
			}
			g.advance(6000)
			g.compact()
		}},
		{"store calls of the publisher time out and those of a third of the VMs fail", func(g *cluster, root *testVM) {
			root.storeHangs = true
			for i, v := range g.vms {
				v.storeFails = i%3 == 0
			}
		}},
	}
	for _, tt := range tests {
		for _, delay := range []clock.Millis{0, 300, 900, 1500, 4000} {
			t.Run(fmt.Sprintf("%s, %d ms before the change", tt.name, delay), func(t *testing.T) {
				g := newCluster(20)
				root := g.root()
				tt.fault(g, root)
				g.advance(delay)
				g.change("config")
				g.change("upstream")
				want := g.revision() - 1
				g.advance(changeBoundMs)
				for _, v := range g.vms {
					reachesStore := !v.dead && !v.storeFails && !v.storeHangs // a VM without contact to the store is exempt
					if got := v.known["config"]; reachesStore && got != want {
						t.Errorf("%s: got revision %d of the configuration, want %d", v.id, got, want)
					}
				}
				g.remove("upstream")
				g.advance(2 * changeBoundMs)
				for _, v := range g.vms {
					if _, ok := v.known["upstream"]; ok && !v.dead && !v.storeFails && !v.storeHangs {
						t.Errorf("%s: still has an upstream that was removed 6 s ago", v.id)
					}
				}
			})
		}
	}
}

// restart kills a VM and starts it again with empty state.
func (g *cluster) restart(v *testVM) {
	g.kill(v)
	g.advance(10)
	v.dead, v.watch, v.pass, v.m, v.known, v.values = false, nil, 0, catalog.New(99), make(map[string]uint64), make(map[string]string)
	g.update(v, catalog.TickMsg{})
	g.assignPublishers()
}

// TestPublisherWithoutHistory guards against a VM that misses a change because its
// publisher has restarted without the history, and the VM could not read the store
// itself. The updates of that publisher do not prove that nothing was missed.
func TestPublisherWithoutHistory(t *testing.T) {
	g := newCluster(20)
	root := g.root()
	var isolated *testVM
	for _, v := range g.vms {
		if publishers, mayPublish := catalog.Publishers(v.id, []catalog.Member{{ID: root.id}, {ID: v.id}}); !mayPublish || len(publishers) > 0 && v != root {
			isolated = v
		}
	}
	isolated.storeFails, isolated.muted = true, true
	g.kill(root)
	g.advance(100)
	g.change("config")
	want := g.revision()
	g.restart(root)
	g.advance(15_000) // longer than publisherBackoffMs
	isolated.muted = false
	g.advance(15_000)
	isolated.storeFails = false
	g.advance(changeBoundMs)
	if got := isolated.known["config"]; got != want {
		t.Errorf("%s: got revision %d of the configuration, want %d", isolated.id, got, want)
	}
}

// TestStoreCallsDoNotGrowWithVMs guards against store calls that grow with the number of VMs.
func TestStoreCallsDoNotGrowWithVMs(t *testing.T) {
	const changes = 20
	calls := func(n int) int {
		g := newCluster(n)
		g.calls = 0
		for i := range changes {
			g.change(fmt.Sprint("k", i))
			g.advance(1000)
		}
		return g.calls
	}
	few, many := calls(6), calls(60)
	// The publisher makes at most one call for each change and one a second; the rest
	// is for the two spare publishers.
	if limit := 3 * changes; many > limit || few > limit {
		t.Errorf("got %d calls with 6 VMs and %d with 60, want at most %d", few, many, limit)
	}
}

// TestStoreCallsAfterPublisherLoss guards against a list by every VM when the publisher is lost.
func TestStoreCallsAfterPublisherLoss(t *testing.T) {
	g := newCluster(60)
	root := g.root()
	g.calls = 0
	g.kill(root)
	g.advance(500)
	if got, limit := g.calls, 6; got > limit {
		t.Errorf("got %d calls in the 500 ms after the loss of the publisher, want at most %d", got, limit)
	}
}

// TestPublishersAgree guards against subscriptions that form a cycle, against a
// subscription to a VM that does not publish, and against a VM with neither a
// publisher nor a watch of the store.
func TestPublishersAgree(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 64, 65, 178, 600} {
		var group []catalog.Member
		for i := range n {
			group = append(group, catalog.Member{ID: fmt.Sprint("vm", i), Capacity: i % 7 / 6})
		}
		roots := 0
		rank := make(map[string]int) // 0 for VMs that watch the store
		for _, member := range group {
			id := member.ID
			publishers, _ := catalog.Publishers(id, group)
			if len(publishers) == 0 {
				roots++
				if n >= 7 && member.Capacity == 0 && roots <= n/7 {
					t.Errorf("%d VMs: %s watches the store, although VMs of higher capacity do not", n, id)
				}
			}
			rank[id] = len(publishers)
			if slices.Contains(publishers, id) {
				t.Errorf("%d VMs: %s may subscribe to itself", n, id)
			}
		}
		for _, member := range group {
			id := member.ID
			publishers, _ := catalog.Publishers(id, group)
			for _, publisher := range publishers {
				back, mayPublish := catalog.Publishers(publisher, group)
				if slices.Contains(back, id) {
					t.Errorf("%d VMs: %s and %s may subscribe to each other", n, id, publisher)
				}
				if !mayPublish {
					t.Errorf("%d VMs: %s does not expect the subscription of %s", n, publisher, id)
				}
			}
		}
		if want := (n + 63) / 64; roots != want {
			t.Errorf("%d VMs: got %d that watch the store, want %d", n, roots, want)
		}
	}
}

// TestStaleList guards against a stale list that removes newer keys, and against a late
// removal event that removes a key written again since.
func TestStaleList(t *testing.T) {
	r := newHarness(t)
	r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4))})
	r.update(catalog.WatchedMsg{Batch: batch(20, item("b", 20))})
	r.commands = nil
	r.now += 130_000
	r.update(catalog.TickMsg{})
	r.want("list")
	r.update(catalog.ListedMsg{Batch: batch(15, item("a", 4))})
	r.want("watch 20")
	r.update(catalog.WatchedMsg{Batch: batch(21, removed("b", 19))})
	r.advance(r.now + 700)
	r.want()
}

// TestStoreCallsDuringOutage guards against VMs that all call a store that is down about
// once a second, although a few of them suffice to notice that it is back, and against a
// change that reaches a VM late after the outage.
func TestStoreCallsDuringOutage(t *testing.T) {
	const vms, outageMs = 40, 8 * clock.Second
	for _, change := range []clock.Millis{0, 100, 1000, 3000} {
		g := newCluster(vms)
		g.calls = 0
		for _, v := range g.vms {
			v.storeFails = true
			if v.watch != nil {
				v.watch = nil
				g.send(storeMs, v, catalog.FailedMsg{Kind: store.KindUnavailable})
			}
		}
		g.advance(outageMs)
		// A publisher and two spare ones may try twice a second. Every other VM must try once
		// in 2.5 s to meet the users' bound without them, and may do so every 1.5 s.
		if limit := 3*2*int(outageMs/clock.Second) + vms*int(outageMs/1500); g.calls > limit {
			t.Errorf("got %d calls of %d VMs in 8 s of outage, want at most %d", g.calls, vms, limit)
		}
		for _, v := range g.vms {
			v.storeFails = false
		}
		g.advance(change)
		g.change("config")
		want := g.revision()
		g.advance(changeBoundMs)
		for _, v := range g.vms {
			if got := v.known["config"]; got != want {
				t.Errorf("%s: got revision %d of the configuration %d ms after the outage, want %d", v.id, got, change+changeBoundMs, want)
			}
		}
	}
}

// TestReturningPublisher guards against a removal that is lost if it happens just before a
// publisher reaches the store again. Its list has never had the key, so the update that
// follows from the list says nothing about it to subscribers that know more.
func TestReturningPublisher(t *testing.T) {
	for offset := clock.Millis(0); offset < 1200; offset += 40 {
		t.Run(fmt.Sprintf("removal after %d ms", offset), func(t *testing.T) {
			g := newCluster(20)
			root := g.root()
			root.storeFails, root.watch = true, nil
			g.update(root, catalog.FailedMsg{Kind: store.KindUnavailable})
			g.advance(5000)
			g.change("upstream")
			g.advance(5000 + offset)
			g.change("config") // the watch that follows comes after the removal
			g.advance(50)
			g.remove("upstream")
			root.storeFails = false
			g.advance(2 * changeBoundMs)
			for _, v := range g.vms {
				if _, ok := v.known["upstream"]; ok {
					t.Errorf("%s: still has an upstream that was removed 6 s ago", v.id)
				}
			}
		})
	}
}

// TestPublishersLoseStoreAgain guards against a subscriber that does not read the store itself,
// because its publishers reach the store and lose it again and again.
func TestPublishersLoseStoreAgain(t *testing.T) {
	r := newHarness(t)
	r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4))})
	r.update(catalog.WatchedMsg{Batch: batch(10)})
	r.update(catalog.PublishersMsg{VMs: []string{"p", "q"}})
	r.update(catalog.UpdateMsg{From: "p", Update: catalog.Update{From: 10, To: 11, Items: []store.Item{item("a", 11)}}})
	r.advance(r.now + 900)
	r.commands = nil
	lost := catalog.Update{StoreLost: true}
	for range 20 {
		for _, p := range []string{"p", "q"} {
			r.update(catalog.UpdateMsg{From: p, Update: lost})
			r.advance(r.now + 100)
		}
	}
	if !slices.Contains(r.commands, "fresh list") {
		t.Errorf("got %v in 4 s, want a fresh list", r.commands)
	}
}
