package quota_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
)

// TestCredit guards against a VM that states another result than the next request has, and
// against a question that changes what happens later.
func TestCredit(t *testing.T) {
	seen := make(map[quota.State]int)
	run := func(seed uint64, ask bool) string {
		f := newFleet(t, seed, 12)
		arrive := func(l quota.Limit) {
			nd := f.anyNode()
			if !ask || nd.down || nd.paused {
				f.arrive(nd, l)
				return
			}
			c := nd.m.Credit(f.now, l)
			seen[c.State]++
			refused, noCredit := f.refused[l.Customer], f.noCredit
			f.arrive(nd, l)
			got := quota.StateGranted
			switch _, waits := f.customers[f.lastID]; {
			case waits:
				got = quota.StateAsked
			case f.noCredit > noCredit:
				got = quota.StateNoCredit
			case f.refused[l.Customer] > refused:
				got = quota.StateOverLimit
				if at := f.retries[len(f.retries)-1]; at != f.now+c.RetryAfterMs {
					t.Fatalf("seed %d: got a retry after %d ms, want %d as stated", seed, at-f.now, c.RetryAfterMs)
				}
			}
			if c.State == quota.StateAsked && c.Asks == nd.ID {
				return // as a deputy, which asks another VM first or uses its reserve
			}
			if got != c.State {
				t.Fatalf("seed %d at %d ms: got %s, want %s as stated: %+v", seed, f.now, got, c.State, c)
			}
		}
		f.run(6000)
		f.after(2000, func() { f.kill(f.owner(large.Customer)) })
		f.after(3000, func() { f.cut = func(from, to *node) bool { return from.DataCentre != to.DataCentre } })
		f.after(6000, func() { f.cut = nil })
		higher := large
		higher.Rate, higher.Version = 2*large.Rate, 2
		for i := range 1500 {
			l := large
			if i > 1000 && i%2 == 0 {
				l = higher
			}
			f.after(clock.Millis(f.rng.Int64N(9000)), func() { arrive(l) })
		}
		f.run(10_000)
		return fmt.Sprint(f.runs, f.refused, f.retries, f.noCredit)
	}
	for seed := range uint64(30) {
		if got, want := run(seed+1, true), run(seed+1, false); got != want {
			t.Errorf("seed %d: got another history with questions than without", seed+1)
		}
	}
	for _, s := range []quota.State{quota.StateGranted, quota.StateAsked, quota.StateOverLimit, quota.StateNoCredit} {
		if seen[s] == 0 {
			t.Errorf("got no case of %s", s)
		}
	}
}

// TestCreditUnknown guards against a VM that states what only the owner knows.
func TestCreditUnknown(t *testing.T) {
	f := newFleet(t, 1, 12)
	f.run(6000)
	f.load(large, 2*large.Rate, 5000, f.anyNode)
	f.run(5000)
	owner := f.owner(large.Customer)
	for _, nd := range f.nodes {
		c := nd.m.Credit(f.now, large)
		if (c.Left != nil) != (nd == owner) || (len(c.Unknown) > 0) == (nd == owner) || c.Owner != owner.ID {
			t.Errorf("%s: got %+v, want what is left on %s alone", nd.ID, c, owner.ID)
		}
	}
}
