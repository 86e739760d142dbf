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

// cutWatches describes a store that cuts the watches that wait, and answers all other calls.
type cutWatches struct {
	after  clock.Millis // age at which a watch is cut; 0 for none
	rest   clock.Millis // time after a cut in which no watch is cut
	silent bool         // the VM is not told: no reply ever comes
}

// cut cuts the watch of v if it is due, and reports whether it did.
func (g *cluster) cut(v *testVM) bool {
	c := g.cuts
	if c.after == 0 || v.watch == nil || g.now < max(v.watchAt+c.after, g.cutAt+c.rest) {
		return false
	}
	wait := v.watch.WaitMs
	v.watch, g.cutAt = nil, g.now
	if !c.silent {
		g.update(v, catalog.FailedMsg{Kind: store.KindUnavailable})
		return true
	}
	g.send(max(v.watchAt+wait+watchSlackMs-g.now, 1), v, catalog.FailedMsg{Kind: store.KindUnavailable})
	return true
}

// TestCutWatches guards against removals that are held back, VMs that report the store as lost
// and calls without pause, while the store cuts the watches that wait and answers all else.
func TestCutWatches(t *testing.T) {
	for _, vms := range []int{1, 3, 20} {
		for _, c := range []cutWatches{
			{after: 50, rest: 1000}, {after: 50}, {after: 1}, {after: 400}, {after: 900}, {after: 999}, {after: 700, rest: 2500},
			{after: 50, silent: true}, {after: 50, rest: 1000, silent: true}, {after: 900, rest: 1700, silent: true},
		} {
			t.Run(fmt.Sprintf("%d VMs, %+v", vms, c), func(t *testing.T) {
				most := 0
				for offset := clock.Millis(0); offset < 2400; offset += 170 {
					g := newCluster(vms)
					g.change("upstream")
					g.change("other")
					g.advance(5000)
					g.cuts = c
					g.advance(8000 + offset)
					g.calls = 0
					g.remove("upstream")
					g.advance(changeBoundMs - 200) // the rest is for the requests that are on their way
					for _, v := range g.vms {
						if _, ok := v.known["upstream"]; ok {
							t.Errorf("%d ms: %s still has an upstream that was removed %d ms ago", offset, v.id, changeBoundMs-200)
						}
						if _, ok := v.known["other"]; !ok {
							t.Errorf("%d ms: %s has lost an upstream that was not removed", offset, v.id)
						}
						if v.lost > 0 {
							t.Errorf("%d ms: got %d reports of %s that the store is lost, want none", offset, v.lost, v.id)
						}
					}
					most = max(most, g.calls)
					// A watch and the call after its cut, as often as bursts are collected.
					if limit := 2 * 3 * int(changeBoundMs/300); g.calls > limit {
						t.Errorf("%d ms: got %d calls in 3 s, want at most %d", offset, g.calls, limit)
					}
				}
				t.Logf("at most %d calls in %d ms", most, changeBoundMs-200)
			})
		}
	}
}

// TestCutWatchesBesidePass guards against a store that counts as lost, and calls without pause,
// while it cuts each watch and answers the pages of a long list: a VM that starts in a new era
// would wait anew with each loss.
func TestCutWatchesBesidePass(t *testing.T) {
	const periodMs = 8 * clock.Second
	for _, w := range append([]otherWriter{{entries: 3, firstByteMs: 40}, {entries: 400, firstByteMs: 20}}, slowPages...) {
		if w.firstByteMs > clock.Second {
			continue // the store answers nothing meanwhile
		}
		for _, after := range []clock.Millis{1, 50} {
			t.Run(fmt.Sprintf("%s, cut after %d ms", w, after), func(t *testing.T) {
				for offset := clock.Millis(0); offset < 2400; offset += 170 {
					g := newCluster(1)
					v := g.vms[0]
					g.change("upstream")
					g.advance(5000)
					g.others, g.cuts = w, cutWatches{after: after}
					g.advance(offset)
					if offset%2 == 0 {
						g.restart(v)
					}
					v.lost, v.lists, v.pages, g.calls = 0, 0, 0, 0
					g.advance(periodMs)
					if v.lost > 0 {
						t.Errorf("%d ms: got %d reports that the store is lost, want none", offset, v.lost)
					}
					if got, limit := g.calls-v.pages, 2*int(periodMs/minCutRetryMs)+2*v.lists; got > limit {
						t.Errorf("%d ms: got %d watches beside %d pages, want at most %d", offset, got, v.pages, limit)
					}
				}
			})
		}
	}
}

