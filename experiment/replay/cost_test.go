package replay_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/experiment/replay"
)

// costSeeds is how many seeds are pooled.
const costSeeds = 4

var (
	twoClasses  = []replay.CostClass{{"item", 0.9, 10}, {"report", 0.1, 200}}
	fiveClasses = []replay.CostClass{{"item", 0.4, 5}, {"list", 0.3, 15}, {"find", 0.15, 40}, {"sum", 0.1, 120}, {"report", 0.05, 400}}
)

// TestPlacingByCost guards against placing by cost that does not serve cheap requests better,
// or that harms dear ones or requests whose cost does not show. The bounds are the users':
// where four in five requests show their class, at 0.8 of what the upstreams can do, a p99 of
// the cheap ones of at most half, of the dear ones at most a tenth more; where none does, no
// more than a fiftieth worse.
func TestPlacingByCost(t *testing.T) {
	for _, classes := range [][]replay.CostClass{twoClasses, fiveClasses} {
		for _, telling := range []float64{0.8, 0} {
			for _, vms := range []int{1, 3} {
				for _, capacity := range []float64{0.5, 0.8, 1.1} {
					name := fmt.Sprintf("%d classes, %.1f of them told, %d VMs, load %.1f", len(classes), telling, vms, capacity)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						comparePlacing(t, replay.CostLoad{Classes: classes, Telling: telling, Capacity: capacity, VMs: vms, Upstreams: 6, Slots: 2})
					})
				}
			}
		}
	}
}

func comparePlacing(t *testing.T, l replay.CostLoad) {
	var off, on replay.CostResult
	for seed := range uint64(costSeeds) {
		off.Add(replay.RunCost(seed, l, false))
		on.Add(replay.RunCost(seed, l, true))
	}
	t.Logf("extra attempts %.3f, off %.3f; %.2f of the choices are others", on.ExtraShare(), off.ExtraShare(), on.ChangedShare())
	for i, c := range l.Classes {
		a, b := &off.Classes[i], &on.Classes[i]
		t.Logf("%-6s p50 %4d, off %4d; p99 %4d, off %4d; in time %.3f, off %.3f; unserved %d, off %d of %d",
			c.Name, b.Quantile(0.5), a.Quantile(0.5), b.Quantile(0.99), a.Quantile(0.99), b.TimelyShare(), a.TimelyShare(), b.Unserved, a.Unserved, a.Sent)
		limit := 0.0
		switch {
		case l.Telling > 0 && l.Capacity == 0.8 && i == 0:
			limit = 0.5
		case l.Telling > 0 && l.Capacity == 0.8 && i == len(l.Classes)-1:
			limit = 1.1
		case l.Telling == 0:
			limit = 1.02
			if b.TimelyShare() < a.TimelyShare()-0.02 {
				t.Errorf("%s: got a share of %.3f in time, want at least %.3f", c.Name, b.TimelyShare(), a.TimelyShare()-0.02)
			}
		}
		if got, want := float64(b.Quantile(0.99)), limit*float64(a.Quantile(0.99)); limit > 0 && got > want {
			t.Errorf("%s: got a p99 of %.0f ms, want at most %.0f", c.Name, got, want)
		}
	}
	if l.Telling == 0 && on.ExtraShare() > off.ExtraShare()+0.02 {
		t.Errorf("got %.3f extra attempts a request, want at most %.3f", on.ExtraShare(), off.ExtraShare()+0.02)
	}
}
