package catalog_test

import (
	"fmt"
	"slices"
	"testing"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
)

// changeBoundMs is the users' bound for a change of the configuration and for a drain.
const changeBoundMs = 3 * clock.Second

// group is a group of VMs that share what they read of one store, in virtual time.
type group struct {
	now    clock.Millis
	vms    []*member
	events []store.Item // the store's history
	calls  int          // of all VMs, since the last reset
	queue  []delivery
}

// member is one VM of a group.
type member struct {
	id        string
	m         *catalog.Model
	dead      bool
	refused   bool // the store refuses its calls
	silent    bool // the store does not answer its calls
	muted     bool // what it sends to other VMs is lost
	known     map[string]uint64
	watch     *catalog.WatchCmd
	watchAt   clock.Millis
	compacted bool // the history that the watch needs is gone, which the store says at its end
}

type delivery struct {
	at  clock.Millis
	to  *member
	msg catalog.Msg
}

func newGroup(n int) *group {
	g := &group{now: 1000}
	for i := range n {
		g.vms = append(g.vms, &member{id: fmt.Sprint("vm", i), m: catalog.New(uint64(i)), known: make(map[string]uint64)})
	}
	g.change("config")
	for _, v := range g.vms {
		g.update(v, catalog.TickMsg{})
	}
	g.pass(500)
	g.elect()
	g.pass(15_000)
	return g
}

// elect tells every VM which others are alive.
func (g *group) elect() {
	var ids []catalog.Member
	for _, v := range g.vms {
		if !v.dead {
			ids = append(ids, catalog.Member{ID: v.id})
		}
	}
	for _, v := range g.vms {
		feeders, feeds := catalog.Publishers(v.id, ids)
		g.update(v, catalog.PublishersMsg{VMs: feeders, MayPublish: feeds})
	}
}

// root returns the VM that follows the store for the others.
func (g *group) root() *member {
	ids := make([]catalog.Member, len(g.vms))
	for i, v := range g.vms {
		ids[i].ID = v.id
	}
	for _, v := range g.vms {
		if feeders, feeds := catalog.Publishers(v.id, ids); feeds && len(feeders) == 0 {
			return v
		}
	}
	return nil
}

func (g *group) revision() uint64 { return uint64(len(g.events)) }

func (g *group) change(key string) {
	g.events = append(g.events, store.Item{Key: key, Revision: g.revision() + 1})
}

func (g *group) removal(key string) {
	g.events = append(g.events, store.Item{Key: key, Revision: g.revision() + 1, Removed: true})
}

func (g *group) since(after uint64) store.Batch {
	return store.Batch{Items: slices.Clone(g.events[after:]), Revision: g.revision()}
}

// state returns the items that the store holds.
func (g *group) state() store.Batch {
	last := make(map[string]store.Item)
	for _, it := range g.events {
		last[it.Key] = it
	}
	b := store.Batch{Revision: g.revision()}
	for _, it := range last {
		if !it.Removed {
			b.Items = append(b.Items, it)
		}
	}
	return b
}

func (g *group) send(after clock.Millis, to *member, msg catalog.Msg) {
	g.queue = append(g.queue, delivery{at: g.now + after, to: to, msg: msg})
}

func (g *group) update(v *member, msg catalog.Msg) {
	if v.dead {
		return
	}
	for _, c := range v.m.Update(g.now, msg) {
		g.perform(v, c)
	}
}

const (
	storeMs = 4    // the store's answer
	peerMs  = 1    // one way between VMs
	callMs  = 1000 // timeout of a call
)

func (g *group) perform(v *member, c catalog.Cmd) {
	switch c := c.(type) {
	case catalog.ListCmd:
		g.calls++
		switch {
		case v.silent:
			g.send(callMs, v, catalog.FailedMsg{Kind: store.KindUnavailable})
		case v.refused:
			g.send(storeMs, v, catalog.FailedMsg{Kind: store.KindUnavailable})
		default:
			g.send(storeMs, v, catalog.ListedMsg{Batch: g.state()})
		}
	case catalog.WatchCmd:
		g.calls++
		if v.refused {
			g.send(storeMs, v, catalog.FailedMsg{Kind: store.KindUnavailable})
			return
		}
		v.watch, v.watchAt, v.compacted = &c, g.now, false
	case catalog.SubscribeCmd:
		g.tell(v, c.To, catalog.SubscribeMsg{From: v.id, Subscribe: c.Subscribe})
	case catalog.PublishCmd:
		for _, to := range c.To {
			g.tell(v, to, catalog.UpdateMsg{From: v.id, Update: c.Update})
		}
	case catalog.PutCmd:
		v.known[c.Item.Key] = c.Item.Revision
	case catalog.DeleteCmd:
		delete(v.known, c.Key)
	}
}

