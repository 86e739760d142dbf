package relay_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
)

// usersBudget is the bound of extra attempts on the users' installations.
var usersBudget = relay.BudgetMsg{Ratio: 0.2, Extra: 58, WindowMs: 10 * clock.Second}

// replay runs a load of 20 s on 9 VMs and 20 shards and checks the promises
// that hold under every load.
func replay(t *testing.T, seed uint64, prepare func(w *world)) *world {
	t.Helper()
	w := newWorld(seed, 9, 20, usersBudget)
	w.load("urgent", 22, w.now, w.now+20_000)
	w.load("ordinary", 67, w.now, w.now+20_000)
	prepare(w)
	w.runUntil(w.now + 25_000)
	w.check(t, usersBudget)
	t.Logf("seed %d: urgent: %s; ordinary: %s", seed, w.result["urgent"], w.result["ordinary"])
	return w
}

// check reports broken promises: wrong answers, requests without one, and extra
// arrivals beyond the budget. A run of 25 s has two and a half windows.
func (w *world) check(t *testing.T, budget relay.BudgetMsg) {
	t.Helper()
	for _, p := range w.wrong {
		t.Error(p)
	}
	for s, n := range w.extra {
		if most := budget.Ratio*float64(w.needed[s]) + 2.5*budget.Extra; float64(n) > most {
			t.Errorf("%s got %d extra arrivals for %d requests, want at most %.0f", s, n, w.needed[s], most)
		}
	}
	if n := len(w.asked); n != 0 {
		t.Errorf("got %d requests without an answer, want none", n)
	}
}

// grownBudget is the bound of extra attempts on the users' grown installations.
var grownBudget = relay.BudgetMsg{Ratio: 0.2, Extra: 166, WindowMs: 10 * clock.Second}

// TestGrownLoads replays the load of a grown installation: 90 shards of three
// replicas, so that nearly every query meets each kind of trouble. The bounds are
// the users' floors for a kind of request on their grown days with trouble, 0.33
// at most, and for a day without trouble the 0.85 and 0.95 of the shards that
// answers need.
func TestGrownLoads(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	tests := []struct {
		name             string
		prepare          func(w *world)
		urgent, ordinary float64
	}{
		{"pauses of 200 ms every 4.5 s", func(*world) {}, 0.85 * 0.85, 0.95 * 0.95},
		{"one in six upstreams eight times slower", func(w *world) {
			for i, id := range w.sortedUps() {
				if i%6 == 1 {
					w.ups[id].factor = 8
				}
			}
		}, 0.33, 0.33},
		{"one in six slower for 6 s, then others", func(w *world) {
			for i, id := range w.sortedUps() {
				u := w.ups[id]
				from := w.now + 2000
				if i%6 == 2 {
					from += 8000
				}
				if i%6 == 1 || i%6 == 2 {
					w.at(from, func() { u.factor = 8 })
					w.at(from+6000, func() { u.factor = 1 })
				}
			}
		}, 0.33, 0.33},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorldWith(1, 24, 90, 3, grownBudget)
			w.pauses(200, 4500)
			w.load("urgent", 11, w.now, w.now+20_000)
			w.load("ordinary", 34, w.now, w.now+20_000)
			tt.prepare(w)
			w.runUntil(w.now + 25_000)
			w.check(t, grownBudget)
			u, o := w.result["urgent"], w.result["ordinary"]
			t.Logf("urgent: %s; ordinary: %s", u, o)
			if u.credit() < tt.urgent || o.credit() < tt.ordinary {
				t.Errorf("got credit %.3f and %.3f, want at least %.2f and %.2f", u.credit(), o.credit(), tt.urgent, tt.ordinary)
			}
		})
	}
}

// TestLoads replays the users' load patterns. The bounds are the users' floors
// for the credit of a kind of request on a day with trouble, 0.46 at most, and
// for a day without trouble the 0.89 and 0.75 of the shards that answers need.
func TestLoads(t *testing.T) {
	tests := []struct {
		name                string
		prepare             func(w *world)
		urgent, ordinary    float64 // least credit
		urgentNotWorseBy    float64 // than ordinary
		mostRefusedOrFailed int
	}{
		{"pauses of 200 ms every 4.5 s", func(w *world) { w.pauses(200, 4500) }, 0.75, 0.89, 0.15, 0},
		{"one in seven upstreams eight times slower", func(w *world) {
			w.pauses(200, 4500)
			for i, id := range w.sortedUps() {
				if i%14 == 3 || i%14 == 10 {
					w.ups[id].factor = 8
				}
			}
		}, 0.46, 0.46, 0.15, 100},
		{"all upstreams of a shard gone", func(w *world) {
			w.ups["u3-0"].down, w.ups["u3-1"].down = true, true
		}, 0.46, 0.46, 0.15, 0},
		{"urgent requests at five times their rate", func(w *world) {
			w.load("urgent", 88, w.now+5000, w.now+10_000)
		}, 0.46, 0.46, 0.15, 200},
		{"twice what the upstreams can do", func(w *world) {
			w.load("ordinary", 250, w.now+5000, w.now+10_000)
		}, 0.46, 0, 1, 5000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(2) {
				w := replay(t, seed+1, tt.prepare)
				u, o := w.result["urgent"], w.result["ordinary"]
				if u.credit() < tt.urgent || o.credit() < tt.ordinary {
					t.Errorf("got credit %.3f and %.3f, want at least %.2f and %.2f", u.credit(), o.credit(), tt.urgent, tt.ordinary)
				}
				if u.credit() < o.credit()-tt.urgentNotWorseBy {
					t.Errorf("got urgent %.3f far below ordinary %.3f", u.credit(), o.credit())
				}
				if n := u.refused + u.failed + o.refused + o.failed; n > tt.mostRefusedOrFailed {
					t.Errorf("got %d refused or failed, want at most %d", n, tt.mostRefusedOrFailed)
				}
			}
		})
	}
}
