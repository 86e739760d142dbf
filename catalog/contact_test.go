package catalog_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
)

// TestContactDuringPass guards against a VM that starts in a new era, reads a list for longer than
// it has to know the store, and then waits as if it had only just reached it.
func TestContactDuringPass(t *testing.T) {
	for _, w := range slowPages {
		for _, down := range []clock.Millis{0, 3000} {
			t.Run(fmt.Sprintf("%s, store down for %d ms", w, down), func(t *testing.T) {
				g := newCluster(1)
				v := g.vms[0]
				g.others = w
				g.restart(v)
				from := g.now
				g.advance(w.passMs() / 3)
				if down > 0 {
					g.setStore(true)
					g.advance(down)
					g.setStore(false)
					from = g.now
				}
				for end := g.now + 2*w.passMs(); g.now < end && !v.m.Current(); {
					g.advance(1)
				}
				if !v.m.Current() {
					t.Fatal("got no end of the list, want one")
				}
				got := v.m.ContactSince()
				if got < from {
					t.Errorf("got contact since %d, want none before %d", got, from)
				}
				if limit := from + 2*clock.Second; down == 0 && got > limit {
					t.Errorf("got contact since %d, want at most %d", got, limit)
				}
				if down == 0 && w.passMs() > 4*clock.Second && v.m.ConfirmedAt() < g.now-2*clock.Second {
					t.Errorf("got changes up to %d confirmed at %d", v.m.ConfirmedAt(), g.now)
				}
			})
		}
	}
}
