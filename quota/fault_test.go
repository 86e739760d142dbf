package quota_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
)

var (
	large = quota.Limit{Customer: "large", Rate: 17, Burst: 17, Version: 1}
	small = quota.Limit{Customer: "small", Rate: 0.4, Burst: 1, Version: 1}
)

// TestFaults guards against more runs than a customer's limit allows, whatever VM, link or
// part of the store fails, while the customer asks for ten times its limit.
func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet, owner *node)
		// minRuns is the least number of runs of the customer in the 20 s after the fault.
		minRuns int
	}{
		{"none", func(*fleet, *node) {}, 340},
		{"owner killed for good", func(f *fleet, owner *node) { f.kill(owner) }, 140},
		{"owner killed and started again", func(f *fleet, owner *node) {
			f.kill(owner)
			f.after(1000, func() { f.start(owner) })
		}, 300},
		{"owner stops as planned", func(f *fleet, owner *node) { f.deliver(owner, quota.StopMsg{}) }, 270},
		{"owner paused past its right", func(f *fleet, owner *node) {
			f.pause(owner)
			f.after(16_000, func() { f.resume(owner) })
		}, 100},
		{"owner paused shortly", func(f *fleet, owner *node) {
			f.pause(owner)
			f.after(3_000, func() { f.resume(owner) })
		}, 260},
		{"owner without the store", func(_ *fleet, owner *node) { owner.noStore = true }, 260},
		{"store down", func(f *fleet, _ *node) { f.storeDown = true }, 180},
		{"owner cut off from all VMs", func(f *fleet, owner *node) {
			f.cut = func(from, to *node) bool { return from == owner || to == owner }
		}, 60},
		{"two data centres cut from each other", func(f *fleet, _ *node) {
			f.cut = func(from, to *node) bool {
				return from.DataCentre != to.DataCentre && from.DataCentre != "dc-2" && to.DataCentre != "dc-2"
			}
		}, 340},
		{"each VM on its own", func(f *fleet, _ *node) {
			f.cut = func(*node, *node) bool { return true }
			for _, nd := range f.nodes {
				nd.noStore = true
			}
		}, 30},
		{"all VMs killed and started again", func(f *fleet, _ *node) {
			for _, nd := range f.nodes {
				f.kill(nd)
				f.after(500, func() { f.start(nd) })
			}
		}, 280},
		{"store comes back without claims", func(f *fleet, _ *node) {
			f.restore([quota.Groups]quota.ClaimMsg{})
		}, 320},
		{"store comes back without claims, owner cut from it", func(f *fleet, owner *node) {
			owner.noStore = true
			f.restore([quota.Groups]quota.ClaimMsg{})
		}, 100},
		{"store comes back without claims, the owner and half of the VMs cut off with each other", func(f *fleet, owner *node) {
			for i, nd := range f.nodes {
				nd.noStore = nd == owner || i%10 >= 5
			}
			f.cut = func(from, to *node) bool { return from.noStore != to.noStore }
			f.restore([quota.Groups]quota.ClaimMsg{})
		}, 200},
		{"store comes back with the claim of another VM", func(f *fleet, owner *node) {
			claims := f.claims
			for g := range claims {
				if claims[g].Claim.VM == owner.ID {
					f.lastLease++
					f.extend(f.lastLease, 5000)
					claims[g].Claim = quota.Claim{VM: f.nodes[1].ID, Lease: f.lastLease, Era: 1}
				}
			}
			f.restore(claims)
		}, 60},
		{"deputies replaced while the owner is lost", func(f *fleet, owner *node) {
			f.kill(owner)
			for i := range 12 {
				nd := f.nodes[i*3]
				f.after(clock.Millis(i)*400, func() {
					f.kill(nd)
					for _, o := range f.nodes {
						f.after(o.lag, func() { f.list(o) })
					}
				})
			}
		}, 60},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newFleet(t, seed+1, 45)
				f.run(8000) // deputies are active from now on
				before := 10.0
				if seed%2 > 0 {
					before = 0.1 // so that all credit is there at the fault
				}
				for _, l := range []quota.Limit{large, small} {
					f.load(l, l.Rate*before, 8000, f.anyNode)
					f.after(8000, func() { f.load(l, l.Rate*10, 32_000, f.anyNode) })
				}
				f.run(8000)
				from := f.now
				tt.fault(f, f.owner(large.Customer))
				f.run(20_000)
				got := f.runsBetween(large.Customer, from, f.now)
				f.run(12_500)
				f.checkBound(large)
				f.checkBound(small)
				t.Logf("seed %d: %d runs, at most %d in a window of %.1f", seed+1, got, maxInWindow(f.runs[large.Customer]), bounds.Max(large))
				if got < tt.minRuns {
					t.Errorf("seed %d: got %d runs after the fault, want at least %d", seed+1, got, tt.minRuns)
				}
				for _, nd := range f.nodes {
					if !nd.down && !nd.paused && nd.m.Waiting() > 0 {
						t.Errorf("seed %d: %s: got %d requests without a decision, want 0", seed+1, nd.ID, nd.m.Waiting())
					}
				}
			}
		})
	}
}