func (g *group) tell(from *member, to string, msg catalog.Msg) {
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

// pass lets time pass, millisecond by millisecond.
func (g *group) pass(ms clock.Millis) {
	for end := g.now + ms; g.now < end; {
		g.now++
		for _, v := range g.vms {
			if w := v.watch; w != nil && v.compacted {
				if g.now >= v.watchAt+w.WaitMs {
					v.watch = nil
					g.update(v, catalog.FailedMsg{Kind: store.KindConflict})
				}
			} else if w != nil && !v.silent && (g.revision() > w.After || g.now >= v.watchAt+w.WaitMs) {
				v.watch = nil
				g.update(v, catalog.WatchedMsg{Batch: g.since(w.After)})
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

// compact discards the history while watches wait.
func (g *group) compact() {
	for _, v := range g.vms {
		v.compacted = true
	}
}

// kill ends a VM, which breaks its connections.
func (g *group) kill(v *member) {
	v.dead = true
	for _, o := range g.vms {
		g.send(peerMs, o, catalog.PeerLostMsg{VM: v.id})
	}
}

// TestFeeders guards against VMs that miss a change or learn of it too late,
// because the VM that follows the store for them has failed.
func TestFeeders(t *testing.T) {
	tests := []struct {
		name  string
		fault func(g *group, root *member)
	}{
		{"none", func(*group, *member) {}},
		{"feeder killed", func(g *group, root *member) { g.kill(root) }},
		{"feeder and next one killed", func(g *group, root *member) {
			g.kill(root)
			for _, v := range g.vms {
				if !v.dead {
					g.kill(v)
					break
				}
			}
		}},
		{"feeder leaves the list", func(g *group, root *member) {
			root.dead = true
			g.elect()
		}},
		{"feeder frozen or cut from its peers", func(_ *group, root *member) { root.muted = true }},
		{"feeder refused by the store", func(_ *group, root *member) { root.refused, root.watch = true, nil; root.silent = true }},
		{"feeder not answered by the store", func(_ *group, root *member) { root.silent = true }},
		{"history discarded", func(g *group, _ *member) { g.compact() }},
		{"history discarded, every VM for itself", func(g *group, _ *member) {
			for _, v := range g.vms {
				v.muted = true
			}
			g.pass(6000)
			g.compact()
		}},
		{"a third refused by the store", func(g *group, root *member) {
			root.silent = true
			for i, v := range g.vms {
				v.refused = i%3 == 0
			}
		}},
	}
	for _, tt := range tests {
		for _, delay := range []clock.Millis{0, 300, 900, 1500, 4000} {
			t.Run(fmt.Sprintf("%s, %d ms before", tt.name, delay), func(t *testing.T) {
				g := newGroup(20)
				root := g.root()
				tt.fault(g, root)
				g.pass(delay)
				g.change("config")
				g.change("upstream")
				want := g.revision() - 1
				g.pass(changeBoundMs)
				for _, v := range g.vms {
					reached := !v.dead && !v.refused && !v.silent // a VM that is cut off owes nothing
					if got := v.known["config"]; reached && got != want {
						t.Errorf("%s: got revision %d of the configuration, want %d", v.id, got, want)
					}
				}
				g.removal("upstream")
				g.pass(2 * changeBoundMs)
				for _, v := range g.vms {
					if _, ok := v.known["upstream"]; ok && !v.dead && !v.refused && !v.silent {
						t.Errorf("%s: got an upstream that was removed 6 s ago", v.id)
					}
				}
			})
		}
	}
}

// restart starts a VM again, which then knows nothing of before.
func (g *group) restart(v *member) {
	g.kill(v)
	g.pass(10)
	v.dead, v.watch, v.m, v.known = false, nil, catalog.New(99), make(map[string]uint64)
	g.update(v, catalog.TickMsg{})
	g.elect()
}

// TestFeederWithoutHistory guards against a VM that takes the reports of a feeder
// for proof that it has missed nothing, though the feeder has started since and
// the VM could not read the store itself.
func TestFeederWithoutHistory(t *testing.T) {
	g := newGroup(20)
	root := g.root()
	var cut *member
	for _, v := range g.vms {
		if feeders, feeds := catalog.Publishers(v.id, []catalog.Member{{ID: root.id}, {ID: v.id}}); !feeds || len(feeders) > 0 && v != root {
			cut = v
		}
	}
	cut.refused, cut.muted = true, true
	g.kill(root)
	g.pass(100)
	g.change("config")
	want := g.revision()
	g.restart(root)
	g.pass(15_000) // longer than a lost feeder is avoided
	cut.muted = false
	g.pass(15_000)
	cut.refused = false
	g.pass(changeBoundMs)
	if got := cut.known["config"]; got != want {
		t.Errorf("%s: got revision %d of the configuration, want %d", cut.id, got, want)
	}
}

// TestFeederCalls guards against calls that grow with the number of VMs.
func TestFeederCalls(t *testing.T) {
	const changes = 20
	calls := func(n int) int {
		g := newGroup(n)
		g.calls = 0
		for i := range changes {
			g.change(fmt.Sprint("k", i))
			g.pass(1000)
		}
		return g.calls
	}
	few, many := calls(6), calls(60)
	// The VM that follows the store makes at most a call for each change and one a
	// second; the rest is for the two that may follow it.
	if most := 3 * changes; many > most || few > most {
		t.Errorf("got %d calls with 6 VMs and %d with 60, want at most %d", few, many, most)
	}
}

// TestFeederKilledCalls guards against a whole read by every VM when one is lost.
func TestFeederKilledCalls(t *testing.T) {
	g := newGroup(60)
	root := g.root()
	g.calls = 0
	g.kill(root)
	g.pass(500)
	if got, most := g.calls, 6; got > most {
		t.Errorf("got %d calls in the 500 ms after the loss of the feeder, want at most %d", got, most)
	}
}

// TestFeedersAgree guards against subscriptions that form a cycle, and against
// a VM without anybody to ask that does not follow the store.
func TestFeedersAgree(t *testing.T) {
	for _, n := range []int{1, 2, 3, 9, 64, 65, 178, 600} {
		var group []catalog.Member
		for i := range n {
			group = append(group, catalog.Member{ID: fmt.Sprint("vm", i), Capacity: i % 7 / 6})
		}
		roots := 0
		rank := make(map[string]int) // 0 for VMs that follow the store
		for _, member := range group {
			id := member.ID
			feeders, _ := catalog.Publishers(id, group)
			if len(feeders) == 0 {
				roots++
				if n >= 7 && member.Capacity == 0 && roots <= n/7 {
					t.Errorf("%d VMs: %s follows the store, though stronger VMs do not", n, id)
				}
			}
			rank[id] = len(feeders)
			if slices.Contains(feeders, id) {
				t.Errorf("%d VMs: %s feeds itself", n, id)
			}
		}
		for _, member := range group {
			id := member.ID
			feeders, _ := catalog.Publishers(id, group)
			for _, f := range feeders {
				back, feeds := catalog.Publishers(f, group)
				if slices.Contains(back, id) {
					t.Errorf("%d VMs: %s and %s feed each other", n, id, f)
				}
				if !feeds {
					t.Errorf("%d VMs: %s is to feed %s and does not know", n, f, id)
				}
			}
		}
		if want := (n + 63) / 64; roots != want {
			t.Errorf("%d VMs: got %d that follow the store, want %d", n, roots, want)
		}
	}
}

// TestStaleList guards against an old whole read that removes what is newer,
// and a late removal of what was written again.
func TestStaleList(t *testing.T) {
	r := newRig(t)
	r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4))})
	r.update(catalog.WatchedMsg{Batch: batch(20, item("b", 20))})
	r.seen = nil
	r.now += 130_000
	r.update(catalog.TickMsg{})
	r.want("list")
	r.update(catalog.ListedMsg{Batch: batch(15, item("a", 4))})
	r.want("follow 20")
	r.update(catalog.WatchedMsg{Batch: batch(21, gone("b", 19))})
	r.pass(r.now + 700)
	r.want()
}