// minCutRetryMs is the least time between two watches that were cut and the probes after them.
const minCutRetryMs clock.Millis = 125

// TestOutageAfterCutWatches guards against upstreams that are dropped because the store is
// believed to be there, after it has cut watches and then was down while their entries expired.
func TestOutageAfterCutWatches(t *testing.T) {
	for _, vms := range []int{1, 3, 20} {
		for _, outage := range []clock.Millis{2400, 4000, 9000} {
			t.Run(fmt.Sprintf("%d VMs, %d ms", vms, outage), func(t *testing.T) {
				for offset := clock.Millis(0); offset < 2400; offset += 170 {
					g := newCluster(vms)
					g.change("upstream")
					g.cuts = cutWatches{after: 50, rest: 1000}
					g.advance(8000 + offset)
					g.setStore(true)
					g.advance(outage)
					g.remove("upstream") // the store lets it expire
					g.setStore(false)
					for range 20 {
						g.advance(100)
						for _, v := range g.vms {
							if _, ok := v.known["upstream"]; !ok {
								t.Fatalf("%d ms: %s has dropped an upstream whose entry expired while the store was down", offset, v.id)
							}
						}
					}
					g.advance(4000)
					for _, v := range g.vms {
						if _, ok := v.known["upstream"]; ok {
							t.Errorf("%d ms: %s still has an upstream that has not come back in 6 s", offset, v.id)
						}
					}
				}
			})
		}
	}
}

// setStore makes all calls of all VMs fail, or succeed again.
func (g *cluster) setStore(down bool) {
	for _, v := range g.vms {
		v.storeFails = down
		if down && v.watch != nil {
			v.watch = nil
			g.send(storeMs, v, catalog.FailedMsg{Kind: store.KindUnavailable})
		}
	}
}

// TestStartDuringOutage guards against a VM that starts while the store is down and, once it is
// back, hears late of the entries that are written again.
func TestStartDuringOutage(t *testing.T) {
	r := newHarness(t)
	r.update(catalog.FailedMsg{Kind: store.KindUnavailable})
	r.advance(r.now + 1000)
	r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4))})
	r.update(catalog.WatchedMsg{Batch: batch(11, item("b", 11))})
	r.commands = nil
	r.advance(r.now + 200)
	r.want("watch 11")
}

// TestShortHistory guards against lists without pause from a store whose history ends before
// a watch can follow it.
func TestShortHistory(t *testing.T) {
	r := newHarness(t)
	r.update(catalog.ListedMsg{Batch: batch(10, item("a", 4))})
	const seconds = 10
	lists := 0
	for end := r.now + seconds*clock.Second; r.now < end; {
		switch last := r.commands; {
		case slices.Contains(last, "fresh list"):
			lists++
			r.now += storeMs
			r.commands = nil
			r.update(catalog.ListedMsg{Batch: batch(uint64(10+r.now), item("a", 4))})
		case slices.ContainsFunc(last, func(s string) bool { return strings.HasPrefix(s, "watch") }):
			r.now += storeMs
			r.commands = nil
			r.update(catalog.FailedMsg{Kind: store.KindConflict})
		default:
			at, ok := r.m.NextWake()
			if !ok {
				t.Fatal("got no next call, want one")
			}
			r.advance(max(at, r.now))
		}
	}
	if limit := 2 * seconds; lists > limit {
		t.Errorf("got %d lists in %d s, want at most %d", lists, seconds, limit)
	}
}
