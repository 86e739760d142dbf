package replay_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/experiment/replay"
)

// seeds returns the number of seeds per pattern. Patterns of the size Grown take longer, so they run with one.
func seeds(p replay.Pattern) uint64 {
	if p.Size.Shards == replay.Grown.Shards {
		return 1
	}
	return 2
}

// TestPatterns guards against a change of relay's decisions that, under some load,
// serves callers worse than the users accept or violates a guarantee.
func TestPatterns(t *testing.T) {
	for _, p := range replay.Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			if testing.Short() && p.Size.Shards == replay.Grown.Shards {
				t.Skip("patterns of the size Grown take seconds")
			}
			for seed := range seeds(p) {
				w := p.Run(seed+1, false)
				for _, violation := range w.Violations() {
					t.Errorf("seed %d: %s", seed+1, violation)
				}
				u, o := w.Outcome("urgent"), w.Outcome("ordinary")
				t.Logf("seed %d: urgent: %s; ordinary: %s", seed+1, u, o)
				if u.Credit() < p.MinUrgentCredit || o.Credit() < p.MinOrdinaryCredit {
					t.Errorf("got urgent and ordinary credit %.3f and %.3f, want at least %.2f and %.2f", u.Credit(), o.Credit(), p.MinUrgentCredit, p.MinOrdinaryCredit)
				}
				if u.Credit() < o.Credit()-p.MaxUrgentDeficit {
					t.Errorf("got urgent credit %.3f too far below ordinary credit %.3f", u.Credit(), o.Credit())
				}
				if n := u.Unserved() + o.Unserved(); n > p.MaxUnserved {
					t.Errorf("got %d refused or failed requests, want at most %d", n, p.MaxUnserved)
				}
			}
		})
	}
}

// TestPatternsByCost guards against placing by cost that serves callers worse than the users
// accept, or violates a guarantee, where requests of a route cost about the same.
func TestPatternsByCost(t *testing.T) {
	for _, p := range replay.Patterns() {
		if p.Size.Shards == replay.Grown.Shards && testing.Short() {
			continue
		}
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			p.Size.ByCost = true
			w := p.Run(1, false)
			for _, violation := range w.Violations() {
				t.Error(violation)
			}
			u, o := w.Outcome("urgent"), w.Outcome("ordinary")
			t.Logf("urgent: %s; ordinary: %s", u, o)
			if u.Credit() < p.MinUrgentCredit || o.Credit() < p.MinOrdinaryCredit {
				t.Errorf("got urgent and ordinary credit %.3f and %.3f, want at least %.2f and %.2f", u.Credit(), o.Credit(), p.MinUrgentCredit, p.MinOrdinaryCredit)
			}
			if n := u.Unserved() + o.Unserved(); n > p.MaxUnserved {
				t.Errorf("got %d refused or failed requests, want at most %d", n, p.MaxUnserved)
			}
		})
	}
}

// TestRepeats guards against a run that cannot be repeated from its seed.
func TestRepeats(t *testing.T) {
	p := replay.Patterns()[1]
	describe := func() string {
		w := p.Run(3, false)
		return fmt.Sprint(w.Outcome("urgent"), w.Outcome("ordinary"))
	}
	if a, b := describe(), describe(); a != b {
		t.Errorf("got %s, then %s from the same seed, want equal counts", a, b)
	}
}
