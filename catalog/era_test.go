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

// values returns the value of each key in the store.
func (g *cluster) values() map[string]string {
	out := make(map[string]string)
	for _, it := range g.state().Items {
		out[it.Key] = string(it.Value)
	}
	return out
}

// restore makes the store come back from a copy of an earlier revision.
func (g *cluster) restore(revision uint64) {
	g.era++
	g.events = g.events[:revision:revision]
}

// rewrite writes what the store has lost again.
func (g *cluster) rewrite(want map[string]string) {
	have := g.values()
	for key := range have {
		if _, ok := want[key]; !ok {
			g.remove(key)
		}
	}
	for i := range 50 { // in a fixed order
		key := fmt.Sprint("up", i)
		if value, ok := want[key]; ok && have[key] != value {
			g.put(key, value)
		}
	}
	if have["config"] != want["config"] {
		g.put("config", want["config"])
	}
}

// differences lists the keys that have other values in got than in want.
func differences(got, want map[string]string) string {
	var out []string
	for key := range want {
		if got[key] != want[key] {
			out = append(out, fmt.Sprintf("%s is %q, want %q", key, got[key], want[key]))
		}
	}
	for key := range got {
		if _, ok := want[key]; !ok {
			out = append(out, fmt.Sprintf("%s is %q, want none", key, got[key]))
		}
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// awayFor makes the store fail all calls for a time.
func (g *cluster) awayFor(ms clock.Millis) {
	for _, v := range g.vms {
		v.storeFails = true
		if v.watch != nil {
			v.watch = nil
			g.send(storeMs, v, catalog.FailedMsg{Kind: store.KindUnavailable})
		}
	}
	g.advance(ms)
	for _, v := range g.vms {
		v.storeFails = false
	}
}

// TestStoreReturn guards against VMs that ignore what the store says after it has come back
// from an older copy, because its revisions are lower than those that they know, and against
// VMs that drop an entry which is lost in the copy and written again.
func TestStoreReturn(t *testing.T) {
	tests := []struct {
		name   string
		before func(g *cluster, root *testVM) // between the copy and the return
		after  func(g *cluster, root *testVM) // just after the return
	}{
		{"nothing else", nil, nil},
		{"configuration changed after the copy", func(g *cluster, _ *testVM) { g.change("config") }, nil},
		{"configuration changed and not seen before the return", func(g *cluster, root *testVM) {
			g.advance(500)
			root.storeHangs = true
			g.change("config")
			root.storeHangs = false
		}, nil},
		{"configuration changed after the return", nil, func(g *cluster, _ *testVM) { g.change("config") }},
		{"upstreams added and removed after the copy", func(g *cluster, _ *testVM) {
			g.remove("up3")
			g.change("up40")
		}, nil},
		{"VM restarted before", func(g *cluster, _ *testVM) { g.restart(g.vms[7]) }, nil},
		{"VM restarted after", nil, func(g *cluster, _ *testVM) { g.restart(g.vms[7]) }},
		{"publisher killed before", func(g *cluster, root *testVM) { g.kill(root) }, nil},
		{"publisher killed after", nil, func(g *cluster, root *testVM) { g.kill(root) }},
		{"publisher silent", nil, func(_ *cluster, root *testVM) { root.muted = true }},
		{"publisher cut from the store", nil, func(_ *cluster, root *testVM) { root.storeFails = true }},
		{"VM cut from the store", nil, func(g *cluster, _ *testVM) { g.vms[7].storeFails = true }},
		{"one VM learns of it first", nil, func(g *cluster, _ *testVM) { g.update(g.vms[7], catalog.EraMsg{Era: g.era}) }},
		{"two returns", nil, func(g *cluster, _ *testVM) {
			g.advance(50)
			g.restore(g.revision())
		}},
	}
	for _, tt := range tests {
		for _, away := range []clock.Millis{0, 300, 2500} {
			t.Run(fmt.Sprintf("%s, %d ms away", tt.name, away), func(t *testing.T) {
				const upstreams, lost = 30, 25
				g := newCluster(20)
				g.era = 1
				for i := range upstreams {
					g.change(fmt.Sprint("up", i))
				}
				g.advance(5000)
				copied := g.revision()
				for i := range lost {
					g.change(fmt.Sprint("up", i%upstreams))
				}
				g.advance(2000)
				root := g.root()
				if tt.before != nil {
					tt.before(g, root)
				}
				want := g.values()
				if away > 0 {
					g.awayFor(away)
				}
				g.restore(copied)
				if tt.after != nil {
					tt.after(g, root)
				}
				if v := g.values()["config"]; v > want["config"] {
					want["config"] = v
				}
				for range 4 { // owners write again within about two seconds
					g.advance(400)
					for _, v := range g.vms {
						for key := range want {
							// up40 is not in the copy, and a restarted VM knows only the copy.
							if _, ok := v.values[key]; !ok && key != "up40" && v != g.vms[7] && !v.dead {
								t.Fatalf("%s dropped %s, which is written again", v.id, key)
							}
						}
					}
				}
				g.rewrite(want)
				g.advance(changeBoundMs + 2500) // removals are held for 2.5 s
				for _, v := range g.vms {
					if diff := differences(v.values, want); diff != "" && !v.dead && !v.muted && !v.storeFails {
						t.Errorf("%s: %s", v.id, diff)
					}
					if !v.dead && !v.muted && !v.storeFails && v.m.Era() != g.era {
						t.Errorf("%s: got era %d, want %d", v.id, v.m.Era(), g.era)
					}
				}
				g.change("up1")
				g.remove("up2")
				want = g.values()
				g.advance(changeBoundMs)
				for _, v := range g.vms {
					if diff := differences(v.values, want); diff != "" && !v.dead && !v.muted && !v.storeFails {
						t.Errorf("%s, later: %s", v.id, diff)
					}
				}
			})
		}
	}
}

// TestStoreReturnCalls guards against a list by every VM when the store comes back.
func TestStoreReturnCalls(t *testing.T) {
	lists := func(n int) int {
		g := newCluster(n)
		g.era = 1
		for i := range 30 {
			g.change(fmt.Sprint("up", i))
		}
		g.advance(5000)
		before := 0
		for _, v := range g.vms {
			before += v.lists
		}
		g.restore(g.revision() - 10)
		g.advance(8000)
		for _, v := range g.vms {
			before -= v.lists
		}
		return -before
	}
	// One publisher for each 64 VMs and two spare ones read the store.
	for n, limit := range map[int]int{6: 3, 60: 3, 178: 5} {
		if got := lists(n); got > limit {
			t.Errorf("got %d lists of %d VMs, want at most %d", got, n, limit)
		}
	}
}

// BenchmarkNewEra measures the list of a new era that has 9,500 upstreams and 1,600 VMs.
func BenchmarkNewEra(b *testing.B) {
	var items []store.Item
	for i := range 9500 + 1600 {
		items = append(items, store.Item{Key: fmt.Sprint("key", i), Value: make([]byte, 250), Revision: uint64(i + 1)})
	}
	m := catalog.New(1)
	m.Update(1, answer(m.Update(1, catalog.TickMsg{}), eraBatch(1, 20_000, items...)))
	now, era := clock.Millis(1), uint64(1)
	for b.Loop() {
		now, era = now+10, era+1
		m.Update(now, catalog.EraMsg{Era: era})
		m.Update(now, answer(m.Update(now, catalog.FailedMsg{Kind: store.KindConflict}), eraBatch(era, 19_000, items...)))
	}
}

func eraBatch(era, revision uint64, items ...store.Item) store.Batch {
	return store.Batch{Era: era, Revision: revision, Items: items}
}

func valued(key, value string, revision uint64) store.Item {
	return store.Item{Key: key, Value: []byte(value), Revision: revision}
}

// TestEras guards against replies of an era that has ended, of a mixture of two, or stale
// ones that are taken for the state in the new era.
func TestEras(t *testing.T) {
	type step struct {
		msg  catalog.Msg
		want string
	}
	listed := func(era, revision uint64, items ...store.Item) catalog.Msg {
		return catalog.ListedMsg{Batch: eraBatch(era, revision, items...)}
	}
	watched := func(era, revision uint64, items ...store.Item) catalog.Msg {
		return catalog.WatchedMsg{Batch: eraBatch(era, revision, items...)}
	}
	update := func(fromEra, from, era, to uint64, items ...store.Item) catalog.Msg {
		return catalog.UpdateMsg{From: "p", Update: catalog.Update{FromEra: fromEra, From: from, Era: era, To: to, Items: items}}
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"changes of a watch from before the return", []step{
			{watched(2, 30, valued("a", "lost again", 25)), "era 2 true, fresh list"},
			{listed(2, 30, valued("a", "new", 25)), "put a, watch 30"},
		}},
		{"unchanged and changed values", []step{
			{catalog.EraMsg{Era: 2}, "era 2 true"},
			{catalog.FailedMsg{Kind: store.KindConflict}, "fresh list"},
			{listed(2, 12, valued("a", "1", 4), valued("b", "older", 8)), "put b, watch 12"},
			{watched(2, 13, valued("a", "2", 13)), "put a"},
		}},
		{"list of the earlier era after the return", []step{
			{catalog.EraMsg{Era: 2}, "era 2 true"},
			{catalog.FailedMsg{Kind: store.KindConflict}, "fresh list"},
			{listed(1, 40, valued("a", "lost", 39)), ""},
			{catalog.ResumedMsg{}, "fresh list"},
			{listed(2, 12, valued("a", "1", 4), valued("b", "1", 9)), "watch 12"},
		}},
		{"changes of the earlier era after the return", []step{
			{catalog.EraMsg{Era: 2}, "era 2 true"},
			{watched(1, 40, valued("a", "lost", 39)), ""},
			{catalog.ResumedMsg{}, "fresh list"},
		}},
		{"store that states no era in some replies", []step{
			{watched(0, 21, valued("a", "2", 21)), "put a"},
		}},
		{"update of a publisher with the changes of the new era", []step{
			{catalog.PublishersMsg{VMs: []string{"p"}}, ""},
			{update(1, 20, 2, 15, valued("b", "older", 8)), "era 2 true, put b"},
			{update(2, 15, 2, 16, valued("a", "2", 16)), "put a"},
		}},
		{"update of a publisher that started from another state", []step{
			{catalog.PublishersMsg{VMs: []string{"p"}}, ""},
			{update(1, 22, 2, 15, valued("b", "older", 8)), "era 2 true"},
			{update(2, 15, 2, 16, valued("a", "2", 16)), ""},
		}},
		{"update of a publisher that has not noticed", []step{
			{catalog.PublishersMsg{VMs: []string{"p"}}, ""},
			{catalog.EraMsg{Era: 2}, "era 2 true"},
			{update(1, 20, 1, 22, valued("b", "lost", 22)), ""},
		}},
		{"update of a publisher of an earlier release", []step{
			{catalog.PublishersMsg{VMs: []string{"p"}}, ""},
			{update(0, 20, 0, 22, valued("b", "2", 22)), ""},
		}},
		{"revisions that go back without a new era", []step{
			{catalog.FailedMsg{Kind: store.KindConflict}, "fresh list"},
			{listed(1, 12, valued("a", "older", 4), valued("b", "1", 9)), "put a, watch 12"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newHarness(t)
			r.update(listed(1, 20, valued("a", "1", 4), valued("b", "1", 9)))
			for i, s := range tt.steps {
				r.commands = nil
				r.now += 100
				r.update(s.msg)
				if got := strings.Join(r.commands, ", "); got != s.want {
					t.Errorf("step %d: got %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

// TestLeasedKeys guards against dropping a VM whose entry was lost with its lease before it
// has written it again, and against keeping one that does not.
func TestLeasedKeys(t *testing.T) {
	m := catalog.New(1, catalog.WithLeased(func(key string) bool { return key == "vm" }))
	removedAt := make(map[string]clock.Millis)
	update := func(now clock.Millis, msg catalog.Msg) []catalog.Cmd {
		cmds := m.Update(now, msg)
		for _, c := range cmds {
			if d, ok := c.(catalog.DeleteCmd); ok {
				removedAt[d.Key] = now
			}
		}
		return cmds
	}
	update(1004, answer(update(1000, catalog.TickMsg{}), eraBatch(1, 20, valued("vm", "1", 4), valued("up", "1", 9))))
	update(2000, catalog.EraMsg{Era: 2})
	update(2004, answer(update(2000, catalog.FailedMsg{Kind: store.KindConflict}), eraBatch(2, 12)))
	for now := clock.Millis(2005); now < 30_000; now++ {
		if at, ok := m.NextWake(); ok && at <= now {
			update(now, catalog.TickMsg{})
		}
	}
	if got := removedAt["up"]; got < 4000 || got > 5000 {
		t.Errorf("upstream: removed at %d, want 2 to 3 s after the return at 2000", got)
	}
	if got := removedAt["vm"]; got < 16_000 || got > 18_000 {
		t.Errorf("VM: removed at %d, want the time to live of a lease after the return", got)
	}
}
