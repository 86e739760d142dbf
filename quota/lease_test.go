package quota_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
)

// TestLeaseTTL guards against an owner that outlives its claim because the store applies
// another time to live than was asked for, and against leases that nobody can renew in time.
func TestLeaseTTL(t *testing.T) {
	heavy := quota.Limit{Customer: "heavy", Rate: 200, Burst: 50, Version: 1}
	millis := func(ms clock.Millis) *clock.Millis { return &ms }
	tests := []struct {
		name    string
		ttl     clock.Millis  // that the store applies
		stated  *clock.Millis // that it states; nil for the same
		owners  bool          // whether VMs claim groups
		minRuns int           // of the customer in the 20 s after the store turns its owner away
	}{
		{"as asked for", 0, nil, true, 3000},
		{"half of it", 6000, nil, true, 1600},
		{"short", 3000, nil, true, 1600},
		{"longer than asked for", 60_000, nil, true, 3000},
		{"too short to be renewed", 1000, nil, false, 0},
		{"none stated", 0, millis(0), false, 0},
		{"negative", 0, millis(-5), false, 0},
		{"beyond any number of a clock", 0, millis(1 << 62), true, 3000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newFleet(t, seed+1, 30)
				f.ttl, f.ttlStated = tt.ttl, tt.stated
				f.load(heavy, heavy.Rate*2, 60_000, f.anyNode)
				f.run(8000)
				if first := f.owner(heavy.Customer); first != nil {
					// The next owner is not the deputy that the others ask first.
					f.kill(first)
					f.run(18_000)
					f.start(first)
				}
				f.run(10_000)
				owner := f.owner(heavy.Customer)
				f.load(heavy, heavy.Rate*4, 24_000, func() *node {
					if owner != nil && f.rng.IntN(2) == 0 {
						return owner // which goes on serving its callers
					}
					return f.anyNode()
				})
				if got := owner != nil; got != tt.owners {
					t.Fatalf("seed %d: got an owner %t, want %t", seed+1, got, tt.owners)
				}
				if owner != nil {
					owner.noStore = true
					f.after(9000, func() { owner.noStore = false })
				}
				from := f.now
				f.run(20_000)
				f.checkBound(heavy)
				if got := f.runsBetween(heavy.Customer, from, f.now); got < tt.minRuns {
					t.Errorf("seed %d: got %d runs, want at least %d", seed+1, got, tt.minRuns)
				}
			}
		})
	}
}
