package experiment_test

import (
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/experiment"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/upstream"
)

// TestLeavingAgainstLyingLoad guards against a load endpoint that never says
// leaving and thereby brings work back to an upstream that refuses it.
func TestLeavingAgainstLyingLoad(t *testing.T) {
	const id = "search/g03/1"
	for name, tc := range map[string]struct {
		lies bool
		want bool // whether work returns after the upstream takes it again
	}{
		"endpoint lies":         {lies: true, want: false},
		"endpoint tells truths": {lies: false, want: true},
	} {
		cfg := experiment.DefaultTier(1)
		cfg.Hooks.Load = func(_ upstream.ID, load upstream.Load) upstream.Load {
			load.Leaving = load.Leaving && !tc.lies
			return load
		}
		tier := experiment.NewTier(cfg)
		up, received := tier.Upstreams[id], 0
		up.Received = func(attempt.Request) { received++ }
		start := tier.Loop.Now()
		experiment.NewTierLoad(tier, 1).Send(rank.Ordinary, 100, start+40*clock.Second)
		tier.Loop.RunUntil(start + clock.Second)
		up.Leaving = true
		tier.Loop.RunUntil(start + 4*clock.Second)
		received = 0
		tier.Loop.RunUntil(start + 24*clock.Second)
		if got := received; got != 0 {
			t.Errorf("%s: got %d requests from 3 s to 23 s after it began to leave, want 0", name, got)
		}
		up.Leaving = false
		tier.Loop.RunUntil(start + 34*clock.Second)
		if got := received > 0; got != tc.want {
			t.Errorf("%s: got work again = %v, want %v", name, got, tc.want)
		}
	}
}