// TestThirdDataCentre guards against refusals of a customer within its limit at VMs that
// cannot reach the owner, while VMs of a third data centre reach both.
func TestThirdDataCentre(t *testing.T) {
	f := newFleet(t, 1, 45)
	f.run(8000)
	f.arrive(f.nodes[0], large)
	f.run(2000)
	near := f.owner(large.Customer).DataCentre
	far := "dc-0"
	if near == far {
		far = "dc-1"
	}
	f.cut = func(from, to *node) bool {
		return from.DataCentre == near && to.DataCentre == far || from.DataCentre == far && to.DataCentre == near
	}
	f.load(large, 0.7*large.Rate, 20_000, func() *node {
		for {
			if nd := f.anyNode(); nd.DataCentre == far {
				return nd
			}
		}
	})
	f.run(20_500)
	served, refused := len(f.runs[large.Customer]), f.refused[large.Customer]
	if refused > served/20 {
		t.Errorf("got %d served and %d refused, want at most a twentieth refused", served, refused)
	}
	f.checkBound(large)
}

// TestRandomFaults guards against more runs than the limits allow under several faults at
// once, from full buckets or under load.
func TestRandomFaults(t *testing.T) {
	most := 0.0
	for seed := range uint64(40) {
		f := newFleet(t, seed+100, 20)
		f.run(7000)
		limits := []quota.Limit{large, small, {Customer: "bursty", Rate: 2, Burst: 60, Version: 1}}
		for _, l := range limits {
			for phase := range clock.Millis(6) {
				perSecond := l.Rate * []float64{0.05, 10, 40}[f.rng.IntN(3)]
				f.after(phase*10_000, func() { f.load(l, perSecond, 10_000, f.anyNode) })
			}
		}
		for range 25 {
			f.after(clock.Millis(f.rng.Int64N(60_000)), func() { randomFault(f) })
		}
		f.run(61_000)
		for _, l := range limits {
			f.checkBound(l)
			most = max(most, float64(maxInWindow(f.runs[l.Customer]))/bounds.Max(l))
		}
	}
	t.Logf("at most %.2f of the bound", most)
}

// randomFault begins a fault that ends within 20 s.
func randomFault(f *fleet) {
	nd := f.anyNode()
	if owner := f.owner(large.Customer); owner != nil && f.rng.IntN(2) == 0 {
		nd = owner
	}
	lasts := clock.Millis(f.rng.Int64N(20_000))
	switch f.rng.IntN(9) {
	case 0:
		f.kill(nd)
		for _, o := range f.nodes {
			f.after(o.lag, func() { f.list(o) })
		}
		f.after(lasts, func() {
			if nd.down {
				f.start(nd)
			}
			for _, o := range f.nodes {
				f.after(o.lag, func() { f.list(o) })
			}
		})
	case 1, 2:
		f.pause(nd)
		f.after(lasts, func() { f.resume(nd) })
	case 3:
		nd.noStore = true
		f.after(lasts, func() { f.reconnect(nd) })
	case 4:
		f.storeDown = true
		f.after(lasts, func() { f.storeDown = false })
	case 5:
		f.restore([quota.Groups]quota.ClaimMsg{})
	case 6:
		side := make(map[*node]int)
		for _, o := range f.nodes {
			side[o] = f.rng.IntN(4)
		}
		f.cut = func(from, to *node) bool { return side[from] != side[to] }
		f.after(lasts, func() { f.cut = nil })
	case 7:
		f.cut = func(from, to *node) bool { return from == nd } // one way
		f.after(lasts, func() { f.cut = nil })
	case 8:
		f.deliver(nd, quota.StopMsg{})
		f.after(3000, func() { f.kill(nd) })
		f.after(3000+lasts, func() { f.start(nd) })
	}
}
